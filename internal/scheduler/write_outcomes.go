package scheduler

import (
	"slices"
	"strings"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Applied applies a transaction that succeeded, at a revision of the state service.
func (s *Shard) Applied(t *Txn, revision uint64, now time.Time) {
	s.OwnershipConfirmed(revision) // the condition on the shard's record held
	switch {
	case t.machine != nil:
		t.machine.record.txn = nil
		switch {
		case s.inventory.byID[t.machine.ID] != t.machine: // it left, and perhaps came back, before the answer
		case t.raisesToken:
			s.setRecordVersion(t.machine, revision)
			s.announceToken(t.machine)
			s.placementDue = true
		default:
			s.removeMachine(t.machine, now)
		}
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

// placementsWritten marks the content of a placement record as written, or the record as deleted.
func (s *Shard) placementsWritten(t *Txn, revision uint64, now time.Time) {
	t.placements.txn = nil
	t.placements.version = revision
	if t.deletesRecord {
		s.ledger.remove(t.placements)
	}
	for _, r := range t.ranges {
		s.ledger.confirmWritten(r)
	}
	for _, k := range t.starts {
		task := k.job.tasks.at(k.index)
		if task.state == placed && task.recording {
			task.recorded, task.recording = true, false
			task.traceStep(func(st *startTrace) { st.recorded = now })
			s.effects.StartsReady = append(s.effects.StartsReady, task.machine.ID)
		}
	}
	for _, k := range t.completions {
		k.job.tasks.recordCompletion(k.index)
	}
}

// Conflict handles a transaction that was not applied because the conditions on the failed keys did
// not hold.
func (s *Shard) Conflict(t *Txn, failed []string, now time.Time) {
	if slices.Contains(failed, record.ShardKey(s.id)) {
		s.ownershipLost = true // another controller has acquired the shard: every later write fails too
		return
	}
	switch {
	case t.release != nil:
		// Only this owner uses the key: an earlier attempt was applied after all.
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

// placementsConflict reverts the starts whose job or machine record has changed; the others are
// retried at once.
func (s *Shard) placementsConflict(t *Txn, failed []string, now time.Time) {
	rec := t.placements
	rec.txn = nil
	failedKeys := map[string]bool{}
	for _, k := range failed {
		failedKeys[k] = true
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
		m := k.job.tasks.at(k.index).machine
		return failedKeys[record.ActiveJobKey(k.job.ref)] || (m != nil && failedKeys[record.OverrideKey(m.ID)])
	})
	if failedKeys[record.PlacementsKey(s.id, rec.number)] {
		s.effects.rereadPlacements(rec)
	}
}

// Refused handles a transaction that the state service refused without executing it. The longer the
// write backlog, the later it is retried.
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

// TooLarge handles a transaction that the state service rejected for its size. It is not retried as
// it was: the limits that later writes keep to are lowered.
func (s *Shard) TooLarge(t *Txn, now time.Time) {
	largest := 0
	for _, op := range t.Body.Then {
		largest = max(largest, len(op.Value))
	}
	if minBytes := unsizedPlacementBytes * 2 * unsizedRangeOverhead; largest > minBytes {
		s.ledger.valueBytes = min(s.ledger.valueBytes, max(minBytes, largest*3/4))
	}
	if n := len(t.Body.Then); n > jobEndOps {
		s.ledger.txnOps = min(s.ledger.txnOps, n-1)
	}
	s.Refused(t, now)
}

// jobEndOps is the number of operations in a transaction that records the end of a job without a
// step of its pipeline.
const jobEndOps = 2

// Unknown handles a transaction that may have been applied, or may yet be. The records are read
// again to find out.
func (s *Shard) Unknown(t *Txn, now time.Time) {
	switch {
	case t.release != nil:
		t.release.txn, t.release.retryAt = nil, now.Add(retryAfter) // idempotent: it can be sent again
	case t.machine != nil:
		s.effects.rereadMachine(t.machine)
	case t.job != nil:
		s.pipelineStepFailed(t.job, false)
		s.effects.rereadJob(t.job)
	default:
		s.effects.rereadPlacements(t.placements)
	}
}

// revertWrite undoes the effects of a transaction of a placement record on the ledger. Starts for
// which cancel returns true, and those of cancelled jobs, make their tasks pending again: they were
// never recorded and so never sent. The other starts wait for the next write.
func (s *Shard) revertWrite(t *Txn, now time.Time, cancel func(taskKey) bool) {
	gangs := map[*Job]bool{}
	for _, k := range t.starts {
		task := k.job.tasks.at(k.index)
		if task.state != placed || !task.recording {
			continue
		}
		task.recording = false
		if cancel(k) || k.job.cancelled {
			s.unplaceTask(k, now)
			gangs[k.job] = k.job.spec.Kind == wire.Gang
		}
	}
	// If a task of a gang could not be recorded, the whole gang becomes pending again: the
	// starts of its recorded tasks were not sent either.
	for j, gang := range gangs {
		if !gang {
			continue
		}
		for i, t := range j.tasks.placedTasks() {
			if !t.sent && !t.inherited && !t.recording {
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
