package sched

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

func (p *Part) rereadJob(j *Job) {
	if !j.versionUnknown {
		j.versionUnknown = true
		p.out.RereadJobs = append(p.out.RereadJobs, j.ref)
	}
}

func (p *Part) rereadSlot(s *slot) {
	if !s.versionUnknown {
		s.versionUnknown = true
		p.out.RereadSlots = append(p.out.RereadSlots, s.n)
	}
}

func (p *Part) rereadMachine(m *Machine) {
	if !m.versionUnknown {
		m.versionUnknown = true
		p.out.RereadMachines = append(p.out.RereadMachines, m.ID)
	}
}

// JobRead takes in a job's open record as read back, nil when there is none.
func (p *Part) JobRead(ref string, open *wire.Entry, now time.Time) error {
	j := p.jobs[ref]
	if j == nil || !j.versionUnknown {
		return nil
	}
	if open == nil {
		// Our final transaction was applied, or that of a controller which found a
		// job that this one needs cancelled.
		p.end(j, now)
		if j.line.ref != "" {
			p.rereadPipe(j.line)
		}
		return nil
	}
	o, err := decode[record.Open](*open)
	if err != nil {
		return err
	}
	j.versionUnknown = false
	j.ending = nil
	j.retry = now.Add(retryAfter)
	p.alarm(j.retry)
	p.SetJob(ref, o, open.Version, now)
	p.changed = true
	return nil
}

// SlotRead takes in a slot's record as read back, nil when there is none.
func (p *Part) SlotRead(n int, e *wire.Entry, now time.Time) error {
	s := p.slots[n]
	if s != nil && s.unreadable {
		p.unreadableRead(s, e)
		return nil
	}
	if s == nil || !s.versionUnknown {
		return nil
	}
	var rec record.Slot
	var version uint64
	if e != nil {
		var err error
		if rec, err = decode[record.Slot](*e); err != nil {
			return err
		}
		version = e.Version
	}
	s.versionUnknown = false
	t := s.txn
	s.txn = nil
	changed := version != s.version
	s.version = version
	if t == nil {
		// A write given up came late: what it recorded was never sent, and the
		// next write clears it.
		if changed {
			s.dirty, s.urgent, s.since = true, true, now
		}
		return nil
	}
	for _, c := range t.chunks {
		if run, ok := rec.Runs[p.runName(c)]; ok && run.Turn == c.turn {
			p.settle(c)
		}
	}
	there := func(k key) bool {
		c := k.job.chunkAt(k.i)
		if c == nil || c.slot != s {
			return false
		}
		pl, ok := rec.Runs[p.runName(c)].On[k.i]
		task := &k.job.tasks[k.i]
		return changed && ok && task.machine != nil && pl.Attempt == task.attempt && pl.Machine == task.machine.ID
	}
	for _, k := range t.starts {
		if task := &k.job.tasks[k.i]; task.state == placed && task.inTxn && there(k) {
			task.recorded, task.inTxn = true, false
			p.out.Wake = append(p.out.Wake, task.machine.ID)
		}
	}
	p.revert(t, now, func(key) bool { return true })
	s.retry = now.Add(retryAfter)
	p.alarm(s.retry)
	p.changed = true
	return nil
}

// MachineRead takes in a machine's own record as read back, nil when there is
// none.
func (p *Part) MachineRead(id string, e *wire.Entry, now time.Time) error {
	m := p.machines[id]
	if m == nil {
		return nil
	}
	m.versionUnknown, m.txn = false, nil
	m.retry = now.Add(retryAfter)
	p.changed = true
	if e == nil {
		if m.version > 0 {
			p.forgetMachine(m, now) // records go only when the machine is gone
		}
		return nil
	}
	r, err := decode[record.Machine](*e)
	if err != nil {
		return err
	}
	if r.Part != p.id {
		p.forgetMachine(m, now)
		return nil
	}
	if e.Version != m.version {
		m.version = e.Version
		m.fenced = false
	}
	return nil
}
