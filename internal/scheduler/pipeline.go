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

// line is a pipeline as its owner holds it: its fragments, in memory. The
// records hold what has ended; the rest follows from that, so that a new owner
// releases neither more nor less. A job's end, the pipeline's record and the
// records of the jobs that this releases are one transaction.
type line struct {
	ref            string // empty for a job that is in no pipeline with others
	rec            record.Pipeline
	version        uint64 // 0: not read yet
	run            *fragment.Pipeline
	others         []record.PipelineJobEnd // ends that its record has no room for
	busy           bool                    // an end is being recorded
	versionUnknown bool                    // a reread is under way
}

// alone is the pipeline of each job that was submitted by itself. Its only fragment is
// that job, and nothing follows it, so there is no state to keep for each.
var alone = &line{}

// await makes a job wait for those that it names. That it was held stays in its
// record: what it waits for has final records, which never change, and so every
// owner comes to the same.
func (s *Shard) await(j *Job) {
	j.line = &line{run: fragment.After(j.ref, j.spec.DependsOn)}
	for _, r := range j.spec.DependsOn {
		if s.dependents[r] == nil {
			s.dependents[r] = map[*Job]struct{}{}
		}
		s.dependents[r][j] = struct{}{}
	}
}

// Dependencies returns the jobs, of this part or others, that jobs here wait for.
func (s *Shard) Dependencies() []string { return slices.Collect(maps.Keys(s.dependents)) }

// DependencyEnded takes in the final record of a job that others wait for.
func (s *Shard) DependencyEnded(ref string, end record.FinishedJob, now time.Time) {
	for j := range s.dependents[ref] {
		if end.State != wire.Done {
			// All that needs a cancelled job is cancelled with it. Nothing of it has
			// run, so its end can be recorded at once.
			j.line.run.Abort(ref)
			j.dead = true
			s.cancel(j, now)
			continue
		}
		j.line.run.Finish(ref, "")
		at := now
		if end.At > 0 && end.At < now.UnixMilli() {
			at = time.UnixMilli(end.At)
		}
		if j.freeAt = later(j.freeAt, at); slices.Contains(j.line.run.Ready(), j.ref) {
			s.free(j, j.freeAt, now)
		}
	}
	delete(s.dependents, ref)
}

// Inherit gives a job what those that need it ask for.
func (s *Shard) Inherit(ref string, c fragment.Claim) {
	j := s.jobs[ref]
	if j == nil {
		return
	}
	if j.needed = c.Needed; j.rank == c.Rank && j.due.Equal(c.Due) {
		return
	}
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil && j.rank != c.Rank {
			s.index.holds(m, j.rank, -1)
			s.index.holds(m, c.Rank, 1)
		}
	}
	j.rank, j.due = c.Rank, c.Due
	s.changed = true
}

// deadline is when a job is to be done, in seconds since it began to wait.
func (j *Job) deadline() *float64 {
	if j.due.IsZero() {
		return j.spec.DeadlineS
	}
	s := j.due.Sub(j.accepted).Seconds()
	return &s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// JobGone takes in that a job that is held here has no open record any more: some
// controller found a job that it needs cancelled, and recorded its end.
func (s *Shard) JobGone(ref string, now time.Time) {
	if j := s.jobs[ref]; j != nil && j.held && j.placedTasks == 0 && j.ending == nil && !j.versionUnknown {
		s.end(j, now)
	}
}

// lineOf returns the pipeline of a job; its record is read when it is new.
func (s *Shard) lineOf(ref string) *line {
	l := s.lines[ref]
	if l == nil {
		l = &line{ref: ref}
		s.lines[ref] = l
		s.rereadPipe(l)
	}
	return l
}

func (s *Shard) rereadPipe(l *line) {
	if !l.versionUnknown {
		l.versionUnknown = true
		s.out.RereadPipes = append(s.out.RereadPipes, l.ref)
	}
}

// PipeRead takes in a pipeline's record as read back, and the ends of those of its
// jobs that it does not tell.
func (s *Shard) PipeRead(ref string, e *wire.Entry, others []record.PipelineJobEnd, now time.Time) error {
	l := s.lines[ref]
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
	l.versionUnknown, l.busy = false, false
	l.rec, l.version, l.run, l.others = rec, e.Version, run, others
	for _, ref := range run.Ready() {
		// Released by a step that could not be recorded in one piece, if at all:
		// else the record of the job itself says so.
		if j := s.jobs[ref]; j != nil && len(others) > 0 {
			s.free(j, now, now)
		}
	}
	s.bury(l, now)
	s.changed = true
	for _, ref := range rec.Jobs {
		if j := s.jobs[ref]; j != nil {
			s.ends(j)
		}
	}
	return nil
}

// bury ends the jobs that a pipeline has no use for any more: they follow a
// cancelled one, or a branch that was not picked. Of one that was withdrawn these
// are all: a withdrawal may have come no further than the pipeline's own record.
func (s *Shard) bury(l *line, now time.Time) {
	left := l.run.Left()
	for _, ref := range l.rec.Jobs {
		j := s.jobs[ref]
		if j == nil || (l.rec.State != wire.Cancelled && (!j.held || (left[ref] && l.rec.State == ""))) {
			continue
		}
		j.dead = true
		s.cancel(j, now)
	}
}

// after returns the pipeline as it is once a job has ended, and the jobs that
// this releases. The paper's algorithm decides.
func (l *line) after(j *Job, shard *Shard) (*line, []*Job) {
	end := record.PipelineJobEnd{Ref: j.ref, State: wire.Done}
	if j.cancelled {
		end.State = wire.Cancelled
	}
	next := &line{ref: l.ref, rec: l.rec, run: l.run.Clone(), others: l.others}
	next.rec.Ended = append(l.rec.Ended[:len(l.rec.Ended):len(l.rec.Ended)], end)
	l.rec.Finish(next.run, end)
	if next.run.Over() {
		next.rec.State = wire.Done
		for _, e := range slices.Concat(next.rec.Ended, l.others) {
			if e.State == wire.Cancelled {
				next.rec.State = wire.Cancelled
			}
		}
	}
	var free []*Job
	for _, ref := range next.run.Ready() {
		if released := shard.jobs[ref]; released != nil && released.held {
			free = append(free, released)
		}
	}
	return next, free
}

// advance adds to a job's end what it means for its pipeline. It reports false
// if that can't be said yet.
func (s *Shard) advance(t *Txn, j *Job, now time.Time) bool {
	l := j.line
	if l.ref == "" || j.dead || l.rec.State != "" {
		return true // alone, or its pipeline is over without it
	}
	if l.version == 0 || l.versionUnknown || l.busy {
		return false
	}
	next, free := l.after(j, s)
	at := record.PipelineKey(l.ref)
	t.Body.If = append(t.Body.If, wire.Cond{Key: at, Version: l.version})
	t.next, t.free = next, map[*Job]record.ActiveJob{}
	l.busy = true
	if over := next.rec.Over(s.valueBytes); over.State != "" {
		next.rec = over
	}
	ops := []wire.Op{{Put: at, Value: record.Encode(next.rec)}}
	opens := make([]record.ActiveJob, len(free))
	for i, released := range free {
		opens[i] = record.ActiveJob{Spec: *released.spec, Shard: s.id, At: now.UnixMilli(), Pipeline: l.ref}
		ops = append(ops, wire.Op{Put: record.ActiveJobKey(released.ref), Value: record.Encode(opens[i])})
	}
	large := func(op wire.Op) bool { return len(op.Value) > s.valueBytes }
	if slices.ContainsFunc(ops, large) || len(t.Body.Then)+len(ops) > s.txnOps {
		// Too much for one piece, as the first version may have accepted it. What
		// is released follows from the jobs' final records, so the job's end is
		// enough; its condition keeps it from passing a withdrawal.
		next.rec, next.others = l.rec, append(slices.Clone(l.others), record.PipelineJobEnd{Ref: j.ref, State: t.state()})
		for _, released := range free {
			t.free[released] = record.ActiveJob{}
		}
		return true
	}
	t.Body.Then = append(t.Body.Then, ops...)
	for i, released := range free {
		t.Body.If = append(t.Body.If, wire.Cond{Key: record.ActiveJobKey(released.ref), Version: released.version})
		t.free[released] = opens[i]
	}
	return true
}

// state is the one that a job's end records.
func (t *Txn) state() string {
	if t.job.cancelled {
		return wire.Cancelled
	}
	return wire.Done
}

// advanced takes in that a job's end was recorded with its pipeline's step.
func (s *Shard) advanced(t *Txn, revision uint64, now time.Time) {
	l := t.job.line
	if t.next == nil {
		return
	}
	l.busy = false
	l.rec, l.run, l.others = t.next.rec, t.next.run, t.next.others
	if len(t.Body.Then) > leastOps {
		l.version = revision
	}
	for released, open := range t.free {
		if open.Spec.Ref == "" {
			s.free(released, now, now)
			continue
		}
		s.SetJob(released.ref, open, revision, now)
	}
	s.bury(l, now)
	if l.rec.State != "" && len(s.unfinished(l)) == 0 {
		delete(s.lines, l.ref)
	}
}

func (s *Shard) unfinished(l *line) []*Job {
	var out []*Job
	for _, ref := range l.rec.Jobs {
		if j := s.jobs[ref]; j != nil {
			out = append(out, j)
		}
	}
	return out
}

// stalled takes in that a job's end was not recorded, or perhaps was: its
// pipeline's record decides.
func (s *Shard) stalled(j *Job, known bool) {
	if l := j.line; l.ref != "" {
		if known {
			l.busy = false
		} else {
			s.rereadPipe(l)
		}
	}
}
