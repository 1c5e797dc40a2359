package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/wire"
)

// Machines' names longer than any seen before make a sized record too large: its
// ranges are moved, also cut, and nothing is lost meanwhile.
func TestSizedRecordIsSplitWhenTooLarge(t *testing.T) {
	for seed := range uint64(20) {
		checkSplitOfOutgrownRecords(t, rand.New(rand.NewPCG(seed, 3)))
	}
}

func checkSplitOfOutgrownRecords(t *testing.T, rnd *rand.Rand) {
	const most = 1024
	r := newHarness(t)
	r.cfg.ValueBytes = most
	r.failOver()
	r.shard.UseSizedRanges()
	r.addMachine("m1", "z1", false)
	for i := range 4 {
		s := spec(fmt.Sprintf("run-00000%d", i), "b", wire.Array, "normal", 8, 0)
		s.CPUs, s.MemoryGB = 1, 1 // of 16
		r.submit(s)
		r.shard.ledger.rangeOf(r.shard.jobs[s.Ref], 0) // sized by the names known so far
	}
	r.heartbeats(2) // some are recorded
	for i := range 40 {
		r.addMachine(fmt.Sprintf("i-%080d", i), "z1", false)
	}
	r.afterTxn = r.checkNewOwnerLoadsAllTasks
	for beat := range 30 {
		if beat < 20 {
			r.state.HoldTxns = rnd.IntN(3) // not carried out, and nobody says so
			r.workers["m1"].End(fmt.Sprintf("run-00000%d/%d", rnd.IntN(2), rnd.IntN(8)), wire.Done)
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
			t.Errorf("job %d is %q in the end", i, got)
		}
	}
	for _, e := range r.slots() {
		if len(e.Value) > most {
			t.Errorf("%s has %d bytes", e.Key, len(e.Value))
		}
	}
}

// A range that leaves a record goes to another, and until it is written there the record
// that tells it is not written without it, whatever else changes in it.
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
		t.Fatal("the jobs do not share a recorded slot")
	}
	r.shard.ledger.split(moved, 2)
	if now := r.shard.jobs["run-000000"].ranges[0].record; now == old {
		t.Fatal("the range came back to the slot that it left")
	}
	w.End("run-000001/0", wire.Done) // the old record has something to write
	rep := w.Report()
	r.shard.Heartbeat(&rep, false, r.clock.Now())
	r.clock.Advance(time.Second)
	writes := func() []*Txn {
		return slices.DeleteFunc(r.shard.Step(r.clock.Now()).Txns, func(t *Txn) bool { return t.placements == nil })
	}
	txns := writes()
	if len(txns) != 1 || txns[0].placements == old {
		t.Fatalf("%d writes, want one, of what left", len(txns))
	}
	r.shard.Applied(txns[0], r.state.Put("x", 1).Version, r.clock.Now())
	txns = writes()
	if len(txns) != 1 || txns[0].placements != old {
		t.Errorf("%d writes after that, want the old slot's", len(txns))
	}
}

// A state service that takes less than was known: what it does not take is never
// sent again as it was, and work goes on.
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
		t.Errorf("the array is %q", got)
	}
	if r.invalid == 0 || r.invalid > 8 {
		t.Errorf("%d transactions were too large: want some, and soon none", r.invalid)
	}
}
