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

// The course of the simulated drains: a replacement is up after bootTime, and evicted work
// runs again after restartTime.
const (
	simStep     = 5 * time.Second
	bootTime    = time.Minute
	restartTime = 30 * time.Second
	simTeams    = 8
)

// simUnit is a unit with what the planner does not know.
type simUnit struct {
	*Unit
	length time.Duration // how long it really runs
	began  time.Time
	back   time.Time // when it runs again; zero: it was not evicted
}

// simulation is a generated fleet of which some machines are drained.
type simulation struct {
	machines []*Machine
	units    []*simUnit
	zones    map[string]int
	perTeam  int
}

// generate makes a fleet of so many machines, a part of which, the first drained, is to be
// drained: gangs of 2 to 8 whole machines, tasks of arrays and services.
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
			s.add(r, WholeGang, n, false, all[at:at+n]...)
			at += n
			continue
		}
		for range 1 + r.IntN(4) {
			s.add(r, 0, 1, r.IntN(5) == 0, all[at])
		}
		at++
	}
	for _, m := range all[:drained] {
		if m.Units != nil {
			s.machines = append(s.machines, m)
		}
	}
	s.keepDrained()
	return s
}

func (s *simulation) add(r *rand.Rand, task, tasks int, service bool, on ...*Machine) {
	estimate := time.Duration(60+r.ExpFloat64()*1800) * time.Second
	u := &Unit{UnitID: UnitID{fmt.Sprintf("run-%06d", len(s.units)), task}, Team: fmt.Sprint("team-", r.IntN(simTeams)), Attempt: 1,
		Tasks: tasks, TasksOnCordoned: 1, Running: true, OtherReplicasUp: true, Service: service}
	x := &simUnit{Unit: u, length: time.Duration(float64(estimate) * (0.5 + r.Float64())), began: start}
	x.began = start.Add(-time.Duration(r.Int64N(int64(x.length))))
	if service {
		x.length = 1000 * time.Hour
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

// keepDrained forgets the units that are on no machine that is drained.
func (s *simulation) keepDrained() {
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
	s.perTeam = max(1, len(kept)/simTeams/10)
}

// at brings what the planner is told up to a time.
func (s *simulation) at(now time.Time, v *View) {
	for _, u := range s.units {
		u.RunTime = now.Sub(u.began)
		u.LostWork = simLoss(u.Unit)
	}
	for _, m := range s.machines {
		c, ok := v.cordons.Rec.Machines[m.ID]
		for _, u := range m.Units {
			u.FitsElsewhere = ok && now.Sub(time.UnixMilli(c.Since)) >= bootTime
		}
	}
}

func simLoss(u *Unit) time.Duration {
	loss := u.RunTime
	if u.Service {
		loss = 0
	} else if u.CheckpointInterval > 0 {
		loss = min(u.RunTime%u.CheckpointInterval, u.SaveTime)
	}
	return loss * time.Duration(u.Tasks)
}

// outcome is what a drain came to.
type outcome struct {
	took      time.Duration
	evictions int
	lost      time.Duration
	planning  time.Duration // the longest turn
}

// run drains the machines and returns what that came to.
func (s *simulation) run(t testing.TB) outcome {
	settings := testSettings(s.perTeam)
	settings.ZoneShare, settings.Default.MaxInWindow = DefaultZoneShare, 12*s.perTeam
	v := viewOf(t, testPlan(func(p *Plan) { p.MaxConcurrent = max(1, len(s.machines)/10) }))
	v.cordons.Rec = Cordons{Machines: map[string]Cordon{}}
	var o outcome
	byID := map[UnitID]*simUnit{}
	for _, u := range s.units {
		byID[u.UnitID] = u
	}
	now := start
	for ; len(s.machines) > 0; now = now.Add(simStep) {
		s.at(now, v)
		in := &Input{Now: now, Settings: settings, View: v, Machines: s.machines, Zones: allServing(s.zones), MaxRecordBytes: 1 << 20}
		ledgers := NewLedgers(v)
		ledgers.CloseRecovered(0, func(d Disruption) Outcome {
			if now.Before(byID[d.UnitID].back) {
				return StillInterrupted
			}
			return Recovered
		}, now)
		began := time.Now()
		steps := PlanSteps(in, ledgers)
		o.planning = max(o.planning, time.Since(began))
		for team, l := range ledgers.byTeam {
			v.ledgers[ledgerName(team)] = Versioned[Ledger]{Rec: *l}
		}
		for _, e := range steps.Evictions {
			o.evictions++
			o.lost += e.LostWork
			byID[e.UnitID].back = now.Add(restartTime)
		}
		for _, id := range steps.Cordon {
			v.cordons.Rec.Machines[id] = Cordon{Drain: "d", Since: now.UnixMilli(), Zone: "a"}
		}
		s.empty(now, v, byID)
	}
	o.took = now.Sub(start)
	return o
}

// allServing is zones of which all machines take work.
func allServing(machines map[string]int) map[string]Zone {
	out := map[string]Zone{}
	for zone, n := range machines {
		out[zone] = Zone{Recorded: n, Serving: n}
	}
	return out
}

// empty takes out units that ended or were evicted, and machines that are empty.
func (s *simulation) empty(now time.Time, v *View, byID map[UnitID]*simUnit) {
	var left []*Machine
	for _, m := range s.machines {
		var units []*Unit
		for _, u := range m.Units {
			if x := byID[u.UnitID]; x.back.IsZero() && x.RunTime < x.length {
				units = append(units, u)
			}
		}
		m.Units = units
		if _, cordoned := v.cordons.Rec.Machines[m.ID]; cordoned && len(units) == 0 {
			delete(v.cordons.Rec.Machines, m.ID)
			continue
		}
		left = append(left, m)
	}
	s.machines = left
}

// atOnce is what evicting everything at the beginning costs, and best a bound that no drain
// of the same length can beat: what does not end in time loses nothing if it saves, and else
// what it had done at the beginning.
func (s *simulation) atOnce() (o outcome) {
	s.at(start, NewView())
	for _, u := range s.units {
		o.evictions++
		o.lost += u.LostWork
	}
	return o
}

func (s *simulation) best(within time.Duration) (o outcome) {
	for _, u := range s.units {
		if u.began.Add(u.length).Before(start.Add(within)) {
			continue
		}
		o.evictions++
		if u.CheckpointInterval == 0 && !u.Service {
			o.lost += start.Sub(u.began) * time.Duration(u.Tasks)
		}
	}
	return o
}

// BenchmarkDrain drains parts of generated fleets, beside evicting all at once and a bound
// of the best possible.
func BenchmarkDrain(b *testing.B) {
	for _, machines := range []int{30, 300, 4000} {
		for _, part := range []int{10, 3} {
			b.Run(fmt.Sprintf("%d-of-%d", machines/part, machines), func(b *testing.B) {
				var drained, once, best total
				seed := uint64(0)
				for b.Loop() {
					s := generate(rand.New(rand.NewPCG(seed, uint64(machines))), machines, machines/part)
					original := *s
					once.add(s.atOnce())
					o := s.run(b)
					drained.add(o)
					best.add(original.best(o.took))
					seed++
				}
				drained.report(b, "")
				once.report(b, "at-once-")
				best.report(b, "bound-")
				b.ReportMetric(drained.took.Seconds()/float64(b.N), "s/drain")
				b.ReportMetric(float64(drained.planning.Microseconds())/1000, "ms/longest-turn")
			})
		}
	}
}

// total sums up what drains came to.
type total struct{ outcome }

func (t *total) add(o outcome) {
	t.took += o.took
	t.evictions += o.evictions
	t.lost += o.lost
	t.planning = max(t.planning, o.planning)
}

func (t *total) report(b *testing.B, kind string) {
	b.ReportMetric(float64(t.evictions)/float64(b.N), kind+"evictions")
	b.ReportMetric(t.lost.Hours()/float64(b.N), kind+"lost-h")
}

// BenchmarkChoice compares the greedy choice with the bound of a linear program.
func BenchmarkChoice(b *testing.B) {
	for _, x := range []struct{ machines, drained, most int }{{30, 10, 3}, {300, 30, 6}, {300, 100, 10}, {300, 100, 30}, {4000, 1333, 133}} {
		b.Run(fmt.Sprintf("%d-of-%d-of-%d", x.most, x.drained, x.machines), func(b *testing.B) {
			var greedy, bound, rounded, exact float64
			var chose, solved time.Duration
			seed := uint64(0)
			for b.Loop() {
				s := generate(rand.New(rand.NewPCG(seed, 9)), x.machines, x.drained)
				s.at(start, NewView())
				seed++
				began := time.Now()
				chosen := Choose(s.machines, x.most, func(string) int { return x.most })
				chose += time.Since(began)
				greedy += s.costOf(chosen)
				if x.machines > largestSolved {
					continue
				}
				began = time.Now()
				least, byProgram := s.relaxed(b, len(chosen))
				solved += time.Since(began)
				bound += least
				rounded += s.costOf(byProgram)
				if x.drained <= largestTried {
					exact += s.exact(len(chosen))
				}
			}
			n := float64(b.N)
			b.ReportMetric(greedy/n, "cost-s")
			b.ReportMetric(bound/n, "bound-s")
			b.ReportMetric(rounded/n, "rounded-s")
			b.ReportMetric(exact/n, "exact-s")
			b.ReportMetric(chose.Seconds()*1000/n, "ms/choice")
			b.ReportMetric(solved.Seconds()*1000/n, "ms/solved")
		})
	}
}

// largestSolved is the largest fleet that the linear program is solved for: its dense
// tableau grows with the square of the machines.
const largestSolved = 300

// largestTried is the most machines of which all choices are tried.
const largestTried = 30

// costOf is the cost of the units on some machines.
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

// relaxed solves the choice of so many machines as a linear program: x of each machine
// between 0 and 1, and y of each unit no less than x of any machine that it is on. It
// returns the least cost, which no choice can beat, and the machines with the largest x.
func (s *simulation) relaxed(t testing.TB, most int) (bound float64, rounded []string) {
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
	b[0] = float64(most)
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
	for _, i := range order[:most] {
		rounded = append(rounded, s.machines[i].ID)
	}
	return bound, rounded
}

// exact tries all choices of so many machines.
func (s *simulation) exact(most int) float64 {
	best := math.Inf(1)
	var try func(from int, chosen []string)
	try = func(from int, chosen []string) {
		if len(chosen) == most {
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
