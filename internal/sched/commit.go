package sched

import (
	"slices"
	"sort"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// retryAfter is the pause after a transaction that the state service refused.
const retryAfter = 300 * time.Millisecond

// flush makes the transactions that bring the records up to the ledger.
func (p *Part) flush(now time.Time) {
	for ref, j := range p.dirty {
		if j.txn != nil || j.unsure || now.Before(j.retry) {
			continue
		}
		if t := p.jobTxn(j, now); t != nil {
			j.txn = t
			p.out.Txns = append(p.out.Txns, t)
		} else {
			delete(p.dirty, ref)
		}
	}
}

func (p *Part) jobTxn(j *Job, now time.Time) *Txn {
	open := record.OpenKey(p.id, j.ref)
	t := &Txn{Urgent: true, job: j}
	t.Body.If = []wire.Cond{p.cond(), {Key: open, Version: j.version}}
	switch {
	case j.cancelled && j.nPlaced > 0:
		return nil // its tasks must be gone first
	case j.cancelled, j.nDone == len(j.tasks):
		// The end: the state for ever, and no open record any more. Records
		// of placements that don't fit are left over, and ignored by a Load.
		t.ends = true
		t.Body.Then = append(t.Body.Then, wire.Op{Delete: open})
		if !j.cancelled {
			t.final = true
			t.Body.Then = append(t.Body.Then, wire.Op{Put: record.JobKey(j.ref), Value: record.Encode(record.Job{Part: p.id, State: wire.Done})})
		}
		for _, n := range j.chunkNumbers() {
			if c := j.chunks[n]; c.version > 0 && len(t.Body.Then) < p.cfg.TxnOps {
				t.Body.Then = append(t.Body.Then, wire.Op{Delete: record.RunKey(p.id, j.ref, n)})
			}
		}
		return t
	}
	// A lone change of what is placed or done. Ends that freed a place need no
	// write of their own: the next start rewrites the range.
	machines := map[string]uint64{}
	for _, n := range j.chunkNumbers() {
		c := j.chunks[n]
		if !c.dirty {
			continue
		}
		if len(t.Body.Then) >= p.cfg.TxnOps {
			break
		}
		run, starts, dones := p.runRecord(j, n, machines, 4*p.cfg.TxnOps-2-p.cfg.TxnOps)
		if len(starts) == 0 && len(dones) == 0 {
			c.dirty = false
			continue
		}
		t.chunks = append(t.chunks, n)
		t.starts = append(t.starts, starts...)
		t.dones = append(t.dones, dones...)
		key := record.RunKey(p.id, j.ref, n)
		t.Body.If = append(t.Body.If, wire.Cond{Key: key, Version: c.version})
		t.Body.Then = append(t.Body.Then, wire.Op{Put: key, Value: record.Encode(run)})
		c.dirty = false
	}
	if len(t.chunks) == 0 {
		return nil
	}
	ids := make([]string, 0, len(machines))
	for id := range machines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		t.Body.If = append(t.Body.If, wire.Cond{Key: record.MachineKey(id), Version: machines[id]})
	}
	for _, k := range t.starts {
		j.tasks[k.i].inTxn = true
	}
	return t
}

func (j *Job) chunkNumbers() []int {
	ns := make([]int, 0, len(j.chunks))
	for n := range j.chunks {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// runRecord is a range's record as the ledger has it, with as many new starts
// as conditions on their machines have room.
func (p *Part) runRecord(j *Job, n int, machines map[string]uint64, room int) (run record.Run, starts, dones []key) {
	c := j.chunks[n]
	run = record.Run{Attempt: c.attempt, On: map[int]record.Place{}}
	from, to := n*p.cfg.ChunkTasks, min((n+1)*p.cfg.ChunkTasks, len(j.tasks))
	for i := from; i < to; i++ {
		t := &j.tasks[i]
		switch t.state {
		case placed:
			if !t.recorded {
				if _, ok := machines[t.machine.ID]; !ok {
					if len(machines) >= room {
						continue
					}
					machines[t.machine.ID] = t.machine.version
				}
				starts = append(starts, key{j, i})
			}
			run.On[i] = record.Place{Machine: t.machine.ID, Attempt: t.attempt}
		case done:
			if !t.durable {
				dones = append(dones, key{j, i})
			}
			if l := len(run.Done); l > 0 && run.Done[l-1][1] == i-1 {
				run.Done[l-1][1] = i
			} else {
				run.Done = append(run.Done, [2]int{i, i})
			}
		}
	}
	return run, starts, dones
}

// machineTxns records phases, moves and the end of machines.
func (p *Part) machineTxn(m *Machine, rec record.Machine, now time.Time) {
	t := &Txn{Urgent: true, machine: m, phase: rec.Phase, moved: rec.Part != p.id}
	key := record.MachineKey(m.ID)
	t.Body.If = []wire.Cond{p.cond(), {Key: key, Version: m.version}}
	t.Body.Then = []wire.Op{{Put: key, Value: record.Encode(rec)}}
	m.txn = t
	p.out.Txns = append(p.out.Txns, t)
}

func (p *Part) record(m *Machine) record.Machine {
	return record.Machine{Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot, Part: p.id, Phase: m.Phase, Born: m.born.UnixMilli(), Images: m.images}
}

// Applied takes in that a transaction succeeded.
func (p *Part) Applied(t *Txn, revision uint64, now time.Time) {
	if m := t.machine; m != nil {
		m.txn = nil
		if t.remove || t.moved {
			p.forgetMachine(m, now)
			return
		}
		m.version = max(m.version, revision)
		m.fenced = false
		m.Phase = t.phase
		p.changed = true
		return
	}
	j := t.job
	j.txn = nil
	if t.ends {
		p.end(j)
		return
	}
	for _, n := range t.chunks {
		j.chunks[n].version = revision
	}
	for _, k := range t.starts {
		s := &j.tasks[k.i]
		if s.state != placed {
			continue
		}
		s.recorded, s.inTxn = true, false
		p.out.Wake = append(p.out.Wake, s.machine.ID)
	}
	for _, k := range t.dones {
		j.tasks[k.i].durable = true
	}
	p.dirty[j.ref] = j
	if j.nIdle > 0 {
		p.changed = true
	}
}

func (p *Part) end(j *Job) {
	j.pipe.Finish(j.ref, "")
	for i := range j.tasks {
		if j.tasks[i].state == placed {
			p.take(key{j, i}, time.Time{})
		}
	}
	delete(p.jobs, j.ref)
	delete(p.dirty, j.ref)
	p.changed = true
}

func (p *Part) forgetMachine(m *Machine, now time.Time) {
	for k := range m.on {
		p.lose(k, now)
	}
	m.gone = true
	delete(p.machines, m.ID)
	p.changed = true
}

// Conflict takes in that conditions failed: nothing was applied.
func (p *Part) Conflict(t *Txn, failed []string, now time.Time) {
	if slices.Contains(failed, record.PartKey(p.id)) {
		p.lost = true // somebody claimed the part: every later write fails too
		return
	}
	for _, k := range failed {
		if id, ok := cutPrefix(k, record.MachinePrefix); ok {
			if m := p.machines[id]; m != nil && !m.unsure {
				m.unsure = true
				p.out.RereadMachines = append(p.out.RereadMachines, id)
			}
		}
	}
	if t.machine != nil {
		t.machine.txn = nil
		t.machine.retry = now.Add(retryAfter)
		return
	}
	p.revert(t, now)
	p.reread(t.job)
}

func cutPrefix(s, prefix string) (string, bool) {
	if len(s) > len(prefix) && s[:len(prefix)] == prefix {
		return s[len(prefix):], true
	}
	return s, false
}

// Refused takes in that a transaction was not executed.
func (p *Part) Refused(t *Txn, now time.Time) {
	if t.machine != nil {
		t.machine.txn = nil
		t.machine.retry = now.Add(retryAfter)
		return
	}
	j := t.job
	j.txn = nil
	j.retry = now.Add(retryAfter)
	for _, k := range t.starts {
		j.tasks[k.i].inTxn = false
	}
	for _, n := range t.chunks {
		j.chunks[n].dirty = true
	}
	p.dirty[j.ref] = j
	p.alarm(j.retry)
}

// Unknown takes in that a transaction may have been, or may yet be, applied.
// The records are read back and decide.
func (p *Part) Unknown(t *Txn, now time.Time) {
	if m := t.machine; m != nil {
		if !m.unsure {
			m.unsure = true
			p.out.RereadMachines = append(p.out.RereadMachines, m.ID)
		}
		return
	}
	p.reread(t.job)
}

func (p *Part) reread(j *Job) {
	if !j.unsure {
		j.unsure = true
		p.out.RereadJobs = append(p.out.RereadJobs, j.ref)
	}
}

// revert takes back starts that were never recorded, and so never sent.
func (p *Part) revert(t *Txn, now time.Time) {
	j := t.job
	j.txn = nil
	for _, k := range t.starts {
		if s := &j.tasks[k.i]; s.state == placed && s.inTxn {
			p.take(k, now)
		}
	}
	for _, n := range t.chunks {
		j.chunks[n].dirty = true
	}
	if j.spec.Kind == wire.Gang {
		p.revertGang(j, now)
	}
	p.dirty[j.ref] = j
}

// revertGang takes back the placements of a gang of which a part could not be
// recorded. Those already recorded were not sent, so they go as well.
func (p *Part) revertGang(j *Job, now time.Time) {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == placed && !t.sent && !t.inherited && !t.inTxn {
			p.take(key{j, i}, now)
		}
	}
}

// JobRead takes in a job's records as read back. open is nil when there is none.
func (p *Part) JobRead(ref string, open *wire.Entry, runs []wire.Entry, now time.Time) error {
	j := p.jobs[ref]
	if j == nil || !j.unsure {
		return nil
	}
	t := j.txn
	if open == nil {
		p.end(j) // our final transaction was applied: only owners end a job
		return nil
	}
	j.unsure = false
	seen := map[int]bool{}
	for _, e := range runs {
		_, n, ok := record.SplitRunKey(e.Key)
		if !ok {
			continue
		}
		seen[n] = true
		r, err := decode[record.Run](e)
		if err != nil {
			return err
		}
		c := j.chunk(p.cfg, n*p.cfg.ChunkTasks)
		if e.Version == c.version {
			continue
		}
		c.version = e.Version
		c.attempt = max(c.attempt, r.Attempt)
		c.dirty = true
		if t == nil {
			continue // a write given up that came late: never sent, cleared by the next
		}
		for _, k := range t.starts {
			s := &j.tasks[k.i]
			if pl, ok := r.On[k.i]; ok && s.state == placed && s.inTxn && pl.Attempt == s.attempt && pl.Machine == s.machine.ID {
				s.recorded, s.inTxn = true, false
				p.out.Wake = append(p.out.Wake, s.machine.ID)
			}
		}
	}
	for n, c := range j.chunks {
		if !seen[n] && c.version > 0 {
			c.version = 0
			c.dirty = true
		}
	}
	if t != nil {
		p.revert(t, now)
	}
	p.dirty[ref] = j
	p.changed = true
	return p.SetJob(*open, now)
}

// MachineRead takes in a machine's record as read back, nil when there is none.
func (p *Part) MachineRead(id string, e *wire.Entry, now time.Time) error {
	m := p.machines[id]
	if m == nil {
		return nil
	}
	m.unsure = false
	t := m.txn
	m.txn = nil
	if e == nil {
		p.forgetMachine(m, now)
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
	if t != nil {
		m.retry = now.Add(retryAfter)
	}
	if e.Version != m.version {
		m.version = e.Version
		m.fenced = false
	}
	m.Phase = r.Phase
	p.changed = true
	return nil
}

// Returned takes in that the cloud answered a return with 200: the machine and
// all on it are gone. Its record goes too.
func (p *Part) Returned(id string, now time.Time) {
	m := p.machines[id]
	if m == nil {
		return
	}
	for k := range m.on {
		p.lose(k, now)
	}
	m.gone = true
	m.heard = now
	p.changed = true
}

// ReturnFailed takes in that a return was not answered: it is asked again.
func (p *Part) ReturnFailed(id string, now time.Time) {
	if m := p.machines[id]; m != nil {
		m.asked = false
		m.retry = now.Add(time.Second)
	}
}
