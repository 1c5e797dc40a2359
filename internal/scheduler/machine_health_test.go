package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// A silent machine is released while others of its zone send heartbeats, and its tasks are freed only by
// the release. If all machines of the zone are silent, none is released.
func TestSilentMachineIsReleasedWhileOthersAreHeard(t *testing.T) {
	r := newHarness(t)
	r.addMachine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(3)
	w2 := r.addMachine("m2", "z1", false)
	r.heartbeats(2)
	r.clock.Advance(10 * time.Second)
	r.carryOutEffects()
	if len(r.cloud.Released) != 0 {
		t.Fatalf("released %v while all machines were silent, want none", r.cloud.Released)
	}
	r.heartbeats(8, w2)
	if !slices.Equal(r.cloud.Released, []string{"m1"}) {
		t.Fatalf("released %v, want m1", r.cloud.Released)
	}
	delete(r.workers, "m1")
	r.heartbeats(2)
	if r.runningOn("run-000001/0") != "m2" {
		t.Fatal("task not started on m2 after the release of m1")
	}
}

// Machines that are partitioned together fall silent shortly after one another. The first must not
// be released because the last heartbeats of the others came a moment later.
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
	if len(r.cloud.Released) != 0 {
		t.Fatalf("released %v, want none", r.cloud.Released)
	}
}

// After a partition the machines of a zone return one by one. Those whose heartbeats arrive first must
// not make the others count as lost, neither for an owner that received their heartbeats before the
// partition nor for one that acquired the shard meanwhile.
func TestZoneThatComesBackIsKept(t *testing.T) {
	for _, failover := range []bool{false, true} {
		r := newHarness(t)
		var ws []*testkit.Worker
		for i := range 6 {
			ws = append(ws, r.addMachine(fmt.Sprintf("m%d", i), "z1", false))
		}
		r.submit(spec("run-000001", "b", wire.Service, "prod", 6, 2))
		r.heartbeats(10)
		if failover {
			r.failOver()
		}
		r.clock.Advance(15 * time.Second)
		r.carryOutEffects()
		for i := range ws {
			r.heartbeat(ws[:i+1]...)
			r.clock.Advance(-r.cfg.HeartbeatInterval * 3 / 4)
		}
		r.heartbeats(3)
		if len(r.cloud.Released) != 0 {
			t.Errorf("failover %t: released %v, want none", failover, r.cloud.Released)
		}
	}
}

// Failures of several jobs on one machine release the machine. Failures of one job on all machines
// make the job back off and release none.
func TestFailuresAreAttributedToJobOrMachine(t *testing.T) {
	r := newHarness(t)
	for _, id := range []string{"m1", "m2", "m3", "m4", "m5"} {
		r.addMachine(id, "z1", false)
	}
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	for range 30 {
		for _, w := range r.workers {
			w.ExitTask("run-000001/0", wire.ExitError)
		}
		r.heartbeat()
	}
	if len(r.cloud.Released) > 0 {
		t.Fatalf("failures of one job released %v, want no machine", r.cloud.Released)
	}
	n := 0
	for _, w := range r.workers {
		n += len(w.Started)
	}
	if n > 12 {
		t.Fatalf("%d attempts of a job that fails on all machines, want 12 at most", n)
	}
	r = newHarness(t)
	bad := r.addMachine("m1", "z1", false)
	r.addMachine("m2", "z1", false)
	for i := range 4 {
		r.submit(spec(fmt.Sprintf("run-00000%d", i), "b", wire.Array, "normal", 1, 1))
	}
	for range 8 {
		for name := range bad.Tasks {
			bad.ExitTask(name, wire.ExitError)
		}
		r.heartbeat()
	}
	if !slices.Equal(r.cloud.Released, []string{"m1"}) {
		t.Fatalf("released %v, want the faulty machine m1", r.cloud.Released)
	}
}

// A spot machine with a reclaim notice is drained and released.
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
	if len(w.Tasks) != 0 || !slices.Equal(r.cloud.Released, []string{"m1"}) {
		t.Fatalf("tasks %v, released %v, want no task and m1 released", w.Tasks, r.cloud.Released)
	}
}

// heartbeatUnanswered lets a worker send a heartbeat whose response is lost.
func (r *harness) heartbeatUnanswered(w *testkit.Worker) {
	rep := w.NextHeartbeat()
	r.shard.Heartbeat(&rep, false, r.clock.Now())
}

// A machine whose heartbeats arrive but which no response reaches gets no more work once its
// heartbeats lack tasks whose starts were sent, and is released. Its tasks run elsewhere only
// then, or when its heartbeats prove them absent.
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
	w1.ExpireLease()
	if len(w1.Started) != 0 || len(w2.Started) != 2 {
		t.Fatalf("starts %v and %v, want two, on the reachable machine m2", w1.Started, w2.Started)
	}
	for range 20 {
		w2.ExitTask("run-000001/0", wire.Done)
		w2.ExitTask("run-000001/1", wire.Done)
		w2.ExitTask("run-000002/0", wire.Done)
		w2.ExitTask("run-000002/1", wire.Done)
		r.heartbeatUnanswered(w1)
		r.heartbeat(w2)
	}
	if !slices.Equal(r.cloud.Released, []string{"m1"}) {
		t.Fatalf("released %v, want the unreachable machine m1", r.cloud.Released)
	}
	if len(w2.Started) != 4 {
		t.Fatalf("starts %v, want all four tasks on m2", w2.Started)
	}
}

// A machine also counts as unreachable if its lease expires although every heartbeat was answered.
// Once a response is known to have reached it, it is used again.
func TestUnreachableMachineRecovers(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	for range 10 {
		r.clock.Advance(r.cfg.HeartbeatInterval)
		r.heartbeatUnanswered(w)
	}
	w.ExpireLease()
	r.heartbeatUnanswered(w)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(5)
	if len(w.Started) != 0 {
		t.Fatalf("started %v on an unreachable machine", w.Started)
	}
	r.heartbeats(8) // the incarnation outlives its lease: responses arrive
	if len(w.Started) != 1 || len(r.cloud.Released) != 0 {
		t.Fatalf("starts %v, released %v, want one start and no release", w.Started, r.cloud.Released)
	}
}

// If all machines of a zone die together, there is no other machine of the zone to compare them
// with. They are released once their leases have certainly expired, also by an owner that acquired
// the shard after they had died, and their tasks start elsewhere.
func TestMachinesOfADeadZoneAreReleased(t *testing.T) {
	for _, failover := range []bool{false, true} {
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
		if failover {
			r.failOver()
		}
		released := func(id string) bool { return r.shard.inventory.byID[id] == nil || r.phase(id) > 0 }
		r.probeResponders = []string{"m3", "m4"}
		for i := range 40 {
			r.heartbeats(1)
			if early := r.cfg.HeartbeatInterval * time.Duration(i+1); early < r.cfg.Lease && (released("m1") || released("m2")) {
				t.Fatalf("failover %t: released after %v, before the lease expired", failover, early)
			}
		}
		if !released("m1") || !released("m2") {
			t.Errorf("failover %t: dead machines not released", failover)
		}
		for i := range 4 {
			if at := r.runningOn(fmt.Sprintf("run-000001/%d", i)); at != "m3" && at != "m4" {
				t.Errorf("failover %t: task %d runs on %q, want m3 or m4", failover, i, at)
			}
		}
	}
}

// When the partition of a zone ends, the probes that its machines did not answer during the
// partition prove nothing, however long it was: they are probed again.
func TestEndOfPartitionReleasesNoMachine(t *testing.T) {
	for name, alive := range map[string]bool{"they answer": true, "they died during the partition": false} {
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
			t.Fatalf("%s: released during the partition", name)
		}
		r.shard.SetPartitionedZones(nil)
		var answers []string
		if alive {
			answers = []string{"m1", "m2"}
		}
		r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, answers...)
		if alive && r.phase("m1")+r.phase("m2") > 0 {
			t.Errorf("%s: released when the partition ended", name)
		}
		for range 6 {
			r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, answers...)
		}
		if released := r.shard.inventory.byID["m1"] == nil || r.phase("m1") > 0; released == alive {
			t.Errorf("%s: released %t, want that only of machines that died", name, released)
		}
	}
}
