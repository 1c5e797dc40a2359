package sched

import (
	"slices"
	"sort"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// endsPatience is how much longer completions of jobs that go on wait for others,
// in times that changes wait for the state service's budget. Their workers keep them
// meanwhile, also for a new owner, and nobody waits for them, while each such write
// is one that a user's request or a start does not get.
const endsPatience = 8

// retryAfter is the pause after a transaction that the state service refused.
const retryAfter = 300 * time.Millisecond

// Purposes of transactions, for the log.
const (
	forStart  = "start"
	forEnds   = "completions"
	forJobEnd = "job end"
	forMove   = "move"
	forBack   = "back"
	forFence  = "fence"
	forSplit  = "split"
)

// flush makes the transactions that bring the records up to the ledger.
func (p *Part) flush(now time.Time) {
	for ref, j := range p.ending {
		if j.ending != nil || j.versionUnknown || now.Before(j.retry) {
			continue
		}
		if !j.over() {
			delete(p.ending, ref) // a task counted as gone came back into the ledger
			continue
		}
		p.endTxn(j, now)
	}
	if p.stated {
		p.retire()
	}
	for _, s := range p.slots {
		if !s.dirty || len(s.left) > 0 || s.txn != nil || s.versionUnknown || now.Before(s.retry) {
			continue
		}
		// Completions alone wait for others to share the write: a user may be
		// told of the end a little later. Starts that come one shortly after
		// the other share one, too.
		due := s.since.Add(p.cfg.GatherEnds + endsPatience*p.backlog)
		if s.urgent {
			due = s.written.Add(p.cfg.GatherStarts + p.backlog)
		}
		if now.Before(due) {
			p.alarm(due)
			continue
		}
		p.slotTxn(s, now)
	}
	p.dropPlain(now)
	p.flushBack(now)
}

// dropPlain deletes plain slots that tell nothing any more.
func (p *Part) dropPlain(now time.Time) {
	for _, s := range p.plain {
		if now.Before(s.retry) {
			p.alarm(s.retry)
			continue
		}
		at := record.SlotKey(p.id, s.n)
		t := &Txn{slot: s, gone: true, Purpose: forSplit, Routine: true}
		t.Body.If = []wire.Cond{p.cond(), {Key: at, Version: s.version}}
		t.Body.Then = []wire.Op{{Delete: at}}
		s.txn = t
		p.out.Txns = append(p.out.Txns, t)
	}
	p.plain = nil
}

// endTxn records a job's end: its state for ever, and no open record any more.
// Its placements stay in their slot until that is next written; without an open
// job a Load passes over them.
func (p *Part) endTxn(j *Job, now time.Time) {
	open := record.OpenKey(j.ref)
	rec := record.Job{State: wire.Done, Tasks: len(j.tasks), At: now.UnixMilli()}
	if j.cancelled {
		rec.State, rec.Tasks = wire.Cancelled, 0
	}
	t := &Txn{job: j, Purpose: forJobEnd, Routine: !j.cancelled && !j.needed} // a user waits for a cancellation
	t.Body.If = []wire.Cond{p.cond(), {Key: open, Version: j.version}}
	t.Body.Then = []wire.Op{{Put: record.JobKey(j.ref), Value: record.Encode(rec)}, {Delete: open}}
	if !p.advance(t, j, now) {
		return // when its pipeline's record is there
	}
	j.ending = t
	p.out.Txns = append(p.out.Txns, t)
}

// slotTxn records the placements and completions of a slot, with as many new
// starts as there is room for conditions on their jobs and machines. Ends that
// freed a place need no write of their own: the next start rewrites the slot.
func (p *Part) slotTxn(s *slot, now time.Time) {
	t := &Txn{slot: s, Purpose: forEnds}
	conds := map[string]uint64{}
	moved := s.moved
	rec, left := p.slotRecord(s, t, conds)
	if s.stated {
		rec.Format = record.Stated
	}
	s.dirty, s.urgent, s.moved = left, left, false
	if len(t.starts) == 0 && len(t.dones) == 0 && !moved {
		return
	}
	value := record.Encode(rec)
	if !p.fit(s, len(value)) {
		s.dirty, s.urgent = true, true
		p.alarm(now) // the slots that take what has no room here come first
		return
	}
	s.written = now
	t.Routine = true
	if len(t.starts) > 0 {
		t.Purpose, t.Routine = forStart, false
	}
	at := record.SlotKey(p.id, s.n)
	t.Body.If = []wire.Cond{p.cond(), {Key: at, Version: s.version}}
	keys := make([]string, 0, len(conds))
	for k := range conds {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		t.Body.If = append(t.Body.If, wire.Cond{Key: k, Version: conds[k]})
	}
	t.Body.Then = []wire.Op{{Put: at, Value: value}}
	for _, k := range t.starts {
		k.job.tasks[k.i].inTxn = true
	}
	s.txn = t
	p.out.Txns = append(p.out.Txns, t)
}

// slotRecord makes the record of a slot, notes in a transaction which starts and
// completions it brings, and adds the conditions that these rely on. It reports whether
// starts were left out for want of room for their conditions.
func (p *Part) slotRecord(s *slot, t *Txn, conds map[string]uint64) (rec record.Slot, left bool) {
	rec = record.Slot{Runs: map[string]record.Run{}}
	room := 4*p.txnOps - 2
	for name, c := range s.chunks {
		j := c.job
		run := record.Run{Attempt: c.attempt}
		if s.stated {
			run.Tasks, run.Turn = c.end-c.first, c.turn
		}
		for i := c.first; i < c.end; i++ {
			k := key{j, i}
			task := &j.tasks[i]
			switch task.state {
			case placed:
				if !task.recorded && !condition(conds, room, map[string]uint64{
					record.OpenKey(j.ref): j.version, record.OwnKey(task.machine.ID): task.machine.version,
				}) {
					left = true
					continue
				}
				if !task.recorded {
					t.starts = append(t.starts, k)
				}
				if run.On == nil {
					run.On = map[int]record.Place{}
				}
				run.On[i] = record.Place{Machine: task.machine.ID, Attempt: task.attempt}
			case done:
				if !task.durable {
					t.dones = append(t.dones, k)
				}
				run.Done = withDone(run.Done, i)
			}
		}
		t.chunks = append(t.chunks, c)
		rec.Runs[name] = run
	}
	return rec, left
}

// withDone adds a task to spans of completed ones, which all come before it.
func withDone(spans [][2]int, i int) [][2]int {
	if l := len(spans); l > 0 && spans[l-1][1] == i-1 {
		spans[l-1][1] = i
		return spans
	}
	return append(spans, [2]int{i, i})
}

// condition adds conditions to those of a transaction if there is room for all.
func condition(conds map[string]uint64, room int, add map[string]uint64) bool {
	n := len(conds)
	for k := range add {
		if _, ok := conds[k]; !ok {
			n++
		}
	}
	if n > room {
		return false
	}
	for k, v := range add {
		conds[k] = v
	}
	return true
}

// moveTxn records that a machine belongs to another part from now on. Once
// asked for, it is asked for again until it is known to be recorded, so that no
// start can come before a late copy of it.
func (p *Part) moveTxn(m *Machine) {
	at := record.OwnKey(m.ID)
	t := &Txn{machine: m, Purpose: forMove, Routine: true}
	t.Body.If = []wire.Cond{p.cond(), {Key: at, Version: m.version}}
	t.Body.Then = []wire.Op{{Put: at, Value: record.Encode(p.own(m, m.moveTo))}}
	m.txn = t
	p.out.Txns = append(p.out.Txns, t)
}

// own is a machine's own record, with as many of its latest images as it holds.
func (p *Part) own(m *Machine, part int) record.Machine {
	rec := record.Machine{Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot, Part: part, Born: m.born.UnixMilli()}
	last := func(n int) any {
		r := rec
		r.Images = m.images[len(m.images)-n:]
		return r
	}
	return last(record.Within(p.valueBytes, 0, len(m.images), last)).(record.Machine)
}

// returnMachine makes a machine leave for good. Only the answered return, as its
// batch's record tells, proves gone what may run on it.
func (p *Part) returnMachine(m *Machine, why string, now time.Time) {
	p.out.Returned = append(p.out.Returned, MachineReturn{Machine: m.ID, Why: why, Tasks: len(m.on), Silent: now.Sub(m.heard)})
	m.Phase = record.Returning
	p.index.update(m)
	if len(p.leaving) == 0 {
		p.leaveAt = now.Add(p.cfg.GatherBacks)
	}
	if len(m.on) > 0 {
		p.leaveAt = now // its tasks wait for the proof
	}
	p.leaving = append(p.leaving, m.ID)
}

// maxBack is the cloud's bound of machines in one return.
const maxBack = 100

// flushBack records which machines are to be given back. The leader asks the
// cloud; the batch's name is never used again.
func (p *Part) flushBack(now time.Time) {
	if p.back == nil && len(p.leaving) > 0 && !now.Before(p.leaveAt) {
		n := record.Within(p.valueBytes, 1, min(len(p.leaving), maxBack), func(n int) any {
			return record.Back{IDs: p.leaving[:n], Done: true}
		})
		p.backs++
		p.back = &batch{key: record.BackKey(p.id, p.token, p.backs), ids: slices.Clone(p.leaving[:n])}
		p.leaving = p.leaving[n:]
	}
	b := p.back
	if b == nil || b.txn != nil || now.Before(b.retry) {
		return
	}
	t := &Txn{back: b, Purpose: forBack, Routine: true}
	t.Body.If = []wire.Cond{p.cond(), {Key: b.key}}
	t.Body.Then = []wire.Op{{Put: b.key, Value: record.Encode(record.Back{IDs: b.ids})}}
	b.txn = t
	p.out.Txns = append(p.out.Txns, t)
}

// ended tells how long a job took.
func (p *Part) ended(j *Job, now time.Time) {
	e := End{Ref: j.ref, Class: j.spec.Class, State: wire.Done, Took: now.Sub(j.accepted), Tasks: len(j.tasks),
		Estimate: wire.Seconds(j.spec.EstimateS)}
	if j.cancelled {
		e.State = wire.Cancelled
	}
	for _, c := range j.chunks {
		e.Attempts = max(e.Attempts, int(c.attempt))
	}
	p.out.Ended = append(p.out.Ended, e)
}

// end takes a job out whose end is recorded.
func (p *Part) end(j *Job, now time.Time) {
	for i := range j.tasks {
		if j.tasks[i].state == placed {
			p.take(key{j, i}, now)
		}
	}
	for _, c := range slices.Clone(j.chunks) {
		p.leave(c)
		p.settle(c)
	}
	for _, r := range j.spec.DependsOn {
		if delete(p.dependents[r], j); len(p.dependents[r]) == 0 {
			delete(p.dependents, r)
		}
	}
	delete(p.jobs, j.ref)
	delete(p.index.waiting, j.ref)
	delete(p.kept, j)
	delete(p.ending, j.ref)
	p.changed = true
}
