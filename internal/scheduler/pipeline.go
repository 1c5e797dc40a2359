package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bramblespur/internal/fragment"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// pipeline is the owner's state of a pipeline: its record and, in memory, its fragments. The
// records say which jobs have ended. Everything else follows from that, so that a new owner
// releases the same jobs as the last one. A job's end, the pipeline's record and the
// records of the jobs that the end releases are written in one transaction.
type pipeline struct {
	ref               string                  // empty for a job that was submitted by itself
	record            record.Pipeline         // as last read or written
	version           uint64                  // of the record; 0: not read yet
	run               *fragment.Pipeline      // its fragments, as of the record and endsOutsideRecord
	endsOutsideRecord []record.PipelineJobEnd // ends that its record has no room for
	writing           bool                    // an end is being recorded
	versionUnknown    bool                    // a reread is under way
}

// singleJob is the pipeline of every job that was submitted by itself without dependencies.
// Such a job is the only fragment and nothing follows it, so that all of them can share one
// pipeline without state.
var singleJob = &pipeline{}

// dependentJob is the pipeline of every job that was submitted by itself with dependencies. Its
// Job.join tells when it may run.
var dependentJob = &pipeline{}

// awaitDependencies makes a job wait for the jobs that its spec names as dependencies. Its
// record is not changed when they have ended: their final records never change, so every
// owner comes to the same result.
func (s *Shard) awaitDependencies(j *Job) {
	j.pipeline, j.join = dependentJob, fragment.NewJoin(j.spec.DependsOn)
	for _, r := range j.spec.DependsOn {
		if s.dependencies.dependents[r] == nil {
			s.dependencies.dependents[r] = map[*Job]struct{}{}
		}
		s.dependencies.dependents[r][j] = struct{}{}
	}
}

// Dependencies returns the jobs, of this shard or others, that jobs of this shard wait for.
func (s *Shard) Dependencies() []string { return slices.Collect(maps.Keys(s.dependencies.dependents)) }

// DependencyEnded applies the final record of a job that jobs of this shard wait for: it
// releases those that wait for no other job, or cancels them if that job was cancelled.
func (s *Shard) DependencyEnded(ref string, end record.FinishedJob, now time.Time) {
	for j := range s.dependencies.dependents[ref] {
		if end.State != wire.Done {
			// All dependents of a cancelled job are cancelled with it. None of their
			// tasks has run, so their ends can be recorded at once.
			j.join.Abort()
			j.unneeded = true
			s.cancelJob(j, now)
			continue
		}
		j.join.Finish()
		at := now
		if end.FinishedAt > 0 && end.FinishedAt < now.UnixMilli() {
			at = time.UnixMilli(end.FinishedAt)
		}
		if j.dependenciesEndedAt = later(j.dependenciesEndedAt, at); j.join.Ready() {
			s.releaseJob(j, j.dependenciesEndedAt, now)
		}
	}
	delete(s.dependencies.dependents, ref)
}

// SetInheritedUrgency sets the priority and deadline that a job has for itself and for its
// dependents, and whether it has dependents.
func (s *Shard) SetInheritedUrgency(ref string, urgency fragment.Urgency) {
	j := s.jobs[ref]
	if j == nil {
		return
	}
	if j.hasDependents = urgency.HasDependents; j.rank == urgency.Rank && j.deadlineAt.Equal(urgency.Deadline) {
		return
	}
	if j.rank != urgency.Rank {
		s.recountTasks(j, urgency.Rank)
	}
	j.rank, j.deadlineAt = urgency.Rank, urgency.Deadline
	s.placementDue = true
}

// recountTasks counts the tasks of a job on machines by the rank that the job is about to have.
func (s *Shard) recountTasks(j *Job, rank int) {
	for _, t := range j.tasks.placedTasks() {
		s.inventory.countTask(t.machine, j.rank, -1)
		s.inventory.countTask(t.machine, rank, 1)
	}
}

// deadline returns when a job has to be done, in seconds since it was accepted or released; nil
// if it has no deadline.
func (j *Job) deadline() *float64 {
	if j.deadlineAt.IsZero() {
		return j.spec.DeadlineS
	}
	s := j.deadlineAt.Sub(j.accepted).Seconds()
	return &s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// JobRecordGone removes a job that awaits its dependencies after its active record was deleted:
// another controller has found a dependency cancelled and recorded the job's end.
func (s *Shard) JobRecordGone(ref string, now time.Time) {
	if j := s.jobs[ref]; j != nil && j.awaitsDependencies && j.progress.placed == 0 && j.record.endTxn == nil && !j.record.versionUnknown {
		s.removeJob(j, now)
	}
}

// pipelineOf returns the pipeline with the reference ref. If the shard does not hold it yet,
// pipelineOf creates it and asks for its record to be read.
func (s *Shard) pipelineOf(ref string) *pipeline {
	p := s.dependencies.pipelines[ref]
	if p == nil {
		p = &pipeline{ref: ref}
		s.dependencies.pipelines[ref] = p
		s.effects.rereadPipeline(p)
	}
	return p
}

// rereadPipeline asks for a pipeline's record to be read, unless that is under way.
func (e *Effects) rereadPipeline(p *pipeline) {
	if !p.versionUnknown {
		p.versionUnknown = true
		e.RereadPipelines = append(e.RereadPipelines, p.ref)
	}
}

// PipelineRead applies a pipeline's record as read back, and the ends of its jobs that the
// record does not contain. It returns an error if there is no record or it cannot be decoded.
func (s *Shard) PipelineRead(ref string, e *wire.Entry, others []record.PipelineJobEnd, now time.Time) error {
	p := s.dependencies.pipelines[ref]
	if p == nil {
		return nil
	}
	if e == nil {
		return fmt.Errorf("pipeline %s has no record", ref)
	}
	rec, err := decode[record.Pipeline](*e)
	if err != nil {
		return err
	}
	run := &fragment.Pipeline{} // without remaining jobs, for a pipeline that has ended
	if rec.State == "" {
		net, err := rec.Net()
		if err != nil {
			return err
		}
		run = fragment.Begin(net)
		rec.Replay(run, others)
	}
	p.versionUnknown, p.writing = false, false
	p.record, p.version, p.run, p.endsOutsideRecord = rec, e.Version, run, others
	for _, ref := range run.Ready() {
		// Without ends outside the record, the job's own record says that it is released.
		// With them, the step that released it may have been too large to be recorded in
		// one transaction.
		if j := s.jobs[ref]; j != nil && len(others) > 0 {
			s.releaseJob(j, now, now)
		}
	}
	s.cancelUnneeded(p, now)
	s.placementDue = true
	for _, ref := range rec.Jobs {
		if j := s.jobs[ref]; j != nil {
			s.queueIfTerminal(j)
		}
	}
	return nil
}

// cancelUnneeded cancels the jobs that a pipeline no longer needs: those that follow a
// cancelled job, and those on a branch that was not chosen. If the pipeline was withdrawn,
// it cancels all of its jobs, since a withdrawal may have written only the pipeline's own
// record.
func (s *Shard) cancelUnneeded(p *pipeline, now time.Time) {
	left := p.run.Remaining()
	for _, ref := range p.record.Jobs {
		j := s.jobs[ref]
		if j == nil || (p.record.State != wire.Cancelled && (!j.awaitsDependencies || (left[ref] && p.record.State == ""))) {
			continue
		}
		j.unneeded = true
		s.cancelJob(j, now)
	}
}

// after returns the pipeline as it is once a job has ended, and the jobs of the shard that
// this end releases. Package fragment decides which these are.
func (p *pipeline) after(j *Job, shard *Shard) (*pipeline, []*Job) {
	end := record.PipelineJobEnd{Ref: j.ref, State: wire.Done}
	if j.cancelled {
		end.State = wire.Cancelled
	}
	next := &pipeline{ref: p.ref, record: p.record, run: p.run.Clone(), endsOutsideRecord: p.endsOutsideRecord}
	next.record.Ended = append(p.record.Ended[:len(p.record.Ended):len(p.record.Ended)], end)
	p.record.ApplyEnd(next.run, end)
	if next.run.Done() {
		next.record.State = wire.Done
		for _, e := range slices.Concat(next.record.Ended, p.endsOutsideRecord) {
			if e.State == wire.Cancelled {
				next.record.State = wire.Cancelled
			}
		}
	}
	var releasable []*Job
	for _, ref := range next.run.Ready() {
		if released := shard.jobs[ref]; released != nil && released.awaitsDependencies {
			releasable = append(releasable, released)
		}
	}
	return next, releasable
}

// addPipelineStep adds to the transaction of a job's end the changes that the end makes to its
// pipeline and to the jobs that it releases. It reports false if the transaction cannot be
// written yet: the pipeline's record has not been read, or another end is being recorded.
func (s *Shard) addPipelineStep(t *Txn, j *Job, now time.Time) bool {
	p := j.pipeline
	if p.ref == "" || j.unneeded || p.record.State != "" {
		return true // the job has no pipeline, or its pipeline has ended or no longer needs it
	}
	if p.version == 0 || p.versionUnknown || p.writing {
		return false
	}
	next, releasable := p.after(j, s)
	at := record.PipelineKey(p.ref)
	t.Body.If = append(t.Body.If, wire.Condition{Key: at, Version: p.version})
	t.pipelineAfter, t.releasedJobs = next, map[*Job]record.ActiveJob{}
	p.writing = true
	if compacted := next.record.Compacted(s.ledger.valueBytes); compacted.State != "" {
		next.record = compacted
	}
	ops := []wire.Op{{Put: at, Value: record.Encode(next.record)}}
	activeRecords := make([]record.ActiveJob, len(releasable))
	for i, released := range releasable {
		activeRecords[i] = record.ActiveJob{Spec: *released.spec, Shard: s.id, AcceptedAt: now.UnixMilli(), Pipeline: p.ref}
		ops = append(ops, wire.Op{Put: record.ActiveJobKey(released.ref), Value: record.Encode(activeRecords[i])})
	}
	large := func(op wire.Op) bool { return len(op.Value) > s.ledger.valueBytes }
	if slices.ContainsFunc(ops, large) || len(t.Body.Then)+len(ops) > s.ledger.txnOps {
		// The step is too large for one transaction, since the first version accepted
		// larger pipelines. It is enough to record the job's end: which jobs are released
		// follows from the final records. The condition on the pipeline's record makes the
		// transaction fail if the pipeline was withdrawn meanwhile.
		next.record, next.endsOutsideRecord = p.record, append(slices.Clone(p.endsOutsideRecord), record.PipelineJobEnd{Ref: j.ref, State: t.jobState()})
		for _, released := range releasable {
			t.releasedJobs[released] = record.ActiveJob{}
		}
		return true
	}
	t.Body.Then = append(t.Body.Then, ops...)
	for i, released := range releasable {
		t.Body.If = append(t.Body.If, wire.Condition{Key: record.ActiveJobKey(released.ref), Version: released.record.version})
		t.releasedJobs[released] = activeRecords[i]
	}
	return true
}

// jobState returns the terminal state that the end of the transaction's job records.
func (t *Txn) jobState() string {
	if t.job.cancelled {
		return wire.Cancelled
	}
	return wire.Done
}

// applyPipelineStep applies the pipeline's step after the transaction of a job's end has
// succeeded at a revision.
func (s *Shard) applyPipelineStep(t *Txn, revision uint64, now time.Time) {
	p := t.job.pipeline
	if t.pipelineAfter == nil {
		return
	}
	p.writing = false
	p.record, p.run, p.endsOutsideRecord = t.pipelineAfter.record, t.pipelineAfter.run, t.pipelineAfter.endsOutsideRecord
	if len(t.Body.Then) > jobEndOps {
		p.version = revision
	}
	for released, activeRecord := range t.releasedJobs {
		if activeRecord.Spec.Ref == "" {
			s.releaseJob(released, now, now)
			continue
		}
		s.SetJob(released.ref, activeRecord, revision, now)
	}
	s.cancelUnneeded(p, now)
	if p.record.State != "" && len(s.activeJobsOf(p)) == 0 {
		delete(s.dependencies.pipelines, p.ref)
	}
}

// activeJobsOf returns the jobs of a pipeline that have not ended.
func (s *Shard) activeJobsOf(p *pipeline) []*Job {
	var out []*Job
	for _, ref := range p.record.Jobs {
		if j := s.jobs[ref]; j != nil {
			out = append(out, j)
		}
	}
	return out
}

// pipelineStepFailed is called when the transaction of a job's end has failed. If its outcome
// is not known, the pipeline's record is read again to find whether the end was recorded.
func (s *Shard) pipelineStepFailed(j *Job, outcomeKnown bool) {
	if p := j.pipeline; p.ref != "" {
		if outcomeKnown {
			p.writing = false
		} else {
			s.effects.rereadPipeline(p)
		}
	}
}
