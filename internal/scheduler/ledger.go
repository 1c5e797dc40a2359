package scheduler

import (
	"fmt"
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// put sets task k on machine m in the ledger.
func (s *Shard) put(k key, m *Machine, attempt uint64, now time.Time) *task {
	j := k.job
	t := &j.tasks[k.i]
	*t = task{state: placed, attempt: attempt, machine: m}
	j.idleTasks--
	j.placedTasks++
	j.zones[m.Zone]++
	s.index.queue(j)
	span := j.spec
	m.on[k] = t
	s.index.holds(m, j.rank, 1)
	m.cpus += span.CPUs
	m.gpus += span.GPUs
	m.mem += span.MemoryGB
	u := s.usage(span.Team)
	u.cpus += span.CPUs
	u.gpus += span.GPUs
	m.idleSince = time.Time{}
	s.index.update(m)
	c := s.touch(k, now)
	c.attempt = max(c.attempt, attempt)
	c.slot.urgent = true
	t.steps = &steps{placed: now, cached: m.hasImage(span.Image)}
	return t
}

// take removes task k from its machine: it was proven gone, or never recorded.
func (s *Shard) take(k key, now time.Time) {
	j := k.job
	t := &j.tasks[k.i]
	m := t.machine
	spec := j.spec
	delete(m.on, k)
	s.index.holds(m, j.rank, -1)
	m.cpus -= spec.CPUs
	m.gpus -= spec.GPUs
	m.mem -= spec.MemoryGB
	if len(m.on) == 0 {
		m.cpus, m.gpus, m.mem = 0, 0, 0
		m.idleSince = now
	}
	s.index.update(m)
	if t.stop && !m.clearing() {
		delete(s.index.clearing, m)
	}
	t.reported(j, "")
	u := s.usage(spec.Team)
	u.cpus -= spec.CPUs
	u.gpus -= spec.GPUs
	*t = task{state: idle}
	j.placedTasks--
	j.idleTasks++
	if j.zones[m.Zone]--; j.zones[m.Zone] == 0 {
		delete(j.zones, m.Zone)
	}
	s.index.queue(j)
	j.firstIdle = min(j.firstIdle, k.i)
	s.touch(k, now)
	s.ends(j)
	s.changed = true
}

func (s *Shard) finish(k key, now time.Time) {
	j := k.job
	t := &j.tasks[k.i]
	if t.state == done {
		return
	}
	if t.state == placed {
		s.judge(t, reconcile.Finished)
		s.take(k, now)
	}
	*t = task{state: done}
	j.idleTasks--
	j.doneTasks++
	s.index.queue(j)
	j.fails = 0
	s.touch(k, now)
	s.ends(j)
	s.changed = true
}

// ends notes that a job may be over: its end is recorded with the next Step.
func (s *Shard) ends(j *Job) {
	if j.over() {
		s.ending[j.ref] = j
	}
}

// over reports whether nothing of a job is left to run or to be proven gone.
func (j *Job) over() bool {
	return (j.cancelled && j.placedTasks == 0 && !j.withheld) || (!j.cancelled && j.doneTasks == len(j.tasks))
}

// touch marks the range of a task as changed.
func (s *Shard) touch(k key, now time.Time) *chunk {
	c := s.chunk(k.job, k.i)
	if !c.slot.dirty {
		c.slot.dirty, c.slot.since = true, now
	}
	return c
}

func (s *Shard) nextAttempt(j *Job, i int) uint64 {
	if j.spec.Kind != wire.Gang {
		return s.chunk(j, i).attempt + 1
	}
	var a uint64
	for _, c := range j.chunks {
		a = max(a, c.attempt)
	}
	return a + 1
}

// SetJob takes in an unfinished job's record, new or changed.
func (s *Shard) SetJob(ref string, o record.ActiveJob, version uint64, now time.Time) {
	if o.Shard != s.id {
		return
	}
	j := s.jobs[ref]
	if j == nil {
		spec := o.Spec
		j = &Job{
			ref: ref, spec: &spec, accepted: time.UnixMilli(o.At), tasks: make([]task, spec.Tasks), idleTasks: spec.Tasks,
			zones: map[string]int{}, rank: Rank(spec.Priority), held: true,
		}
		s.jobs[ref] = j
		s.index.queue(j)
		switch {
		case o.Pipeline != "":
			j.line = s.lineOf(o.Pipeline)
		case len(spec.DependsOn) > 0:
			s.await(j)
		default:
			j.line = alone
		}
	}
	if version <= j.version {
		return
	}
	j.version = version
	if !o.AwaitsDependencies {
		s.free(j, time.UnixMilli(o.At), now)
	}
	if o.Cancelled {
		s.cancel(j, now)
	}
	s.changed = true
}

// free lets a held job start. What waits for it counts from then on.
func (s *Shard) free(j *Job, at, now time.Time) {
	if !j.held {
		return
	}
	j.held = false
	if j.accepted = at; now.Sub(at) < arrivalFade {
		s.arrive(j, now)
	}
	s.changed = true
}

// cancel ends a job: its end is recorded once nothing of it runs.
func (s *Shard) cancel(j *Job, now time.Time) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	for i := range j.tasks {
		k := key{j, i}
		if t := &j.tasks[i]; t.state == placed && !t.recorded && !t.inTxn {
			s.take(k, now) // never recorded, so never sent
		} else {
			s.stop(k, 0, now)
		}
	}
	s.ends(j)
}

// SetMachine takes in what the records say of a machine, new or changed.
func (s *Shard) SetMachine(id string, v record.View, now time.Time) error {
	m := s.machines[id]
	if v.Shard != s.id {
		if m != nil && v.Version > m.version && len(m.on) == 0 {
			s.forgetMachine(m, now)
		}
		return nil
	}
	if m == nil {
		if v.Phase == record.Gone {
			return nil
		}
		typ, ok := s.cfg.Types[v.Type]
		if !ok {
			return fmt.Errorf("machine %s: unknown type %q", id, v.Type)
		}
		m = &Machine{
			ID: id, Type: typ, Zone: v.Zone, Spot: v.Spot, born: time.UnixMilli(v.Born), on: map[key]*task{},
			images: v.Images, moveTo: -1, idleSince: now, heard: now,
		}
		s.machines[id] = m
		s.longestID = max(s.longestID, len(id))
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
	s.index.update(m)
	if m.Phase == record.Gone {
		s.forgetMachine(m, now)
	}
	s.changed = true
	return nil
}

// DropMachine takes in that no record names a machine any more: it is gone.
func (s *Shard) DropMachine(id string, now time.Time) {
	if m := s.machines[id]; m != nil {
		s.forgetMachine(m, now)
	}
}

// forgetMachine takes a machine out that is gone or another part's.
func (s *Shard) forgetMachine(m *Machine, now time.Time) {
	for k := range m.on {
		s.lose(k, now)
	}
	delete(s.machines, m.ID)
	delete(s.delayed, m)
	s.index.drop(m)
	s.changed = true
}

// SetBacklog tells how long changes wait for the state service's budget: the
// longer, the more of them share a write.
func (s *Shard) SetBacklog(d time.Duration) { s.backlog = min(d, maxBacklog) }

// maxBacklog bounds what a start waits for others on top of the usual.
const maxBacklog = time.Second

// SetBlind tells whether cancellations told to users by other controllers may
// be unknown here: nothing is started then, not even what was recorded before.
func (s *Shard) SetBlind(blind bool) { s.blind = blind }

// HasMachine reports whether the part holds a machine.
func (s *Shard) HasMachine(id string) bool { return s.machines[id] != nil }

// HasJob reports whether the part holds an unfinished job.
func (s *Shard) HasJob(ref string) bool { return s.jobs[ref] != nil }

// KnowsJob reports whether the part holds an unfinished job as its record of a version
// tells, or a later one.
func (s *Shard) KnowsJob(ref string, version uint64) bool {
	j := s.jobs[ref]
	return j != nil && j.version >= version
}

// Status returns a job's state for display.
func (s *Shard) Status(ref string) (wire.Status, bool) {
	j := s.jobs[ref]
	if j == nil {
		return wire.Status{}, false
	}
	status := wire.Status{Ref: ref, State: wire.Pending, Done: j.doneTasks, Running: j.runningTasks}
	if status.Running > 0 {
		status.State = wire.Running
	}
	return status, true
}

// stop asks for a task's end; it is never taken back for that attempt.
func (s *Shard) stop(k key, grace time.Duration, now time.Time) {
	t := &k.job.tasks[k.i]
	if t.state != placed {
		return
	}
	if !t.stop || grace < t.grace {
		t.stop, t.grace = true, grace
		s.index.clearing[t.machine] = struct{}{}
		s.index.toPush[t.machine] = struct{}{}
	}
}

// stopJob stops every placed task of a job.
func (s *Shard) stopJob(j *Job, grace time.Duration, now time.Time) {
	for i := range j.tasks {
		s.stop(key{j, i}, grace, now)
	}
}

// lose takes in that a placed task is proven gone without completing. A gang
// that has not started keeps waiting, and a replacement under the same attempt
// completes it; of one that runs, what was not saved is lost already, so the
// rest only holds places and is ended.
func (s *Shard) lose(k key, now time.Time) {
	s.judge(&k.job.tasks[k.i], reconcile.Missing)
	s.noteInterruption(k)
	s.take(k, now)
	if k.job.spec.Kind == wire.Gang && !k.job.gathering() {
		s.endAttempt(k.job, now)
	}
}

func (s *Shard) endAttempt(j *Job, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == placed && !t.stop {
			s.stop(key{j, i}, 0, now)
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
