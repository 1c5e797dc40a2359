package drain

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// stop is an actual interruption of work.
type stop struct {
	class string
	at    time.Time // zero: granted, but not stopped yet
	open  bool      // the work does not run again yet
}

// Whatever the delays from a grant to the stop and from the stop to the recovery, and however counts are
// merged, no sliding window contains more stops than the budget allows, and no more are open at once.
func TestBudgetHoldsForAnyTiming(t *testing.T) {
	budget := Budget{Limit: Limit{MaxConcurrent: 3, MaxInWindow: 5, Window: time.Minute},
		Classes: map[string]Limit{"train": {MaxConcurrent: 1, MaxInWindow: 2, Window: 2 * time.Minute}}}
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		var l Ledger
		stops := map[UnitID]*stop{}
		var all []*stop // every stop so far
		granted := 0
		for now := start; now.Before(start.Add(20 * time.Minute)); now = now.Add(time.Duration(r.IntN(2000)) * time.Millisecond) {
			class := []string{"train", "live"}[r.IntN(2)]
			if l.Available(budget, class, now) > 0 {
				u := UnitID{Job: "j", Task: granted}
				granted++
				l.Add(Disruption{UnitID: u, Class: class, Drain: "d", At: now.UnixMilli()})
				stops[u] = &stop{class: class}
			}
			for u, s := range stops {
				switch {
				case s.at.IsZero() && r.IntN(8) == 0:
					s.at, s.open = now, true
					all = append(all, s)
				case s.open && r.IntN(8) == 0:
					s.open = false
					l.Close(u, now)
					delete(stops, u)
				}
			}
			if r.IntN(20) == 0 {
				l.ShrinkTo(func(l *Ledger) int { return len(l.Spent) }, 2)
			}
			l.Expire(budget, now)
			checkWithin(t, all, "", budget.Limit, now)
			checkWithin(t, all, "train", budget.Classes["train"], now)
		}
		if granted < 10 {
			t.Errorf("seed %d: %d grants, want 10 at least", seed, granted)
		}
	}
}

// checkWithin fails the test if more stops of a class are open or in the window than the limit allows. An
// empty class counts all stops.
func checkWithin(t *testing.T, all []*stop, class string, limit Limit, now time.Time) {
	t.Helper()
	open, inWindow := 0, 0
	for _, s := range all {
		if class != "" && s.class != class {
			continue
		}
		if s.open {
			open++
		}
		if now.Sub(s.at) <= limit.Window {
			inWindow++
		}
	}
	if open > limit.MaxConcurrent || inWindow > limit.MaxInWindow {
		t.Fatalf("class %q: %d stops open, %d in the window; the limit is %+v", class, open, inWindow, limit)
	}
}

// Losses use up the budget and are never refused; drains get what remains.
func TestLossesReduceTheBudget(t *testing.T) {
	budget := Budget{Limit: Limit{MaxConcurrent: 2, MaxInWindow: 3, Window: time.Minute}}
	view := NewView()
	l := NewLedgers(view)
	for i := range 4 {
		l.AddLosses([]Loss{{Disruption{UnitID: UnitID{Job: "j", Task: i}, At: start.UnixMilli()}, "team"}})
	}
	if got := l.forTeam("team").Available(budget, "", start); got != -2 {
		t.Errorf("%d available after four losses, want -2", got)
	}
	l.CloseRecovered(0, func(Disruption) Outcome { return Recovered }, start)
	if got := l.forTeam("team").Available(budget, "", start.Add(time.Minute)); got != -1 {
		t.Errorf("%d available in the window of four losses, want -1", got)
	}
	if got := l.forTeam("team").Available(budget, "", start.Add(time.Minute+time.Millisecond)); got != 2 {
		t.Errorf("%d available after the window, want 2", got)
	}
}

// Of two owners that plan by the same ledger, only one gets the last grant of the budget. An owner gets
// none if its drain was cancelled meanwhile or it lost its shard.
func TestLastGrantIsGivenOnce(t *testing.T) {
	ctx, use := context.Background(), statestore.Urgent("test")
	for name, meanwhile := range map[string]func(state *testkit.State){
		"other owner":     nil,
		"drain cancelled": func(s *testkit.State) { s.Put(PlanKey("d"), testPlan(func(p *Plan) { p.State = Cancelled })) },
		"shard lost":      func(s *testkit.State) { s.Put("ctl/parts/1", "another") },
	} {
		state := testkit.NewState()
		state.Put(PlanKey("d"), testPlan(func(*Plan) {}))
		view := NewView()
		entries, rev, _ := state.List(ctx, use, Prefix)
		if err := view.Reset(entries, rev); err != nil {
			t.Fatal(err)
		}
		cordoned := view.cordons.Rec.Clone()
		cordoned.Machines["m"] = Cordon{Drain: "d", Since: start.UnixMilli()}
		view.cordons.Rec = cordoned
		var grants []wire.Txn
		for shard := range 2 {
			owner := state.Put([]string{"ctl/parts/0", "ctl/parts/1"}[shard], shard)
			in := Input{Now: start, Settings: testSettings(1), View: view, Shard: shard, MaxRecordBytes: 1 << 14,
				Machines: []*Machine{testMachine("m", task(shard))}}
			builder := TxnBuilder{Input: in, Owner: wire.Condition{Key: owner.Key, Version: owner.Version}, MachineGone: func(string) bool { return false }}
			ledgers := NewLedgers(view)
			writes := builder.Writes(PlanSteps(&in, ledgers), ledgers)
			if len(writes) == 0 || writes[0].Team != "team" {
				t.Fatalf("%s: no eviction is granted: %+v", name, writes)
			}
			grants = append(grants, writes[0].Txn)
		}
		if meanwhile != nil {
			meanwhile(state)
		} else if _, err := state.Txn(ctx, use, grants[0]); err != nil {
			t.Fatal(err)
		}
		var conflict *statestore.ConflictError
		if _, err := state.Txn(ctx, use, grants[1]); !errors.As(err, &conflict) {
			t.Errorf("%s: the second grant returned %v, want a conflict", name, err)
		}
	}
}
