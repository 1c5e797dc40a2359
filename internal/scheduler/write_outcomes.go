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
	s.OwnershipConfirmed(revision) // its condition held
	switch {
	case t.machine != nil:
		t.machine.record.txn = nil
		if t.raisesToken {
			s.setRecordVersion(t.machine, revision)
			s.placementDue = true
			break
		}
		s.removeMachine(t.machine, now)
	case t.release != nil:
		s.releases.batch = nil
	case t.job != nil:
		t.job.record.endTxn = nil
		s.reportJobEnd(t.job, now)
		s.removeJob(t.job, now)
		s.applyPipelineStep(t, revision, now)
	default:
		s.placementsWritten(t, revision, now)
	}
}

func (s *Shard) placementsWritten(t *Txn, revision uint64, now time.Time) {
	t.placements.txn = nil
	t.placements.version = revision
	if t.deletesRecord {
		delete(s.ledger.records, t.placements.number)
	}
	for _, c := range t.ranges {
		s.ledger.confirmWritten(c)
	}
	for _, k := range t.starts {
		other := &k.job.tasks[k.index]
		if other.state == placed && other.recording {
			other.recorded, other.recording = true, false
			other.traceStep(func(st *startTrace) { st.recorded = now })
			s.effects.StartsReady = append(s.effects.StartsReady, other.machine.ID)
		}
	}
	for _, k := range t.completions {
		k.job.tasks[k.index].completionRecorded = true
	}
}

// Conflict takes in that conditions failed: nothing was applied.
func (s *Shard) Conflict(t *Txn, failed []string, now time.Time) {
	if slices.Contains(failed, record.ShardKey(s.id)) {
		s.ownershipLost = true // somebody acquired the shard: every later write fails too
		return
	}
	switch {
	case t.release != nil:
		// Its name is ours alone: an earlier try was applied after all.
		s.releases.batch = nil
	case t.machine != nil:
		t.machine.record.txn = nil
		t.machine.record.retryAt = now.Add(retryAfter)
		s.effects.rereadMachine(t.machine)
	case t.job != nil:
		t.job.record.endTxn = nil
		s.pipelineStepFailed(t.job, false)
		s.effects.rereadJob(t.job)
	default:
		s.placementsConflict(t, failed, now)
	}
}

// placementsConflict takes back the starts that can't be recorded as they are; the
// others are tried again at once.
func (s *Shard) placementsConflict(t *Txn, failed []string, now time.Time) {
	rec := t.placements
	rec.txn = nil
	bad := map[string]bool{}
	for _, k := range failed {
		bad[k] = true
		if id, ok := strings.CutPrefix(k, record.OverridePrefix); ok {
			if m := s.inventory.byID[id]; m != nil {
				s.effects.rereadMachine(m)
			}
		}
		if ref, ok := strings.CutPrefix(k, record.ActiveJobPrefix); ok {
			if j := s.jobs[ref]; j != nil {
				s.effects.rereadJob(j)
			}
		}
	}
	s.revertWrite(t, now, func(k taskKey) bool {
		m := k.job.tasks[k.index].machine
		return bad[record.ActiveJobKey(k.job.ref)] || (m != nil && bad[record.OverrideKey(m.ID)])
	})
	if bad[record.PlacementsKey(s.id, rec.number)] {
		s.effects.rereadPlacements(rec)
	}
}

// Refused takes in that a transaction was not executed. The more waits for the
// state service, the later it is asked again.
func (s *Shard) Refused(t *Txn, now time.Time) {
	at := now.Add(retryAfter + s.writeBacklog)
	switch {
	case t.release != nil:
		t.release.txn, t.release.retryAt = nil, at
	case t.machine != nil:
		t.machine.record.txn, t.machine.record.retryAt = nil, at
	case t.job != nil:
		t.job.record.endTxn, t.job.record.retryAt = nil, at
		s.pipelineStepFailed(t.job, true)
	default:
		t.placements.txn, t.placements.retryAt = nil, at
		s.revertWrite(t, now, func(taskKey) bool { return false })
	}
	s.wakeAt(at)
}

// TooLarge takes in that the state service does not take a transaction of this
// size. It is never sent again as it was: what is written from now on is smaller.
func (s *Shard) TooLarge(t *Txn, now time.Time) {
	largest := 0
	for _, op := range t.Body.Then {
		largest = max(largest, len(op.Value))
	}
	if least := unsizedPlacementBytes * 2 * unsizedRangeOverhead; largest > least {
		s.ledger.valueBytes = min(s.ledger.valueBytes, max(least, largest*3/4))
	}
	if n := len(t.Body.Then); n > jobEndOps {
		s.ledger.txnOps = min(s.ledger.txnOps, n-1)
	}
	s.Refused(t, now)
}

// jobEndOps is the changes in the transaction that ends a job.
const jobEndOps = 2

// Unknown takes in that a transaction may have been, or may yet be, applied.
// The records are read back and decide.
func (s *Shard) Unknown(t *Txn, now time.Time) {
	switch {
	case t.release != nil:
		t.release.txn, t.release.retryAt = nil, now.Add(retryAfter) // the same again does no harm
	case t.machine != nil:
		s.effects.rereadMachine(t.machine)
	case t.job != nil:
		s.pipelineStepFailed(t.job, false)
		s.effects.rereadJob(t.job)
	default:
		s.effects.rereadPlacements(t.placements)
	}
}

// revertWrite makes a record's transaction undone: bad starts are taken back, which
// were never recorded and so never sent, the others wait for the next write.
func (s *Shard) revertWrite(t *Txn, now time.Time, bad func(taskKey) bool) {
	gangs := map[*Job]bool{}
	for _, k := range t.starts {
		other := &k.job.tasks[k.index]
		if other.state != placed || !other.recording {
			continue
		}
		other.recording = false
		if bad(k) || k.job.cancelled {
			s.unplaceTask(k, now)
			gangs[k.job] = k.job.spec.Kind == wire.Gang
		}
	}
	// A gang of which some could not be recorded is taken back as a whole:
	// what is recorded already was not sent either.
	for j, gang := range gangs {
		if !gang {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.state == placed && !t.sent && !t.inherited && !t.recording {
				s.unplaceTask(taskKey{j, i}, now)
			}
		}
	}
	if !t.placements.dirty {
		t.placements.dirtySince = now
	}
	t.placements.dirty = true
	t.placements.urgent = t.placements.urgent || len(t.starts) > 0
}
