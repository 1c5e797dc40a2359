package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/wire"
)

// Machine IDs longer than any seen before make a sized record too large: its ranges are moved to
// other records, and split if necessary, and no placement is lost in between.
func TestSizedRecordIsSplitWhenTooLarge(t *testing.T) {
	for seed := range uint64(20) {
		checkSplitOfOutgrownRecords(t, rand.New(rand.NewPCG(seed, 3)))
	}
}

// checkSplitOfOutgrownRecords runs four arrays while the state service holds back transactions and
// the owner changes, and checks that all jobs finish and that records stay below their limit.
func checkSplitOfOutgrownRecords(t *testing.T, rnd *rand.Rand) {
	const valueBytes = 1024
	r := newHarness(t)
	r.cfg.ValueBytes = valueBytes
	r.failOver()
	r.shard.UseSizedRanges()
	r.addMachine("m1", "z1", false)
	for i := range 4 {
		s := spec(fmt.Sprintf("run-00000%d", i), "b", wire.Array, "normal", 8, 0)
		s.CPUs, s.MemoryGB = 1, 1 // the machine has 16 CPUs
		r.submit(s)
		r.shard.ledger.rangeOf(r.shard.jobs[s.Ref], 0) // sized by the machine IDs known so far
	}
	r.heartbeats(2) // records some placements
	for i := range 40 {
		r.addMachine(fmt.Sprintf("i-%080d", i), "z1", false)
	}
	r.afterTxn = r.checkNewOwnerLoadsAllTasks
	for beat := range 30 {
		if beat < 20 {
			r.state.HoldTxns = rnd.IntN(3) // not applied, and without an answer
			r.workers["m1"].ExitTask(fmt.Sprintf("run-00000%d/%d", rnd.IntN(2), rnd.IntN(8)), wire.Done)
		}
		r.heartbeat()
		r.checkNoTaskRunsTwice()
		if rnd.IntN(7) == 0 {
			r.failOver()
			r.shard.UseSizedRanges()
		}
	}
	for range 10 {
		r.endRunningTasks()
		r.heartbeat()
	}
	for i := range 4 {
		if got := r.jobState(fmt.Sprintf("run-00000%d", i)); got != wire.Done {
			t.Errorf("job %d is %q at the end, want done", i, got)
		}
	}
	for _, e := range r.slots() {
		if len(e.Value) > valueBytes {
			t.Errorf("%s has %d bytes, more than its limit", e.Key, len(e.Value))
		}
	}
}

// A range that is moved out of a record is entered in another one. Until it is written there, the
// record that it has left is not rewritten without it, even if it has other changes.
func TestRecordWaitsForMovedRanges(t *testing.T) {
	r := newHarness(t)
	r.failOver()
	r.shard.UseSizedRanges()
	w := r.addMachine("m1", "z1", false)
	for i := range 2 {
		s := spec(fmt.Sprintf("run-00000%d", i), "b", wire.Array, "normal", 2, 0)
		s.CPUs, s.MemoryGB = 1, 1
		r.submit(s)
	}
	r.heartbeats(2)
	moved, stays := r.shard.jobs["run-000000"].ranges[0], r.shard.jobs["run-000001"].ranges[0]
	old := moved.record
	if stays.record != old || old.version == 0 {
		t.Fatal("the jobs do not share a placement record that has been written")
	}
	r.shard.ledger.split(moved, 2)
	if now := r.shard.jobs["run-000000"].ranges[0].record; now == old {
		t.Fatal("the range was entered again in the record that it had left")
	}
	w.ExitTask("run-000001/0", wire.Done) // gives the old record a completion to write
	rep := w.NextHeartbeat()
	r.shard.Heartbeat(&rep, false, r.clock.Now())
	r.clock.Advance(time.Second)
	writes := func() []*Txn {
		return slices.DeleteFunc(r.shard.Step(r.clock.Now()).Txns, func(t *Txn) bool { return t.placements == nil })
	}
	txns := writes()
	if len(txns) != 1 || txns[0].placements == old {
		t.Fatalf("%d writes, want one, of the record that the range was moved to", len(txns))
	}
	r.shard.Applied(txns[0], r.state.Put("x", 1).Version, r.clock.Now())
	txns = writes()
	if len(txns) != 1 || txns[0].placements != old {
		t.Errorf("%d writes after that, want one, of the record that the range had left", len(txns))
	}
}

// The limits of the state service turn out to be lower than configured: a transaction that it
// rejects as too large is not retried unchanged, and jobs go on.
func TestWritesShrinkToTheLimits(t *testing.T) {
	r := newHarness(t)
	r.cfg.PlacementsPerRecord, r.cfg.ValueBytes = PlacementsPerRecord(16), 4096
	r.failOver()
	r.shard.UseSizedRanges()
	r.state.Limit(1500, 4)
	for i := range 20 {
		r.addMachine(fmt.Sprintf("m%d", i), "z1", false)
	}
	s := spec("run-000001", "b", wire.Array, "normal", 80, 0)
	s.CPUs = 1
	r.submit(s)
	for range 40 {
		r.endRunningTasks()
		r.heartbeat()
		r.clock.Advance(time.Second)
	}
	if got := r.jobState(s.Ref); got != wire.Done {
		t.Errorf("the array is %q, want done", got)
	}
	if r.invalid == 0 || r.invalid > 8 {
		t.Errorf("%d transactions were too large, want 1 to 8", r.invalid)
	}
}
