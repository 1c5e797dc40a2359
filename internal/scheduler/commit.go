package scheduler

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
func (s *Shard) flush(now time.Time) {
	for ref, j := range s.ending {
		if j.ending != nil || j.versionUnknown || now.Before(j.retry) {
			continue
		}
		if !j.over() {
			delete(s.ending, ref) // a task counted as gone came back into the ledger
			continue
		}
		s.endTxn(j, now)
	}
	if s.stated {
		s.retire()
	}
	for _, rec := range s.slots {
		if !rec.dirty || len(rec.left) > 0 || rec.txn != nil || rec.versionUnknown || now.Before(rec.retry) {
			continue
		}
		// Completions alone wait for others to share the write: a user may be
		// told of the end a little later. Starts that come one shortly after
		// the other share one, too.
		due := rec.since.Add(s.cfg.GatherEnds + endsPatience*s.backlog)
		if rec.urgent {
			due = rec.written.Add(s.cfg.GatherStarts + s.backlog)
		}
		if now.Before(due) {
			s.alarm(due)
			continue
		}
		s.slotTxn(rec, now)
	}
	s.dropPlain(now)
	s.flushBack(now)
}

// dropPlain deletes plain slots that tell nothing any more.
func (s *Shard) dropPlain(now time.Time) {
	for _, rec := range s.plain {
		if now.Before(rec.retry) {
			s.alarm(rec.retry)
			continue
		}
		at := record.PlacementsKey(s.id, rec.n)
		t := &Txn{slot: rec, gone: true, Purpose: forSplit, Routine: true}
		t.Body.If = []wire.Cond{s.cond(), {Key: at, Version: rec.version}}
		t.Body.Then = []wire.Op{{Delete: at}}
		rec.txn = t
		s.out.Txns = append(s.out.Txns, t)
	}
	s.plain = nil
}

// endTxn records a job's end: its state for ever, and no open record any more.
// Its placements stay in their slot until that is next written; without an open
// job a Load passes over them.
func (s *Shard) endTxn(j *Job, now time.Time) {
	open := record.ActiveJobKey(j.ref)
	rec := record.FinishedJob{State: wire.Done, Tasks: len(j.tasks), At: now.UnixMilli()}
	if j.cancelled {
		rec.State, rec.Tasks = wire.Cancelled, 0
	}
	t := &Txn{job: j, Purpose: forJobEnd, Routine: !j.cancelled && !j.needed} // a user waits for a cancellation
	t.Body.If = []wire.Cond{s.cond(), {Key: open, Version: j.version}}
	t.Body.Then = []wire.Op{{Put: record.FinishedJobKey(j.ref), Value: record.Encode(rec)}, {Delete: open}}
	if !s.advance(t, j, now) {
		return // when its pipeline's record is there
	}
	j.ending = t
	s.out.Txns = append(s.out.Txns, t)
}

// slotTxn records the placements and completions of a slot, with as many new
// starts as there is room for conditions on their jobs and machines. Ends that
// freed a place need no write of their own: the next start rewrites the slot.
func (s *Shard) slotTxn(placements *placementRecord, now time.Time) {
	t := &Txn{slot: placements, Purpose: forEnds}
	conds := map[string]uint64{}
	moved := placements.moved
	rec, left := s.slotRecord(placements, t, conds)
	if placements.stated {
		rec.Format = record.SizedRanges
	}
	placements.dirty, placements.urgent, placements.moved = left, left, false
	if len(t.starts) == 0 && len(t.dones) == 0 && !moved {
		return
	}
	value := record.Encode(rec)
	if !s.fit(placements, len(value)) {
		placements.dirty, placements.urgent = true, true
		s.alarm(now) // the slots that take what has no room here come first
		return
	}
	placements.written = now
	t.Routine = true
	if len(t.starts) > 0 {
		t.Purpose, t.Routine = forStart, false
	}
	at := record.PlacementsKey(s.id, placements.n)
	t.Body.If = []wire.Cond{s.cond(), {Key: at, Version: placements.version}}
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
	placements.txn = t
	s.out.Txns = append(s.out.Txns, t)
}

// slotRecord makes the record of a slot, notes in a transaction which starts and
// completions it brings, and adds the conditions that these rely on. It reports whether
// starts were left out for want of room for their conditions.
func (s *Shard) slotRecord(placements *placementRecord, t *Txn, conds map[string]uint64) (rec record.Placements, left bool) {
	rec = record.Placements{Ranges: map[string]record.TaskRange{}}
	room := 4*s.txnOps - 2
	for name, c := range placements.chunks {
		j := c.job
		run := record.TaskRange{Attempt: c.attempt}
		if placements.stated {
			run.Tasks, run.Turn = c.end-c.first, c.turn
		}
		for i := c.first; i < c.end; i++ {
			k := key{j, i}
			task := &j.tasks[i]
			switch task.state {
			case placed:
				if !task.recorded && !condition(conds, room, map[string]uint64{
					record.ActiveJobKey(j.ref): j.version, record.OverrideKey(task.machine.ID): task.machine.version,
				}) {
					left = true
					continue
				}
				if !task.recorded {
					t.starts = append(t.starts, k)
				}
				if run.On == nil {
					run.On = map[int]record.TaskPlacement{}
				}
				run.On[i] = record.TaskPlacement{Machine: task.machine.ID, Attempt: task.attempt}
			case done:
				if !task.durable {
					t.dones = append(t.dones, k)
				}
				run.Done = withDone(run.Done, i)
			}
		}
		t.chunks = append(t.chunks, c)
		rec.Ranges[name] = run
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
func (s *Shard) moveTxn(m *Machine) {
	at := record.OverrideKey(m.ID)
	t := &Txn{machine: m, Purpose: forMove, Routine: true}
	t.Body.If = []wire.Cond{s.cond(), {Key: at, Version: m.version}}
	t.Body.Then = []wire.Op{{Put: at, Value: record.Encode(s.own(m, m.moveTo))}}
	m.txn = t
	s.out.Txns = append(s.out.Txns, t)
}

// own is a machine's own record, with as many of its latest images as it holds.
func (s *Shard) own(m *Machine, part int) record.Machine {
	rec := record.Machine{Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot, Shard: part, Born: m.born.UnixMilli()}
	last := func(n int) any {
		r := rec
		r.Images = m.images[len(m.images)-n:]
		return r
	}
	return last(record.Within(s.valueBytes, 0, len(m.images), last)).(record.Machine)
}

// returnMachine makes a machine leave for good. Only the answered return, as its
// batch's record tells, proves gone what may run on it.
func (s *Shard) returnMachine(m *Machine, why string, now time.Time) {
	s.out.Returned = append(s.out.Returned, MachineReturn{Machine: m.ID, Why: why, Tasks: len(m.on), Silent: now.Sub(m.heard)})
	m.Phase = record.Returning
	s.index.update(m)
	if len(s.leaving) == 0 {
		s.leaveAt = now.Add(s.cfg.GatherBacks)
	}
	if len(m.on) > 0 {
		s.leaveAt = now // its tasks wait for the proof
	}
	s.leaving = append(s.leaving, m.ID)
}

// maxBack is the cloud's bound of machines in one return.
const maxBack = 100

// flushBack records which machines are to be given back. The leader asks the
// cloud; the batch's name is never used again.
func (s *Shard) flushBack(now time.Time) {
	if s.back == nil && len(s.leaving) > 0 && !now.Before(s.leaveAt) {
		n := record.Within(s.valueBytes, 1, min(len(s.leaving), maxBack), func(n int) any {
			return record.Release{IDs: s.leaving[:n], Done: true}
		})
		s.backs++
		s.back = &batch{key: record.ReleaseKey(s.id, s.token, s.backs), ids: slices.Clone(s.leaving[:n])}
		s.leaving = s.leaving[n:]
	}
	b := s.back
	if b == nil || b.txn != nil || now.Before(b.retry) {
		return
	}
	t := &Txn{back: b, Purpose: forBack, Routine: true}
	t.Body.If = []wire.Cond{s.cond(), {Key: b.key}}
	t.Body.Then = []wire.Op{{Put: b.key, Value: record.Encode(record.Release{IDs: b.ids})}}
	b.txn = t
	s.out.Txns = append(s.out.Txns, t)
}

// ended tells how long a job took.
func (s *Shard) ended(j *Job, now time.Time) {
	e := End{Ref: j.ref, Class: j.spec.Class, State: wire.Done, Took: now.Sub(j.accepted), Tasks: len(j.tasks),
		Estimate: wire.Seconds(j.spec.EstimateS)}
	if j.cancelled {
		e.State = wire.Cancelled
	}
	for _, c := range j.chunks {
		e.Attempts = max(e.Attempts, int(c.attempt))
	}
	s.out.Ended = append(s.out.Ended, e)
}

// end takes a job out whose end is recorded.
func (s *Shard) end(j *Job, now time.Time) {
	for i := range j.tasks {
		if j.tasks[i].state == placed {
			s.take(key{j, i}, now)
		}
	}
	for _, c := range slices.Clone(j.chunks) {
		s.leave(c)
		s.settle(c)
	}
	for _, r := range j.spec.DependsOn {
		if delete(s.dependents[r], j); len(s.dependents[r]) == 0 {
			delete(s.dependents, r)
		}
	}
	delete(s.jobs, j.ref)
	delete(s.index.waiting, j.ref)
	delete(s.kept, j)
	delete(s.ending, j.ref)
	s.changed = true
}
