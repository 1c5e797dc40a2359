package sched

import (
	"fmt"
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// put sets task k on machine m in the ledger.
func (p *Part) put(k key, m *Machine, attempt uint64, now time.Time) *task {
	j := k.job
	t := &j.tasks[k.i]
	*t = task{state: placed, attempt: attempt, machine: m}
	j.idleTasks--
	j.placedTasks++
	j.zones[m.Zone]++
	p.index.queue(j)
	s := j.spec
	m.on[k] = t
	p.index.holds(m, j.rank, 1)
	m.cpus += s.CPUs
	m.gpus += s.GPUs
	m.mem += s.MemoryGB
	u := p.usage(s.Team)
	u.cpus += s.CPUs
	u.gpus += s.GPUs
	m.idleSince = time.Time{}
	p.index.update(m)
	c := p.touch(k, now)
	c.attempt = max(c.attempt, attempt)
	c.slot.urgent = true
	t.steps = &steps{placed: now, cached: m.hasImage(s.Image)}
	return t
}

// take removes task k from its machine: it was proven gone, or never recorded.
func (p *Part) take(k key, now time.Time) {
	j := k.job
	t := &j.tasks[k.i]
	m := t.machine
	s := j.spec
	delete(m.on, k)
	p.index.holds(m, j.rank, -1)
	m.cpus -= s.CPUs
	m.gpus -= s.GPUs
	m.mem -= s.MemoryGB
	if len(m.on) == 0 {
		m.cpus, m.gpus, m.mem = 0, 0, 0
		m.idleSince = now
	}
	p.index.update(m)
	if t.stop && !m.clearing() {
		delete(p.index.clearing, m)
	}
	t.reported(j, "")
	u := p.usage(s.Team)
	u.cpus -= s.CPUs
	u.gpus -= s.GPUs
	*t = task{state: idle}
	j.placedTasks--
	j.idleTasks++
	if j.zones[m.Zone]--; j.zones[m.Zone] == 0 {
		delete(j.zones, m.Zone)
	}
	p.index.queue(j)
	j.firstIdle = min(j.firstIdle, k.i)
	p.touch(k, now)
	p.ends(j)
	p.changed = true
}

func (p *Part) finish(k key, now time.Time) {
	j := k.job
	t := &j.tasks[k.i]
	if t.state == done {
		return
	}
	if t.state == placed {
		p.judge(t, reconcile.Finished)
		p.take(k, now)
	}
	*t = task{state: done}
	j.idleTasks--
	j.doneTasks++
	p.index.queue(j)
	j.fails = 0
	p.touch(k, now)
	p.ends(j)
	p.changed = true
}

// ends notes that a job may be over: its end is recorded with the next Step.
func (p *Part) ends(j *Job) {
	if j.over() {
		p.ending[j.ref] = j
	}
}

// over reports whether nothing of a job is left to run or to be proven gone.
func (j *Job) over() bool {
	return (j.cancelled && j.placedTasks == 0 && !j.withheld) || (!j.cancelled && j.doneTasks == len(j.tasks))
}

// touch marks the range of a task as changed.
func (p *Part) touch(k key, now time.Time) *chunk {
	c := p.chunk(k.job, k.i)
	if !c.slot.dirty {
		c.slot.dirty, c.slot.since = true, now
	}
	return c
}

func (p *Part) nextAttempt(j *Job, i int) uint64 {
	if j.spec.Kind != wire.Gang {
		return p.chunk(j, i).attempt + 1
	}
	var a uint64
	for _, c := range j.chunks {
		a = max(a, c.attempt)
	}
	return a + 1
}

// SetJob takes in an unfinished job's record, new or changed.
func (p *Part) SetJob(ref string, o record.Open, version uint64, now time.Time) {
	if o.Part != p.id {
		return
	}
	j := p.jobs[ref]
	if j == nil {
		spec := o.Spec
		j = &Job{
			ref: ref, spec: &spec, accepted: time.UnixMilli(o.At), tasks: make([]task, spec.Tasks), idleTasks: spec.Tasks,
			zones: map[string]int{}, rank: Rank(spec.Priority), held: true,
		}
		p.jobs[ref] = j
		p.index.queue(j)
		switch {
		case o.Pipe != "":
			j.line = p.lineOf(o.Pipe)
		case len(spec.DependsOn) > 0:
			p.await(j)
		default:
			j.line = alone
		}
	}
	if version <= j.version {
		return
	}
	j.version = version
	if !o.Held {
		p.free(j, time.UnixMilli(o.At), now)
	}
	if o.Cancelled {
		p.cancel(j, now)
	}
	p.changed = true
}

// free lets a held job start. What waits for it counts from then on.
func (p *Part) free(j *Job, at, now time.Time) {
	if !j.held {
		return
	}
	j.held = false
	if j.accepted = at; now.Sub(at) < arrivalFade {
		p.arrive(j, now)
	}
	p.changed = true
}

// cancel ends a job: its end is recorded once nothing of it runs.
func (p *Part) cancel(j *Job, now time.Time) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	for i := range j.tasks {
		k := key{j, i}
		if t := &j.tasks[i]; t.state == placed && !t.recorded && !t.inTxn {
			p.take(k, now) // never recorded, so never sent
		} else {
			p.stop(k, 0, now)
		}
	}
	p.ends(j)
}

// SetMachine takes in what the records say of a machine, new or changed.
func (p *Part) SetMachine(id string, v record.View, now time.Time) error {
	m := p.machines[id]
	if v.Part != p.id {
		if m != nil && v.Version > m.version && len(m.on) == 0 {
			p.forgetMachine(m, now)
		}
		return nil
	}
	if m == nil {
		if v.Phase == record.Gone {
			return nil
		}
		typ, ok := p.cfg.Types[v.Type]
		if !ok {
			return fmt.Errorf("machine %s: unknown type %q", id, v.Type)
		}
		m = &Machine{
			ID: id, Type: typ, Zone: v.Zone, Spot: v.Spot, born: time.UnixMilli(v.Born), on: map[key]*task{},
			images: v.Images, moveTo: -1, idleSince: now, heard: now,
		}
		p.machines[id] = m
		p.longestID = max(p.longestID, len(id))
	}
	if v.Version > m.version {
		m.version = v.Version
		m.fenced = false
	}
	if v.Addr != "" {
		m.addressed = true
		if m.Addr == "" {
			m.Addr = v.Addr
		}
	}
	m.Phase = max(m.Phase, v.Phase)
	p.index.update(m)
	if m.Phase == record.Gone {
		p.forgetMachine(m, now)
	}
	p.changed = true
	return nil
}

// DropMachine takes in that no record names a machine any more: it is gone.
func (p *Part) DropMachine(id string, now time.Time) {
	if m := p.machines[id]; m != nil {
		p.forgetMachine(m, now)
	}
}

// forgetMachine takes a machine out that is gone or another part's.
func (p *Part) forgetMachine(m *Machine, now time.Time) {
	for k := range m.on {
		p.lose(k, now)
	}
	delete(p.machines, m.ID)
	delete(p.delayed, m)
	p.index.drop(m)
	p.changed = true
}

// SetBacklog tells how long changes wait for the state service's budget: the
// longer, the more of them share a write.
func (p *Part) SetBacklog(d time.Duration) { p.backlog = min(d, maxBacklog) }

// maxBacklog bounds what a start waits for others on top of the usual.
const maxBacklog = time.Second

// SetBlind tells whether cancellations told to users by other controllers may
// be unknown here: nothing is started then, not even what was recorded before.
func (p *Part) SetBlind(blind bool) { p.blind = blind }

// HasMachine reports whether the part holds a machine.
func (p *Part) HasMachine(id string) bool { return p.machines[id] != nil }

// HasJob reports whether the part holds an unfinished job.
func (p *Part) HasJob(ref string) bool { return p.jobs[ref] != nil }

// KnowsJob reports whether the part holds an unfinished job as its record of a version
// tells, or a later one.
func (p *Part) KnowsJob(ref string, version uint64) bool {
	j := p.jobs[ref]
	return j != nil && j.version >= version
}

// Status returns a job's state for display.
func (p *Part) Status(ref string) (wire.Status, bool) {
	j := p.jobs[ref]
	if j == nil {
		return wire.Status{}, false
	}
	s := wire.Status{Ref: ref, State: wire.Pending, Done: j.doneTasks, Running: j.runningTasks}
	if s.Running > 0 {
		s.State = wire.Running
	}
	return s, true
}

// stop asks for a task's end; it is never taken back for that attempt.
func (p *Part) stop(k key, grace time.Duration, now time.Time) {
	t := &k.job.tasks[k.i]
	if t.state != placed {
		return
	}
	if !t.stop || grace < t.grace {
		t.stop, t.grace = true, grace
		p.index.clearing[t.machine] = struct{}{}
		p.index.toPush[t.machine] = struct{}{}
	}
}

// stopJob stops every placed task of a job.
func (p *Part) stopJob(j *Job, grace time.Duration, now time.Time) {
	for i := range j.tasks {
		p.stop(key{j, i}, grace, now)
	}
}

// lose takes in that a placed task is proven gone without completing. A gang
// that has not started keeps waiting, and a replacement under the same attempt
// completes it; of one that runs, what was not saved is lost already, so the
// rest only holds places and is ended.
func (p *Part) lose(k key, now time.Time) {
	p.judge(&k.job.tasks[k.i], reconcile.Missing)
	p.noteInterruption(k)
	p.take(k, now)
	if k.job.spec.Kind == wire.Gang && !k.job.gathering() {
		p.endAttempt(k.job, now)
	}
}

func (p *Part) endAttempt(j *Job, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == placed && !t.stop {
			p.stop(key{j, i}, 0, now)
		}
	}
}

// gathering reports whether the placed tasks of a gang still wait for the
// others of their attempt, as far as their reports tell.
func (j *Job) gathering() bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != placed {
			continue
		}
		waits := t.phase == wire.Fetching || t.phase == wire.Gathering || (t.phase == "" && !t.inherited)
		if t.stop || !waits {
			return false
		}
	}
	return true
}

// attempt returns the attempt of a gang's placed tasks, 0 if there are none.
func (j *Job) attempt() uint64 {
	for i := range j.tasks {
		if j.tasks[i].state == placed {
			return j.tasks[i].attempt
		}
	}
	return 0
}
