package sched

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
	rec            record.Pipe
	version        uint64 // 0: not read yet
	run            *fragment.Pipeline
	others         []record.PipeEnd // ends that its record has no room for
	busy           bool             // an end is being recorded
	versionUnknown bool             // a reread is under way
}

// alone is the pipeline of each job that was submitted by itself. Its only fragment is
// that job, and nothing follows it, so there is no state to keep for each.
var alone = &line{}

// await makes a job wait for those that it names. That it was held stays in its
// record: what it waits for has final records, which never change, and so every
// owner comes to the same.
func (p *Part) await(j *Job) {
	j.line = &line{run: fragment.After(j.ref, j.spec.DependsOn)}
	for _, r := range j.spec.DependsOn {
		if p.dependents[r] == nil {
			p.dependents[r] = map[*Job]struct{}{}
		}
		p.dependents[r][j] = struct{}{}
	}
}

// Dependencies returns the jobs, of this part or others, that jobs here wait for.
func (p *Part) Dependencies() []string { return slices.Collect(maps.Keys(p.dependents)) }

// DependencyEnded takes in the final record of a job that others wait for.
func (p *Part) DependencyEnded(ref string, end record.Job, now time.Time) {
	for j := range p.dependents[ref] {
		if end.State != wire.Done {
			// All that needs a cancelled job is cancelled with it. Nothing of it has
			// run, so its end can be recorded at once.
			j.line.run.Abort(ref)
			j.dead = true
			p.cancel(j, now)
			continue
		}
		j.line.run.Finish(ref, "")
		at := now
		if end.At > 0 && end.At < now.UnixMilli() {
			at = time.UnixMilli(end.At)
		}
		if j.freeAt = later(j.freeAt, at); slices.Contains(j.line.run.Ready(), j.ref) {
			p.free(j, j.freeAt, now)
		}
	}
	delete(p.dependents, ref)
}

// Inherit gives a job what those that need it ask for.
func (p *Part) Inherit(ref string, c fragment.Claim) {
	j := p.jobs[ref]
	if j == nil {
		return
	}
	if j.needed = c.Needed; j.rank == c.Rank && j.due.Equal(c.Due) {
		return
	}
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil && j.rank != c.Rank {
			p.index.holds(m, j.rank, -1)
			p.index.holds(m, c.Rank, 1)
		}
	}
	j.rank, j.due = c.Rank, c.Due
	p.changed = true
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
func (p *Part) JobGone(ref string, now time.Time) {
	if j := p.jobs[ref]; j != nil && j.held && j.placedTasks == 0 && j.ending == nil && !j.versionUnknown {
		p.end(j, now)
	}
}

// lineOf returns the pipeline of a job; its record is read when it is new.
func (p *Part) lineOf(ref string) *line {
	l := p.lines[ref]
	if l == nil {
		l = &line{ref: ref}
		p.lines[ref] = l
		p.rereadPipe(l)
	}
	return l
}

func (p *Part) rereadPipe(l *line) {
	if !l.versionUnknown {
		l.versionUnknown = true
		p.out.RereadPipes = append(p.out.RereadPipes, l.ref)
	}
}

// PipeRead takes in a pipeline's record as read back, and the ends of those of its
// jobs that it does not tell.
func (p *Part) PipeRead(ref string, e *wire.Entry, others []record.PipeEnd, now time.Time) error {
	l := p.lines[ref]
	if l == nil {
		return nil
	}
	if e == nil {
		return fmt.Errorf("pipeline %s has no record", ref)
	}
	rec, err := decode[record.Pipe](*e)
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
		if j := p.jobs[ref]; j != nil && len(others) > 0 {
			p.free(j, now, now)
		}
	}
	p.bury(l, now)
	p.changed = true
	for _, ref := range rec.Jobs {
		if j := p.jobs[ref]; j != nil {
			p.ends(j)
		}
	}
	return nil
}

// bury ends the jobs that a pipeline has no use for any more: they follow a
// cancelled one, or a branch that was not picked. Of one that was withdrawn these
// are all: a withdrawal may have come no further than the pipeline's own record.
func (p *Part) bury(l *line, now time.Time) {
	left := l.run.Left()
	for _, ref := range l.rec.Jobs {
		j := p.jobs[ref]
		if j == nil || (l.rec.State != wire.Cancelled && (!j.held || (left[ref] && l.rec.State == ""))) {
			continue
		}
		j.dead = true
		p.cancel(j, now)
	}
}

// after returns the pipeline as it is once a job has ended, and the jobs that
// this releases. The paper's algorithm decides.
func (l *line) after(j *Job, p *Part) (*line, []*Job) {
	end := record.PipeEnd{Ref: j.ref, State: wire.Done}
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
		if s := p.jobs[ref]; s != nil && s.held {
			free = append(free, s)
		}
	}
	return next, free
}

// advance adds to a job's end what it means for its pipeline. It reports false
// if that can't be said yet.
func (p *Part) advance(t *Txn, j *Job, now time.Time) bool {
	l := j.line
	if l.ref == "" || j.dead || l.rec.State != "" {
		return true // alone, or its pipeline is over without it
	}
	if l.version == 0 || l.versionUnknown || l.busy {
		return false
	}
	next, free := l.after(j, p)
	at := record.PipeKey(l.ref)
	t.Body.If = append(t.Body.If, wire.Cond{Key: at, Version: l.version})
	t.next, t.free = next, map[*Job]record.Open{}
	l.busy = true
	if over := next.rec.Over(p.valueBytes); over.State != "" {
		next.rec = over
	}
	ops := []wire.Op{{Put: at, Value: record.Encode(next.rec)}}
	opens := make([]record.Open, len(free))
	for i, s := range free {
		opens[i] = record.Open{Spec: *s.spec, Part: p.id, At: now.UnixMilli(), Pipe: l.ref}
		ops = append(ops, wire.Op{Put: record.OpenKey(s.ref), Value: record.Encode(opens[i])})
	}
	large := func(op wire.Op) bool { return len(op.Value) > p.valueBytes }
	if slices.ContainsFunc(ops, large) || len(t.Body.Then)+len(ops) > p.txnOps {
		// Too much for one piece, as the first version may have accepted it. What
		// is released follows from the jobs' final records, so the job's end is
		// enough; its condition keeps it from passing a withdrawal.
		next.rec, next.others = l.rec, append(slices.Clone(l.others), record.PipeEnd{Ref: j.ref, State: t.state()})
		for _, s := range free {
			t.free[s] = record.Open{}
		}
		return true
	}
	t.Body.Then = append(t.Body.Then, ops...)
	for i, s := range free {
		t.Body.If = append(t.Body.If, wire.Cond{Key: record.OpenKey(s.ref), Version: s.version})
		t.free[s] = opens[i]
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
func (p *Part) advanced(t *Txn, revision uint64, now time.Time) {
	l := t.job.line
	if t.next == nil {
		return
	}
	l.busy = false
	l.rec, l.run, l.others = t.next.rec, t.next.run, t.next.others
	if len(t.Body.Then) > leastOps {
		l.version = revision
	}
	for s, open := range t.free {
		if open.Spec.Ref == "" {
			p.free(s, now, now)
			continue
		}
		p.SetJob(s.ref, open, revision, now)
	}
	p.bury(l, now)
	if l.rec.State != "" && len(p.unfinished(l)) == 0 {
		delete(p.lines, l.ref)
	}
}

func (p *Part) unfinished(l *line) []*Job {
	var out []*Job
	for _, ref := range l.rec.Jobs {
		if j := p.jobs[ref]; j != nil {
			out = append(out, j)
		}
	}
	return out
}

// stalled takes in that a job's end was not recorded, or perhaps was: its
// pipeline's record decides.
func (p *Part) stalled(j *Job, known bool) {
	if l := j.line; l.ref != "" {
		if known {
			l.busy = false
		} else {
			p.rereadPipe(l)
		}
	}
}
