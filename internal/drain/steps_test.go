package drain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// testPlan returns a valid plan of the drain d with a change.
func testPlan(change func(*Plan)) Plan {
	p := Plan{Name: "d", Selector: Selector{Types: []string{"big"}}, MaxConcurrent: 4, State: Active, Created: start.UnixMilli()}
	change(&p)
	return p
}

// testSettings returns settings whose default budget allows a number of concurrent disruptions.
func testSettings(maxConcurrent int) *Settings {
	return &Settings{ZoneShare: 1, MaxWait: 10 * time.Minute,
		Default: Budget{Limit: Limit{MaxConcurrent: maxConcurrent, MaxInWindow: 10, Window: time.Hour}}}
}

func testMachine(id string, units ...*Unit) *Machine {
	return &Machine{ID: id, Type: "big", Zone: "a", ProvisionedAt: start.Add(-time.Hour), Reachable: true, Units: units}
}

// task returns a unit that only the budget may hold.
func task(n int) *Unit {
	return &Unit{UnitID: UnitID{"run-000001", n}, Team: "team", Attempt: 1, Tasks: 1, TasksOnCordoned: 1, Running: true, FitsElsewhere: true, OtherReplicasUp: true}
}

// viewOf returns a view of a drain and of machines that are cordoned for it, all at version 7.
func viewOf(t testing.TB, p Plan, machines ...string) *View {
	t.Helper()
	v := NewView()
	c := Cordons{Machines: map[string]Cordon{}}
	for _, m := range machines {
		c.Machines[m] = Cordon{Drain: p.Name, Since: start.UnixMilli(), Zone: "a"}
	}
	for key, rec := range map[string]any{PlanKey(p.Name): p, CordonsKey: c} {
		if err := v.Apply(wire.Change{Put: key, Value: record.Encode(rec), Version: 7}); err != nil {
			t.Fatal(err)
		}
	}
	return v
}

// Each reason to hold work applies under its conditions and ends with them.
func TestHoldReasons(t *testing.T) {
	endsSoon := func(u *Unit) { u.Estimate, u.RunTime, u.LostWork = 5*time.Minute, time.Minute, time.Minute }
	finalStretchOfGang := func(u *Unit) {
		u.Task, u.Estimate, u.RunTime, u.LostWork = WholeGang, 2*time.Hour, 100*time.Minute, time.Hour
	}
	finishBy := func(d time.Duration) func(*Plan) {
		return func(p *Plan) { p.FinishBy = start.Add(d).UnixMilli() }
	}
	for _, x := range []struct {
		name  string
		unit  func(*Unit)
		plan  func(*Plan)
		after time.Duration // since the cordon
		want  HoldReason
	}{
		{name: "nothing", want: ""},
		{name: "ends soon", unit: endsSoon, want: HoldEndsSoon},
		{name: "ends soon, but has waited", unit: endsSoon, after: 10 * time.Minute},
		{name: "ends late", unit: func(u *Unit) { endsSoon(u); u.Estimate = time.Hour }},
		{name: "exceeds its estimate by half", unit: func(u *Unit) { endsSoon(u); u.RunTime = 450 * time.Second }},
		{name: "loses nothing", unit: func(u *Unit) { endsSoon(u); u.LostWork = 0 }},
		{name: "gang's final stretch", unit: finalStretchOfGang, plan: finishBy(9 * time.Hour), after: time.Hour, want: HoldEndsSoon},
		{name: "gang's final stretch, no finish-by", unit: finalStretchOfGang, after: time.Hour, want: HoldEndsSoon},
		{name: "gang's final stretch, waited for long", unit: finalStretchOfGang, after: 3 * time.Hour},
		{name: "gang's final stretch, past finish-by", unit: finalStretchOfGang, plan: finishBy(time.Minute), after: time.Hour},
		{name: "gang exceeds its estimate by half", unit: func(u *Unit) { finalStretchOfGang(u); u.RunTime = 3 * time.Hour }, plan: finishBy(9 * time.Hour)},
		{name: "checkpoint due", unit: func(u *Unit) {
			u.CheckpointInterval, u.SaveTime, u.RunTime = time.Minute, 5*time.Second, 55*time.Second
		}, want: HoldCheckpointDue},
		{name: "checkpoint just made", unit: func(u *Unit) {
			u.CheckpointInterval, u.SaveTime, u.RunTime = time.Minute, 5*time.Second, 61*time.Second
		}},
		{name: "no room", unit: func(u *Unit) { u.FitsElsewhere = false }, want: HoldNoCapacity},
		{name: "room on machines drained later", unit: func(u *Unit) { u.FitsElsewhere, u.FitsOnSelected = false, true }, want: HoldNoCapacity},
		{name: "room on machines drained later, waited for long", unit: func(u *Unit) { u.FitsElsewhere, u.FitsOnSelected = false, true }, after: 10 * time.Minute},
		{name: "no room, past finish-by", unit: func(u *Unit) { u.FitsElsewhere = false }, plan: finishBy(time.Minute), after: time.Hour},
		{name: "another replica is down", unit: func(u *Unit) { u.Service, u.OtherReplicasUp = true, false }, want: HoldReplicaDown},
		{name: "is stopping already", unit: func(u *Unit) { u.Stopping = true }, want: HoldStopping},
		{name: "paused", plan: func(p *Plan) { p.State = Paused }, want: HoldPaused},
	} {
		t.Run(x.name, func(t *testing.T) {
			u := task(0)
			if x.unit != nil {
				x.unit(u)
			}
			p := testPlan(func(p *Plan) {
				if x.plan != nil {
					x.plan(p)
				}
			})
			in := &Input{Now: start.Add(x.after), Settings: testSettings(1), View: viewOf(t, p, "m"), MaxRecordBytes: 1 << 14, Machines: []*Machine{testMachine("m", u)}}
			s := PlanSteps(in, NewLedgers(in.View))
			got := HoldReason("")
			if len(s.Held) > 0 {
				got = s.Held[0].Reason
			}
			if got != x.want || (len(s.Evictions) == 1) != (x.want == "") {
				t.Errorf("hold reason %q with %d evictions, want reason %q", got, len(s.Evictions), x.want)
			}
		})
	}
}

// Grants stay within the budget, also if more than the budget is in use already. Only force past the
// finish-by time exceeds it, and such evictions are marked as forced.
func TestGrantsKeepToTheBudget(t *testing.T) {
	for _, x := range []struct {
		maxConcurrent, inUse int
		force                bool
		want, forced         int
	}{{2, 0, false, 2, 0}, {2, 1, false, 1, 0}, {1, 3, false, 0, 0}, {0, 0, false, 0, 0}, {1, 0, true, 3, 2}} {
		p := testPlan(func(p *Plan) {
			if x.force {
				p.Force, p.FinishBy = true, start.Add(time.Minute).UnixMilli()
			}
		})
		in := &Input{Now: start.Add(time.Hour), Settings: testSettings(x.maxConcurrent), View: viewOf(t, p, "m"), MaxRecordBytes: 1 << 14,
			Machines: []*Machine{testMachine("m", task(0), task(1), task(2))}}
		ledgers := NewLedgers(in.View)
		for i := range x.inUse {
			ledgers.AddLosses([]Loss{{Disruption{UnitID: UnitID{Job: "lost", Task: i}}, "team"}})
		}
		s := PlanSteps(in, ledgers)
		forced := 0
		for _, e := range s.Evictions {
			if e.Forced {
				forced++
			}
		}
		if len(s.Evictions) != x.want || forced != x.forced {
			t.Errorf("case %+v: %d evictions, %d forced", x, len(s.Evictions), forced)
		}
	}
}

// Machines that share a gang are chosen together, and no more machines of a zone than allowed.
func TestChooseKeepsGangsTogether(t *testing.T) {
	gang := func(name string) *Unit {
		return &Unit{UnitID: UnitID{name, WholeGang}, Tasks: 2, LostWork: time.Minute}
	}
	a, b := gang("a"), gang("b")
	machines := []*Machine{testMachine("1", a), testMachine("2", b), testMachine("3", a), testMachine("4", b), testMachine("5", gang("c"), gang("e"))}
	all := func(string) int { return 10 }
	if got := Choose(machines, 2, all); !slices.Equal(got, []string{"1", "3"}) {
		t.Errorf("chose %v, want the machines 1 and 3 of one gang", got)
	}
	if got := Choose(machines, 4, func(string) int { return 3 }); len(got) != 3 {
		t.Errorf("chose %v of a zone that allows three, want three", got)
	}
	if got := Batches(machines, 2, map[string]int{"a": 5}, testSettings(1)); len(got) != 3 {
		t.Errorf("batches %v, want 3", got)
	}
}

// The view keeps the newest version of a record if changes arrive out of order, and drops a record that is
// replaced by a malformed one.
func TestViewAppliesRecordsInAnyOrder(t *testing.T) {
	v := NewView()
	put := func(version uint64, p Plan) error {
		return v.Apply(wire.Change{Put: PlanKey("d"), Value: record.Encode(p), Version: version})
	}
	newer := testPlan(func(p *Plan) { p.State = Paused })
	for _, err := range []error{put(5, newer), put(4, testPlan(func(*Plan) {})), v.Apply(wire.Change{Delete: PlanKey("d"), Version: 3})} {
		if err != nil {
			t.Error(err)
		}
	}
	if p, ok := v.Plan("d"); !ok || p.Rec.State != Paused || p.Version != 5 {
		t.Errorf("plan %+v, want the paused one at version 5", p)
	}
	if err := put(6, testPlan(func(p *Plan) { p.MaxConcurrent = 0 })); err == nil || len(v.Invalid()) != 1 {
		t.Errorf("a malformed record is applied: %v", err)
	}
	if _, ok := v.Plan("d"); ok {
		t.Error("the plan that the malformed record replaced is still there")
	}
	if err := v.Reset(nil, 9); err != nil || len(v.Invalid()) != 0 || v.InUse() {
		t.Errorf("after a reset without records: %v, want an empty view", err)
	}
	for _, key := range []string{LedgerKey("a b/c"), LedgerKey(fmt.Sprintf("%0300d", 1))} {
		if len(key) > 200 || slices.Contains([]byte(key), ' ') {
			t.Errorf("key %q is longer than 200 bytes or contains a space", key)
		}
	}
}
