package recovery

import (
	"encoding/json"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

const testJob = "run-000001"

var testLimits = Limits{ValueBytes: 4096, TxnOps: 4, TxnBytes: 8192}

// entries makes records of one version.
func entries(version uint64, records map[string]any) map[string]wire.Entry {
	out := map[string]wire.Entry{}
	for key, v := range records {
		out[key] = wire.Entry{Key: key, Version: version, Value: record.Encode(v)}
	}
	return out
}

func openJob(cancelled bool) record.ActiveJob {
	return record.ActiveJob{Spec: wire.Spec{Ref: testJob, Tasks: 3}, Cancelled: cancelled}
}

func report(machine string, tasks ...wire.HeartbeatTask) map[string]wire.Heartbeat {
	return map[string]wire.Heartbeat{machine: {Machine: machine, Addr: "a", Type: "big", Zone: "a", Session: 1, Seq: 1, Token: 7, Tasks: tasks}}
}

func running(i string, attempt uint64) wire.HeartbeatTask {
	return wire.HeartbeatTask{Task: testJob + "/" + i, Attempt: attempt, State: wire.Running}
}

// Each row is one of the table in docs/design-recovery.md.
func TestVerdicts(t *testing.T) {
	open, final := record.ActiveJobKey(testJob), record.FinishedJobKey(testJob)
	is := func(v any) map[string]any { return map[string]any{open: v} }
	over := func(state string) map[string]any { return map[string]any{final: record.FinishedJob{State: state}} }
	view := func(jobs ...string) View {
		v := View{Revision: 50, Open: map[string]ActiveJob{}}
		for _, ref := range jobs {
			v.Open[ref] = ActiveJob{Version: 40, Cancelled: true}
		}
		return v
	}
	choose := func(c Decision) map[string]Decision { return map[string]Decision{open: c} }
	for name, x := range map[string]struct {
		e       Evidence
		key     string
		verdict Outcome
		from    Source
		put     any // nil: nothing is written
	}{
		"final: stored":                       {Evidence{Store: entries(9, over("done"))}, final, Intact, FromStore, nil},
		"final: held":                         {Evidence{Held: entries(0, over("done"))}, final, Recovered, FromController, record.FinishedJob{State: "done"}},
		"final: in the snapshot":              {Evidence{Snapshot: entries(9, over("done"))}, final, Recovered, FromSnapshot, record.FinishedJob{State: "done"}},
		"final: sources differ":               {Evidence{Store: entries(9, over("done")), Held: entries(0, over("aborted"))}, final, Undecided, "", nil},
		"final: makes no sense":               {Evidence{Store: entries(9, map[string]any{final: "x"})}, final, Lost, "", nil},
		"open: stored, nobody knows better":   {Evidence{Store: entries(9, is(openJob(false)))}, open, Intact, FromStore, nil},
		"open: held is newer":                 {Evidence{Store: entries(9, is(openJob(false))), Held: entries(12, is(openJob(true)))}, open, Recovered, FromController, openJob(true)},
		"open: held is older":                 {Evidence{Store: entries(12, is(openJob(true))), Held: entries(9, is(openJob(false)))}, open, Intact, FromStore, nil},
		"open: its final state is known":      {Evidence{Store: entries(9, is(openJob(false))), Held: entries(0, over("done"))}, open, Finished, FromController, nil},
		"open: controllers knew its end":      {Evidence{Store: entries(9, is(openJob(false))), View: view()}, open, Undecided, "", nil},
		"open: only in the snapshot":          {Evidence{Snapshot: entries(9, is(openJob(false)))}, open, Undecided, "", nil},
		"open: in the snapshot, and it runs":  {Evidence{Snapshot: entries(9, is(openJob(false))), Heartbeats: report("m", running("0", 1))}, open, Recovered, FromSnapshot, openJob(false)},
		"open: in the snapshot, and viewed":   {Evidence{Snapshot: entries(9, is(openJob(false))), View: view(testJob)}, open, Recovered, FromSnapshot, openJob(true)},
		"open: only tasks are left":           {Evidence{Heartbeats: report("m", running("0", 1))}, open, Undecided, "", nil},
		"open: makes no sense":                {Evidence{Store: entries(9, is("x"))}, open, Undecided, "", nil},
		"decided: again":                      {Evidence{Snapshot: entries(9, is(openJob(false))), Decisions: choose(DecideRerun)}, open, Recovered, FromOperator, openJob(false)},
		"decided: done":                       {Evidence{Snapshot: entries(9, is(openJob(false))), Decisions: choose(DecideDone)}, final, Recovered, FromOperator, record.FinishedJob{State: "done"}},
		"decided: cancelled, and it is there": {Evidence{Store: entries(9, is(openJob(false))), View: view(), Decisions: choose(DecideCancelled)}, open, Finished, FromOperator, nil},
		"decided: forget":                     {Evidence{Heartbeats: report("m", running("0", 1)), Decisions: choose(DecideForget)}, LostKey(testJob), Recovered, FromOperator, true},
		"pipeline: the newest counts": {Evidence{Store: entries(4, map[string]any{"pipes/p": 1}), Snapshot: entries(9, map[string]any{"pipes/p": 2})},
			"pipes/p", Recovered, FromSnapshot, 2},
		"pipeline: the snapshot is older": {Evidence{Store: entries(9, map[string]any{"pipes/p": 2}), Snapshot: entries(4, map[string]any{"pipes/p": 1})},
			"pipes/p", Intact, FromStore, nil},
		"open: the snapshot is older than what is held": {Evidence{Held: entries(12, is(openJob(true))), Snapshot: entries(9, is(openJob(false)))},
			open, Recovered, FromController, openJob(true)},
		"rental: held": {Evidence{Held: entries(4, map[string]any{"fleet/rent/r": record.Provision{Type: "big"}})}, "fleet/rent/r", Recovered, FromController, record.Provision{Type: "big"}},
		"rental: in the snapshot, listed": {Evidence{Snapshot: entries(4, map[string]any{"fleet/rent/r": record.Provision{IDs: []string{"m"}}}), Listed: map[string]wire.ListedMachine{"m": {ID: "m"}}},
			"fleet/rent/r", Recovered, FromSnapshot, record.Provision{IDs: []string{"m"}}},
		"rental: in the snapshot, not listed": {Evidence{Snapshot: entries(4, map[string]any{"fleet/rent/r": record.Provision{IDs: []string{"m"}}})}, "fleet/rent/r", Finished, FromSnapshot, nil},
		"machine: without a record": {Evidence{Heartbeats: report("m"), Listed: map[string]wire.ListedMachine{"m": {ID: "m"}}}, "fleet/rent/recovered-m", Recovered, FromHeartbeat,
			record.Provision{Type: "big", Zone: "a", Shards: []int{0}, IDs: []string{"m"}, Addrs: []string{"a"}}},
		"budget: in the snapshot": {Evidence{Snapshot: entries(4, map[string]any{"ctl/drain/ledger": 3})}, "ctl/drain/ledger", Recovered, FromSnapshot, 3},
	} {
		x.e.Mode = SafeMode{Active: true, Epoch: 1, Floor: 60}
		var item *Item
		p := NewPlan(x.e, testLimits)
		for _, i := range p.Items {
			if i.Key == x.key {
				item = &i
			}
		}
		if item == nil {
			t.Errorf("%s: no verdict on %s in %+v", name, x.key, p.Items)
			continue
		}
		want := ""
		if x.put != nil {
			want = string(record.Encode(x.put))
		}
		if item.Outcome != x.verdict || item.From != x.from || string(item.Put) != want {
			t.Errorf("%s: %s from %q writes %s; want %s from %q, %s", name, item.Outcome, item.From, item.Put, x.verdict, x.from, want)
		}
	}
}

// Members, the leader and the owners of parts are written anew, never restored.
func TestNotRestored(t *testing.T) {
	for _, key := range []string{record.LeaderKey, record.MemberPrefix + "c-0", record.ShardKey(1), SafeModeKey} {
		if p := NewPlan(Evidence{Snapshot: entries(4, map[string]any{key: 1})}, testLimits); len(p.Items) > 0 {
			t.Errorf("%s: %+v", key, p.Items)
		}
	}
}

// slots decodes the placements that a plan writes or leaves.
func slots(t *testing.T, p *Plan, store map[string]wire.Entry) (on map[string]record.TaskPlacement, least uint64) {
	t.Helper()
	on, least = map[string]record.TaskPlacement{}, ^uint64(0)
	turns := map[string]int{}
	for _, i := range p.Items {
		if _, _, ok := parsePlacementsKey(i.Key); !ok {
			continue
		}
		value := i.Put
		if value == nil {
			value = store[i.Key].Value
		}
		var s record.Placements
		if err := json.Unmarshal(value, &s); err != nil {
			t.Fatal(err)
		}
		for name, run := range s.Ranges {
			least = min(least, run.Attempt)
			ref, _, _ := record.SplitRangeName(name)
			for n, place := range run.Placed {
				if task := ref + "/" + string(rune('0'+n)); run.Generation >= turns[task] {
					on[task], turns[task] = place, run.Generation
				}
			}
		}
	}
	return on, least
}

// What a worker runs counts before an older record of placements, and no attempt that may have
// been used is used again.
func TestHeartbeatsCountBeforeOlderPlacements(t *testing.T) {
	old := record.Placements{Format: record.SizedRanges, Ranges: map[string]record.TaskRange{
		record.RangeName(testJob, 0): {Attempt: 2, Size: 3, Generation: 1, Placed: map[int]record.TaskPlacement{0: {Machine: "m1", Attempt: 1}, 1: {Machine: "m2", Attempt: 2}}}}}
	e := Evidence{Mode: SafeMode{Active: true, Floor: 60}, Store: entries(9, map[string]any{record.ActiveJobKey(testJob): openJob(false)}),
		Snapshot: entries(5, map[string]any{record.PlacementsKey(0, 0): old}), Heartbeats: report("m3", running("0", 4), running("2", 3))}
	on, least := slots(t, NewPlan(e, testLimits), nil)
	want := map[string]record.TaskPlacement{testJob + "/0": {Machine: "m3", Attempt: 4}, testJob + "/1": {Machine: "m2", Attempt: 2}, testJob + "/2": {Machine: "m3", Attempt: 3}}
	for task, place := range want {
		if on[task] != place {
			t.Errorf("%s is at %v, want %v", task, on[task], place)
		}
	}
	if least < 60 {
		t.Errorf("attempt %d may be used again", least)
	}
}

// An owner's own records of placements stay as they are.
func TestOwnersPlacementsStay(t *testing.T) {
	held := record.Placements{Format: record.SizedRanges, Ranges: map[string]record.TaskRange{
		record.RangeName(testJob, 0): {Attempt: 2, Size: 3, Generation: 1, Placed: map[int]record.TaskPlacement{0: {Machine: "m3", Attempt: 2}}}}}
	e := Evidence{Mode: SafeMode{Active: true, Floor: 60}, Store: entries(9, map[string]any{record.ActiveJobKey(testJob): openJob(false)}),
		Held: entries(12, map[string]any{record.PlacementsKey(0, 0): held}), Heartbeats: report("m3", running("0", 2))}
	on, least := slots(t, NewPlan(e, testLimits), nil)
	if len(on) != 1 || least != 2 {
		t.Errorf("placements %v, least attempt %d", on, least)
	}
}

// Transactions keep to the limits, and each change is conditioned on the record as it was.
func TestBatches(t *testing.T) {
	p := &Plan{}
	for n := range 11 {
		p.Items = append(p.Items, Item{Key: record.FinishedJobKey(string(rune('a' + n))), Put: json.RawMessage(`"x"`), Version: uint64(n)})
	}
	p.Items = append(p.Items, Item{Key: "open/z", Delete: true, Version: 99}, Item{Key: "open/y", Outcome: Intact})
	changes := 0
	for _, txn := range p.Batches(testLimits) {
		if len(txn.Then) > testLimits.TxnOps || len(txn.If) != len(txn.Then) {
			t.Errorf("%d changes, %d conditions", len(txn.Then), len(txn.If))
		}
		changes += len(txn.Then)
	}
	if changes != 12 {
		t.Errorf("%d changes, want 12", changes)
	}
}
