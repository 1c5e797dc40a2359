package userapi

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Pipelines are an extension of the protocol, documented in docs/api.md. A pipeline is
// accepted with all its jobs in one transaction or not at all. The owner of its shard decides
// which of its jobs start, see package scheduler.

const (
	// maxTxnBytes keeps a transaction below the protocol's 64 KiB.
	maxTxnBytes = 48 << 10
	// conditionsPerChange is how many conditions the state service takes for each change
	// that a transaction may hold.
	conditionsPerChange = 4
)

// SubmitPipeline accepts a pipeline once, with all its jobs, or refuses it. When it returns no
// error, the records of the pipeline and its jobs are in the state service. It returns an
// error of package jobspec, ErrReferenceInUse or ErrRecordTooLarge for a pipeline that it
// refuses, ErrFull if there are too many active jobs, and ErrUnavailable if that cannot be decided
// now.
func (a *API) SubmitPipeline(body []byte) (Acceptance, error) {
	pipeline, err := jobspec.ParsePipeline(body)
	if err != nil {
		return Acceptance{}, err
	}
	machineTypes, err := a.requireMachineTypes()
	if err != nil {
		return Acceptance{}, err
	}
	ctx, cancel := a.requestContext()
	defer cancel()
	// An accepted pipeline is never refused, even if the settings have changed since.
	existing, err := a.pipelineAcceptedBefore(ctx, pipeline.Ref)
	if !errors.Is(err, ErrNotFound) {
		return existing, err
	}
	for _, spec := range pipeline.Jobs {
		if err := jobspec.CheckFeasible(spec, machineTypes, a.settings.Params.Teams); err != nil {
			return Acceptance{}, err
		}
	}
	pipeline.Record.Shard = record.ShardForJob(a.teams, pipeline.Jobs[0].Team, pipeline.Ref, a.settings.Params.Count)
	t, err := a.pipelineTxn(pipeline)
	if err != nil {
		return Acceptance{}, err
	}
	if !a.cluster.HasRoomForJobs(newJobs(pipeline, t)...) {
		return Acceptance{}, ErrFull
	}
	return a.recordPipeline(ctx, pipeline, t)
}

// recordPipeline records a pipeline and its jobs, unless it or one of them was accepted
// meanwhile.
func (a *API) recordPipeline(ctx context.Context, pipeline *jobspec.Pipeline, t wire.Txn) (Acceptance, error) {
	revision, err := a.store().Txn(ctx, statestore.Urgent(acceptPurpose), t)
	if err == nil {
		a.cluster.NotifyOwner(pipeline.Record.Shard, t, revision)
		return newlyAccepted(pipeline.Ref), nil
	}
	if !isConflict(err) {
		return Acceptance{}, ErrUnavailable
	}
	existing, err := a.pipelineAcceptedBefore(ctx, pipeline.Ref)
	if errors.Is(err, ErrNotFound) {
		return Acceptance{}, ErrReferenceInUse
	}
	return existing, err
}

// pipelineTxn returns the transaction that records a pipeline and its jobs; dependent jobs are
// marked as waiting for their dependencies. It returns ErrRecordTooLarge if the transaction,
// or a later change of the records, exceeds the state service's limits.
func (a *API) pipelineTxn(pipeline *jobspec.Pipeline) (wire.Txn, error) {
	limits := a.cluster.WriteLimits()
	if pipeline.Record.NeedsSplitCommits(limits.MaxValueBytes(), limits.TxnOps) {
		return wire.Txn{}, ErrRecordTooLarge
	}
	key := record.PipelineKey(pipeline.Ref)
	t := wire.Txn{
		If:   []wire.Condition{{Key: key}},
		Then: []wire.Op{{Put: key, Value: record.Encode(pipeline.Record)}},
	}
	dependent := dependentJobs(pipeline.Record.Links)
	size := 0
	for _, spec := range pipeline.Jobs {
		job := record.ActiveJob{
			Spec:               *spec,
			Shard:              pipeline.Record.Shard,
			AcceptedAt:         time.Now().UnixMilli(),
			Pipeline:           pipeline.Ref,
			AwaitsDependencies: dependent[spec.Ref],
		}
		value := record.Encode(job)
		if len(value) > limits.MaxValueBytes() {
			return wire.Txn{}, ErrRecordTooLarge
		}
		size += len(value)
		t.If = append(t.If, wire.Condition{Key: record.FinishedJobKey(spec.Ref)}, wire.Condition{Key: record.ActiveJobKey(spec.Ref)})
		t.Then = append(t.Then, wire.Op{Put: record.ActiveJobKey(spec.Ref), Value: value})
	}
	if size > maxTxnBytes || len(t.Then) > limits.TxnOps || len(t.If) > conditionsPerChange*limits.TxnOps {
		return wire.Txn{}, ErrRecordTooLarge
	}
	return t, nil
}

// newJobs returns the jobs of a pipeline with the sizes of their records, which t writes after that
// of the pipeline.
func newJobs(pipeline *jobspec.Pipeline, t wire.Txn) []NewJob {
	jobs := make([]NewJob, 0, len(pipeline.Jobs))
	for i, spec := range pipeline.Jobs {
		jobs = append(jobs, NewJob{spec, len(t.Then[1+i].Value)})
	}
	return jobs
}

// dependentJobs returns the jobs that links release after others.
func dependentJobs(links []wire.Link) map[string]bool {
	dependent := map[string]bool{}
	for _, link := range links {
		for _, ref := range link.To {
			dependent[ref] = true
		}
	}
	return dependent
}

// readPipeline reads a pipeline's record and its version. It returns ErrNotFound if there
// is none, and ErrUnavailable if it cannot be read now.
func (a *API) readPipeline(ctx context.Context, purpose statestore.Purpose, ref string) (record.Pipeline, uint64, error) {
	var rec record.Pipeline
	entry, err := a.store().Get(ctx, purpose, record.PipelineKey(ref))
	if errors.Is(err, statestore.ErrNotFound) {
		return rec, 0, ErrNotFound
	}
	if err != nil || json.Unmarshal(entry.Value, &rec) != nil {
		return rec, 0, ErrUnavailable
	}
	return rec, entry.Version, nil
}

// pipelineAcceptedBefore returns the state of an accepted pipeline, ErrNotFound if there is
// none.
func (a *API) pipelineAcceptedBefore(ctx context.Context, ref string) (Acceptance, error) {
	purpose := statestore.Urgent(acceptPurpose)
	rec, _, err := a.readPipeline(ctx, purpose, ref)
	if err != nil {
		return Acceptance{}, err
	}
	terminal, err := a.pipelineTerminal(ctx, purpose, &rec)
	if err != nil {
		return Acceptance{}, err
	}
	return accepted(ref, a.pipelineState(&rec, terminal)), nil
}

// pipelineTerminal reports whether a pipeline is terminal. Like a single job, a cancelled
// pipeline is terminal only once none of its jobs is active, which proves that all tasks are
// gone.
func (a *API) pipelineTerminal(ctx context.Context, purpose statestore.Purpose, rec *record.Pipeline) (bool, error) {
	if rec.State != wire.Cancelled {
		return rec.State != "", nil
	}
	// A job that is no longer active never becomes active again, so the jobs can be checked in
	// several transactions.
	for refs := range slices.Chunk(rec.Jobs, conditionsPerChange*a.cluster.WriteLimits().TxnOps) {
		t := wire.Txn{Then: []wire.Op{}}
		for _, ref := range refs {
			t.If = append(t.If, wire.Condition{Key: record.ActiveJobKey(ref)})
		}
		_, err := a.store().Txn(ctx, purpose, t)
		if isConflict(err) {
			return false, nil
		}
		if err != nil {
			return false, ErrUnavailable
		}
	}
	return true, nil
}

// pipelineState returns the state of a pipeline as a whole.
func (a *API) pipelineState(rec *record.Pipeline, terminal bool) string {
	if terminal {
		return rec.State
	}
	if len(rec.Ended) > 0 {
		return wire.Running
	}
	for _, ref := range rec.Jobs {
		if status, ok := a.cluster.OwnerStatus(ref); ok && status.State == wire.Running {
			return wire.Running
		}
	}
	return wire.Pending
}

// QueryPipeline returns a pipeline's state and those of its jobs.
func (a *API) QueryPipeline(ref string) (wire.PipelineStatus, error) {
	if err := a.checkPipelineRequest(ref); err != nil {
		return wire.PipelineStatus{}, err
	}
	ctx, cancel := a.requestContext()
	defer cancel()
	purpose := statestore.Routine(queryPurpose)
	rec, _, err := a.readPipeline(ctx, purpose, ref)
	if err != nil {
		return wire.PipelineStatus{}, err
	}
	terminal, err := a.pipelineTerminal(ctx, purpose, &rec)
	if err != nil {
		return wire.PipelineStatus{}, err
	}
	ends, err := a.pipelineEnds(ctx, purpose, &rec)
	if err != nil {
		return wire.PipelineStatus{}, err
	}
	status := wire.PipelineStatus{Ref: ref, State: a.pipelineState(&rec, terminal)}
	for _, job := range rec.Jobs {
		status.Jobs = append(status.Jobs, wire.JobState{Ref: job, State: a.pipelineJobState(job, terminal, ends)})
	}
	return status, nil
}

// pipelineEnds returns the ends of a pipeline's jobs, including those that its record had no
// room for.
func (a *API) pipelineEnds(ctx context.Context, purpose statestore.Purpose, rec *record.Pipeline) ([]record.PipelineJobEnd, error) {
	limits := a.cluster.WriteLimits()
	if !rec.NeedsSplitCommits(limits.MaxValueBytes(), limits.TxnOps) {
		return rec.Ended, nil
	}
	missing, err := a.terminal.MissingPipelineEnds(ctx, a.store(), purpose, rec, nil)
	if err != nil {
		return nil, ErrUnavailable
	}
	return slices.Concat(rec.Ended, missing), nil
}

// pipelineJobState returns the state of a job of a pipeline. terminal says whether the pipeline
// is terminal; ends are the ends of its jobs.
func (a *API) pipelineJobState(ref string, terminal bool, ends []record.PipelineJobEnd) string {
	state := wire.Pending
	if terminal {
		state = wire.Cancelled // a job that has not run by the pipeline's end never runs
	} else if status, ok := a.cluster.OwnerStatus(ref); ok {
		state = status.State
	}
	for _, end := range ends {
		if end.Ref == ref {
			state = end.State
		}
	}
	return state
}

// CancelPipeline cancels the rest of a pipeline: first the pipeline itself, so that no more of
// its jobs start, then its active jobs. It returns the terminal state once all jobs are
// terminal, and ErrNotTerminal until then. If the user asks again, any controller continues
// the cancellation. It returns ErrNotFound for a pipeline that was never accepted, and
// ErrUnavailable if the cancellation cannot be decided now.
func (a *API) CancelPipeline(ref string) (wire.JobState, error) {
	if err := a.checkPipelineRequest(ref); err != nil {
		return wire.JobState{}, err
	}
	ctx, cancel := a.requestContext()
	defer cancel()
	for range cancelAttempts {
		rec, err := a.recordPipelineCancellation(ctx, ref)
		if errors.Is(err, errChanged) {
			continue
		}
		if err != nil {
			return wire.JobState{}, err
		}
		return a.endPipeline(ctx, ref, &rec)
	}
	return wire.JobState{}, ErrUnavailable
}

// recordPipelineCancellation reads a pipeline's record and, unless that has a terminal state
// already, records that the pipeline is cancelled. It returns errChanged if the record changed
// in between.
func (a *API) recordPipelineCancellation(ctx context.Context, ref string) (record.Pipeline, error) {
	purpose := statestore.Urgent(cancelPurpose)
	rec, version, err := a.readPipeline(ctx, purpose, ref)
	if err != nil || rec.State != "" {
		return rec, err
	}
	rec.State = wire.Cancelled
	rec = rec.Compacted(a.cluster.WriteLimits().MaxValueBytes())
	key := record.PipelineKey(ref)
	_, err = a.store().Txn(ctx, purpose, wire.Txn{
		If:   []wire.Condition{{Key: key, Version: version}},
		Then: []wire.Op{{Put: key, Value: record.Encode(rec)}},
	})
	if isConflict(err) {
		return rec, errChanged
	}
	if err != nil {
		return rec, ErrUnavailable // the transaction may be applied: the user's next request finds out
	}
	return rec, nil
}

// endPipeline cancels the jobs of a cancelled pipeline and returns the pipeline's state once
// it is terminal.
func (a *API) endPipeline(ctx context.Context, ref string, rec *record.Pipeline) (wire.JobState, error) {
	if rec.State != wire.Done {
		if err := a.cancelPipelineJobs(ctx, rec); err != nil {
			return wire.JobState{}, err
		}
	}
	if rec.State == wire.Cancelled && !a.awaitTerminal(ctx, rec.Jobs...) {
		return wire.JobState{}, ErrNotTerminal
	}
	terminal, err := a.pipelineTerminal(ctx, statestore.Urgent(cancelPurpose), rec)
	if err != nil {
		return wire.JobState{}, err
	}
	if !terminal {
		return wire.JobState{}, ErrNotTerminal
	}
	return wire.JobState{Ref: ref, State: rec.State}, nil
}

// cancelPipelineJobs cancels the active jobs of a cancelled pipeline, as many in a transaction
// as fit. The pipeline's own record was written before, so no more of them start.
func (a *API) cancelPipelineJobs(ctx context.Context, rec *record.Pipeline) error {
	for refs := range slices.Chunk(rec.Jobs, a.cluster.WriteLimits().TxnOps) {
		if err := a.cancelJobs(ctx, rec.Shard, refs); err != nil {
			return err
		}
	}
	return nil
}

// cancelJobs cancels those of a shard's jobs that are active, with one transaction.
func (a *API) cancelJobs(ctx context.Context, shard int, refs []string) error {
	// One attempt more than for a single job: the first one is not a repetition.
	for range cancelAttempts + 1 {
		t, err := a.cancelTxn(ctx, refs)
		if err != nil {
			return ErrUnavailable
		}
		if len(t.Then) == 0 {
			return nil
		}
		revision, err := a.store().Txn(ctx, statestore.Urgent(cancelPurpose), t)
		if err == nil {
			a.cluster.NotifyOwner(shard, t, revision)
			return nil
		}
		if !isConflict(err) {
			return ErrUnavailable // the transaction may be applied: the user's next request finds out
		}
	}
	return ErrUnavailable
}

// cancelTxn returns the transaction that cancels those of some jobs that are active.
func (a *API) cancelTxn(ctx context.Context, refs []string) (wire.Txn, error) {
	var t wire.Txn
	for _, ref := range refs {
		job, version, err := a.readActiveJob(ctx, ref)
		if errors.Is(err, statestore.ErrNotFound) {
			continue // the job is terminal
		}
		if err != nil {
			return t, err
		}
		if job.Cancelled {
			continue
		}
		key := record.ActiveJobKey(ref)
		t.If = append(t.If, wire.Condition{Key: key, Version: version})
		t.Then = append(t.Then, wire.Op{Put: key, Value: cancelledRecord(job, a.cluster.WriteLimits().MaxValueBytes())})
	}
	return t, nil
}

// checkPipelineRequest refuses a request at once if its reference is malformed (ErrNotFound) or
// the state service cannot be reached (ErrUnavailable).
func (a *API) checkPipelineRequest(ref string) error {
	if !jobspec.ValidPipelineReference(ref) {
		return ErrNotFound
	}
	if a.cluster.LeaseLost() {
		return ErrUnavailable
	}
	return nil
}
