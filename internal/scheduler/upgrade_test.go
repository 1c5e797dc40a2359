package scheduler

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// The limits of the state service before and after they fall.
const (
	wideBytes, wideOps   = 16 << 10, 16
	tightBytes, tightOps = 2 << 10, 5
)

// newUpgradeHarness is a shard of which the first version wrote the records, as
// testdata/production.json holds them.
func newUpgradeHarness(t testing.TB) *harness {
	t.Helper()
	data, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(data, &all); err != nil {
		t.Fatal(err)
	}
	r := newHarness(t)
	r.cfg.Teams = map[string]Team{"b": {Name: "b"}}
	r.cfg.PlacementsPerRecord, r.cfg.TxnOps, r.cfg.ValueBytes = PlacementsPerRecord(wideBytes/1024), tightOps, tightBytes
	for key, v := range all {
		r.state.Put(key, v)
	}
	r.failOver()
	for _, m := range r.shard.inventory.byID {
		r.workers[m.ID] = testkit.NewWorker(m.ID, m.Type.Name, m.Zone, m.Spot)
	}
	return r
}

// recordedTasks are what the records tell of a shard's tasks.
type recordedTasks struct {
	placements map[string]record.TaskPlacement
	completed  map[string]bool
}

// decodeUnsizedRecords is the first version's reading of records: the key's number counts
// ranges of so many tasks, later fields are unknown, and every range counts.
func decodeUnsizedRecords(t testing.TB, placementEntries []wire.Entry, per int) recordedTasks {
	t.Helper()
	f := recordedTasks{placements: map[string]record.TaskPlacement{}, completed: map[string]bool{}}
	for _, e := range placementEntries {
		var s struct {
			Runs map[string]struct {
				Attempt uint64                       `json:"a"`
				On      map[int]record.TaskPlacement `json:"on"`
				Done    [][2]int                     `json:"done"`
			} `json:"r"`
		}
		if err := json.Unmarshal(e.Value, &s); err != nil {
			t.Fatal(err)
		}
		for name, run := range s.Runs {
			ref, n, ok := record.SplitRangeName(name)
			if !ok {
				t.Fatalf("%s: range %q", e.Key, name)
			}
			for i, pl := range run.On {
				if i < n*per || i >= (n+1)*per {
					t.Fatalf("%s: task %d in range %s", e.Key, i, name)
				}
				f.placements[fmt.Sprint(ref, "/", i)] = pl
			}
			for _, span := range run.Done {
				for i := span[0]; i <= span[1]; i++ {
					f.completed[fmt.Sprint(ref, "/", i)] = true
				}
			}
		}
	}
	return f
}

// recordedInLedger is what the shard holds as recorded.
func recordedInLedger(shard *Shard) recordedTasks {
	f := recordedTasks{placements: map[string]record.TaskPlacement{}, completed: map[string]bool{}}
	for _, j := range shard.jobs {
		for i := range j.tasks {
			switch t := &j.tasks[i]; {
			case t.state == placed && t.recorded:
				f.placements[taskKey{j, i}.name()] = record.TaskPlacement{Machine: t.machine.ID, Attempt: t.attempt}
			case t.state == completed && t.completionRecorded:
				f.completed[taskKey{j, i}.name()] = true
			}
		}
	}
	return f
}

func (f recordedTasks) equal(g recordedTasks) bool {
	return maps.Equal(f.placements, g.placements) && maps.Equal(f.completed, g.completed)
}

func (r *harness) slots() []wire.Entry { return r.list(record.ShardPlacementsPrefix(0)) }

// runPlacedTasks lets workers run what is recorded, as they did under the first version.
func (r *harness) runPlacedTasks(f recordedTasks) {
	for task, pl := range f.placements {
		r.workers[pl.Machine].Tasks[task] = &testkit.WorkerTask{Attempt: pl.Attempt, State: wire.Running}
	}
}

// Records of the first version are read as it meant them, and as long as it may
// come back, what is written is plain and tells it the same.
func TestUpgradeReadsAndKeepsUnsizedRecords(t *testing.T) {
	r := newUpgradeHarness(t)
	before := decodeUnsizedRecords(t, r.slots(), r.cfg.unsizedRangeTasks())
	if len(before.placements) < 200 || len(before.completed) < 50 {
		t.Fatalf("testdata: %d placements, %d completions", len(before.placements), len(before.completed))
	}
	if got := recordedInLedger(r.shard); !got.equal(before) {
		t.Fatalf("read %d placements and %d completions, want %d and %d", len(got.placements), len(got.completed), len(before.placements), len(before.completed))
	}
	if j := r.shard.jobs["run-000008"]; j == nil || !j.awaitsDependencies {
		t.Fatal("a held job without a pipeline was let go")
	}
	r.runPlacedTasks(before)
	for round := range 6 {
		r.endSomeTasks(round)
		r.heartbeats(2)
		for _, e := range r.slots() {
			var s record.Placements
			if err := json.Unmarshal(e.Value, &s); err != nil || s.Format != 0 {
				t.Fatalf("%s: format %d, %v", e.Key, s.Format, err)
			}
		}
		if got, want := decodeUnsizedRecords(t, r.slots(), r.cfg.unsizedRangeTasks()), recordedInLedger(r.shard); !maps.Equal(stillInLedger(r, got.placements), want.placements) {
			t.Fatalf("round %d: the first version would read %d placements, want %d", round, len(got.placements), len(want.placements))
		}
		if round%2 == 1 {
			r.failOver() // perhaps by the first version: nothing but the records counts
		}
	}
}

// stillInLedger leaves the placements that count: of tasks that are proven gone the
// record is rewritten with the next start only.
func stillInLedger(r *harness, on map[string]record.TaskPlacement) map[string]record.TaskPlacement {
	live := recordedInLedger(r.shard).placements
	out := map[string]record.TaskPlacement{}
	for task, pl := range on {
		if live[task] == pl {
			out[task] = pl
		}
	}
	return out
}

// endSomeTasks lets about a tenth of what runs end.
func (r *harness) endSomeTasks(seed int) {
	names := slices.Sorted(maps.Keys(r.workers))
	n := seed
	for _, id := range names {
		w := r.workers[id]
		for _, task := range slices.Sorted(maps.Keys(w.Tasks)) {
			if n++; n%10 == 0 && w.Tasks[task].State == wire.Running {
				w.End(task, wire.Done)
			}
		}
	}
}

// checkNoTaskRunsTwice checks that no task runs in two places, whatever the records say.
func (r *harness) checkNoTaskRunsTwice() {
	r.t.Helper()
	at := map[string]string{}
	for id, w := range r.workers {
		for task, wt := range w.Tasks {
			if wt.State == wire.Exited {
				continue
			}
			if at[task] != "" {
				r.t.Fatalf("%s runs on %s and on %s", task, at[task], id)
			}
			at[task] = id
		}
	}
}

// Once the first version is gone the large records are taken apart, in steps that
// fit the limits that are to come. A new owner after any of them, an answer that
// gets lost, and a write that comes late lose nothing and start nothing twice.
func TestUpgradeSplitsUnsizedRecords(t *testing.T) {
	for seed := range uint64(12) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := newUpgradeHarness(t)
		r.runPlacedTasks(decodeUnsizedRecords(t, r.slots(), r.cfg.unsizedRangeTasks()))
		r.state.Limit(wideBytes, wideOps)
		// The limits fall after any of the writes from then on.
		at, falls, writes := rnd.IntN(6), rnd.IntN(25), 0
		r.afterTxn = func() {
			if writes++; r.shard.ledger.sized && writes > falls {
				r.state.Limit(tightBytes, tightOps)
			}
		}
		for round := range 60 {
			if round >= at {
				r.shard.UseSizedRanges() // each controller's word is there for every owner
			}
			if round < 40 {
				switch rnd.IntN(5) {
				case 0:
					r.failOver()
				case 1:
					r.state.LoseAnswers = 1 + rnd.IntN(2)
				case 2:
					r.state.HoldTxns = 1
				case 3:
					r.state.Release()
				}
			}
			if round >= at {
				r.shard.UseSizedRanges()
			}
			r.endSomeTasks(rnd.IntN(10))
			r.heartbeat()
			r.checkNoTaskRunsTwice()
		}
		r.state.Release()
		for range 200 {
			r.endRunningTasks()
			r.heartbeat()
			r.checkNoTaskRunsTwice()
		}
		if got := r.jobState("run-000001"); got != wire.Done {
			t.Errorf("seed %d: the array is %q in the end", seed, got)
		}
		for _, e := range r.slots() {
			var s record.Placements
			if err := json.Unmarshal(e.Value, &s); err != nil || s.Format != record.SizedRanges || len(e.Value) > tightBytes {
				t.Errorf("seed %d: %s has format %d and %d bytes, %v", seed, e.Key, s.Format, len(e.Value), err)
			}
		}
		if r.invalid > 0 {
			t.Errorf("seed %d: %d transactions too large for the state service", seed, r.invalid)
		}
	}
}

// checkNewOwnerLoadsAllTasks checks that whoever acquired the shard now would know of all that runs.
func (r *harness) checkNewOwnerLoadsAllTasks() {
	r.t.Helper()
	next := New(r.cfg, 0, r.shard.token)
	if r.shard.ledger.sized {
		next.UseSizedRanges() // as the controller knows from the words of all
	}
	if err := next.Load(r.fleet, r.list(record.ActiveJobPrefix), r.slots(), r.clock.Now()); err != nil {
		r.t.Fatal(err)
	}
	got := recordedInLedger(next)
	for id, w := range r.workers {
		for task, wt := range w.Tasks {
			if want := (record.TaskPlacement{Machine: id, Attempt: wt.Attempt}); wt.State != wire.Exited && got.placements[task] != want {
				r.t.Fatalf("%s runs on %v, and a new owner would find it on %v", task, want, got.placements[task])
			}
		}
	}
	for task := range recordedInLedger(r.shard).completed {
		if ref, _, _ := SplitTask(task); r.shard.jobs[ref].record.endTxn == nil && !got.completed[task] {
			r.t.Fatalf("%s is done, and a new owner would start it again", task)
		}
	}
}

// After each single write, plain and stated records together tell a new owner all
// that runs and all that is done, also while ranges move one by one.
func TestUpgradeFactsSurviveEveryStep(t *testing.T) {
	for seed := range uint64(8) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		r := newUpgradeHarness(t)
		r.runPlacedTasks(decodeUnsizedRecords(t, r.slots(), r.cfg.unsizedRangeTasks()))
		r.heartbeats(2)
		r.state.Limit(tightBytes, tightOps)
		r.shard.UseSizedRanges()
		steps := 0
		r.afterTxn = func() { steps++; r.checkNewOwnerLoadsAllTasks() }
		for range 40 {
			// One range at a time: the others are still told by the unsized record.
			at := rnd.IntN(5) * 60
			for _, w := range r.workers {
				for task, wt := range w.Tasks {
					if ref, i, _ := SplitTask(task); ref == "run-000001" && i >= at && i < at+60 && wt.State == wire.Running && rnd.IntN(8) == 0 {
						w.End(task, wire.Done)
					}
				}
			}
			if rnd.IntN(4) == 0 {
				r.failOver()
				r.shard.UseSizedRanges()
			}
			r.heartbeat()
			r.checkNoTaskRunsTwice()
		}
		if steps < 25 {
			t.Fatalf("seed %d: only %d writes", seed, steps)
		}
	}
}
