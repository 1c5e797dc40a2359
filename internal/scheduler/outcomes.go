package scheduler

import (
	"slices"
	"strings"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Applied takes in that a transaction succeeded.
func (s *Shard) Applied(t *Txn, revision uint64, now time.Time) {
	switch {
	case t.machine != nil:
		t.machine.txn = nil
		if t.fence {
			t.machine.version, t.machine.fenced = revision, false
			s.changed = true
			break
		}
		s.forgetMachine(t.machine, now)
	case t.back != nil:
		s.back = nil
	case t.job != nil:
		t.job.ending = nil
		s.ended(t.job, now)
		s.end(t.job, now)
		s.advanced(t, revision, now)
	default:
		s.written(t, revision, now)
	}
}

func (s *Shard) written(t *Txn, revision uint64, now time.Time) {
	t.slot.txn = nil
	t.slot.version = revision
	if t.gone {
		delete(s.slots, t.slot.n)
	}
	for _, c := range t.chunks {
		s.settle(c)
	}
	for _, k := range t.starts {
		other := &k.job.tasks[k.i]
		if other.state == placed && other.inTxn {
			other.recorded, other.inTxn = true, false
			other.step(func(st *steps) { st.recorded = now })
			s.out.Wake = append(s.out.Wake, other.machine.ID)
		}
	}
	for _, k := range t.dones {
		k.job.tasks[k.i].durable = true
	}
}

// Conflict takes in that conditions failed: nothing was applied.
func (s *Shard) Conflict(t *Txn, failed []string, now time.Time) {
	if slices.Contains(failed, record.ShardKey(s.id)) {
		s.lost = true // somebody claimed the part: every later write fails too
		return
	}
	switch {
	case t.back != nil:
		// Its name is ours alone: an earlier try was applied after all.
		s.back = nil
	case t.machine != nil:
		t.machine.txn = nil
		t.machine.retry = now.Add(retryAfter)
		s.rereadMachine(t.machine)
	case t.job != nil:
		t.job.ending = nil
		s.stalled(t.job, false)
		s.rereadJob(t.job)
	default:
		s.slotConflict(t, failed, now)
	}
}

// slotConflict takes back the starts that can't be recorded as they are; the
// others are tried again at once.
func (s *Shard) slotConflict(t *Txn, failed []string, now time.Time) {
	rec := t.slot
	rec.txn = nil
	bad := map[string]bool{}
	for _, k := range failed {
		bad[k] = true
		if id, ok := strings.CutPrefix(k, record.OverridePrefix); ok {
			if m := s.machines[id]; m != nil {
				s.rereadMachine(m)
			}
		}
		if ref, ok := strings.CutPrefix(k, record.ActiveJobPrefix); ok {
			if j := s.jobs[ref]; j != nil {
				s.rereadJob(j)
			}
		}
	}
	s.revert(t, now, func(k key) bool {
		m := k.job.tasks[k.i].machine
		return bad[record.ActiveJobKey(k.job.ref)] || (m != nil && bad[record.OverrideKey(m.ID)])
	})
	if bad[record.PlacementsKey(s.id, rec.n)] {
		s.rereadSlot(rec)
	}
}

// Refused takes in that a transaction was not executed. The more waits for the
// state service, the later it is asked again.
func (s *Shard) Refused(t *Txn, now time.Time) {
	at := now.Add(retryAfter + s.backlog)
	switch {
	case t.back != nil:
		t.back.txn, t.back.retry = nil, at
	case t.machine != nil:
		t.machine.txn, t.machine.retry = nil, at
	case t.job != nil:
		t.job.ending, t.job.retry = nil, at
		s.stalled(t.job, true)
	default:
		t.slot.txn, t.slot.retry = nil, at
		s.revert(t, now, func(key) bool { return false })
	}
	s.alarm(at)
}

// Shrink takes in that the state service does not take a transaction of this
// size. It is never sent again as it was: what is written from now on is smaller.
func (s *Shard) Shrink(t *Txn, now time.Time) {
	largest := 0
	for _, op := range t.Body.Then {
		largest = max(largest, len(op.Value))
	}
	if least := plainPlace * 2 * runOverhead; largest > least {
		s.valueBytes = min(s.valueBytes, max(least, largest*3/4))
	}
	if n := len(t.Body.Then); n > leastOps {
		s.txnOps = min(s.txnOps, n-1)
	}
	s.Refused(t, now)
}

// leastOps is the changes in the transaction that ends a job.
const leastOps = 2

// Unknown takes in that a transaction may have been, or may yet be, applied.
// The records are read back and decide.
func (s *Shard) Unknown(t *Txn, now time.Time) {
	switch {
	case t.back != nil:
		t.back.txn, t.back.retry = nil, now.Add(retryAfter) // the same again does no harm
	case t.machine != nil:
		s.rereadMachine(t.machine)
	case t.job != nil:
		s.stalled(t.job, false)
		s.rereadJob(t.job)
	default:
		s.rereadSlot(t.slot)
	}
}

// revert makes a slot's transaction undone: bad starts are taken back, which
// were never recorded and so never sent, the others wait for the next write.
func (s *Shard) revert(t *Txn, now time.Time, bad func(key) bool) {
	gangs := map[*Job]bool{}
	for _, k := range t.starts {
		other := &k.job.tasks[k.i]
		if other.state != placed || !other.inTxn {
			continue
		}
		other.inTxn = false
		if bad(k) || k.job.cancelled {
			s.take(k, now)
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
				s.take(key{j, i}, now)
			}
		}
	}
	if !t.slot.dirty {
		t.slot.since = now
	}
	t.slot.dirty = true
	t.slot.urgent = t.slot.urgent || len(t.starts) > 0
}
