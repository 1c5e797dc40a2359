package sched

import (
	"slices"
	"strings"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

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

// Refused takes in that a transaction was not executed. The more waits for the
// state service, the later it is asked again.
func (p *Part) Refused(t *Txn, now time.Time) {
	at := now.Add(retryAfter + p.backlog)
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
