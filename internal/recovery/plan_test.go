package recovery

import (
	"encoding/json"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

const testJob = "run-000001"

var testLimits = Limits{ValueBytes: 4096, TxnOps: 4, TxnBytes: 8192}

// entries returns records with the given values by key, all with one version.
func entries(version uint64, records map[string]any) map[string]wire.Entry {
	out := map[string]wire.Entry{}
	for key, v := range records {
		out[key] = wire.Entry{Key: key, Version: version, Value: record.Encode(v)}
	}
	return out
}

func activeJob(cancelled bool) record.ActiveJob {
	return record.ActiveJob{Spec: wire.Spec{Ref: testJob, Tasks: 3}, Cancelled: cancelled}
}

// heartbeatOf returns the heartbeat of one machine.
func heartbeatOf(machine string, tasks ...wire.HeartbeatTask) map[string]wire.Heartbeat {
	return map[string]wire.Heartbeat{machine: {Machine: machine, Addr: "a", Type: "big", Zone: "a", Session: 1, Seq: 1, Token: 7, Tasks: tasks}}
}

// running returns a running task of the test job.
func running(i string, attempt uint64) wire.HeartbeatTask {
	return wire.HeartbeatTask{Task: testJob + "/" + i, Attempt: attempt, State: wire.Running}
}

// Each entry is a row of the table in docs/design-recovery.md.
func TestPlanOutcomes(t *testing.T) {
	active, terminal := record.ActiveJobKey(testJob), record.FinishedJobKey(testJob)
	activeRecord := func(v any) map[string]any { return map[string]any{active: v} }
	terminalRecord := func(state string) map[string]any { return map[string]any{terminal: record.FinishedJob{State: state}} }
	view := func(jobs ...string) View {
		v := View{Revision: 50, Open: map[string]ActiveJob{}}
		for _, ref := range jobs {
			v.Open[ref] = ActiveJob{Version: 40, Cancelled: true}
		}
		return v
	}
	choose := func(c Decision) map[string]Decision { return map[string]Decision{active: c} }
	for name, x := range map[string]struct {
		evidence Evidence
		key      string
		outcome  Outcome
		from     Source
		put      any // nil: nothing is written
	}{
		"terminal: stored":                     {Evidence{Store: entries(9, terminalRecord("done"))}, terminal, Intact, FromStore, nil},
		"terminal: held":                       {Evidence{Held: entries(0, terminalRecord("done"))}, terminal, Recovered, FromController, record.FinishedJob{State: "done"}},
		"terminal: in the snapshot":            {Evidence{Snapshot: entries(9, terminalRecord("done"))}, terminal, Recovered, FromSnapshot, record.FinishedJob{State: "done"}},
		"terminal: sources differ":             {Evidence{Store: entries(9, terminalRecord("done")), Held: entries(0, terminalRecord("aborted"))}, terminal, Undecided, "", nil},
		"terminal: cannot be decoded":          {Evidence{Store: entries(9, map[string]any{terminal: "x"})}, terminal, Lost, "", nil},
		"active: stored, no newer evidence":    {Evidence{Store: entries(9, activeRecord(activeJob(false)))}, active, Intact, FromStore, nil},
		"active: held is newer":                {Evidence{Store: entries(9, activeRecord(activeJob(false))), Held: entries(12, activeRecord(activeJob(true)))}, active, Recovered, FromController, activeJob(true)},
		"active: held is older":                {Evidence{Store: entries(12, activeRecord(activeJob(true))), Held: entries(9, activeRecord(activeJob(false)))}, active, Intact, FromStore, nil},
		"active: its terminal state is known":  {Evidence{Store: entries(9, activeRecord(activeJob(false))), Held: entries(0, terminalRecord("done"))}, active, Finished, FromController, nil},
		"active: controllers saw its end":      {Evidence{Store: entries(9, activeRecord(activeJob(false))), View: view()}, active, Undecided, "", nil},
		"active: only in the snapshot":         {Evidence{Snapshot: entries(9, activeRecord(activeJob(false)))}, active, Undecided, "", nil},
		"active: in the snapshot, and it runs": {Evidence{Snapshot: entries(9, activeRecord(activeJob(false))), Heartbeats: heartbeatOf("m", running("0", 1))}, active, Recovered, FromSnapshot, activeJob(false)},
		"active: in the snapshot, and viewed":  {Evidence{Snapshot: entries(9, activeRecord(activeJob(false))), View: view(testJob)}, active, Recovered, FromSnapshot, activeJob(true)},
		"active: only tasks are left":          {Evidence{Heartbeats: heartbeatOf("m", running("0", 1))}, active, Undecided, "", nil},
		"active: cannot be decoded":            {Evidence{Store: entries(9, activeRecord("x"))}, active, Undecided, "", nil},
		"decided: again":                       {Evidence{Snapshot: entries(9, activeRecord(activeJob(false))), Decisions: choose(DecideRerun)}, active, Recovered, FromOperator, activeJob(false)},
		"decided: done":                        {Evidence{Snapshot: entries(9, activeRecord(activeJob(false))), Decisions: choose(DecideDone)}, terminal, Recovered, FromOperator, record.FinishedJob{State: "done"}},
		"decided: cancelled, and it is stored": {Evidence{Store: entries(9, activeRecord(activeJob(false))), View: view(), Decisions: choose(DecideCancelled)}, active, Finished, FromOperator, nil},
		"decided: forget":                      {Evidence{Heartbeats: heartbeatOf("m", running("0", 1)), Decisions: choose(DecideForget)}, LostKey(testJob), Recovered, FromOperator, true},
		"pipeline: the newest copy is restored": {Evidence{Store: entries(4, map[string]any{"pipes/p": 1}), Snapshot: entries(9, map[string]any{"pipes/p": 2})},
			"pipes/p", Recovered, FromSnapshot, 2},
		"pipeline: the snapshot is older": {Evidence{Store: entries(9, map[string]any{"pipes/p": 2}), Snapshot: entries(4, map[string]any{"pipes/p": 1})},
			"pipes/p", Intact, FromStore, nil},
		"active: the snapshot is older than what is held": {Evidence{Held: entries(12, activeRecord(activeJob(true))), Snapshot: entries(9, activeRecord(activeJob(false)))},
			active, Recovered, FromController, activeJob(true)},
		"provision: held": {Evidence{Held: entries(4, map[string]any{"fleet/rent/r": record.Provision{Type: "big"}})}, "fleet/rent/r", Recovered, FromController, record.Provision{Type: "big"}},
		"provision: in the snapshot, listed": {Evidence{Snapshot: entries(4, map[string]any{"fleet/rent/r": record.Provision{IDs: []string{"m"}}}), Listed: map[string]wire.ListedMachine{"m": {ID: "m"}}},
			"fleet/rent/r", Recovered, FromSnapshot, record.Provision{IDs: []string{"m"}}},
		"provision: in the snapshot, not listed": {Evidence{Snapshot: entries(4, map[string]any{"fleet/rent/r": record.Provision{IDs: []string{"m"}}})}, "fleet/rent/r", Finished, FromSnapshot, nil},
		"machine: without a record": {Evidence{Heartbeats: heartbeatOf("m"), Listed: map[string]wire.ListedMachine{"m": {ID: "m"}}}, "fleet/rent/recovered-m", Recovered, FromHeartbeat,
			record.Provision{Type: "big", Zone: "a", Shards: []int{0}, IDs: []string{"m"}, Addrs: []string{"a"}}},
		"drain ledger: in the snapshot": {Evidence{Snapshot: entries(4, map[string]any{"ctl/drain/ledger": 3})}, "ctl/drain/ledger", Recovered, FromSnapshot, 3},
	} {
		x.evidence.Mode = SafeMode{Active: true, Epoch: 1, Floor: 60}
		var item *Item
		p := NewPlan(x.evidence, testLimits)
		for _, i := range p.Items {
			if i.Key == x.key {
				item = &i
			}
		}
		if item == nil {
			t.Errorf("%s: no outcome for %s in %+v", name, x.key, p.Items)
			continue
		}
		want := ""
		if x.put != nil {
			want = string(record.Encode(x.put))
		}
		if item.Outcome != x.outcome || item.From != x.from || string(item.Put) != want {
			t.Errorf("%s: outcome %s from %q writes %s; want %s from %q, %s", name, item.Outcome, item.From, item.Put, x.outcome, x.from, want)
		}
	}
}

// Controllers write the records of members, of the leader and of shard owners again by themselves, so
// these are never restored.
func TestNotRestored(t *testing.T) {
	for _, key := range []string{record.LeaderKey, record.MemberPrefix + "c-0", record.ShardKey(1), SafeModeKey} {
		if p := NewPlan(Evidence{Snapshot: entries(4, map[string]any{key: 1})}, testLimits); len(p.Items) > 0 {
			t.Errorf("%s: %+v", key, p.Items)
		}
	}
}

// plannedPlacements returns the placements by task that the store has once the plan is applied, and the
// lowest attempt of a range.
func plannedPlacements(t *testing.T, p *Plan, store map[string]wire.Entry) (placed map[string]record.TaskPlacement, lowestAttempt uint64) {
	t.Helper()
	placed, lowestAttempt = map[string]record.TaskPlacement{}, ^uint64(0)
	generations := map[string]int{}
	for _, item := range p.Items {
		if _, _, ok := parsePlacementsKey(item.Key); !ok {
			continue
		}
		value := item.Put
		if value == nil {
			value = store[item.Key].Value
		}
		var placements record.Placements
		if err := json.Unmarshal(value, &placements); err != nil {
			t.Fatal(err)
		}
		for name, taskRange := range placements.Ranges {
			lowestAttempt = min(lowestAttempt, taskRange.Attempt)
			ref, _, _ := record.SplitRangeName(name)
			for n, place := range taskRange.Placed {
				if task := ref + "/" + string(rune('0'+n)); taskRange.Generation >= generations[task] {
					placed[task], generations[task] = place, taskRange.Generation
				}
			}
		}
	}
	return placed, lowestAttempt
}

// What a worker runs takes precedence over an older placement record, and no attempt that may have
// been used is used again.
func TestHeartbeatsTakePrecedenceOverOlderPlacements(t *testing.T) {
	old := record.Placements{Format: record.SizedRanges, Ranges: map[string]record.TaskRange{
		record.RangeName(testJob, 0): {Attempt: 2, Size: 3, Generation: 1, Placed: map[int]record.TaskPlacement{0: {Machine: "m1", Attempt: 1}, 1: {Machine: "m2", Attempt: 2}}}}}
	e := Evidence{Mode: SafeMode{Active: true, Floor: 60}, Store: entries(9, map[string]any{record.ActiveJobKey(testJob): activeJob(false)}),
		Snapshot: entries(5, map[string]any{record.PlacementsKey(0, 0): old}), Heartbeats: heartbeatOf("m3", running("0", 4), running("2", 3))}
	placed, lowest := plannedPlacements(t, NewPlan(e, testLimits), nil)
	want := map[string]record.TaskPlacement{testJob + "/0": {Machine: "m3", Attempt: 4}, testJob + "/1": {Machine: "m2", Attempt: 2}, testJob + "/2": {Machine: "m3", Attempt: 3}}
	for task, place := range want {
		if placed[task] != place {
			t.Errorf("%s is placed at %v, want %v", task, placed[task], place)
		}
	}
	if lowest < 60 {
		t.Errorf("lowest attempt of a range is %d, want 60 at least: it may be used again", lowest)
	}
}

// The placement records that an owner holds are restored unchanged.
func TestOwnersPlacementsAreUnchanged(t *testing.T) {
	held := record.Placements{Format: record.SizedRanges, Ranges: map[string]record.TaskRange{
		record.RangeName(testJob, 0): {Attempt: 2, Size: 3, Generation: 1, Placed: map[int]record.TaskPlacement{0: {Machine: "m3", Attempt: 2}}}}}
	e := Evidence{Mode: SafeMode{Active: true, Floor: 60}, Store: entries(9, map[string]any{record.ActiveJobKey(testJob): activeJob(false)}),
		Held: entries(12, map[string]any{record.PlacementsKey(0, 0): held}), Heartbeats: heartbeatOf("m3", running("0", 2))}
	placed, lowest := plannedPlacements(t, NewPlan(e, testLimits), nil)
	if len(placed) != 1 || lowest != 2 {
		t.Errorf("placements %v, lowest attempt %d, want one placement and attempt 2", placed, lowest)
	}
}

// Transactions keep to the limits, and each write is conditional on the version of its record.
func TestBatches(t *testing.T) {
	p := &Plan{}
	for n := range 11 {
		p.Items = append(p.Items, Item{Key: record.FinishedJobKey(string(rune('a' + n))), Put: json.RawMessage(`"x"`), Version: uint64(n)})
	}
	p.Items = append(p.Items, Item{Key: "open/z", Delete: true, Version: 99}, Item{Key: "open/y", Outcome: Intact})
	operations := 0
	for _, txn := range p.Batches(testLimits) {
		if len(txn.Then) > testLimits.TxnOps || len(txn.If) != len(txn.Then) {
			t.Errorf("transaction has %d operations and %d conditions", len(txn.Then), len(txn.If))
		}
		operations += len(txn.Then)
	}
	if operations != 12 {
		t.Errorf("%d operations in all, want 12", operations)
	}
}
