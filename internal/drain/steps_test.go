package drain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

func testPlan(change func(*Plan)) Plan {
	p := Plan{Name: "d", Selector: Selector{Types: []string{"big"}}, MaxConcurrent: 4, State: Active, Created: start.UnixMilli()}
	change(&p)
	return p
}

func testSettings(atOnce int) *Settings {
	return &Settings{ZoneShare: 1, MaxWait: 10 * time.Minute,
		Default: Budget{Limit: Limit{MaxConcurrent: atOnce, MaxInWindow: 10, Window: time.Hour}}}
}

func testMachine(id string, units ...*Unit) *Machine {
	return &Machine{ID: id, Type: "big", Zone: "a", ProvisionedAt: start.Add(-time.Hour), Reachable: true, Units: units}
}

// task is a unit that only the budget may hold.
func task(n int) *Unit {
	return &Unit{UnitID: UnitID{"run-000001", n}, Team: "team", Attempt: 1, Tasks: 1, TasksOnCordoned: 1, Running: true, FitsElsewhere: true, OtherReplicasUp: true}
}

// viewOf returns a view of a drain with machines cordoned for it.
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

// Each reason to hold work, and what ends it.
func TestHolds(t *testing.T) {
	soon := func(u *Unit) { u.Estimate, u.RunTime, u.LostWork = 5*time.Minute, time.Minute, time.Minute }
	stretch := func(u *Unit) {
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
		{name: "ends soon", unit: soon, want: HoldEndsSoon},
		{name: "ends soon, but has waited", unit: soon, after: 10 * time.Minute},
		{name: "ends late", unit: func(u *Unit) { soon(u); u.Estimate = time.Hour }},
		{name: "is over its estimate by half", unit: func(u *Unit) { soon(u); u.RunTime = 450 * time.Second }},
		{name: "loses nothing", unit: func(u *Unit) { soon(u); u.LostWork = 0 }},
		{name: "gang's last stretch", unit: stretch, plan: finishBy(9 * time.Hour), after: time.Hour, want: HoldEndsSoon},
		{name: "gang's last stretch, no finish-by", unit: stretch, after: time.Hour, want: HoldEndsSoon},
		{name: "gang's last stretch, waited for long", unit: stretch, after: 3 * time.Hour},
		{name: "gang's last stretch, past finish-by", unit: stretch, plan: finishBy(time.Minute), after: time.Hour},
		{name: "gang over its estimate by half", unit: func(u *Unit) { stretch(u); u.RunTime = 3 * time.Hour }, plan: finishBy(9 * time.Hour)},
		{name: "checkpoint due", unit: func(u *Unit) {
			u.CheckpointInterval, u.SaveTime, u.RunTime = time.Minute, 5*time.Second, 55*time.Second
		}, want: HoldCheckpointDue},
		{name: "checkpoint just made", unit: func(u *Unit) {
			u.CheckpointInterval, u.SaveTime, u.RunTime = time.Minute, 5*time.Second, 61*time.Second
		}},
		{name: "no room", unit: func(u *Unit) { u.FitsElsewhere = false }, want: HoldNoCapacity},
		{name: "room on machines drained later", unit: func(u *Unit) { u.FitsElsewhere, u.FitsOnSelected = false, true }, want: HoldNoCapacity},
		{name: "the same after the wait", unit: func(u *Unit) { u.FitsElsewhere, u.FitsOnSelected = false, true }, after: 10 * time.Minute},
		{name: "no room, past finish-by", unit: func(u *Unit) { u.FitsElsewhere = false }, plan: finishBy(time.Minute), after: time.Hour},
		{name: "another replica is down", unit: func(u *Unit) { u.Service, u.OtherReplicasUp = true, false }, want: HoldReplicaDown},
		{name: "stops already", unit: func(u *Unit) { u.Stopping = true }, want: HoldStopping},
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
				t.Errorf("held by %q, %d evictions; want %q", got, len(s.Evictions), x.want)
			}
		})
	}
}

// The budget holds what goes beyond it, also where it is lower than what is in use, and
// only force past the finish-by goes beyond, which is noted.
func TestGrantsKeepToTheBudget(t *testing.T) {
	for _, x := range []struct {
		atOnce, inUse int
		force         bool
		want, forced  int
	}{{2, 0, false, 2, 0}, {2, 1, false, 1, 0}, {1, 3, false, 0, 0}, {0, 0, false, 0, 0}, {1, 0, true, 3, 2}} {
		p := testPlan(func(p *Plan) {
			if x.force {
				p.Force, p.FinishBy = true, start.Add(time.Minute).UnixMilli()
			}
		})
		in := &Input{Now: start.Add(time.Hour), Settings: testSettings(x.atOnce), View: viewOf(t, p, "m"), MaxRecordBytes: 1 << 14,
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
			t.Errorf("%+v: %d evictions, %d forced", x, len(s.Evictions), forced)
		}
	}
}

// Machines that share gangs go together, and no more of a zone than may.
func TestChooseSharesGangs(t *testing.T) {
	gang := func(name string) *Unit {
		return &Unit{UnitID: UnitID{name, WholeGang}, Tasks: 2, LostWork: time.Minute}
	}
	a, b := gang("a"), gang("b")
	machines := []*Machine{testMachine("1", a), testMachine("2", b), testMachine("3", a), testMachine("4", b), testMachine("5", gang("c"), gang("e"))}
	all := func(string) int { return 10 }
	if got := Choose(machines, 2, all); !slices.Equal(got, []string{"1", "3"}) {
		t.Errorf("chose %v", got)
	}
	if got := Choose(machines, 4, func(string) int { return 3 }); len(got) != 3 {
		t.Errorf("chose %v of a zone that spares three", got)
	}
	if got := Batches(machines, 2, map[string]int{"a": 5}, testSettings(1)); len(got) != 3 {
		t.Errorf("steps %v", got)
	}
}

// Records that are late, doubled or make no sense don't harm the view.
func TestViewTakesRecordsInAnyOrder(t *testing.T) {
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
		t.Errorf("%+v", p)
	}
	if err := put(6, testPlan(func(p *Plan) { p.MaxConcurrent = 0 })); err == nil || len(v.Invalid()) != 1 {
		t.Errorf("a malformed record is taken: %v", err)
	}
	if _, ok := v.Plan("d"); ok {
		t.Error("what the malformed record replaced is still there")
	}
	if err := v.Reset(nil, 9); err != nil || len(v.Invalid()) != 0 || v.InUse() {
		t.Errorf("after all is gone: %v", err)
	}
	for _, key := range []string{LedgerKey("a b/c"), LedgerKey(fmt.Sprintf("%0300d", 1))} {
		if len(key) > 200 || slices.Contains([]byte(key), ' ') {
			t.Errorf("key %q", key)
		}
	}
}
