package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// rereadJob requests a reread of a job's active record, unless one is in flight.
func (e *Effects) rereadJob(j *Job) {
	if !j.record.versionUnknown {
		j.record.versionUnknown = true
		e.RereadJobs = append(e.RereadJobs, j.ref)
	}
}

// rereadPlacements requests a reread of a placement record, unless one is in flight.
func (e *Effects) rereadPlacements(rec *placementRecord) {
	if !rec.versionUnknown {
		rec.versionUnknown = true
		e.RereadPlacements = append(e.RereadPlacements, rec.number)
	}
}

// rereadMachine requests a reread of a machine's override record, unless one is in flight.
func (e *Effects) rereadMachine(m *Machine) {
	if !m.record.versionUnknown {
		m.record.versionUnknown, m.record.rereadFrom = true, m.record.version
		e.RereadMachines = append(e.RereadMachines, m.ID)
	}
}

// JobRead applies the reread of a job's active record, nil if there is none. It fails if the record
// cannot be decoded.
func (s *Shard) JobRead(ref string, e *wire.Entry, now time.Time) error {
	j := s.jobs[ref]
	if j == nil || !j.record.versionUnknown {
		return nil
	}
	if e == nil {
		// The transaction that records the job's end was applied, or another controller found
		// one of the job's dependencies cancelled and recorded the end.
		s.removeJob(j, now)
		if j.pipeline.ref != "" {
			s.effects.rereadPipeline(j.pipeline)
		}
		return nil
	}
	o, err := decode[record.ActiveJob](*e)
	if err != nil {
		return err
	}
	j.record.versionUnknown = false
	j.record.endTxn = nil
	j.record.retryAt = now.Add(retryAfter)
	s.wakeAt(j.record.retryAt)
	s.SetJob(ref, o, e.Version, now)
	s.placementDue = true
	return nil
}

// PlacementsRead applies the reread of placement record n, nil if there is none. It fails if the
// record cannot be decoded, unless it could not be decoded by Load either.
func (s *Shard) PlacementsRead(n int, e *wire.Entry, now time.Time) error {
	placements := s.ledger.records[n]
	if placements != nil && placements.unreadable {
		s.unreadableReread(placements, e)
		return nil
	}
	if placements == nil || !placements.versionUnknown {
		return nil
	}
	var rec record.Placements
	var version uint64
	if e != nil {
		var err error
		if rec, err = decode[record.Placements](*e); err != nil {
			return err
		}
		version = e.Version
	}
	placements.versionUnknown = false
	t := placements.txn
	placements.txn = nil
	changed := version != placements.version
	placements.version = version
	if t == nil {
		// An abandoned write was applied late: the starts that it recorded were never sent, and
		// the next write removes them.
		if changed {
			placements.dirty, placements.urgent, placements.dirtySince = true, true, now
		}
		return nil
	}
	s.applyReread(t, rec, changed)
	s.revertWrite(t, now, func(taskKey) bool { return true })
	placements.retryAt = now.Add(retryAfter)
	s.wakeAt(placements.retryAt)
	s.placementDue = true
	return nil
}

// applyReread marks as written what a reread record holds of a transaction whose outcome was
// unknown: its ranges, and its starts if the record has changed since.
func (s *Shard) applyReread(t *Txn, rec record.Placements, changed bool) {
	for _, r := range t.ranges {
		if read, ok := rec.Ranges[s.ledger.rangeName(r)]; ok && read.Generation == r.generation {
			s.ledger.confirmWritten(r)
		}
	}
	for _, k := range t.starts {
		task := k.job.tasks.at(k.index)
		if task.state == placed && task.recording && changed && s.ledger.hasPlacement(t.placements, rec, k) {
			task.recorded, task.recording = true, false
			s.effects.StartsReady = append(s.effects.StartsReady, task.machine.ID)
		}
	}
}

// hasPlacement reports whether rec, as read for a placement record, holds the same placement of a task
// as the ledger.
func (l *placementLedger) hasPlacement(placements *placementRecord, rec record.Placements, k taskKey) bool {
	r := k.job.rangeAt(k.index)
	if r == nil || r.record != placements {
		return false
	}
	placement, ok := rec.Ranges[l.rangeName(r)].Placed[k.index]
	task := k.job.tasks.at(k.index)
	return ok && task.machine != nil && placement.Attempt == task.attempt && placement.Machine == task.machine.ID
}

// isOutdated reports whether a reread is older than the record that the shard has received since it
// requested the reread: its answer came late. e is nil if there was no record.
func (r *machineRecord) isOutdated(e *wire.Entry) bool {
	return r.version > r.rereadFrom && (e == nil || e.Version < r.version)
}

// MachineRead applies the reread of a machine's override record, nil if there is none. It fails if
// the record cannot be decoded.
func (s *Shard) MachineRead(id string, e *wire.Entry, now time.Time) error {
	m := s.inventory.byID[id]
	if m == nil || !m.record.versionUnknown {
		return nil
	}
	m.record.versionUnknown, m.record.txn = false, nil
	m.record.retryAt = now.Add(retryAfter)
	s.placementDue = true
	if m.record.isOutdated(e) {
		return nil // whether the transaction was applied or not, it cannot be any more
	}
	if e == nil {
		if m.record.version > 0 {
			s.removeMachine(m, now) // override records are deleted only once the machine is gone
		}
		return nil
	}
	r, err := decode[record.Machine](*e)
	if err != nil {
		return err
	}
	if r.Shard != s.id {
		s.removeMachine(m, now)
		return nil
	}
	if e.Version != m.record.version {
		s.setRecordVersion(m, e.Version)
	}
	return nil
}
