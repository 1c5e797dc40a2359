package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Load fills a newly acquired shard from its records. Placements of earlier owners count as valid
// until their machines report under this owner's token. A job record that cannot be decoded is
// skipped, and jobs that an undecodable placement record may hold are withheld: MalformedRecords
// returns the errors of both. Load fails on a machine of an unknown type, on a placement record of
// an unknown format or key and, unless sized ranges are allowed, on an undecodable one.
func (s *Shard) Load(fleet *record.Fleet, activeJobs, placements []wire.Entry, now time.Time) error {
	var err error
	fleet.ForEach(func(id string, v record.MachineView) {
		if e := s.SetMachine(id, v, now); e != nil {
			err = e
		}
	})
	if err != nil {
		return err
	}
	for _, m := range s.inventory.byID {
		m.inherited = true
	}
	for _, e := range activeJobs {
		o, err := decode[record.ActiveJob](e)
		if err != nil {
			s.reconciliation.malformed = append(s.reconciliation.malformed, err)
			continue // the job waits until an operator repairs its record; the others go on
		}
		s.SetJob(record.LastElement(e.Key), o, e.Version, now)
	}
	ranges, err := s.loadPlacements(placements)
	if err != nil {
		return err
	}
	for _, l := range ranges {
		s.loadRange(l, now)
	}
	s.withholdJobs()
	s.awaitHeartbeats(placements, now)
	s.beginReconciliation(now)
	return nil
}

// loadRange enters a loaded range in the ledger, except for tasks in ranges that were entered later.
func (s *Shard) loadRange(l loadedRange, now time.Time) {
	j := l.job
	fresh := j.uncovered(l.first, l.end, l.end-l.first)
	s.ledger.assignLoaded(l, fresh)
	for _, r := range j.ranges {
		if r.first < l.end && l.first < r.end {
			r.attempt = max(r.attempt, l.recorded.Attempt)
		}
	}
	isFresh := func(i int) bool {
		return slices.ContainsFunc(fresh, func(within [2]int) bool { return within[0] <= i && i < within[1] })
	}
	for _, span := range l.recorded.Completed {
		for i := max(0, span[0]); i <= span[1] && i < j.tasks.len(); i++ {
			if isFresh(i) {
				s.markCompleted(taskKey{j, i}, now)
				j.tasks.recordCompletion(i)
			}
		}
	}
	for i, placement := range l.recorded.Placed {
		if isFresh(i) && j.tasks.at(i).state == pending {
			s.loadPlacement(taskKey{j, i}, placement, now)
		}
	}
}

// assignLoaded assigns the spans of a loaded range that no other range contains: a whole range to
// the record that holds it, pieces to other records.
func (l *placementLedger) assignLoaded(loaded loadedRange, fresh [][2]int) {
	generation := loaded.recorded.Generation
	if len(fresh) == 1 && fresh[0] == [2]int{loaded.first, loaded.end} {
		r := &taskRange{job: loaded.job, first: loaded.first, end: loaded.end, generation: generation}
		l.assign(r, loaded.record)
		r.generation = generation
		return
	}
	for _, span := range fresh {
		r := &taskRange{job: loaded.job, first: span[0], end: span[1], generation: generation, previousRecord: loaded.record}
		// The record waits for the pieces that leave it, so it must not be their destination.
		l.assign(r, l.recordWithRoom(l.rangeBytes(r, l.sized), loaded.record))
		loaded.record.movedOut[r] = struct{}{}
		if loaded.record.sized { // it cannot be written before the pieces are
			r.record.dirty, r.record.urgent, r.record.forceWrite = true, true, true
		}
	}
}

// loadPlacement enters the recorded placement of a pending task in the ledger.
func (s *Shard) loadPlacement(k taskKey, placement record.TaskPlacement, now time.Time) {
	m := s.inventory.byID[placement.Machine]
	if m == nil {
		// The machine was released, or was empty when it was transferred: the task was proven
		// gone before. If its record was lost instead, its worker reports within this time.
		if s.dataLoss.enabled {
			k.job.notBefore = now.Add(heartbeatsToConfirmLoss * s.cfg.HeartbeatInterval)
		}
		return
	}
	t := s.placeTask(k, m, placement.Attempt, now)
	t.recorded, t.inherited = true, true
	t.trace = nil
	if k.job.cancelled {
		// The job was cancelled while the shard had no owner: SetJob has applied the
		// cancellation before the job's placements are loaded.
		s.stopTask(k, 0, now)
	}
}

// decode decodes the value of a record. Its error names the key.
func decode[T any](e wire.Entry) (T, error) {
	var v T
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return v, fmt.Errorf("record %s: %w", e.Key, err)
	}
	return v, nil
}
