package drain

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Parameters of the simulated drains.
const (
	simStep     = 5 * time.Second  // time between two turns
	bootTime    = time.Minute      // from the cordon of a machine until a replacement is up
	restartTime = 30 * time.Second // from an eviction until the unit runs again
	simTeams    = 8
)

// simUnit is a unit with the facts that are hidden from the planner.
type simUnit struct {
	*Unit
	actualRunTime time.Duration
	startedAt     time.Time
	runsAgainAt   time.Time // after its eviction; zero: it was not evicted
}

// simulation is a generated fleet of which some machines are drained.
type simulation struct {
	machines      []*Machine     // the machines still to be drained
	units         []*simUnit     // the units on them at the beginning
	zones         map[string]int // machines of the fleet, by zone
	maxConcurrent int            // disruptions that the budget allows each team at a time
}

// generate returns a fleet of a number of machines, of which drained random ones are to be drained, without
// those that have no work. The work consists of gangs on 2 to 8 whole machines, tasks of arrays, and services.
func generate(r *rand.Rand, machines, drained int) *simulation {
	s := &simulation{zones: map[string]int{}}
	var all []*Machine
	for i := range machines {
		m := &Machine{ID: fmt.Sprintf("i-%05d", i), Type: "big", Zone: string(rune('a' + i%3)), ProvisionedAt: start.Add(-time.Hour), Reachable: true}
		s.zones[m.Zone]++
		all = append(all, m)
	}
	r.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	for at := 0; at < len(all); {
		if n := 2 + r.IntN(7); r.IntN(3) == 0 && at+n <= len(all) {
			s.addUnit(r, WholeGang, n, false, all[at:at+n]...)
			at += n
			continue
		}
		for range 1 + r.IntN(4) {
			s.addUnit(r, 0, 1, r.IntN(5) == 0, all[at])
		}
		at++
	}
	for _, m := range all[:drained] {
		if m.Units != nil {
			s.machines = append(s.machines, m)
		}
	}
	s.keepDrainedUnits()
	return s
}

// addUnit adds a unit with some tasks on some machines.
func (s *simulation) addUnit(r *rand.Rand, task, tasks int, service bool, on ...*Machine) {
	estimate := time.Duration(60+r.ExpFloat64()*1800) * time.Second
	u := &Unit{UnitID: UnitID{fmt.Sprintf("run-%06d", len(s.units)), task}, Team: fmt.Sprint("team-", r.IntN(simTeams)), Attempt: 1,
		Tasks: tasks, TasksOnCordoned: 1, Running: true, OtherReplicasUp: true, Service: service}
	x := &simUnit{Unit: u, actualRunTime: time.Duration(float64(estimate) * (0.5 + r.Float64())), startedAt: start}
	x.startedAt = start.Add(-time.Duration(r.Int64N(int64(x.actualRunTime))))
	if service {
		x.actualRunTime = 1000 * time.Hour
	} else {
		u.Estimate = estimate
	}
	if r.IntN(10) < 7 {
		u.CheckpointInterval, u.SaveTime = time.Duration(60+r.IntN(240))*time.Second, 5*time.Second
	}
	s.units = append(s.units, x)
	for _, m := range on {
		m.Units = append(m.Units, u)
	}
}

// keepDrainedUnits removes the units that are on no drained machine, and sets the teams' budget.
func (s *simulation) keepDrainedUnits() {
	on := map[UnitID]bool{}
	for _, m := range s.machines {
		for _, u := range m.Units {
			on[u.UnitID] = true
		}
	}
	var kept []*simUnit
	for _, u := range s.units {
		if on[u.UnitID] {
			kept = append(kept, u)
		}
	}
	s.units = kept
	s.maxConcurrent = max(1, len(kept)/simTeams/10)
}

// advanceTo updates the planner's input to a time.
func (s *simulation) advanceTo(now time.Time, v *View) {
	for _, u := range s.units {
		u.RunTime = now.Sub(u.startedAt)
		u.LostWork = lostWork(u.Unit)
	}
	for _, m := range s.machines {
		c, ok := v.cordons.Rec.Machines[m.ID]
		for _, u := range m.Units {
			u.FitsElsewhere = ok && now.Sub(time.UnixMilli(c.Since)) >= bootTime
		}
	}
}

// lostWork returns the work of all tasks of a unit that an eviction loses now.
func lostWork(u *Unit) time.Duration {
	loss := u.RunTime
	if u.Service {
		loss = 0
	} else if u.CheckpointInterval > 0 {
		loss = min(u.RunTime%u.CheckpointInterval, u.SaveTime)
	}
	return loss * time.Duration(u.Tasks)
}

// drainResult is the result of a simulated drain.
type drainResult struct {
	took      time.Duration // simulated
	evictions int
	lost      time.Duration // lost work, summed over tasks
	planning  time.Duration // real time of the longest turn
}

// run drains the machines and returns the result.
func (s *simulation) run(t testing.TB) drainResult {
	settings := testSettings(s.maxConcurrent)
	settings.ZoneShare, settings.Default.MaxInWindow = DefaultZoneShare, 12*s.maxConcurrent
	v := viewOf(t, testPlan(func(p *Plan) { p.MaxConcurrent = max(1, len(s.machines)/10) }))
	v.cordons.Rec = Cordons{Machines: map[string]Cordon{}}
	var result drainResult
	byID := map[UnitID]*simUnit{}
	for _, u := range s.units {
		byID[u.UnitID] = u
	}
	now := start
	for ; len(s.machines) > 0; now = now.Add(simStep) {
		s.advanceTo(now, v)
		in := &Input{Now: now, Settings: settings, View: v, Machines: s.machines, Zones: allServing(s.zones), MaxRecordBytes: 1 << 20}
		ledgers := NewLedgers(v)
		ledgers.CloseRecovered(0, func(d Disruption) Outcome {
			if now.Before(byID[d.UnitID].runsAgainAt) {
				return StillInterrupted
			}
			return Recovered
		}, now)
		began := time.Now()
		steps := PlanSteps(in, ledgers)
		result.planning = max(result.planning, time.Since(began))
		for team, l := range ledgers.byTeam {
			v.ledgers[ledgerName(team)] = Versioned[Ledger]{Rec: *l}
		}
		for _, e := range steps.Evictions {
			result.evictions++
			result.lost += e.LostWork
			byID[e.UnitID].runsAgainAt = now.Add(restartTime)
		}
		for _, id := range steps.Cordon {
			v.cordons.Rec.Machines[id] = Cordon{Drain: "d", Since: now.UnixMilli(), Zone: "a"}
		}
		s.removeEnded(now, v, byID)
	}
	result.took = now.Sub(start)
	return result
}

// allServing returns zones in which all machines take work.
func allServing(machines map[string]int) map[string]Zone {
	out := map[string]Zone{}
	for zone, n := range machines {
		out[zone] = Zone{Recorded: n, Serving: n}
	}
	return out
}

// removeEnded removes units that ended or were evicted, and cordoned machines that are empty.
func (s *simulation) removeEnded(now time.Time, v *View, byID map[UnitID]*simUnit) {
	var remaining []*Machine
	for _, m := range s.machines {
		var units []*Unit
		for _, u := range m.Units {
			if x := byID[u.UnitID]; x.runsAgainAt.IsZero() && x.RunTime < x.actualRunTime {
				units = append(units, u)
			}
		}
		m.Units = units
		if _, cordoned := v.cordons.Rec.Machines[m.ID]; cordoned && len(units) == 0 {
			delete(v.cordons.Rec.Machines, m.ID)
			continue
		}
		remaining = append(remaining, m)
	}
	s.machines = remaining
}

// evictAllAtOnce returns the result of evicting all units at the beginning.
func (s *simulation) evictAllAtOnce() (result drainResult) {
	s.advanceTo(start, NewView())
	for _, u := range s.units {
		result.evictions++
		result.lost += u.LostWork
	}
	return result
}

// lowerBound returns evictions and lost work that no drain of a duration can go below. A unit that does not
// end in time is evicted. It loses nothing if it saves checkpoints, and otherwise the work that it had done
// at the beginning.
func (s *simulation) lowerBound(duration time.Duration) (result drainResult) {
	for _, u := range s.units {
		if u.startedAt.Add(u.actualRunTime).Before(start.Add(duration)) {
			continue
		}
		result.evictions++
		if u.CheckpointInterval == 0 && !u.Service {
			result.lost += start.Sub(u.startedAt) * time.Duration(u.Tasks)
		}
	}
	return result
}

// BenchmarkDrain drains parts of generated fleets. It reports the results next to those of evicting all
// units at once and next to a lower bound.
func BenchmarkDrain(b *testing.B) {
	for _, machines := range []int{30, 300, 4000} {
		for _, part := range []int{10, 3} {
			b.Run(fmt.Sprintf("%d-of-%d", machines/part, machines), func(b *testing.B) {
				var drained, allAtOnce, bound total
				seed := uint64(0)
				for b.Loop() {
					s := generate(rand.New(rand.NewPCG(seed, uint64(machines))), machines, machines/part)
					original := *s
					allAtOnce.add(s.evictAllAtOnce())
					result := s.run(b)
					drained.add(result)
					bound.add(original.lowerBound(result.took))
					seed++
				}
				drained.report(b, "")
				allAtOnce.report(b, "at-once-")
				bound.report(b, "bound-")
				b.ReportMetric(drained.took.Seconds()/float64(b.N), "s/drain")
				b.ReportMetric(float64(drained.planning.Microseconds())/1000, "ms/longest-turn")
			})
		}
	}
}

// total sums up the results of drains.
type total struct{ drainResult }

func (t *total) add(result drainResult) {
	t.took += result.took
	t.evictions += result.evictions
	t.lost += result.lost
	t.planning = max(t.planning, result.planning)
}

// report reports the averages per drain as metrics whose names begin with a prefix.
func (t *total) report(b *testing.B, prefix string) {
	b.ReportMetric(float64(t.evictions)/float64(b.N), prefix+"evictions")
	b.ReportMetric(t.lost.Hours()/float64(b.N), prefix+"lost-h")
}

// BenchmarkChoice compares the cost of the greedy choice with the bound of a linear program and, for small
// fleets, with the least cost of all choices.
func BenchmarkChoice(b *testing.B) {
	for _, x := range []struct{ machines, drained, most int }{{30, 10, 3}, {300, 30, 6}, {300, 100, 10}, {300, 100, 30}, {4000, 1333, 133}} {
		b.Run(fmt.Sprintf("%d-of-%d-of-%d", x.most, x.drained, x.machines), func(b *testing.B) {
			var greedy, bound, rounded, exact float64
			var choosing, solving time.Duration
			seed := uint64(0)
			for b.Loop() {
				s := generate(rand.New(rand.NewPCG(seed, 9)), x.machines, x.drained)
				s.advanceTo(start, NewView())
				seed++
				began := time.Now()
				chosen := Choose(s.machines, x.most, func(string) int { return x.most })
				choosing += time.Since(began)
				greedy += s.costOf(chosen)
				if x.machines > maxSolvedMachines {
					continue
				}
				began = time.Now()
				lowest, chosenByProgram := s.solveRelaxation(b, len(chosen))
				solving += time.Since(began)
				bound += lowest
				rounded += s.costOf(chosenByProgram)
				if x.drained <= maxEnumeratedMachines {
					exact += s.leastCost(len(chosen))
				}
			}
			n := float64(b.N)
			b.ReportMetric(greedy/n, "cost-s")
			b.ReportMetric(bound/n, "bound-s")
			b.ReportMetric(rounded/n, "rounded-s")
			b.ReportMetric(exact/n, "exact-s")
			b.ReportMetric(choosing.Seconds()*1000/n, "ms/choice")
			b.ReportMetric(solving.Seconds()*1000/n, "ms/solved")
		})
	}
}

// maxSolvedMachines is the size of the largest fleet that the linear program is solved for: its dense
// tableau grows with the square of the number of machines.
const maxSolvedMachines = 300

// maxEnumeratedMachines is the most drained machines for which all choices are enumerated.
const maxEnumeratedMachines = 30

// costOf returns the cost in seconds of interrupting all units on the chosen machines.
func (s *simulation) costOf(chosen []string) float64 {
	in := map[string]bool{}
	for _, id := range chosen {
		in[id] = true
	}
	hit := map[UnitID]bool{}
	cost := 0.0
	for _, m := range s.machines {
		for _, u := range m.Units {
			if in[m.ID] && !hit[u.UnitID] {
				hit[u.UnitID] = true
				cost += u.cost().Seconds()
			}
		}
	}
	return cost
}

// solveRelaxation solves the choice of a number of machines as a linear program, with x of each machine
// between 0 and 1, and y of each unit no less than x of any machine that the unit is on. It returns the
// least cost in seconds, which no choice can go below, and the machines with the largest x.
func (s *simulation) solveRelaxation(t testing.TB, count int) (bound float64, rounded []string) {
	unitAt := map[UnitID]int{}
	var units []*Unit
	links := 0
	for _, m := range s.machines {
		for _, u := range m.Units {
			links++
			if _, ok := unitAt[u.UnitID]; !ok {
				unitAt[u.UnitID] = len(units)
				units = append(units, u)
			}
		}
	}
	machines := len(s.machines)
	rows, columns := 1+links+machines, machines+len(units)+links+machines
	a, b, c := mat.NewDense(rows, columns, nil), make([]float64, rows), make([]float64, columns)
	for i, u := range units {
		c[machines+i] = u.cost().Seconds()
	}
	b[0] = float64(count)
	row, slack := 1, machines+len(units)
	for i, m := range s.machines {
		a.Set(0, i, 1)
		for _, u := range m.Units { // y - x - slack = 0
			a.Set(row, machines+unitAt[u.UnitID], 1)
			a.Set(row, i, -1)
			a.Set(row, slack, -1)
			row, slack = row+1, slack+1
		}
		a.Set(row, i, 1) // x + slack = 1
		a.Set(row, slack, 1)
		b[row] = 1
		row, slack = row+1, slack+1
	}
	bound, x, err := lp.Simplex(c, a, b, 1e-9, nil)
	if err != nil {
		t.Fatalf("linear program: %v", err)
	}
	order := make([]int, machines)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(x[b], x[a]) })
	for _, i := range order[:count] {
		rounded = append(rounded, s.machines[i].ID)
	}
	return bound, rounded
}

// leastCost returns the least cost in seconds of all choices of a number of machines.
func (s *simulation) leastCost(count int) float64 {
	best := math.Inf(1)
	var try func(from int, chosen []string)
	try = func(from int, chosen []string) {
		if len(chosen) == count {
			best = min(best, s.costOf(chosen))
			return
		}
		for i := from; i < len(s.machines); i++ {
			try(i+1, append(chosen, s.machines[i].ID))
		}
	}
	try(0, nil)
	return best
}
