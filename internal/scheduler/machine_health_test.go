package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// A silent machine is released while others are heard, and only that frees
// its tasks; when all are silent, none is.
func TestSilentMachineIsReleasedWhileOthersAreHeard(t *testing.T) {
	r := newHarness(t)
	r.addMachine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(3)
	w2 := r.addMachine("m2", "z1", false)
	r.heartbeats(2)
	r.clock.Advance(10 * time.Second)
	r.carryOutEffects()
	if len(r.cloud.Returned) != 0 {
		t.Fatalf("returned %v though all were silent", r.cloud.Returned)
	}
	r.heartbeats(8, w2)
	if !slices.Equal(r.cloud.Returned, []string{"m1"}) {
		t.Fatalf("returned %v, want m1", r.cloud.Returned)
	}
	delete(r.workers, "m1")
	r.heartbeats(2)
	if r.runningOn("run-000001/0") != "m2" {
		t.Fatal("not started again after the return")
	}
}

// Machines partitioned together fall silent one shortly after the other: the first
// must not be given up because the rest was heard a moment later.
func TestZoneThatFallsSilentIsKept(t *testing.T) {
	r := newHarness(t)
	w1, w2, w3 := r.addMachine("m1", "z1", false), r.addMachine("m2", "z1", false), r.addMachine("m3", "z1", false)
	r.submit(spec("run-000001", "b", wire.Service, "prod", 3, 2))
	r.heartbeats(4)
	r.heartbeat(w1)
	r.heartbeat(w2, w3)
	for range 12 {
		r.clock.Advance(time.Second)
		r.carryOutEffects()
	}
	if len(r.cloud.Returned) != 0 {
		t.Fatalf("returned %v", r.cloud.Returned)
	}
}

// After a partition the machines of a zone come back one by one: those that were
// heard first must not make the others count as lost, neither to an owner that
// knew them nor to one that acquired the shard meanwhile.
func TestZoneThatComesBackIsKept(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		r := newHarness(t)
		var ws []*testkit.Worker
		for i := range 6 {
			ws = append(ws, r.addMachine(fmt.Sprintf("m%d", i), "z1", false))
		}
		r.submit(spec("run-000001", "b", wire.Service, "prod", 6, 2))
		r.heartbeats(10)
		if takeOver {
			r.failOver()
		}
		r.clock.Advance(15 * time.Second)
		r.carryOutEffects()
		for i := range ws {
			r.heartbeat(ws[:i+1]...)
			r.clock.Advance(-r.cfg.HeartbeatInterval * 3 / 4)
		}
		r.heartbeats(3)
		if len(r.cloud.Returned) != 0 {
			t.Errorf("take-over %t: returned %v", takeOver, r.cloud.Returned)
		}
	}
}

// Errors on one machine end it; errors of one job everywhere hold the job back.
func TestFailuresAreAttributedToJobOrMachine(t *testing.T) {
	r := newHarness(t)
	for _, id := range []string{"m1", "m2", "m3", "m4", "m5"} {
		r.addMachine(id, "z1", false)
	}
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	for range 30 {
		for _, w := range r.workers {
			w.End("run-000001/0", wire.ExitError)
		}
		r.heartbeat()
	}
	if len(r.cloud.Returned) > 0 {
		t.Fatalf("a bad job burned machines: %v", r.cloud.Returned)
	}
	n := 0
	for _, w := range r.workers {
		n += len(w.Started)
	}
	if n > 12 {
		t.Fatalf("%d tries of a job failing everywhere", n)
	}
	r = newHarness(t)
	bad := r.addMachine("m1", "z1", false)
	r.addMachine("m2", "z1", false)
	for i := range 4 {
		r.submit(spec(fmt.Sprintf("run-00000%d", i), "b", wire.Array, "normal", 1, 1))
	}
	for range 8 {
		for name := range bad.Tasks {
			bad.End(name, wire.ExitError)
		}
		r.heartbeat()
	}
	if !slices.Equal(r.cloud.Returned, []string{"m1"}) {
		t.Fatalf("returned %v, want the faulty machine", r.cloud.Returned)
	}
}

// Only an empty machine moves, and its record goes with conditions.
func TestReclaimNoticeSavesAndReleases(t *testing.T) {
	r := newHarness(t)
	w := r.addMachine("m1", "z1", true)
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1)
	s.Spot = true
	r.submit(s)
	r.heartbeats(3)
	left := 10.0
	w.Notice = &left
	r.heartbeats(4)
	if len(w.Tasks) != 0 || !slices.Equal(r.cloud.Returned, []string{"m1"}) {
		t.Fatalf("tasks %v, returned %v", w.Tasks, r.cloud.Returned)
	}
}

// heartbeatUnanswered lets a worker report without any answer reaching it.
func (r *harness) heartbeatUnanswered(w *testkit.Worker) {
	rep := w.Report()
	r.shard.Heartbeat(&rep, false, r.clock.Now())
}

// A machine whose heartbeats arrive but which no answer reaches gets no more work
// once starts don't show, and goes back; its tasks run elsewhere only then, or
// when its heartbeats prove them absent.
func TestUnreachableMachineIsReleased(t *testing.T) {
	r, w1 := newHarnessWithMachine(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 2, 1))
	r.carryOutEffects() // placed and recorded on m1
	for range 3 {
		r.clock.Advance(r.cfg.HeartbeatInterval)
		r.heartbeatUnanswered(w1)
		r.carryOutEffects()
	}
	w2 := r.addMachine("m2", "z1", false)
	r.submit(spec("run-000002", "b", wire.Array, "normal", 2, 1))
	for range 6 {
		r.clock.Advance(r.cfg.HeartbeatInterval)
		r.heartbeatUnanswered(w1)
		r.heartbeat(w2)
	}
	w1.Expire()
	if len(w1.Started) != 0 || len(w2.Started) != 2 {
		t.Fatalf("starts %v and %v, want two on the machine that hears", w1.Started, w2.Started)
	}
	for range 20 {
		w2.End("run-000001/0", wire.Done)
		w2.End("run-000001/1", wire.Done)
		w2.End("run-000002/0", wire.Done)
		w2.End("run-000002/1", wire.Done)
		r.heartbeatUnanswered(w1)
		r.heartbeat(w2)
	}
	if !slices.Equal(r.cloud.Returned, []string{"m1"}) {
		t.Fatalf("returned %v, want the machine that hears nothing", r.cloud.Returned)
	}
	if len(w2.Started) != 4 {
		t.Fatalf("starts %v, want all four tasks on m2", w2.Started)
	}
}

// A lease that ran out though every heartbeat was answered marks such a machine,
// too; one answer seen to arrive clears it.
func TestUnreachableMachineRecovers(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	for range 10 {
		r.clock.Advance(r.cfg.HeartbeatInterval)
		r.heartbeatUnanswered(w)
	}
	w.Expire()
	r.heartbeatUnanswered(w)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(5)
	if len(w.Started) != 0 {
		t.Fatalf("started %v on a machine that may hear nothing", w.Started)
	}
	r.heartbeats(8) // the epoch outlives its lease: answers arrive
	if len(w.Started) != 1 || len(r.cloud.Returned) != 0 {
		t.Fatalf("starts %v, returned %v: want the machine used again", w.Started, r.cloud.Returned)
	}
}

// Machines of a zone that die together leave nobody of the zone to compare them with.
// They are released all the same once their leases are surely over, also by an owner
// that acquired them dead, and their tasks start elsewhere.
func TestMachinesOfADeadZoneAreReleased(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		r := newHarness(t)
		r.cfg.MaxProbes = 8
		r.addMachine("m1", "z1", false)
		r.addMachine("m2", "z1", false)
		r.submit(spec("run-000001", "b", wire.Array, "normal", 4, 1))
		r.heartbeats(4)
		r.addMachine("m3", "z2", false)
		r.addMachine("m4", "z2", false)
		r.heartbeats(2)
		delete(r.workers, "m1")
		delete(r.workers, "m2")
		if takeOver {
			r.failOver()
		}
		given := func(id string) bool { return r.shard.inventory.byID[id] == nil || r.phase(id) > 0 }
		r.probeResponders = []string{"m3", "m4"}
		for i := range 40 {
			r.heartbeats(1)
			if early := r.cfg.HeartbeatInterval * time.Duration(i+1); early < r.cfg.Lease && (given("m1") || given("m2")) {
				t.Fatalf("take-over %t: given back after %v", takeOver, early)
			}
		}
		if !given("m1") || !given("m2") {
			t.Errorf("take-over %t: dead machines are kept", takeOver)
		}
		for i := range 4 {
			if at := r.runningOn(fmt.Sprintf("run-000001/%d", i)); at != "m3" && at != "m4" {
				t.Errorf("take-over %t: task %d is on %q", takeOver, i, at)
			}
		}
	}
}

// When a partition of a zone ends, what its machines did not answer within the partition proves
// nothing, however long it was: they are asked anew.
func TestEndOfPartitionReleasesNoMachine(t *testing.T) {
	for name, back := range map[string]bool{"they answer": true, "they died within the cut": false} {
		r := newHarness(t)
		r.cfg.MaxProbes = 8
		r.addMachine("m1", "z1", false)
		r.addMachine("m2", "z1", false)
		r.submit(spec("run-000001", "b", wire.Array, "normal", 4, 1))
		r.heartbeats(4)
		r.shard.SetPartitionedZones(map[string]bool{"z1": true})
		for range 2 * int(r.cfg.Lease/r.cfg.HeartbeatInterval) {
			r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval)
		}
		if r.phase("m1")+r.phase("m2") > 0 {
			t.Fatalf("%s: given back within the cut", name)
		}
		r.shard.SetPartitionedZones(nil)
		var answers []string
		if back {
			answers = []string{"m1", "m2"}
		}
		r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, answers...)
		if back && r.phase("m1")+r.phase("m2") > 0 {
			t.Errorf("%s: given back as the cut ended", name)
		}
		for range 6 {
			r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, answers...)
		}
		if given := r.shard.inventory.byID["m1"] == nil || r.phase("m1") > 0; given == back {
			t.Errorf("%s: given back %t", name, given)
		}
	}
}
