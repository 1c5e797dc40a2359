package scheduler

import (
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Cordon says whether a machine takes new work, and whether it is released once it is empty.
type Cordon uint8

// Cordons of a machine.
const (
	NotCordoned        Cordon = iota
	Cordoned                  // takes no new work
	CordonedForRelease        // takes no new work and is released once it is empty
)

// Interruption is a unit of work that stopped without having completed or been cancelled.
type Interruption struct {
	drain.Disruption
	Team string
}

// drainState is a shard's state of drains.
type drainState struct {
	cordonsGeneration  uint64 // see CordonsGeneration
	watchInterruptions bool   // interruptions are reported in the effects
	// replacements counts by job the tasks for which room is to be found before their eviction.
	replacements map[*Job]int
}

// WatchInterruptions sets whether interruptions of running work are reported in the effects.
func (s *Shard) WatchInterruptions(watch bool) { s.drains.watchInterruptions = watch }

// CordonsGeneration returns the generation of the drain view that the cordons reflect (drain.View.Generation).
func (s *Shard) CordonsGeneration() uint64 { return s.drains.cordonsGeneration }

// SetCordons sets each machine's cordon and whether it is to be cordoned later, as cordonOf returns
// them. generation is that of the drain view from which cordonOf takes them.
func (s *Shard) SetCordons(generation uint64, cordonOf func(m *Machine) (c Cordon, later bool)) {
	s.drains.cordonsGeneration = generation
	for _, m := range s.inventory.byID {
		c, later := cordonOf(m)
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

// DrainMachines returns the shard's cordoned machines and the units of work on them, as input for
// the planner of drains. With later it includes the machines that are to be cordoned later.
func (s *Shard) DrainMachines(later bool, now time.Time) []*drain.Machine {
	units := map[drain.UnitID]*drain.Unit{}
	var out []*drain.Machine
	for _, m := range s.inventory.byID {
		if m.Phase != record.InUse || (m.cordon == NotCordoned && !(later && m.cordonedLater)) {
			continue
		}
		dm := &drain.Machine{ID: m.ID, Type: m.Type.Name, Zone: m.Zone, ProvisionedAt: m.provisionedAt, Reachable: s.cfg.responsive(m, now)}
		added := map[drain.UnitID]bool{}
		for k := range m.tasks {
			id := unitOf(k)
			if units[id] == nil {
				units[id] = s.drainUnit(k, now)
			}
			if !added[id] {
				added[id] = true
				dm.Units = append(dm.Units, units[id])
			}
		}
		out = append(out, dm)
	}
	return out
}

// ServingByZone counts, by zone, the machines that take work now, or would if they were not cordoned
// and no write or read of their records were under way.
func (s *Shard) ServingByZone(now time.Time) map[string]int {
	out := map[string]int{}
	for _, m := range s.inventory.byID {
		if s.cfg.outOfService(m, now) == NotRefused {
			out[m.Zone]++
		}
	}
	return out
}

// responsive reports whether a machine's heartbeats arrive and responses reach it, so that it can
// carry out a stop.
func (c *Config) responsive(m *Machine, now time.Time) bool {
	return m.contact.up && m.contact.fenced && m.contact.unreachableSince.IsZero() && now.Sub(m.contact.heartbeatAt) < c.suspectAfter()
}

// unitOf returns the unit of work that a task is interrupted with: its whole gang, or itself.
func unitOf(k taskKey) drain.UnitID {
	if k.job.spec.Kind == wire.Gang {
		return drain.UnitID{Job: k.job.ref, Task: drain.WholeGang}
	}
	return drain.UnitID{Job: k.job.ref, Task: k.index}
}

// tasksOf returns the tasks of a unit.
func (j *Job) tasksOf(u drain.UnitID) []taskKey {
	if u.Task != drain.WholeGang {
		if u.Task < 0 || u.Task >= j.tasks.len() {
			return nil
		}
		return []taskKey{{j, u.Task}}
	}
	var out []taskKey
	for i := range j.tasks.len() {
		out = append(out, taskKey{j, i})
	}
	return out
}

// drainUnit describes the unit of a placed task.
func (s *Shard) drainUnit(k taskKey, now time.Time) *drain.Unit {
	j, spec := k.job, k.job.spec
	t := j.tasks.at(k.index)
	u := &drain.Unit{
		UnitID: unitOf(k), Team: spec.Team, Class: spec.Class, Attempt: t.attempt, Service: spec.Kind == wire.Service, Tasks: 1,
		Estimate: wire.Seconds(spec.EstimateS), CheckpointInterval: wire.Seconds(spec.CheckpointS), SaveTime: wire.Seconds(spec.SaveS),
		Running: t.phase == wire.Running, Stopping: t.stopping || j.cancelled, OtherReplicasUp: j.progress.running >= j.tasks.len()-1,
	}
	if u.Running {
		u.RunTime = now.Sub(t.runningSince)
	}
	if u.Task == drain.WholeGang {
		u.Tasks = j.tasks.len()
		u.Running = j.progress.running == j.tasks.len()
	}
	u.LostWork = workLost(spec, u)
	for _, o := range j.tasksOf(u.UnitID) {
		if m := j.tasks.at(o.index).machine; j.tasks.at(o.index).state == placed && m.cordon != NotCordoned {
			u.TasksOnCordoned++
		}
	}
	u.FitsElsewhere = u.TasksOnCordoned == 0 || s.inventory.hasRoomFor(j, u.TasksOnCordoned, false, now)
	u.FitsOnSelected = u.FitsElsewhere || s.inventory.hasRoomFor(j, u.TasksOnCordoned, true, now)
	return u
}

// workLost returns how much work of all tasks of a unit is lost if it is stopped now with time to
// save a checkpoint.
func workLost(spec *wire.Spec, u *drain.Unit) time.Duration {
	if !u.Running || u.Service {
		return 0
	}
	loss := u.RunTime
	if u.CheckpointInterval > 0 {
		loss = min(u.RunTime%u.CheckpointInterval, u.SaveTime)
	}
	return loss * time.Duration(u.Tasks)
}

// hasRoomFor reports whether n tasks of a job fit on machines that take new work now. Machines that
// are to be cordoned later count only with includeLater.
func (inv *inventory) hasRoomFor(j *Job, n int, includeLater bool, now time.Time) bool {
	zone := j.requiredZone() // where the other tasks of the gang stay
	inv.eachFeasibleMachine(j.spec, now, func(m *Machine) {
		if n <= 0 || (m.cordonedLater && !includeLater) || m.reservedForOther(j, now) || (zone != "" && m.Zone != zone) {
			return
		}
		n -= freeRoom(m).capacity(j.spec, n)
	})
	return n <= 0
}

// SetReplacements sets the units for which room is to be found before they are evicted.
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

// replacementNeeds returns the demand for machines ahead of evictions. It ranks after that of the
// jobs that wait already, and takes nothing from other work.
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

// discountCordoned subtracts the tasks on cordoned machines from a count by zone: their
// replacements may run in the same zones.
func (j *Job) discountCordoned(inZone map[string]int) {
	if inZone == nil {
		return
	}
	for _, t := range j.tasks.placedTasks() {
		if t.machine.cordon != NotCordoned {
			inZone[t.machine.Zone]--
		}
	}
}

// Evict stops a unit for a granted disruption, with time to save a checkpoint if that loses less
// work. It skips tasks of the unit that are no longer placed under that attempt, that are already
// stopping, or whose placement is not recorded yet.
func (s *Shard) Evict(d drain.Disruption, now time.Time) {
	j := s.jobs[d.Job]
	if j == nil {
		return
	}
	for _, k := range j.tasksOf(d.UnitID) {
		t := j.tasks.at(k.index)
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

// reserveElsewhere reserves room for an evicted task, so that other jobs do not take it first.
func (s *Shard) reserveElsewhere(j *Job, now time.Time) {
	var best *Machine
	bestScore := 0.0
	s.inventory.eachFeasibleMachine(j.spec, now, func(m *Machine) {
		if m.reservation.job != "" || !j.allowsZone(m.Zone) {
			return
		}
		if score := j.score(m); best == nil || score > bestScore || (score == bestScore && m.ID < best.ID) {
			best, bestScore = m, score
		}
	})
	if best != nil {
		s.inventory.reserve(best, j, 1, now.Add(preemptedReservation))
	}
}

// OutcomeOf returns the outcome of an open disruption.
func (s *Shard) OutcomeOf(d drain.Disruption) drain.Outcome {
	j := s.jobs[d.Job]
	if j == nil {
		return drain.Recovered // its end is recorded
	}
	outcome := drain.Unaffected
	for _, k := range j.tasksOf(d.UnitID) {
		switch k.outcomeOfDisruption(d.Attempt) {
		case drain.StillInterrupted:
			return drain.StillInterrupted
		case drain.Recovered:
			outcome = drain.Recovered
		}
	}
	return outcome
}

// outcomeOfDisruption returns the outcome of a disruption for a task that was running under attempt.
func (k taskKey) outcomeOfDisruption(attempt uint64) drain.Outcome {
	t := k.job.tasks.at(k.index)
	switch {
	case t.state == completed:
		return drain.Recovered
	case t.state != placed || t.phase != wire.Running || t.stopping:
		return drain.StillInterrupted
	case t.attempt > attempt:
		return drain.Recovered
	case t.attempt == attempt && t.reported && t.machine.contact.fenced:
		return drain.Unaffected // the worker would refuse a stop by an earlier owner
	}
	return drain.StillInterrupted
}

// recordInterruption adds an interruption to the effects for a task that is proven gone without having
// completed. It does so only if interruptions are watched, the task was running or saving a
// checkpoint, and its job was not cancelled.
func (s *Shard) recordInterruption(k taskKey) {
	t := k.job.tasks.at(k.index)
	if !s.drains.watchInterruptions || k.job.cancelled || (t.phase != wire.Running && t.phase != wire.Checkpointing) {
		return
	}
	spec := k.job.spec
	s.effects.Interrupted = append(s.effects.Interrupted, Interruption{
		Disruption: drain.Disruption{UnitID: unitOf(k), Attempt: t.attempt, Shard: s.id, Class: spec.Class, Machine: t.machine.ID},
		Team:       spec.Team,
	})
}
