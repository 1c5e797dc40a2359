package drain

import (
	"cmp"
	"slices"
	"time"
)

// Unit is a unit of work, which is interrupted as one: a task or a whole gang.
type Unit struct {
	UnitID
	Team, Class string
	Attempt     uint64
	Service     bool
	Tasks       int // tasks that stop together
	// TasksOnCordoned is how many of the tasks are on cordoned machines.
	TasksOnCordoned    int
	Running            bool          // all tasks run, by the latest heartbeats
	RunTime            time.Duration // time since it began to run
	Estimate           time.Duration // estimated run time; 0 for work that does not end by itself
	CheckpointInterval time.Duration // 0: it saves no checkpoints
	SaveTime           time.Duration // how long saving a checkpoint takes
	LostWork           time.Duration // run time lost if it is stopped now, summed over its tasks
	Stopping           bool          // it is being stopped already
	// FitsElsewhere says that its tasks on cordoned machines fit on other machines now.
	// FitsOnSelected says the same but includes machines that are to be cordoned later.
	FitsElsewhere, FitsOnSelected bool
	OtherReplicasUp               bool // all other replicas of the service run
}

// Machine is a machine of a shard with the work on it.
type Machine struct {
	ID, Type, Zone string
	ProvisionedAt  time.Time
	Reachable      bool // its heartbeats arrive and responses reach it
	Units          []*Unit
}

// Input is what the next steps of a shard depend on.
type Input struct {
	Now      time.Time
	Settings *Settings
	View     *View
	Shard    int
	Machines []*Machine      // the shard's machines that are cordoned or selected by an active drain
	Zones    map[string]Zone // counts of the machines of all shards, by zone
	// MaxRecordBytes is the size of the largest record that may be written.
	MaxRecordBytes int
}

// HeldMachine is a selected machine that is not cordoned yet, or a cordoned machine with work that is
// not evicted yet, with the reason.
type HeldMachine struct {
	Drain, Machine string
	Reason         HoldReason
}

// Eviction is a granted eviction of a unit from the machine that its disruption names.
type Eviction struct {
	Disruption
	Team     string
	LostWork time.Duration // see Unit
}

// Steps are the next steps of a shard.
type Steps struct {
	Cordon    []string      // IDs of the machines to cordon
	Drain     string        // the drain that they are cordoned for
	Evictions []Eviction    // within the budgets, or forced
	Held      []HeldMachine // machines to cordon or evict from later
	// NeedCapacity lists the units that wait for room on other machines. Machines are to be transferred
	// to the shard or provisioned before the units are evicted.
	NeedCapacity []*Unit
}

const (
	// estimateSlack is the multiple of its estimate up to which work counts as ending soon: estimates
	// are often wrong by half.
	estimateSlack = 1.5
	// finalStretch is the fraction of its estimate from which on a running gang may finish even beyond
	// MaxWait: until the finish-by time or, if the drain has none, until its machine has been cordoned
	// for estimateSlack times the estimate.
	finalStretch = 0.75
	// checkpointWait is how long a drain waits for the next checkpoint of a task, as a multiple of the
	// time that saving takes. A stop right after the checkpoint needs no saving.
	checkpointWait = 2
)

// PlanSteps decides a shard's next steps. It adds the evictions that it grants to the ledgers.
func PlanSteps(in *Input, ledgers *Ledgers) Steps {
	var s Steps
	in.planEvictions(ledgers, &s)
	in.planCordons(&s)
	return s
}

// planFor returns the plan that a machine is cordoned for, and its cordon. The plan is nil if the
// machine is not cordoned or the plan has no record.
func (in *Input) planFor(m *Machine) (*Plan, Cordon) {
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

// candidate is a unit that may be evicted if the budget allows.
type candidate struct {
	unit    *Unit
	machine *Machine
	plan    *Plan
}

// planEvictions grants or holds each unit on the cordoned machines.
func (in *Input) planEvictions(ledgers *Ledgers, s *Steps) {
	var candidates []candidate
	seen := map[UnitID]bool{}
	for _, m := range in.Machines {
		plan, cordon := in.planFor(m)
		if plan == nil {
			continue
		}
		held := HoldReason("")
		for _, u := range m.Units {
			reason := in.holdReason(plan, cordon, m, u)
			if reason == HoldNoCapacity && !seen[u.UnitID] {
				s.NeedCapacity = append(s.NeedCapacity, u)
			}
			if reason != "" {
				held = reason
			} else if !seen[u.UnitID] {
				candidates = append(candidates, candidate{u, m, plan})
			}
			seen[u.UnitID] = true
		}
		if held != "" {
			s.Held = append(s.Held, HeldMachine{plan.Name, m.ID, held})
		}
	}
	in.grant(candidates, ledgers, s)
}

// holdReason returns why a unit is not to be evicted yet, or "" if that depends only on the budget.
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

// endsSoon reports whether a drain waits for a unit to end by itself. It does so if the unit will end
// within MaxWait by its estimate, or is a gang that may finish by finalStretch. It does not wait for a
// unit that has run for estimateSlack times its estimate or that loses nothing by an eviction.
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

// sinceCordoned returns how long a machine has been cordoned.
func (in *Input) sinceCordoned(c Cordon) time.Duration { return in.Now.Sub(time.UnixMilli(c.Since)) }

// checkpointDue reports whether a unit is about to save a checkpoint, after which an eviction loses
// almost nothing.
func checkpointDue(u *Unit) bool {
	if !u.Running || u.CheckpointInterval <= 0 {
		return false
	}
	remaining := u.CheckpointInterval - u.RunTime%u.CheckpointInterval
	return remaining <= checkpointWait*u.SaveTime && remaining < u.CheckpointInterval/2
}

// grant grants as many of the candidates as the budgets allow, those with the least lost work first. In
// one turn it grants a team's evictions for one drain only, since they share a write.
func (in *Input) grant(candidates []candidate, ledgers *Ledgers, s *Steps) {
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.unit.LostWork, b.unit.LostWork), cmp.Compare(len(a.machine.Units), len(b.machine.Units)),
			cmp.Compare(a.unit.Job, b.unit.Job), cmp.Compare(a.unit.Task, b.unit.Task))
	})
	granting := map[string]*Plan{} // by team
	for _, c := range candidates {
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

// grantEviction adds an eviction to the team's ledger if the budget allows it or the drain forces it.
// Otherwise it returns the reason why not.
func (in *Input) grantEviction(c candidate, ledgers *Ledgers) (Eviction, HoldReason) {
	l := ledgers.forTeam(c.unit.Team)
	if l.OpenDisruption(c.unit.UnitID) != nil {
		return Eviction{}, HoldStopping // already evicted or lost, and does not run again yet
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
		return Eviction{}, HoldBudgetExhausted // the record has no room for another open disruption
	}
	ledgers.markChanged(c.unit.Team)
	return Eviction{d, c.unit.Team, c.unit.LostWork}, ""
}

// maxCordonsPerTurn bounds the machines that are chosen in one turn, and so the computing time of a turn.
// That delays no drain: turns are a second apart, and a drain takes minutes.
const maxCordonsPerTurn = 16

// planCordons chooses the machines to cordon next, for the oldest drain that may cordon more.
func (in *Input) planCordons(s *Steps) {
	cordons := in.View.Cordons().Rec.Machines
	byDrain, byZone := map[string]int{}, map[string]int{}
	for _, c := range cordons {
		byDrain[c.Drain]++
		byZone[c.Zone]++
	}
	for _, p := range in.View.Plans() {
		if p.Rec.State != Active || byDrain[p.Rec.Name] >= p.Rec.MaxConcurrent {
			continue
		}
		var selected []*Machine
		for _, m := range in.Machines {
			if _, cordoned := cordons[m.ID]; !cordoned && p.Rec.Selects(m.ID, m.Type, m.Zone, m.ProvisionedAt) {
				selected = append(selected, m)
			}
		}
		room := func(zone string) int { return in.Settings.zoneLimit(in.Zones[zone]) - byZone[zone] }
		limit := min(p.Rec.MaxConcurrent-byDrain[p.Rec.Name], maxCordonsPerTurn)
		if chosen := Choose(selected, limit, room); len(chosen) > 0 {
			s.Cordon, s.Drain = chosen, p.Rec.Name
			return
		}
		for _, m := range selected {
			if byZone[m.Zone] == 0 && room(m.Zone) <= 0 {
				s.Held = append(s.Held, HeldMachine{p.Rec.Name, m.ID, HoldZone})
			}
		}
	}
}
