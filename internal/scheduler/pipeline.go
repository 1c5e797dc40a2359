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

// pipeline is a pipeline as its owner holds it: its fragments, in memory. The
// records hold what has ended; the rest follows from that, so that a new owner
// releases neither more nor less. A job's end, the pipeline's record and the
// records of the jobs that this releases are one transaction.
type pipeline struct {
	ref               string // empty for a job that is in no pipeline with others
	record            record.Pipeline
	version           uint64 // 0: not read yet
	run               *fragment.Pipeline
	endsOutsideRecord []record.PipelineJobEnd // ends that its record has no room for
	writing           bool                    // an end is being recorded
	versionUnknown    bool                    // a reread is under way
}

// singleJob is the pipeline of each job that was submitted by itself. Its only fragment is
// that job, and nothing follows it, so there is no state to keep for each.
var singleJob = &pipeline{}

// awaitDependencies makes a job wait for those that it names. That it was held stays in its
// record: what it waits for has final records, which never change, and so every
// owner comes to the same.
func (s *Shard) awaitDependencies(j *Job) {
	j.pipeline = &pipeline{run: fragment.BeginAfter(j.ref, j.spec.DependsOn)}
	for _, r := range j.spec.DependsOn {
		if s.dependencies.dependents[r] == nil {
			s.dependencies.dependents[r] = map[*Job]struct{}{}
		}
		s.dependencies.dependents[r][j] = struct{}{}
	}
}

// Dependencies returns the jobs, of this shard or others, that jobs here wait for.
func (s *Shard) Dependencies() []string { return slices.Collect(maps.Keys(s.dependencies.dependents)) }

// DependencyEnded takes in the final record of a job that others wait for.
func (s *Shard) DependencyEnded(ref string, end record.FinishedJob, now time.Time) {
	for j := range s.dependencies.dependents[ref] {
		if end.State != wire.Done {
			// All that needs a cancelled job is cancelled with it. Nothing of it has
			// run, so its end can be recorded at once.
			j.pipeline.run.Abort(ref)
			j.unneeded = true
			s.cancelJob(j, now)
			continue
		}
		j.pipeline.run.Finish(ref, "")
		at := now
		if end.FinishedAt > 0 && end.FinishedAt < now.UnixMilli() {
			at = time.UnixMilli(end.FinishedAt)
		}
		if j.dependenciesEndedAt = later(j.dependenciesEndedAt, at); slices.Contains(j.pipeline.run.Ready(), j.ref) {
			s.releaseJob(j, j.dependenciesEndedAt, now)
		}
	}
	delete(s.dependencies.dependents, ref)
}

// SetInheritedUrgency sets the urgency of a job, including what it inherits from its dependents.
func (s *Shard) SetInheritedUrgency(ref string, urgency fragment.Urgency) {
	j := s.jobs[ref]
	if j == nil {
		return
	}
	if j.hasDependents = urgency.HasDependents; j.rank == urgency.Rank && j.deadlineAt.Equal(urgency.Deadline) {
		return
	}
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil && j.rank != urgency.Rank {
			s.inventory.countTask(m, j.rank, -1)
			s.inventory.countTask(m, urgency.Rank, 1)
		}
	}
	j.rank, j.deadlineAt = urgency.Rank, urgency.Deadline
	s.placementDue = true
}

// deadline is when a job is to be done, in seconds since it began to wait.
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

// JobRecordGone takes in that a job that is held here has no active record any more: some
// controller found a job that it needs cancelled, and recorded its end.
func (s *Shard) JobRecordGone(ref string, now time.Time) {
	if j := s.jobs[ref]; j != nil && j.awaitsDependencies && j.progress.placed == 0 && j.record.endTxn == nil && !j.record.versionUnknown {
		s.removeJob(j, now)
	}
}

// pipelineOf returns the pipeline of a job; its record is read when it is new.
func (s *Shard) pipelineOf(ref string) *pipeline {
	l := s.dependencies.pipelines[ref]
	if l == nil {
		l = &pipeline{ref: ref}
		s.dependencies.pipelines[ref] = l
		s.effects.rereadPipeline(l)
	}
	return l
}

func (e *Effects) rereadPipeline(l *pipeline) {
	if !l.versionUnknown {
		l.versionUnknown = true
		e.RereadPipelines = append(e.RereadPipelines, l.ref)
	}
}

// PipelineRead takes in a pipeline's record as read back, and the ends of those of its
// jobs that it does not tell.
func (s *Shard) PipelineRead(ref string, e *wire.Entry, others []record.PipelineJobEnd, now time.Time) error {
	l := s.dependencies.pipelines[ref]
	if l == nil {
		return nil
	}
	if e == nil {
		return fmt.Errorf("pipeline %s has no record", ref)
	}
	rec, err := decode[record.Pipeline](*e)
	if err != nil {
		return err
	}
	run := &fragment.Pipeline{} // of one that is over nothing is left
	if rec.State == "" {
		net, err := rec.Net()
		if err != nil {
			return err
		}
		run = fragment.Begin(net)
		rec.Replay(run, others)
	}
	l.versionUnknown, l.writing = false, false
	l.record, l.version, l.run, l.endsOutsideRecord = rec, e.Version, run, others
	for _, ref := range run.Ready() {
		// Released by a step that could not be recorded in one piece, if at all:
		// else the record of the job itself says so.
		if j := s.jobs[ref]; j != nil && len(others) > 0 {
			s.releaseJob(j, now, now)
		}
	}
	s.cancelUnneeded(l, now)
	s.placementDue = true
	for _, ref := range rec.Jobs {
		if j := s.jobs[ref]; j != nil {
			s.queueIfTerminal(j)
		}
	}
	return nil
}

// cancelUnneeded ends the jobs that a pipeline has no use for any more: they follow a
// cancelled one, or a branch that was not picked. Of one that was withdrawn these
// are all: a withdrawal may have come no further than the pipeline's own record.
func (s *Shard) cancelUnneeded(l *pipeline, now time.Time) {
	left := l.run.Remaining()
	for _, ref := range l.record.Jobs {
		j := s.jobs[ref]
		if j == nil || (l.record.State != wire.Cancelled && (!j.awaitsDependencies || (left[ref] && l.record.State == ""))) {
			continue
		}
		j.unneeded = true
		s.cancelJob(j, now)
	}
}

// after returns the pipeline as it is once a job has ended, and the jobs that
// this releases. The paper's algorithm decides.
func (l *pipeline) after(j *Job, shard *Shard) (*pipeline, []*Job) {
	end := record.PipelineJobEnd{Ref: j.ref, State: wire.Done}
	if j.cancelled {
		end.State = wire.Cancelled
	}
	next := &pipeline{ref: l.ref, record: l.record, run: l.run.Clone(), endsOutsideRecord: l.endsOutsideRecord}
	next.record.Ended = append(l.record.Ended[:len(l.record.Ended):len(l.record.Ended)], end)
	l.record.ApplyEnd(next.run, end)
	if next.run.Done() {
		next.record.State = wire.Done
		for _, e := range slices.Concat(next.record.Ended, l.endsOutsideRecord) {
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

// addPipelineStep adds to a job's end what it means for its pipeline. It reports false
// if that can't be said yet.
func (s *Shard) addPipelineStep(t *Txn, j *Job, now time.Time) bool {
	l := j.pipeline
	if l.ref == "" || j.unneeded || l.record.State != "" {
		return true // alone, or its pipeline is over without it
	}
	if l.version == 0 || l.versionUnknown || l.writing {
		return false
	}
	next, releasable := l.after(j, s)
	at := record.PipelineKey(l.ref)
	t.Body.If = append(t.Body.If, wire.Condition{Key: at, Version: l.version})
	t.pipelineAfter, t.releasedJobs = next, map[*Job]record.ActiveJob{}
	l.writing = true
	if over := next.record.Compacted(s.ledger.valueBytes); over.State != "" {
		next.record = over
	}
	ops := []wire.Op{{Put: at, Value: record.Encode(next.record)}}
	opens := make([]record.ActiveJob, len(releasable))
	for i, released := range releasable {
		opens[i] = record.ActiveJob{Spec: *released.spec, Shard: s.id, AcceptedAt: now.UnixMilli(), Pipeline: l.ref}
		ops = append(ops, wire.Op{Put: record.ActiveJobKey(released.ref), Value: record.Encode(opens[i])})
	}
	large := func(op wire.Op) bool { return len(op.Value) > s.ledger.valueBytes }
	if slices.ContainsFunc(ops, large) || len(t.Body.Then)+len(ops) > s.ledger.txnOps {
		// Too much for one piece, as the first version may have accepted it. What
		// is released follows from the jobs' final records, so the job's end is
		// enough; its condition keeps it from passing a withdrawal.
		next.record, next.endsOutsideRecord = l.record, append(slices.Clone(l.endsOutsideRecord), record.PipelineJobEnd{Ref: j.ref, State: t.jobState()})
		for _, released := range releasable {
			t.releasedJobs[released] = record.ActiveJob{}
		}
		return true
	}
	t.Body.Then = append(t.Body.Then, ops...)
	for i, released := range releasable {
		t.Body.If = append(t.Body.If, wire.Condition{Key: record.ActiveJobKey(released.ref), Version: released.record.version})
		t.releasedJobs[released] = opens[i]
	}
	return true
}

// jobState is the one that a job's end records.
func (t *Txn) jobState() string {
	if t.job.cancelled {
		return wire.Cancelled
	}
	return wire.Done
}

// applyPipelineStep takes in that a job's end was recorded with its pipeline's step.
func (s *Shard) applyPipelineStep(t *Txn, revision uint64, now time.Time) {
	l := t.job.pipeline
	if t.pipelineAfter == nil {
		return
	}
	l.writing = false
	l.record, l.run, l.endsOutsideRecord = t.pipelineAfter.record, t.pipelineAfter.run, t.pipelineAfter.endsOutsideRecord
	if len(t.Body.Then) > jobEndOps {
		l.version = revision
	}
	for released, open := range t.releasedJobs {
		if open.Spec.Ref == "" {
			s.releaseJob(released, now, now)
			continue
		}
		s.SetJob(released.ref, open, revision, now)
	}
	s.cancelUnneeded(l, now)
	if l.record.State != "" && len(s.activeJobsOf(l)) == 0 {
		delete(s.dependencies.pipelines, l.ref)
	}
}

func (s *Shard) activeJobsOf(l *pipeline) []*Job {
	var out []*Job
	for _, ref := range l.record.Jobs {
		if j := s.jobs[ref]; j != nil {
			out = append(out, j)
		}
	}
	return out
}

// pipelineStepFailed takes in that a job's end was not recorded, or perhaps was: its
// pipeline's record decides.
func (s *Shard) pipelineStepFailed(j *Job, outcomeKnown bool) {
	if l := j.pipeline; l.ref != "" {
		if outcomeKnown {
			l.writing = false
		} else {
			s.effects.rereadPipeline(l)
		}
	}
}
