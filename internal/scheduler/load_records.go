package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Load fills a newly acquired shard from its records. Placements of earlier
// owners count as there until their machines answer under our token. A job's record that
// can't be decoded is passed over; what one of placements may tell of is withheld.
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
			continue // that job waits for who mends its record; the others go on
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

// loadRange takes in a range, or what is left of it by those that count before it.
func (s *Shard) loadRange(l loadedRange, now time.Time) {
	j := l.job
	fresh := j.uncovered(l.first, l.end, l.end-l.first)
	s.ledger.assignLoaded(l, fresh)
	for _, c := range j.ranges {
		if c.first < l.end && l.first < c.end {
			c.attempt = max(c.attempt, l.recorded.Attempt)
		}
	}
	counts := func(i int) bool {
		return slices.ContainsFunc(fresh, func(within [2]int) bool { return within[0] <= i && i < within[1] })
	}
	for _, span := range l.recorded.Completed {
		for i := max(0, span[0]); i <= span[1] && i < len(j.tasks); i++ {
			if counts(i) {
				s.markCompleted(taskKey{j, i}, now)
				j.tasks[i].completionRecorded = true
			}
		}
	}
	for i, placement := range l.recorded.Placed {
		if counts(i) && j.tasks[i].state == pending {
			s.loadPlacement(taskKey{j, i}, placement, now)
		}
	}
}

// assignLoaded enters the spans of a loaded range that no other tells: a whole range where it
// is recorded, pieces elsewhere.
func (l *placementLedger) assignLoaded(loaded loadedRange, fresh [][2]int) {
	turn := loaded.recorded.Generation
	if len(fresh) == 1 && fresh[0] == [2]int{loaded.first, loaded.end} {
		c := &taskRange{job: loaded.job, first: loaded.first, end: loaded.end, generation: turn}
		l.assign(c, loaded.record)
		c.generation = turn
		return
	}
	for _, span := range fresh {
		c := &taskRange{job: loaded.job, first: span[0], end: span[1], generation: turn, previousRecord: loaded.record}
		// A record that waits for what leaves it must not be where that goes.
		l.assign(c, l.recordWithRoom(l.rangeBytes(c, l.sized), loaded.record))
		loaded.record.movedOut[c] = struct{}{}
		if loaded.record.sized { // which can't be written before this is
			c.record.dirty, c.record.urgent, c.record.forceWrite = true, true, true
		}
	}
}

// loadPlacement takes in a recorded placement of a task.
func (s *Shard) loadPlacement(k taskKey, placement record.TaskPlacement, now time.Time) {
	m := s.inventory.byID[placement.Machine]
	if m == nil {
		// Released or empty when it was transferred: proven gone before. If its record was
		// lost instead, its worker reports before this is over.
		if s.dataLoss.enabled {
			k.job.notBefore = now.Add(heartbeatsToConfirmLoss * s.cfg.HeartbeatInterval)
		}
		return
	}
	t := s.placeTask(k, m, placement.Attempt, now)
	t.recorded, t.inherited = true, true
	t.trace = nil
	if k.job.cancelled {
		// The cancellation came while nobody owned the shard: its record
		// was read before these placements were.
		s.stopTask(k, 0, now)
	}
}

func decode[T any](e wire.Entry) (T, error) {
	var v T
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return v, fmt.Errorf("record %s: %w", e.Key, err)
	}
	return v, nil
}
