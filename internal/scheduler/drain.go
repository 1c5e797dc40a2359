package scheduler

import (
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Cordon says whether a machine takes new work, and whether it goes back once empty.
type Cordon uint8

// Cordons of a machine.
const (
	NotCordoned       Cordon = iota
	Cordoned                 // takes no new work
	CordonedForReturn        // and is given back once it is empty
)

// Interruption is a unit of work that stopped without having ended or been cancelled.
type Interruption struct {
	drain.Disruption
	Team string
}

// drained is what a part knows of drains.
type drained struct {
	changes uint64 // of the drains' view, as of which the cordons are
	watch   bool
	// replace are the tasks, by job, for which room is to be found ahead.
	replace map[*Job]int
}

// WatchInterruptions sets whether interruptions of running work are told.
func (s *Shard) WatchInterruptions(watch bool) { s.drained.watch = watch }

// CordonsAsOf returns the changes of the drains' view as of which the cordons were set.
func (s *Shard) CordonsAsOf() uint64 { return s.drained.changes }

// SetCordons sets which machines are cordoned and which are to be later, as of a number
// of changes of the drains' view.
func (s *Shard) SetCordons(changes uint64, of func(m *Machine) (c Cordon, later bool)) {
	s.drained.changes = changes
	for _, m := range s.machines {
		c, later := of(m)
		if m.cordon == c && m.avoided == later {
			continue
		}
		m.cordon, m.avoided = c, later
		s.index.update(m)
		s.changed = true
	}
}

// Rented returns when a machine was rented.
func (m *Machine) Rented() time.Time { return m.born }

// DrainMachines returns the part's machines that are cordoned, and with later also those
// that are to be, with their work, as the planner of drains needs to know them.
func (s *Shard) DrainMachines(later bool, now time.Time) []*drain.Machine {
	units := map[drain.UnitID]*drain.Unit{}
	var out []*drain.Machine
	for _, m := range s.machines {
		if m.Phase != record.InUse || (m.cordon == NotCordoned && !(later && m.avoided)) {
			continue
		}
		dm := &drain.Machine{ID: m.ID, Type: m.Type.Name, Zone: m.Zone, Rented: m.born, Reachable: s.answers(m, now)}
		had := map[drain.UnitID]bool{}
		for k := range m.on {
			id := unitOf(k)
			if units[id] == nil {
				units[id] = s.unit(k, now)
			}
			if !had[id] {
				had[id] = true
				dm.Units = append(dm.Units, units[id])
			}
		}
		out = append(out, dm)
	}
	return out
}

// answers reports whether a machine is heard and reached, so that it can carry out a stop.
func (s *Shard) answers(m *Machine, now time.Time) bool {
	return m.up && m.fenced && m.unreachableSince.IsZero() && now.Sub(m.reported) < s.suspectAfter()
}

// unitOf returns the unit that a task is interrupted with.
func unitOf(k key) drain.UnitID {
	if k.job.spec.Kind == wire.Gang {
		return drain.UnitID{Job: k.job.ref, Task: drain.WholeGang}
	}
	return drain.UnitID{Job: k.job.ref, Task: k.i}
}

// tasksOf returns the tasks of a unit.
func (j *Job) tasksOf(u drain.UnitID) []key {
	if u.Task != drain.WholeGang {
		if u.Task < 0 || u.Task >= len(j.tasks) {
			return nil
		}
		return []key{{j, u.Task}}
	}
	var out []key
	for i := range j.tasks {
		out = append(out, key{j, i})
	}
	return out
}

// unit describes the unit of a placed task.
func (s *Shard) unit(k key, now time.Time) *drain.Unit {
	j, spec := k.job, k.job.spec
	t := &j.tasks[k.i]
	u := &drain.Unit{
		UnitID: unitOf(k), Team: spec.Team, Class: spec.Class, Attempt: t.attempt, Service: spec.Kind == wire.Service, Tasks: 1,
		Estimate: wire.Seconds(spec.EstimateS), Checkpoint: wire.Seconds(spec.CheckpointS), SaveTime: wire.Seconds(spec.SaveS),
		Running: t.phase == wire.Running, Stopping: t.stop || j.cancelled, OtherReplicasUp: j.runningTasks >= len(j.tasks)-1,
	}
	if u.Running {
		u.RunTime = now.Sub(t.runSince)
	}
	if u.Task == drain.WholeGang {
		u.Tasks = len(j.tasks)
		u.Running = j.runningTasks == len(j.tasks)
	}
	u.LostWork = lost(spec, u)
	for _, o := range j.tasksOf(u.UnitID) {
		if m := j.tasks[o.i].machine; j.tasks[o.i].state == placed && m.cordon != NotCordoned {
			u.TasksOnCordoned++
		}
	}
	u.FitsElsewhere = u.TasksOnCordoned == 0 || s.hasRoom(j, u.TasksOnCordoned, false, now)
	u.FitsOnSelected = u.FitsElsewhere || s.hasRoom(j, u.TasksOnCordoned, true, now)
	return u
}

// lost is the work that is lost if a unit is stopped now with time to save, for all tasks.
func lost(spec *wire.Spec, u *drain.Unit) time.Duration {
	if !u.Running || u.Service {
		return 0
	}
	loss := u.RunTime
	if u.Checkpoint > 0 {
		loss = min(u.RunTime%u.Checkpoint, u.SaveTime)
	}
	return loss * time.Duration(u.Tasks)
}

// hasRoom reports whether n tasks of a job fit on machines that take new work now: also on
// those that are to be drained later, or on others only.
func (s *Shard) hasRoom(j *Job, n int, avoided bool, now time.Time) bool {
	zone := ""
	if j.spec.OneZone {
		for z := range j.zones {
			zone = z // the others of the gang stay there
		}
	}
	s.roomy(j.spec, now, func(m *Machine) {
		if n <= 0 || (m.avoided && !avoided) || m.keptFromOthers(j, now) || (zone != "" && m.Zone != zone) {
			return
		}
		for r := free(m); n > 0 && roomFor(j.spec, r.cpus, r.gpus, r.mem); r = r.less(j.spec, 1) {
			n--
		}
	})
	return n <= 0
}

// SetReplacements tells for which units room is to be found before they are evicted.
func (s *Shard) SetReplacements(units []*drain.Unit) {
	s.drained.replace = nil
	for _, u := range units {
		if j := s.jobs[u.Job]; j != nil && u.TasksOnCordoned > 0 {
			if s.drained.replace == nil {
				s.drained.replace = map[*Job]int{}
			}
			s.drained.replace[j] += u.TasksOnCordoned
		}
	}
}

// replacementNeeds are the needs for machines ahead of evictions. They come after what
// waits already, and take nothing from other work.
func (s *Shard) replacementNeeds() []fleet.Need {
	var out []fleet.Need
	for j, n := range s.drained.replace {
		if s.jobs[j.ref] != j {
			continue
		}
		need := j.need(n)
		need.Rank, need.Gang, need.Ahead = 0, false, true
		j.leaveCordoned(need.InZone)
		out = append(out, need)
	}
	return out
}

// leaveCordoned takes the tasks on cordoned machines out of a count by zone: what replaces
// them may come to where they are.
func (j *Job) leaveCordoned(inZone map[string]int) {
	if inZone == nil {
		return
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == placed && t.machine.cordon != NotCordoned {
			inZone[t.machine.Zone]--
		}
	}
}

// Evict stops a unit as a grant says, with time to save where that loses less. It does
// nothing if the unit is not there any more under that attempt, or stops already.
func (s *Shard) Evict(d drain.Disruption, now time.Time) {
	j := s.jobs[d.Job]
	if j == nil {
		return
	}
	for _, k := range j.tasksOf(d.UnitID) {
		t := &j.tasks[k.i]
		if t.state != placed || t.attempt != d.Attempt || t.stop || !t.recorded {
			continue
		}
		if d.Task != drain.WholeGang {
			s.reserveElsewhere(j, now)
		}
		s.giveWay(k, now)
		s.changed = true
	}
}

// reserveElsewhere keeps room for an evicted task, so that others don't take it first.
func (s *Shard) reserveElsewhere(j *Job, now time.Time) {
	var best *Machine
	top := 0.0
	s.roomy(j.spec, now, func(m *Machine) {
		if m.reserved != "" || !j.mayGoTo(m.Zone) {
			return
		}
		if v := s.score(j, m); best == nil || v > top || (v == top && m.ID < best.ID) {
			best, top = m, v
		}
	})
	if best != nil {
		s.reserve(best, j, 1, now.Add(reserveFor))
	}
}

// FateOf tells what became of a unit whose disruption is open.
func (s *Shard) FateOf(d drain.Disruption) drain.Outcome {
	j := s.jobs[d.Job]
	if j == nil {
		return drain.Recovered // its end is recorded
	}
	fate := drain.Unaffected
	for _, k := range j.tasksOf(d.UnitID) {
		switch s.taskFate(k, d.Attempt) {
		case drain.StillInterrupted:
			return drain.StillInterrupted
		case drain.Recovered:
			fate = drain.Recovered
		}
	}
	return fate
}

func (s *Shard) taskFate(k key, attempt uint64) drain.Outcome {
	t := &k.job.tasks[k.i]
	switch {
	case t.state == done:
		return drain.Recovered
	case t.state != placed || t.phase != wire.Running || t.stop:
		return drain.StillInterrupted
	case t.attempt > attempt:
		return drain.Recovered
	case t.attempt == attempt && t.seen && t.machine.fenced:
		return drain.Unaffected // a stop of an earlier owner would be refused
	}
	return drain.StillInterrupted
}

// noteInterruption tells that a running task is proven gone without having ended.
func (s *Shard) noteInterruption(k key) {
	t := &k.job.tasks[k.i]
	if !s.drained.watch || k.job.cancelled || (t.phase != wire.Running && t.phase != wire.Saving) {
		return
	}
	spec := k.job.spec
	s.out.Interrupted = append(s.out.Interrupted, Interruption{
		Disruption: drain.Disruption{UnitID: unitOf(k), Attempt: t.attempt, Shard: s.id, Class: spec.Class, Machine: t.machine.ID},
		Team:       spec.Team,
	})
}
