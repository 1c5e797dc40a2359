package drain

import (
	"cmp"
	"slices"
	"time"
)

// Unit is work that is interrupted as one: a task, or a gang as a whole.
type Unit struct {
	UnitID
	Team, Class string
	Attempt     uint64
	Service     bool
	Tasks       int // that stop together
	// TasksOnCordoned is how many of them are on machines that are cordoned.
	TasksOnCordoned    int
	Running            bool          // as far as heartbeats tell
	RunTime            time.Duration // since it began to run
	Estimate           time.Duration // of its run time; 0: it has no end of its own
	CheckpointInterval time.Duration // interval of its checkpoints; 0: it never saves
	SaveTime           time.Duration // what saving takes
	LostWork           time.Duration // work of all its tasks that is lost if it is stopped now
	Stopping           bool
	// FitsElsewhere says that its tasks fit elsewhere now, HasSelectedRoom the same with
	// machines that are to be drained later.
	FitsElsewhere, FitsOnSelected bool
	OtherReplicasUp               bool // all other replicas of its service run
}

// Machine is a machine of a shard, with the work that is on it.
type Machine struct {
	ID, Type, Zone string
	ProvisionedAt  time.Time
	Reachable      bool // its heartbeats arrive and responses reach it
	Units          []*Unit
}

// Input is what the next steps depend on.
type Input struct {
	Now      time.Time
	Settings *Settings
	View     *View
	Shard    int
	Machines []*Machine      // of the shard
	Zones    map[string]Zone // the machines of all shards, by zone
	// MaxRecordBytes is the largest record that may be written.
	MaxRecordBytes int
}

// HeldMachine is a machine of which some work waits, for whatever stands most in the way.
type HeldMachine struct {
	Drain, Machine string
	Reason         HoldReason
}

// Eviction is a unit that may be interrupted, on behalf of a machine.
type Eviction struct {
	Disruption
	Team     string
	LostWork time.Duration
}

// Steps are the next steps of a shard.
type Steps struct {
	Cordon    []string // of one drain, Drain
	Drain     string
	Evictions []Eviction // within the budgets
	Held      []HeldMachine
	// NeedCapacity are units that wait for room: machines are to be moved here or provisioned ahead.
	NeedCapacity []*Unit
}

// Estimates are often wrong by half: work counts as ending soon for up to estimateSlack
// times its estimate. A gang that has run for finalStretch of its own is let finish as long
// as the finish-by time permits, whatever else bounds the wait.
const (
	estimateSlack = 1.5
	finalStretch  = 0.75
	// checkpointWait is how long a drain waits for a checkpoint that makes saving
	// unnecessary, in times of what saving takes.
	checkpointWait = 2
)

// PlanSteps decides a shard's next steps. Ledgers are the teams' as they are to be written; what
// is granted is added to them.
func PlanSteps(in *Input, ledgers *Ledgers) Steps {
	var s Steps
	in.evictions(ledgers, &s)
	in.cordon(&s)
	return s
}

// drainFor returns the drain that a machine is cordoned for, nil if it is not.
func (in *Input) drainFor(m *Machine) (*Plan, Cordon) {
	c, ok := in.View.Cordons().Rec.Machines[m.ID]
	if !ok {
		return nil, c
	}
	p, ok := in.View.Plan(c.Drain)
	if !ok {
		return nil, c
	}
	return &p.Rec, c
}

// candidate is a unit that may be evicted, budget permitting.
type candidate struct {
	unit    *Unit
	machine *Machine
	plan    *Plan
}

// evictions decides for each unit on the cordoned machines.
func (in *Input) evictions(ledgers *Ledgers, s *Steps) {
	var ready []candidate
	seen := map[UnitID]bool{}
	for _, m := range in.Machines {
		plan, cordon := in.drainFor(m)
		if plan == nil {
			continue
		}
		worst := HoldReason("")
		for _, u := range m.Units {
			reason := in.holdReason(plan, cordon, m, u)
			if reason == HoldNoCapacity && !seen[u.UnitID] {
				s.NeedCapacity = append(s.NeedCapacity, u)
			}
			if reason != "" {
				worst = reason
			} else if !seen[u.UnitID] {
				ready = append(ready, candidate{u, m, plan})
			}
			seen[u.UnitID] = true
		}
		if worst != "" {
			s.Held = append(s.Held, HeldMachine{plan.Name, m.ID, worst})
		}
	}
	in.grant(ready, ledgers, s)
}

// holdReason returns why a unit is not to be evicted yet, nothing if only the budget decides.
func (in *Input) holdReason(p *Plan, c Cordon, m *Machine, u *Unit) HoldReason {
	switch {
	case p.State != Active:
		return HoldPaused
	case u.Stopping:
		return HoldStopping
	case !m.Reachable:
		return HoldUnreachable
	case p.pastDeadline(in.Now):
		return ""
	case in.endsSoon(p, c, u):
		return HoldEndsSoon
	case checkpointDue(u):
		return HoldCheckpointDue
	case u.Service && !u.OtherReplicasUp:
		return HoldReplicaDown
	case !u.FitsElsewhere && !(u.FitsOnSelected && in.sinceCordoned(c) >= in.Settings.MaxWait):
		return HoldNoCapacity
	}
	return ""
}

// endsSoon reports whether a unit is let end by itself: what should end within the wait
// that one machine is given, by its estimate, until it is over that by half. Work that would
// lose nothing by moving is not waited for.
func (in *Input) endsSoon(p *Plan, c Cordon, u *Unit) bool {
	if !u.Running || u.Estimate <= 0 || u.LostWork <= 0 {
		return false
	}
	longest := time.Duration(estimateSlack * float64(u.Estimate))
	if u.RunTime >= longest {
		return false
	}
	if u.Task == WholeGang && float64(u.RunTime) >= finalStretch*float64(u.Estimate) {
		return p.FinishBy != 0 || in.sinceCordoned(c) < longest
	}
	return u.Estimate-u.RunTime <= in.Settings.MaxWait && in.sinceCordoned(c) < in.Settings.MaxWait
}

func (in *Input) sinceCordoned(c Cordon) time.Duration { return in.Now.Sub(time.UnixMilli(c.Since)) }

// checkpointDue reports whether a unit is about to save by itself, after which stopping it
// loses next to nothing.
func checkpointDue(u *Unit) bool {
	if !u.Running || u.CheckpointInterval <= 0 {
		return false
	}
	left := u.CheckpointInterval - u.RunTime%u.CheckpointInterval
	return left <= checkpointWait*u.SaveTime && left < u.CheckpointInterval/2
}

// grant takes what the budgets allow of the units that may go, those that lose least first.
// A team's grants of one turn are all of one drain, as they share a write.
func (in *Input) grant(ready []candidate, ledgers *Ledgers, s *Steps) {
	slices.SortStableFunc(ready, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.unit.LostWork, b.unit.LostWork), cmp.Compare(len(a.machine.Units), len(b.machine.Units)),
			cmp.Compare(a.unit.Job, b.unit.Job), cmp.Compare(a.unit.Task, b.unit.Task))
	})
	granting := map[string]*Plan{} // by team
	for _, c := range ready {
		team := c.unit.Team
		if p := granting[team]; p != nil && p != c.plan {
			continue
		}
		e, reason := in.grantEviction(c, ledgers)
		if reason != "" {
			s.Held = append(s.Held, HeldMachine{c.plan.Name, c.machine.ID, reason})
			continue
		}
		granting[team] = c.plan
		s.Evictions = append(s.Evictions, e)
	}
}

// grantEviction adds a unit to its team's ledger if the budget allows it, or says why not.
func (in *Input) grantEviction(c candidate, ledgers *Ledgers) (Eviction, HoldReason) {
	l := ledgers.forTeam(c.unit.Team)
	if l.OpenDisruption(c.unit.UnitID) != nil {
		return Eviction{}, HoldStopping // granted, or lost, and not back yet
	}
	d := Disruption{UnitID: c.unit.UnitID, Attempt: c.unit.Attempt, Shard: in.Shard, Class: c.unit.Class,
		Machine: c.machine.ID, Drain: c.plan.Name, At: in.Now.UnixMilli()}
	if l.Available(in.Settings.Budget(c.unit.Team), c.unit.Class, in.Now) <= 0 {
		if !c.plan.Force || !c.plan.pastDeadline(in.Now) {
			return Eviction{}, HoldBudgetExhausted
		}
		d.Forced = true
	}
	l.Add(d)
	if encodedSize(l) > in.MaxRecordBytes {
		l.Withdraw(d.UnitID)
		return Eviction{}, HoldBudgetExhausted // the record holds no more at a time
	}
	ledgers.markChanged(c.unit.Team)
	return Eviction{d, c.unit.Team, c.unit.LostWork}, ""
}

// maxCordonsPerTurn bounds the machines that are chosen in one turn, which bounds what a turn
// computes: turns are a second apart, and a drain takes minutes.
const maxCordonsPerTurn = 16

// cordon chooses the machines that are drained next, for the oldest drain that may have more.
func (in *Input) cordon(s *Steps) {
	cordons := in.View.Cordons().Rec.Machines
	active, zones := map[string]int{}, map[string]int{}
	for _, c := range cordons {
		active[c.Drain]++
		zones[c.Zone]++
	}
	for _, p := range in.View.Plans() {
		if p.Rec.State != Active || active[p.Rec.Name] >= p.Rec.MaxConcurrent {
			continue
		}
		var selected []*Machine
		for _, m := range in.Machines {
			if _, taken := cordons[m.ID]; !taken && p.Rec.Selects(m.ID, m.Type, m.Zone, m.ProvisionedAt) {
				selected = append(selected, m)
			}
		}
		room := func(zone string) int { return in.Settings.zoneLimit(in.Zones[zone]) - zones[zone] }
		most := min(p.Rec.MaxConcurrent-active[p.Rec.Name], maxCordonsPerTurn)
		if chosen := Choose(selected, most, room); len(chosen) > 0 {
			s.Cordon, s.Drain = chosen, p.Rec.Name
			return
		}
		for _, m := range selected {
			if zones[m.Zone] == 0 && room(m.Zone) <= 0 {
				s.Held = append(s.Held, HeldMachine{p.Rec.Name, m.ID, HoldZone})
			}
		}
	}
}
