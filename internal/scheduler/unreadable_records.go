package scheduler

import (
	"strconv"
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A record of placements that can't be decoded may tell of any task of the shard that runs or
// has completed. The record is left as it is, and what it may tell of is withheld:
//
//   - Until every machine that the shard had has reported under its token, or is gone, nothing
//     is started: what runs there unrecorded uses room and quota.
//   - A reported task of a withheld job that has no place is adopted where it runs.
//   - A withheld job that still has tasks without a place starts none of them: they may have
//     completed. It waits until the record is restored or deleted.
//
// Jobs that were accepted after the record was last written can't be in it and go on. What is
// recorded of withheld jobs from then on counts before what the record tells, should it be
// restored: its ranges, each of one task, are entered with the shard's token as their turn,
// which is a revision of the state service and so above any turn that was reached by single
// steps before.

// rereadUnreadableEvery is how often a record that can't be decoded is read again, in case
// that somebody has restored or deleted it.
const rereadUnreadableEvery = 15 * time.Second

// unreadableRecords is what a shard knows of its records of placements that can't be decoded.
type unreadableRecords struct {
	records        []*placementRecord
	newestVersion  uint64 // the highest of their versions
	awaitsMachines bool   // machines have not reported yet since the shard was acquired
	rereadAt       time.Time
}

// skipUnreadable takes in that a record of placements can't be decoded. Unsized ranges have no turns,
// so that what is adopted could not be told from what a restored record tells: the shard turns to
// sized ones, and as long as a controller of the first version may be there, the error stands.
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

// withholdJobs keeps the jobs from being started that a record which can't be decoded may tell of.
func (s *Shard) withholdJobs() {
	if len(s.unreadable.records) == 0 {
		return
	}
	s.unreadable.awaitsMachines = true
	for _, j := range s.jobs {
		// The record of a job that was cancelled or released may be newer than the job.
		rewritten := j.cancelled || j.pipeline != singleJob
		j.withheld = rewritten || j.record.version <= s.unreadable.newestVersion
	}
}

// overridingGeneration is a turn above that of any range on record.
func (l *placementLedger) overridingGeneration() int { return int(l.token) }

// releaseWithheldJobs lets jobs go on of which nothing can be unknown any more.
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

// supersedeRecorded makes what is known of all of a job's tasks count before what the record tells.
func (l *placementLedger) supersedeRecorded(j *Job) {
	for _, c := range j.ranges {
		c.generation = max(c.generation, l.overridingGeneration())
		c.record.dirty, c.record.forceWrite = true, true
	}
}

// withheldRange is a range for a task of a withheld job: of that one alone, since nothing is
// known of its neighbours.
func (l *placementLedger) withheldRange(j *Job, i int) *taskRange {
	return &taskRange{job: j, first: i, end: i + 1, generation: l.overridingGeneration()}
}

// awaitsInheritedMachines reports whether a machine that the shard had when it was acquired has
// neither reported under the shard's token nor is proven gone.
func (x *inventory) awaitsInheritedMachines() bool {
	for _, m := range x.byID {
		if m.inherited && !m.contact.fenced {
			return true
		}
	}
	return false
}

// adoptWithheldTask takes in that a worker has a task of a withheld job that has no place on
// record, or an outdated one: a higher attempt was only made once the one on record was proven
// gone. It reports whether the task is placed there from now on.
func (s *Shard) adoptWithheldTask(k taskKey, m *Machine, rt *wire.HeartbeatTask, now time.Time) bool {
	j := k.job
	if !j.withheld || rt.State == wire.Exited {
		return false
	}
	switch t := &j.tasks[k.index]; {
	case t.state == pending:
	case t.state == placed && t.inherited && !t.reported && rt.Attempt > t.attempt:
		s.reconciliation.recordOutcome(t, reconcile.Missing)
		s.unplaceTask(k, now)
	default:
		return false
	}
	t := s.placeTask(k, m, rt.Attempt, now)
	t.recorded, t.inherited, t.trace = true, true, nil
	j.rangeAt(k.index).record.forceWrite = true // to be written, though nothing is to be started
	if j.cancelled {
		s.stopTask(k, 0, now)
	}
	return true
}

// unreadableReread takes in a record that could not be decoded as it is now. If it was restored
// or deleted, the shard is given up: whoever acquires it reads all records again.
func (s *Shard) unreadableReread(rec *placementRecord, e *wire.Entry) {
	if e == nil || e.Version != rec.version {
		s.ownershipLost = true
	}
}
