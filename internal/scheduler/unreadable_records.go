package scheduler

import (
	"strconv"
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A placement record that cannot be decoded may hold any task of the shard that runs or has
// completed. The record is left as it is, and the jobs that it may hold are withheld:
//
//   - Until every machine that the shard had when it was acquired has reported under the shard's
//     token, or is gone, no task is started: unrecorded tasks there use resources and quota.
//   - A pending task of a withheld job that a worker reports is adopted: it is placed where it runs.
//   - A withheld job that still has pending tasks starts none of them: they may have completed. It
//     waits until the record is restored or deleted.
//
// Jobs that were accepted after the record was last written cannot be in it and are not withheld.
// Should the record be restored, the placements of withheld jobs that were recorded in the meantime
// override it: their ranges, each of one task, are entered with the shard's token as generation.
// That is a revision of the state service, and so above any generation that was reached by
// increments before.

// rereadUnreadableEvery is the interval at which a record that cannot be decoded is read again, in
// case an operator has restored or deleted it.
const rereadUnreadableEvery = 15 * time.Second

// unreadableRecords holds the shard's placement records that cannot be decoded.
type unreadableRecords struct {
	records        []*placementRecord
	newestVersion  uint64    // highest of their versions
	awaitsMachines bool      // inherited machines have yet to report: no task is started
	rereadAt       time.Time // when the records are read again
}

// skipUnreadable notes a placement record that cannot be decoded because of err. Unsized ranges have
// no generation, so that adopted placements could not override those of a restored record. The
// shard therefore uses sized ranges from now on; while a controller of the first version may still
// be there, which forbids these, skipUnreadable returns err.
func (s *Shard) skipUnreadable(e wire.Entry, err error) error {
	if !s.ledger.sizedAllowed {
		return err
	}
	s.UseSizedRanges()
	s.reconciliation.malformed = append(s.reconciliation.malformed, err)
	n, keyErr := strconv.Atoi(record.LastElement(e.Key))
	if keyErr != nil {
		return keyErr
	}
	rec := s.ledger.record(n)
	rec.version, rec.unreadable = e.Version, true
	s.unreadable.records = append(s.unreadable.records, rec)
	s.unreadable.newestVersion = max(s.unreadable.newestVersion, e.Version)
	return nil
}

// withholdJobs withholds the jobs that an undecodable placement record may hold.
func (s *Shard) withholdJobs() {
	if len(s.unreadable.records) == 0 {
		return
	}
	s.unreadable.awaitsMachines = true
	for _, j := range s.jobs {
		// Cancelling or releasing a job rewrites its record, so its version may be newer than the job.
		rewritten := j.cancelled || j.pipeline != singleJob
		j.withheld = rewritten || j.record.version <= s.unreadable.newestVersion
	}
}

// overridingGeneration returns a generation above that of any range on record.
func (l *placementLedger) overridingGeneration() int { return int(l.token) }

// releaseWithheldJobs releases the withheld jobs of which no unrecorded task can be left, and
// schedules rereads of the undecodable records.
func (s *Shard) releaseWithheldJobs(now time.Time) {
	u := &s.unreadable
	if len(u.records) == 0 {
		return
	}
	if !now.Before(u.rereadAt) {
		u.rereadAt = now.Add(rereadUnreadableEvery)
		for _, rec := range u.records {
			s.effects.RereadPlacements = append(s.effects.RereadPlacements, rec.number)
		}
	}
	s.wakeAt(u.rereadAt)
	if u.awaitsMachines && s.inventory.awaitsInheritedMachines() {
		return
	}
	s.placementDue = s.placementDue || u.awaitsMachines
	u.awaitsMachines = false
	for _, j := range s.jobs {
		if j.withheld && (j.cancelled || j.progress.pending == 0) {
			j.withheld = false
			s.ledger.supersedeRecorded(j)
			s.queueIfTerminal(j)
		}
	}
}

// supersedeRecorded makes the ranges of a job override those that an undecodable record may hold.
func (l *placementLedger) supersedeRecorded(j *Job) {
	for _, r := range j.ranges {
		r.generation = max(r.generation, l.overridingGeneration())
		r.record.dirty, r.record.forceWrite = true, true
	}
}

// withheldRange returns a new range for a task of a withheld job. It holds only that task, since the
// states of its neighbors are unknown.
func (l *placementLedger) withheldRange(j *Job, i int) *taskRange {
	return &taskRange{job: j, first: i, end: i + 1, generation: l.overridingGeneration()}
}

// awaitsInheritedMachines reports whether a machine that the shard had when it was acquired has
// neither reported under the shard's token nor been proven gone.
func (inv *inventory) awaitsInheritedMachines() bool {
	for _, m := range inv.byID {
		if m.inherited && !m.contact.fenced {
			return true
		}
	}
	return false
}

// adoptWithheldTask handles a reported task of a withheld job. If the task is pending, or placed
// under a lower attempt, it is placed where it was reported: a higher attempt was only made once the
// one on record was proven gone. It reports whether it has placed the task.
func (s *Shard) adoptWithheldTask(k taskKey, m *Machine, rt *wire.HeartbeatTask, now time.Time) bool {
	j := k.job
	if !j.withheld || rt.State == wire.Exited {
		return false
	}
	switch t := j.tasks.at(k.index); {
	case t.state == pending:
	case t.state == placed && t.inherited && !t.reported && rt.Attempt > t.attempt:
		s.reconciliation.recordOutcome(t, reconcile.Missing)
		s.unplaceTask(k, now)
	default:
		return false
	}
	t := s.placeTask(k, m, rt.Attempt, now)
	t.recorded, t.inherited, t.trace = true, true, nil
	j.rangeAt(k.index).record.forceWrite = true // no new start causes the write
	if j.cancelled {
		s.stopTask(k, 0, now)
	}
	return true
}

// unreadableReread handles the reread of an undecodable record: e is its present state, nil if it
// was deleted. If it has changed, the shard is released: its next owner reads all records again.
func (s *Shard) unreadableReread(rec *placementRecord, e *wire.Entry) {
	if e == nil || e.Version != rec.version {
		s.ownershipLost = true
	}
}
