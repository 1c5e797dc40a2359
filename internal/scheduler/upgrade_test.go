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

// The limits of the state service, in bytes of a value and operations of a transaction, before and
// after they are lowered.
const (
	wideBytes, wideOps   = 16 << 10, 16
	tightBytes, tightOps = 2 << 10, 5
)

// newUpgradeHarness returns a shard whose records were written by the first version of the program, from
// testdata/production.json.
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

// recordedTasks holds the placements and completions in a shard's records, by task name.
type recordedTasks struct {
	placements map[string]record.TaskPlacement
	completed  map[string]bool
}

// decodeUnsizedRecords reads placement records as the first version does: the number in a range's name
// counts ranges of rangeTasks tasks, fields added later are unknown, and every range counts.
func decodeUnsizedRecords(t testing.TB, entries []wire.Entry, rangeTasks int) recordedTasks {
	t.Helper()
	f := recordedTasks{placements: map[string]record.TaskPlacement{}, completed: map[string]bool{}}
	for _, e := range entries {
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
				if i < n*rangeTasks || i >= (n+1)*rangeTasks {
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

// recordedInLedger returns the placements and completions that the shard's ledger holds as recorded.
func recordedInLedger(shard *Shard) recordedTasks {
	f := recordedTasks{placements: map[string]record.TaskPlacement{}, completed: map[string]bool{}}
	for _, j := range shard.jobs {
		for i := range j.tasks.len() {
			switch t := j.tasks.at(i); {
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

// runPlacedTasks makes the workers run the placed tasks, as they did under the first version.
func (r *harness) runPlacedTasks(f recordedTasks) {
	for task, pl := range f.placements {
		r.workers[pl.Machine].Tasks[task] = &testkit.WorkerTask{Attempt: pl.Attempt, State: wire.Running}
	}
}

// Records of the first version are read as it wrote them. As long as it may be deployed again,
// records are written unsized, and it reads the same placements from them.
func TestUpgradeReadsAndKeepsUnsizedRecords(t *testing.T) {
	r := newUpgradeHarness(t)
	before := decodeUnsizedRecords(t, r.slots(), r.cfg.unsizedRangeTasks())
	if len(before.placements) < 200 || len(before.completed) < 50 {
		t.Fatalf("testdata: %d placements and %d completions, want at least 200 and 50", len(before.placements), len(before.completed))
	}
	if got := recordedInLedger(r.shard); !got.equal(before) {
		t.Fatalf("read %d placements and %d completions, want %d and %d", len(got.placements), len(got.completed), len(before.placements), len(before.completed))
	}
	if j := r.shard.jobs["run-000008"]; j == nil || !j.awaitsDependencies {
		t.Fatal("run-000008 was released before its dependencies had ended")
	}
	r.runPlacedTasks(before)
	for round := range 6 {
		r.endSomeTasks(round)
		r.heartbeats(2)
		for _, e := range r.slots() {
			var s record.Placements
			if err := json.Unmarshal(e.Value, &s); err != nil || s.Format != 0 {
				t.Fatalf("%s: format %d, error %v, want format 0", e.Key, s.Format, err)
			}
		}
		if got, want := decodeUnsizedRecords(t, r.slots(), r.cfg.unsizedRangeTasks()), recordedInLedger(r.shard); !maps.Equal(stillInLedger(r, got.placements), want.placements) {
			t.Fatalf("round %d: the first version would read %d placements, want %d", round, len(got.placements), len(want.placements))
		}
		if round%2 == 1 {
			r.failOver() // the new owner has only the records, as one of the first version would
		}
	}
}

// stillInLedger returns those placements that the ledger holds, too. The records may still hold others,
// of tasks that are proven gone: they are rewritten only with the next start.
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

// endSomeTasks completes about a tenth of the running tasks.
func (r *harness) endSomeTasks(seed int) {
	names := slices.Sorted(maps.Keys(r.workers))
	n := seed
	for _, id := range names {
		w := r.workers[id]
		for _, task := range slices.Sorted(maps.Keys(w.Tasks)) {
			if n++; n%10 == 0 && w.Tasks[task].State == wire.Running {
				w.ExitTask(task, wire.Done)
			}
		}
	}
}

// checkNoTaskRunsTwice checks that no task runs on two workers, whatever the records hold.
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

// Once no controller of the first version is left, the unsized records are split by writes that keep
// to the lower limits to come. A failover after any of these writes, a lost answer or a delayed
// write loses no placement and starts no task twice.
func TestUpgradeSplitsUnsizedRecords(t *testing.T) {
	for seed := range uint64(12) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := newUpgradeHarness(t)
		r.runPlacedTasks(decodeUnsizedRecords(t, r.slots(), r.cfg.unsizedRangeTasks()))
		r.state.Limit(wideBytes, wideOps)
		// The limits are lowered after a random number of the writes from then on.
		at, falls, writes := rnd.IntN(6), rnd.IntN(25), 0
		r.afterTxn = func() {
			if writes++; r.shard.ledger.sized && writes > falls {
				r.state.Limit(tightBytes, tightOps)
			}
		}
		for round := range 60 {
			if round >= at {
				r.shard.UseSizedRanges() // every owner reads the formats that all controllers have recorded
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
			t.Errorf("seed %d: the array is %q at the end, want done", seed, got)
		}
		for _, e := range r.slots() {
			var s record.Placements
			if err := json.Unmarshal(e.Value, &s); err != nil || s.Format != record.SizedRanges || len(e.Value) > tightBytes {
				t.Errorf("seed %d: %s has format %d and %d bytes, error %v", seed, e.Key, s.Format, len(e.Value), err)
			}
		}
		if r.invalid > 0 {
			t.Errorf("seed %d: %d transactions too large for the state service", seed, r.invalid)
		}
	}
}

// checkNewOwnerLoadsAllTasks checks that an owner that acquired the shard now would load all running and
// all completed tasks.
func (r *harness) checkNewOwnerLoadsAllTasks() {
	r.t.Helper()
	next := New(r.cfg, 0, r.shard.token)
	if r.shard.ledger.sized {
		next.UseSizedRanges() // as the controller does once all have recorded that format
	}
	if err := next.Load(r.fleet, r.list(record.ActiveJobPrefix), r.slots(), r.clock.Now()); err != nil {
		r.t.Fatal(err)
	}
	got := recordedInLedger(next)
	for id, w := range r.workers {
		for task, wt := range w.Tasks {
			if want := (record.TaskPlacement{Machine: id, Attempt: wt.Attempt}); wt.State != wire.Exited && got.placements[task] != want {
				r.t.Fatalf("%s runs on %v, but a new owner would load it on %v", task, want, got.placements[task])
			}
		}
	}
	for task := range recordedInLedger(r.shard).completed {
		if ref, _, _ := SplitTask(task); r.shard.jobs[ref].record.endTxn == nil && !got.completed[task] {
			r.t.Fatalf("%s has completed, but a new owner would start it again", task)
		}
	}
}

// After each single write, unsized and sized records together hold all running and all completed
// tasks for a new owner, even while ranges are moved one by one.
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
			// One range at a time: the unsized record still holds the others.
			at := rnd.IntN(5) * 60
			for _, w := range r.workers {
				for task, wt := range w.Tasks {
					if ref, i, _ := SplitTask(task); ref == "run-000001" && i >= at && i < at+60 && wt.State == wire.Running && rnd.IntN(8) == 0 {
						w.ExitTask(task, wire.Done)
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
			t.Fatalf("seed %d: %d writes, want at least 25", seed, steps)
		}
	}
}
