package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

func (s *Shard) rereadJob(j *Job) {
	if !j.versionUnknown {
		j.versionUnknown = true
		s.out.RereadJobs = append(s.out.RereadJobs, j.ref)
	}
}

func (s *Shard) rereadSlot(rec *placementRecord) {
	if !rec.versionUnknown {
		rec.versionUnknown = true
		s.out.RereadSlots = append(s.out.RereadSlots, rec.n)
	}
}

func (s *Shard) rereadMachine(m *Machine) {
	if !m.versionUnknown {
		m.versionUnknown = true
		s.out.RereadMachines = append(s.out.RereadMachines, m.ID)
	}
}

// JobRead takes in a job's open record as read back, nil when there is none.
func (s *Shard) JobRead(ref string, open *wire.Entry, now time.Time) error {
	j := s.jobs[ref]
	if j == nil || !j.versionUnknown {
		return nil
	}
	if open == nil {
		// Our final transaction was applied, or that of a controller which found a
		// job that this one needs cancelled.
		s.end(j, now)
		if j.line.ref != "" {
			s.rereadPipe(j.line)
		}
		return nil
	}
	o, err := decode[record.ActiveJob](*open)
	if err != nil {
		return err
	}
	j.versionUnknown = false
	j.ending = nil
	j.retry = now.Add(retryAfter)
	s.alarm(j.retry)
	s.SetJob(ref, o, open.Version, now)
	s.changed = true
	return nil
}

// SlotRead takes in a slot's record as read back, nil when there is none.
func (s *Shard) SlotRead(n int, e *wire.Entry, now time.Time) error {
	placements := s.slots[n]
	if placements != nil && placements.unreadable {
		s.unreadableRead(placements, e)
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
		// A write given up came late: what it recorded was never sent, and the
		// next write clears it.
		if changed {
			placements.dirty, placements.urgent, placements.since = true, true, now
		}
		return nil
	}
	for _, c := range t.chunks {
		if run, ok := rec.Ranges[s.runName(c)]; ok && run.Turn == c.turn {
			s.settle(c)
		}
	}
	there := func(k key) bool {
		c := k.job.chunkAt(k.i)
		if c == nil || c.slot != placements {
			return false
		}
		pl, ok := rec.Ranges[s.runName(c)].On[k.i]
		task := &k.job.tasks[k.i]
		return changed && ok && task.machine != nil && pl.Attempt == task.attempt && pl.Machine == task.machine.ID
	}
	for _, k := range t.starts {
		if task := &k.job.tasks[k.i]; task.state == placed && task.inTxn && there(k) {
			task.recorded, task.inTxn = true, false
			s.out.Wake = append(s.out.Wake, task.machine.ID)
		}
	}
	s.revert(t, now, func(key) bool { return true })
	placements.retry = now.Add(retryAfter)
	s.alarm(placements.retry)
	s.changed = true
	return nil
}

// MachineRead takes in a machine's own record as read back, nil when there is
// none.
func (s *Shard) MachineRead(id string, e *wire.Entry, now time.Time) error {
	m := s.machines[id]
	if m == nil {
		return nil
	}
	m.versionUnknown, m.txn = false, nil
	m.retry = now.Add(retryAfter)
	s.changed = true
	if e == nil {
		if m.version > 0 {
			s.forgetMachine(m, now) // records go only when the machine is gone
		}
		return nil
	}
	r, err := decode[record.Machine](*e)
	if err != nil {
		return err
	}
	if r.Shard != s.id {
		s.forgetMachine(m, now)
		return nil
	}
	if e.Version != m.version {
		m.version = e.Version
		m.fenced = false
	}
	return nil
}
