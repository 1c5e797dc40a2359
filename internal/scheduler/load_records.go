package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Load fills a newly claimed part from its records. Placements of earlier
// owners count as there until their machines answer under our token. A job's record that
// can't be decoded is passed over; what one of placements may tell of is withheld.
func (s *Shard) Load(fleet *record.Fleet, open, slots []wire.Entry, now time.Time) error {
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
	for _, e := range open {
		o, err := decode[record.ActiveJob](e)
		if err != nil {
			s.reconciliation.malformed = append(s.reconciliation.malformed, err)
			continue // that job waits for who mends its record; the others go on
		}
		s.SetJob(record.LastElement(e.Key), o, e.Version, now)
	}
	runs, err := s.loadPlacements(slots)
	if err != nil {
		return err
	}
	for _, l := range runs {
		s.loadRange(l, now)
	}
	s.withholdJobs()
	s.awaitHeartbeats(slots, now)
	s.beginReconciliation(now)
	return nil
}

// loadRange takes in a range, or what is left of it by those that count before it.
func (s *Shard) loadRange(l loadedRange, now time.Time) {
	j, r := l.job, l.recorded
	fresh := j.uncovered(l.first, l.end, l.end-l.first)
	if len(fresh) == 1 && fresh[0] == [2]int{l.first, l.end} {
		c := &taskRange{job: j, first: l.first, end: l.end, turn: r.Generation}
		s.ledger.assign(c, l.record)
		c.turn = r.Generation
	} else {
		for _, span := range fresh {
			c := &taskRange{job: j, first: span[0], end: span[1], turn: r.Generation, previous: l.record}
			// A slot that waits for what leaves it must not be where that goes.
			s.ledger.assign(c, s.ledger.recordWithRoom(s.ledger.rangeBytes(c, s.ledger.sized), l.record))
			l.record.departed[c] = struct{}{}
			if l.record.sized { // which can't be written before this is
				c.record.dirty, c.record.urgent, c.record.rangeAwaited = true, true, true
			}
		}
	}
	for _, c := range j.ranges {
		if c.first < l.end && l.first < c.end {
			c.attempt = max(c.attempt, r.Attempt)
		}
	}
	mine := func(i int) bool {
		return slices.ContainsFunc(fresh, func(within [2]int) bool { return within[0] <= i && i < within[1] })
	}
	for _, span := range r.Completed {
		for i := max(0, span[0]); i <= span[1] && i < len(j.tasks); i++ {
			if mine(i) {
				s.markCompleted(taskKey{j, i}, now)
				j.tasks[i].completionRecorded = true
			}
		}
	}
	for i, pl := range r.Placed {
		if !mine(i) || j.tasks[i].state != pending {
			continue
		}
		m := s.inventory.byID[pl.Machine]
		if m == nil {
			// Given back or empty when it moved: proven gone before. If its record was lost
			// instead, its worker reports before this is over.
			if s.dataLoss.enabled {
				j.notBefore = now.Add(heartbeatsToConfirmLoss * s.cfg.HeartbeatInterval)
			}
			continue
		}
		t := s.placeTask(taskKey{j, i}, m, pl.Attempt, now)
		t.recorded, t.inherited = true, true
		t.trace = nil
		if j.cancelled {
			// The cancellation came while nobody owned the part: its record
			// was read before these placements were.
			s.stopTask(taskKey{j, i}, 0, now)
		}
	}
}

func decode[T any](e wire.Entry) (T, error) {
	var v T
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return v, fmt.Errorf("record %s: %w", e.Key, err)
	}
	return v, nil
}
