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
	CordonedForRelease        // and is released once it is empty
)

// Interruption is a unit of work that stopped without having ended or been cancelled.
type Interruption struct {
	drain.Disruption
	Team string
}

// drainState is what a shard knows of drains.
type drainState struct {
	cordonsAsOf        uint64 // of the drains' view, as of which the cordons are
	watchInterruptions bool
	// replacements are the tasks, by job, for which room is to be found ahead.
	replacements map[*Job]int
}

// WatchInterruptions sets whether interruptions of running work are told.
func (s *Shard) WatchInterruptions(watch bool) { s.drains.watchInterruptions = watch }

// CordonsAsOf returns the changes of the drains' view as of which the cordons were set.
func (s *Shard) CordonsAsOf() uint64 { return s.drains.cordonsAsOf }

// SetCordons sets which machines are cordoned and which are to be later, as of a number
// of changes of the drains' view.
func (s *Shard) SetCordons(changes uint64, of func(m *Machine) (c Cordon, later bool)) {
	s.drains.cordonsAsOf = changes
	for _, m := range s.inventory.byID {
		c, later := of(m)
		if m.cordon == c && m.cordonedLater == later {
			continue
		}
		m.cordon, m.cordonedLater = c, later
		s.inventory.update(m)
		s.placementDue = true
	}
}

// ProvisionedAt returns when a machine was provisioned.
func (m *Machine) ProvisionedAt() time.Time { return m.provisionedAt }

// DrainMachines returns the shard's machines that are cordoned, and with later also those
// that are to be, with their work, as the planner of drains needs to know them.
func (s *Shard) DrainMachines(later bool, now time.Time) []*drain.Machine {
	units := map[drain.UnitID]*drain.Unit{}
	var out []*drain.Machine
	for _, m := range s.inventory.byID {
		if m.Phase != record.InUse || (m.cordon == NotCordoned && !(later && m.cordonedLater)) {
			continue
		}
		dm := &drain.Machine{ID: m.ID, Type: m.Type.Name, Zone: m.Zone, Rented: m.provisionedAt, Reachable: s.cfg.responsive(m, now)}
		had := map[drain.UnitID]bool{}
		for k := range m.tasks {
			id := unitOf(k)
			if units[id] == nil {
				units[id] = s.drainUnit(k, now)
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

// ServingByZone counts the machines that take work now, or would but for a cordon, by zone.
func (s *Shard) ServingByZone(now time.Time) map[string]int {
	out := map[string]int{}
	for _, m := range s.inventory.byID {
		if s.cfg.outOfService(m, now) == NotRefused {
			out[m.Zone]++
		}
	}
	return out
}

// responsive reports whether a machine is heard and reached, so that it can carry out a stop.
func (c *Config) responsive(m *Machine, now time.Time) bool {
	return m.contact.up && m.contact.fenced && m.contact.unreachableSince.IsZero() && now.Sub(m.contact.heartbeatAt) < c.suspectAfter()
}

// unitOf returns the unit that a task is interrupted with.
func unitOf(k taskKey) drain.UnitID {
	if k.job.spec.Kind == wire.Gang {
		return drain.UnitID{Job: k.job.ref, Task: drain.WholeGang}
	}
	return drain.UnitID{Job: k.job.ref, Task: k.index}
}

// tasksOf returns the tasks of a unit.
func (j *Job) tasksOf(u drain.UnitID) []taskKey {
	if u.Task != drain.WholeGang {
		if u.Task < 0 || u.Task >= len(j.tasks) {
			return nil
		}
		return []taskKey{{j, u.Task}}
	}
	var out []taskKey
	for i := range j.tasks {
		out = append(out, taskKey{j, i})
	}
	return out
}

// drainUnit describes the unit of a placed task.
func (s *Shard) drainUnit(k taskKey, now time.Time) *drain.Unit {
	j, spec := k.job, k.job.spec
	t := &j.tasks[k.index]
	u := &drain.Unit{
		UnitID: unitOf(k), Team: spec.Team, Class: spec.Class, Attempt: t.attempt, Service: spec.Kind == wire.Service, Tasks: 1,
		Estimate: wire.Seconds(spec.EstimateS), Checkpoint: wire.Seconds(spec.CheckpointS), SaveTime: wire.Seconds(spec.SaveS),
		Running: t.phase == wire.Running, Stopping: t.stopping || j.cancelled, OtherReplicasUp: j.progress.running >= len(j.tasks)-1,
	}
	if u.Running {
		u.RunTime = now.Sub(t.runningSince)
	}
	if u.Task == drain.WholeGang {
		u.Tasks = len(j.tasks)
		u.Running = j.progress.running == len(j.tasks)
	}
	u.LostWork = workLost(spec, u)
	for _, o := range j.tasksOf(u.UnitID) {
		if m := j.tasks[o.index].machine; j.tasks[o.index].state == placed && m.cordon != NotCordoned {
			u.TasksOnCordoned++
		}
	}
	u.FitsElsewhere = u.TasksOnCordoned == 0 || s.inventory.hasRoomFor(j, u.TasksOnCordoned, false, now)
	u.FitsOnSelected = u.FitsElsewhere || s.inventory.hasRoomFor(j, u.TasksOnCordoned, true, now)
	return u
}

// workLost is the work that is lost if a unit is stopped now with time to save, for all tasks.
func workLost(spec *wire.Spec, u *drain.Unit) time.Duration {
	if !u.Running || u.Service {
		return 0
	}
	loss := u.RunTime
	if u.Checkpoint > 0 {
		loss = min(u.RunTime%u.Checkpoint, u.SaveTime)
	}
	return loss * time.Duration(u.Tasks)
}

// hasRoomFor reports whether n tasks of a job fit on machines that take new work now: also on
// those that are to be drained later, or on others only.
func (x *inventory) hasRoomFor(j *Job, n int, avoided bool, now time.Time) bool {
	zone := j.requiredZone() // the others of the gang stay there
	x.eachFeasibleMachine(j.spec, now, func(m *Machine) {
		if n <= 0 || (m.cordonedLater && !avoided) || m.reservedForOther(j, now) || (zone != "" && m.Zone != zone) {
			return
		}
		n -= freeRoom(m).capacity(j.spec, n)
	})
	return n <= 0
}

// SetReplacements tells for which units room is to be found before they are evicted.
func (s *Shard) SetReplacements(units []*drain.Unit) {
	s.drains.replacements = nil
	for _, u := range units {
		if j := s.jobs[u.Job]; j != nil && u.TasksOnCordoned > 0 {
			if s.drains.replacements == nil {
				s.drains.replacements = map[*Job]int{}
			}
			s.drains.replacements[j] += u.TasksOnCordoned
		}
	}
}

// replacementNeeds are the needs for machines ahead of evictions. They come after what
// waits already, and take nothing from other work.
func (s *Shard) replacementNeeds() []fleet.Need {
	var out []fleet.Need
	for j, n := range s.drains.replacements {
		if s.jobs[j.ref] != j {
			continue
		}
		need := j.need(n)
		need.Rank, need.Gang, need.Ahead = 0, false, true
		j.discountCordoned(need.InZone)
		out = append(out, need)
	}
	return out
}

// discountCordoned takes the tasks on cordoned machines out of a count by zone: what replaces
// them may come to where they are.
func (j *Job) discountCordoned(inZone map[string]int) {
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
		t := &j.tasks[k.index]
		if t.state != placed || t.attempt != d.Attempt || t.stopping || !t.recorded {
			continue
		}
		if d.Task != drain.WholeGang {
			s.reserveElsewhere(j, now)
		}
		s.preemptTask(k, now)
		s.placementDue = true
	}
}

// reserveElsewhere reserves room for an evicted task, so that others don't take it first.
func (s *Shard) reserveElsewhere(j *Job, now time.Time) {
	var best *Machine
	top := 0.0
	s.inventory.eachFeasibleMachine(j.spec, now, func(m *Machine) {
		if m.reservation.job != "" || !j.allowsZone(m.Zone) {
			return
		}
		if v := j.score(m); best == nil || v > top || (v == top && m.ID < best.ID) {
			best, top = m, v
		}
	})
	if best != nil {
		s.inventory.reserve(best, j, 1, now.Add(preemptedReservation))
	}
}

// OutcomeOf tells what became of a unit whose disruption is open.
func (s *Shard) OutcomeOf(d drain.Disruption) drain.Outcome {
	j := s.jobs[d.Job]
	if j == nil {
		return drain.Recovered // its end is recorded
	}
	fate := drain.Unaffected
	for _, k := range j.tasksOf(d.UnitID) {
		switch k.outcomeOfDisruption(d.Attempt) {
		case drain.StillInterrupted:
			return drain.StillInterrupted
		case drain.Recovered:
			fate = drain.Recovered
		}
	}
	return fate
}

func (k taskKey) outcomeOfDisruption(attempt uint64) drain.Outcome {
	t := &k.job.tasks[k.index]
	switch {
	case t.state == completed:
		return drain.Recovered
	case t.state != placed || t.phase != wire.Running || t.stopping:
		return drain.StillInterrupted
	case t.attempt > attempt:
		return drain.Recovered
	case t.attempt == attempt && t.reported && t.machine.contact.fenced:
		return drain.Unaffected // a stop of an earlier owner would be refused
	}
	return drain.StillInterrupted
}

// recordInterruption tells that a running task is proven gone without having ended.
func (s *Shard) recordInterruption(k taskKey) {
	t := &k.job.tasks[k.index]
	if !s.drains.watchInterruptions || k.job.cancelled || (t.phase != wire.Running && t.phase != wire.Checkpointing) {
		return
	}
	spec := k.job.spec
	s.effects.Interrupted = append(s.effects.Interrupted, Interruption{
		Disruption: drain.Disruption{UnitID: unitOf(k), Attempt: t.attempt, Shard: s.id, Class: spec.Class, Machine: t.machine.ID},
		Team:       spec.Team,
	})
}
