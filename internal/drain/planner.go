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
	// OnDrained is how many of them are on machines that are cordoned.
	OnDrained  int
	Running    bool          // as far as reports tell
	Ran        time.Duration // since it began to run
	Estimate   time.Duration // of its run time; 0: it has no end of its own
	Checkpoint time.Duration // interval of its checkpoints; 0: it never saves
	Save       time.Duration // what saving takes
	Loss       time.Duration // work of all its tasks that is lost if it is stopped now
	Stopping   bool
	// HasRoom says that its tasks fit elsewhere now, HasSelectedRoom the same with
	// machines that are to be drained later.
	HasRoom, HasSelectedRoom bool
	OthersUp                 bool // all other replicas of its service run
}

// Machine is a machine of a part, with the work that is on it.
type Machine struct {
	ID, Type, Zone string
	Rented         time.Time
	Answers        bool // its reports arrive and answers reach it
	Units          []*Unit
}

// Input is what the next steps depend on.
type Input struct {
	Now      time.Time
	Settings *Settings
	View     *View
	Part     int
	Machines []*Machine     // of the part
	Zones    map[string]int // machines in service, of all parts, by zone
	// Bytes is the largest record that may be written.
	Bytes int
}

// Held is a machine of which some work waits, for whatever stands most in the way.
type Held struct {
	Drain, Machine string
	Reason         HoldReason
}

// Eviction is a unit that may be interrupted, on behalf of a machine.
type Eviction struct {
	Disruption
	Team string
	Lost time.Duration
}

// Steps are the next steps of a part.
type Steps struct {
	Cordon []string // of one drain, Drain
	Drain  string
	Evict  []Eviction // within the budgets
	Held   []Held
	// Replace are units that wait for room: machines are to be brought or rented ahead.
	Replace []*Unit
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

// Next decides a part's next steps. Ledgers are the teams' as they are to be written; what
// is granted is added to them.
func Next(in *Input, ledgers *Ledgers) Steps {
	var s Steps
	in.evictions(ledgers, &s)
	in.cordon(&s)
	return s
}

// drainOf returns the drain that a machine is cordoned for, nil if it is not.
func (in *Input) drainOf(m *Machine) (*Plan, Cordon) {
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
		plan, cordon := in.drainOf(m)
		if plan == nil {
			continue
		}
		worst := HoldReason("")
		for _, u := range m.Units {
			reason := in.hold(plan, cordon, m, u)
			if reason == HeldNoRoom && !seen[u.UnitID] {
				s.Replace = append(s.Replace, u)
			}
			if reason != "" {
				worst = reason
			} else if !seen[u.UnitID] {
				ready = append(ready, candidate{u, m, plan})
			}
			seen[u.UnitID] = true
		}
		if worst != "" {
			s.Held = append(s.Held, Held{plan.Name, m.ID, worst})
		}
	}
	in.grant(ready, ledgers, s)
}

// hold returns why a unit is not to be evicted yet, nothing if only the budget decides.
func (in *Input) hold(p *Plan, c Cordon, m *Machine, u *Unit) HoldReason {
	switch {
	case p.State != Active:
		return HeldPaused
	case u.Stopping:
		return HeldStopping
	case !m.Answers:
		return HeldUnreachable
	case p.late(in.Now):
		return ""
	case in.endsSoon(p, c, u):
		return HeldEndsSoon
	case checkpointDue(u):
		return HeldCheckpoint
	case u.Service && !u.OthersUp:
		return HeldReplica
	case !u.HasRoom && !(u.HasSelectedRoom && in.waited(c) >= in.Settings.Wait):
		return HeldNoRoom
	}
	return ""
}

// endsSoon reports whether a unit is let end by itself: what should end within the wait
// that one machine is given, by its estimate, until it is over that by half. Work that would
// lose nothing by moving is not waited for.
func (in *Input) endsSoon(p *Plan, c Cordon, u *Unit) bool {
	if !u.Running || u.Estimate <= 0 || u.Loss <= 0 {
		return false
	}
	longest := time.Duration(estimateSlack * float64(u.Estimate))
	if u.Ran >= longest {
		return false
	}
	if u.Task == WholeGang && float64(u.Ran) >= finalStretch*float64(u.Estimate) {
		return p.FinishBy != 0 || in.waited(c) < longest
	}
	return u.Estimate-u.Ran <= in.Settings.Wait && in.waited(c) < in.Settings.Wait
}

func (in *Input) waited(c Cordon) time.Duration { return in.Now.Sub(time.UnixMilli(c.Since)) }

// checkpointDue reports whether a unit is about to save by itself, after which stopping it
// loses next to nothing.
func checkpointDue(u *Unit) bool {
	if !u.Running || u.Checkpoint <= 0 {
		return false
	}
	left := u.Checkpoint - u.Ran%u.Checkpoint
	return left <= checkpointWait*u.Save && left < u.Checkpoint/2
}

// grant takes what the budgets allow of the units that may go, those that lose least first.
// A team's grants of one turn are all of one drain, as they share a write.
func (in *Input) grant(ready []candidate, ledgers *Ledgers, s *Steps) {
	slices.SortStableFunc(ready, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.unit.Loss, b.unit.Loss), cmp.Compare(len(a.machine.Units), len(b.machine.Units)),
			cmp.Compare(a.unit.Job, b.unit.Job), cmp.Compare(a.unit.Task, b.unit.Task))
	})
	granting := map[string]*Plan{} // by team
	for _, c := range ready {
		team := c.unit.Team
		if p := granting[team]; p != nil && p != c.plan {
			continue
		}
		e, reason := in.grantOne(c, ledgers)
		if reason != "" {
			s.Held = append(s.Held, Held{c.plan.Name, c.machine.ID, reason})
			continue
		}
		granting[team] = c.plan
		s.Evict = append(s.Evict, e)
	}
}

// grantOne adds a unit to its team's ledger if the budget allows it, or says why not.
func (in *Input) grantOne(c candidate, ledgers *Ledgers) (Eviction, HoldReason) {
	l := ledgers.of(c.unit.Team)
	if l.Find(c.unit.UnitID) != nil {
		return Eviction{}, HeldStopping // granted, or lost, and not back yet
	}
	d := Disruption{UnitID: c.unit.UnitID, Attempt: c.unit.Attempt, Part: in.Part, Class: c.unit.Class,
		Machine: c.machine.ID, Drain: c.plan.Name, At: in.Now.UnixMilli()}
	if l.Room(in.Settings.Budget(c.unit.Team), c.unit.Class, in.Now) <= 0 {
		if !c.plan.Force || !c.plan.late(in.Now) {
			return Eviction{}, HeldBudget
		}
		d.Forced = true
	}
	l.Add(d)
	if encodedSize(l) > in.Bytes {
		l.Withdraw(d.UnitID)
		return Eviction{}, HeldBudget // the record holds no more at a time
	}
	ledgers.touch(c.unit.Team)
	return Eviction{d, c.unit.Team, c.unit.Loss}, ""
}

// cordonsAtOnce bounds the machines that are chosen in one turn, which bounds what a turn
// computes: turns are a second apart, and a drain takes minutes.
const cordonsAtOnce = 16

// cordon chooses the machines that are drained next, for the oldest drain that may have more.
func (in *Input) cordon(s *Steps) {
	cordons := in.View.Cordons().Rec.Machines
	active, zones := map[string]int{}, map[string]int{}
	for _, c := range cordons {
		active[c.Drain]++
		zones[c.Zone]++
	}
	for _, p := range in.View.Plans() {
		if p.Rec.State != Active || active[p.Rec.Name] >= p.Rec.AtOnce {
			continue
		}
		var selected []*Machine
		for _, m := range in.Machines {
			if _, taken := cordons[m.ID]; !taken && p.Rec.Selects(m.ID, m.Type, m.Zone, m.Rented) {
				selected = append(selected, m)
			}
		}
		room := func(zone string) int { return in.Settings.zoneLimit(in.Zones[zone]) - zones[zone] }
		most := min(p.Rec.AtOnce-active[p.Rec.Name], cordonsAtOnce)
		if chosen := Choose(selected, most, room); len(chosen) > 0 {
			s.Cordon, s.Drain = chosen, p.Rec.Name
			return
		}
	}
}
