package sched

import (
	"slices"
	"sort"
	"strings"
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
		if j.ending != nil || j.unsure || now.Before(j.retry) {
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
		if !s.dirty || len(s.left) > 0 || s.txn != nil || s.unsure || now.Before(s.retry) {
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
	rec := record.Slot{Runs: map[string]record.Run{}}
	conds := map[string]uint64{}
	room := 4*p.txnOps - 2
	moved, left := s.moved, false
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
				if l := len(run.Done); l > 0 && run.Done[l-1][1] == i-1 {
					run.Done[l-1][1] = i
				} else {
					run.Done = append(run.Done, [2]int{i, i})
				}
			}
		}
		t.chunks = append(t.chunks, c)
		rec.Runs[name] = run
	}
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

// giveBack makes a machine leave for good. Only the answered return, as its
// batch's record tells, proves gone what may run on it.
func (p *Part) giveBack(m *Machine, why string, now time.Time) {
	p.out.Given = append(p.out.Given, Give{Machine: m.ID, Why: why, Tasks: len(m.on), Silent: now.Sub(m.heard)})
	m.Phase = record.Returning
	p.index.file(m)
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

// Applied takes in that a transaction succeeded.
func (p *Part) Applied(t *Txn, revision uint64, now time.Time) {
	switch {
	case t.machine != nil:
		t.machine.txn = nil
		if t.fence {
			t.machine.version, t.machine.fenced = revision, false
			p.changed = true
			break
		}
		p.forgetMachine(t.machine, now)
	case t.back != nil:
		p.back = nil
	case t.job != nil:
		t.job.ending = nil
		p.ended(t.job, now)
		p.end(t.job, now)
		p.advanced(t, revision, now)
	default:
		p.written(t, revision, now)
	}
}

func (p *Part) written(t *Txn, revision uint64, now time.Time) {
	t.slot.txn = nil
	t.slot.version = revision
	if t.gone {
		delete(p.slots, t.slot.n)
	}
	for _, c := range t.chunks {
		p.settle(c)
	}
	for _, k := range t.starts {
		s := &k.job.tasks[k.i]
		if s.state == placed && s.inTxn {
			s.recorded, s.inTxn = true, false
			s.step(func(st *steps) { st.recorded = now })
			p.out.Wake = append(p.out.Wake, s.machine.ID)
		}
	}
	for _, k := range t.dones {
		k.job.tasks[k.i].durable = true
	}
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

// Conflict takes in that conditions failed: nothing was applied.
func (p *Part) Conflict(t *Txn, failed []string, now time.Time) {
	if slices.Contains(failed, record.PartKey(p.id)) {
		p.lost = true // somebody claimed the part: every later write fails too
		return
	}
	switch {
	case t.back != nil:
		// Its name is ours alone: an earlier try was applied after all.
		p.back = nil
	case t.machine != nil:
		t.machine.txn = nil
		t.machine.retry = now.Add(retryAfter)
		p.rereadMachine(t.machine)
	case t.job != nil:
		t.job.ending = nil
		p.stalled(t.job, false)
		p.rereadJob(t.job)
	default:
		p.slotConflict(t, failed, now)
	}
}

// slotConflict takes back the starts that can't be recorded as they are; the
// others are tried again at once.
func (p *Part) slotConflict(t *Txn, failed []string, now time.Time) {
	s := t.slot
	s.txn = nil
	bad := map[string]bool{}
	for _, k := range failed {
		bad[k] = true
		if id, ok := strings.CutPrefix(k, record.OwnPrefix); ok {
			if m := p.machines[id]; m != nil {
				p.rereadMachine(m)
			}
		}
		if ref, ok := strings.CutPrefix(k, record.OpenPrefix); ok {
			if j := p.jobs[ref]; j != nil {
				p.rereadJob(j)
			}
		}
	}
	p.revert(t, now, func(k key) bool {
		m := k.job.tasks[k.i].machine
		return bad[record.OpenKey(k.job.ref)] || (m != nil && bad[record.OwnKey(m.ID)])
	})
	if bad[record.SlotKey(p.id, s.n)] {
		p.rereadSlot(s)
	}
}

// Refused takes in that a transaction was not executed.
func (p *Part) Refused(t *Txn, now time.Time) {
	at := now.Add(retryAfter)
	switch {
	case t.back != nil:
		t.back.txn, t.back.retry = nil, at
	case t.machine != nil:
		t.machine.txn, t.machine.retry = nil, at
	case t.job != nil:
		t.job.ending, t.job.retry = nil, at
		p.stalled(t.job, true)
	default:
		t.slot.txn, t.slot.retry = nil, at
		p.revert(t, now, func(key) bool { return false })
	}
	p.alarm(at)
}

// Shrink takes in that the state service does not take a transaction of this
// size. It is never sent again as it was: what is written from now on is smaller.
func (p *Part) Shrink(t *Txn, now time.Time) {
	largest := 0
	for _, op := range t.Body.Then {
		largest = max(largest, len(op.Value))
	}
	if least := plainPlace * 2 * runOverhead; largest > least {
		p.valueBytes = min(p.valueBytes, max(least, largest*3/4))
	}
	if n := len(t.Body.Then); n > leastOps {
		p.txnOps = min(p.txnOps, n-1)
	}
	p.Refused(t, now)
}

// leastOps is the changes in the transaction that ends a job.
const leastOps = 2

// Unknown takes in that a transaction may have been, or may yet be, applied.
// The records are read back and decide.
func (p *Part) Unknown(t *Txn, now time.Time) {
	switch {
	case t.back != nil:
		t.back.txn, t.back.retry = nil, now.Add(retryAfter) // the same again does no harm
	case t.machine != nil:
		p.rereadMachine(t.machine)
	case t.job != nil:
		p.stalled(t.job, false)
		p.rereadJob(t.job)
	default:
		p.rereadSlot(t.slot)
	}
}

func (p *Part) rereadJob(j *Job) {
	if !j.unsure {
		j.unsure = true
		p.out.RereadJobs = append(p.out.RereadJobs, j.ref)
	}
}

func (p *Part) rereadSlot(s *slot) {
	if !s.unsure {
		s.unsure = true
		p.out.RereadSlots = append(p.out.RereadSlots, s.n)
	}
}

func (p *Part) rereadMachine(m *Machine) {
	if !m.unsure {
		m.unsure = true
		p.out.RereadMachines = append(p.out.RereadMachines, m.ID)
	}
}

// revert makes a slot's transaction undone: bad starts are taken back, which
// were never recorded and so never sent, the others wait for the next write.
func (p *Part) revert(t *Txn, now time.Time, bad func(key) bool) {
	gangs := map[*Job]bool{}
	for _, k := range t.starts {
		s := &k.job.tasks[k.i]
		if s.state != placed || !s.inTxn {
			continue
		}
		s.inTxn = false
		if bad(k) || k.job.cancelled {
			p.take(k, now)
			gangs[k.job] = k.job.spec.Kind == wire.Gang
		}
	}
	// A gang of which a part could not be recorded is taken back as a whole:
	// what is recorded already was not sent either.
	for j, gang := range gangs {
		if !gang {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.state == placed && !t.sent && !t.inherited && !t.inTxn {
				p.take(key{j, i}, now)
			}
		}
	}
	if !t.slot.dirty {
		t.slot.since = now
	}
	t.slot.dirty = true
	t.slot.urgent = t.slot.urgent || len(t.starts) > 0
}

// JobRead takes in a job's open record as read back, nil when there is none.
func (p *Part) JobRead(ref string, open *wire.Entry, now time.Time) error {
	j := p.jobs[ref]
	if j == nil || !j.unsure {
		return nil
	}
	if open == nil {
		// Our final transaction was applied, or that of a controller which found a
		// job that this one needs cancelled.
		p.end(j, now)
		if j.line.ref != "" {
			p.rereadPipe(j.line)
		}
		return nil
	}
	o, err := decode[record.Open](*open)
	if err != nil {
		return err
	}
	j.unsure = false
	j.ending = nil
	j.retry = now.Add(retryAfter)
	p.alarm(j.retry)
	p.SetJob(ref, o, open.Version, now)
	p.changed = true
	return nil
}

// SlotRead takes in a slot's record as read back, nil when there is none.
func (p *Part) SlotRead(n int, e *wire.Entry, now time.Time) error {
	s := p.slots[n]
	if s == nil || !s.unsure {
		return nil
	}
	var rec record.Slot
	var version uint64
	if e != nil {
		var err error
		if rec, err = decode[record.Slot](*e); err != nil {
			return err
		}
		version = e.Version
	}
	s.unsure = false
	t := s.txn
	s.txn = nil
	changed := version != s.version
	s.version = version
	if t == nil {
		// A write given up came late: what it recorded was never sent, and the
		// next write clears it.
		if changed {
			s.dirty, s.urgent, s.since = true, true, now
		}
		return nil
	}
	for _, c := range t.chunks {
		if run, ok := rec.Runs[p.runName(c)]; ok && run.Turn == c.turn {
			p.settle(c)
		}
	}
	there := func(k key) bool {
		c := k.job.chunkAt(k.i)
		if c == nil || c.slot != s {
			return false
		}
		pl, ok := rec.Runs[p.runName(c)].On[k.i]
		task := &k.job.tasks[k.i]
		return changed && ok && task.machine != nil && pl.Attempt == task.attempt && pl.Machine == task.machine.ID
	}
	for _, k := range t.starts {
		if task := &k.job.tasks[k.i]; task.state == placed && task.inTxn && there(k) {
			task.recorded, task.inTxn = true, false
			p.out.Wake = append(p.out.Wake, task.machine.ID)
		}
	}
	p.revert(t, now, func(key) bool { return true })
	s.retry = now.Add(retryAfter)
	p.alarm(s.retry)
	p.changed = true
	return nil
}

// MachineRead takes in a machine's own record as read back, nil when there is
// none.
func (p *Part) MachineRead(id string, e *wire.Entry, now time.Time) error {
	m := p.machines[id]
	if m == nil {
		return nil
	}
	m.unsure, m.txn = false, nil
	m.retry = now.Add(retryAfter)
	p.changed = true
	if e == nil {
		if m.version > 0 {
			p.forgetMachine(m, now) // records go only when the machine is gone
		}
		return nil
	}
	r, err := decode[record.Machine](*e)
	if err != nil {
		return err
	}
	if r.Part != p.id {
		p.forgetMachine(m, now)
		return nil
	}
	if e.Version != m.version {
		m.version = e.Version
		m.fenced = false
	}
	return nil
}
