package scheduler

import (
	"testing"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/wire"
)

// gangOf returns a gang that is bound to one zone and whose tasks need a whole machine each.
func gangOf(ref string, tasks int) wire.Spec {
	s := spec(ref, "b", wire.Gang, "urgent", tasks, 2)
	s.OneZone = true
	return s
}

// A gang for which the shard will never have enough machines reserves none. Otherwise, where
// no more machines can be provisioned, machines would be idle for as long as the gang waits.
func TestInfeasibleGangReservesNothing(t *testing.T) {
	for name, busy := range map[string]bool{"too few machines": false, "a service on one of them": true} {
		r := newHarness(t)
		large := 4
		if busy {
			large = 3
			r.addMachine("m0", "z1", false)
			r.heartbeats(2)
			r.submit(spec("run-000001", "b", wire.Service, "prod", 1, 1))
			r.heartbeats(2)
		}
		for _, id := range []string{"m0", "m1", "m2"} {
			if r.workers[id] == nil {
				r.addMachine(id, "z1", false)
			}
		}
		r.heartbeats(2)
		r.submit(gangOf("run-000002", large))
		r.heartbeats(1)
		r.submit(gangOf("run-000003", 2))
		r.submit(spec("run-000004", "b", wire.Array, "normal", 1, 1))
		r.heartbeats(int((infeasibleAfter + gangReservation + 4*time.Second) / r.cfg.HeartbeatInterval))
		if r.runningOn("run-000003/0") == "" || r.runningOn("run-000003/1") == "" {
			t.Errorf("%s: the small gang waits for machines reserved for a gang of %d", name, large)
		}
		if r.runningOn("run-000004/0") == "" {
			t.Errorf("%s: the array waits for machines reserved for a gang of %d", name, large)
		}
	}
}

// A protected array places its next task as soon as one ends, and is not preempted, so the
// machines that it uses do not become free for a gang.
func TestGangDoesNotAwaitAnArrayThatGoesOn(t *testing.T) {
	r := newHarness(t)
	r.addMachine("m0", "z1", false)
	r.heartbeats(2)
	r.submit(spec("run-000001", "b", wire.Array, "low", 9, 1))
	r.heartbeats(2)
	array := r.shard.jobs["run-000001"]
	r.shard.protection.add(array)
	r.submit(gangOf("run-000002", 2))
	r.submit(gangOf("run-000003", 1))
	r.addMachine("m1", "z1", false)
	r.heartbeats(int((infeasibleAfter + gangReservation + 4*time.Second) / r.cfg.HeartbeatInterval))
	if r.runningOn("run-000003/0") != "m1" {
		t.Error("the small gang waits for a machine reserved for a gang of 2")
	}
}

// Machines that are still booting, and the room of tasks that end by themselves, count for a
// gang: it keeps its reservations for as long as that takes.
func TestGangAwaitsMachinesThatBoot(t *testing.T) {
	r := newHarness(t)
	for _, id := range []string{"m0", "m1"} {
		r.addMachine(id, "z1", false)
	}
	r.heartbeats(2)
	booting := r.addMachine("m2", "z1", false)
	delete(r.workers, "m2") // it is still booting
	r.submit(gangOf("run-000002", 3))
	r.submit(gangOf("run-000003", 2))
	r.heartbeats(int((infeasibleAfter + 3*gangReservation) / r.cfg.HeartbeatInterval))
	if r.runningOn("run-000003/0") != "" {
		t.Fatal("the small gang took machines that the large one had reserved")
	}
	r.workers["m2"] = booting
	r.heartbeats(4)
	for _, task := range []string{"run-000002/0", "run-000002/1", "run-000002/2"} {
		if r.runningOn(task) == "" {
			t.Errorf("%s does not run", task)
		}
	}
}

// A machine that is to be transferred to another shard once it is empty takes no new tasks,
// and the tasks there are not stopped.
func TestMachineLeavesAsItEmpties(t *testing.T) {
	r := newHarness(t)
	w := r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 3, 1))
	r.heartbeats(3)
	w.ExitTask("run-000001/0", wire.Done)
	r.shard.ApplyFleetOrder(fleet.Order{Machine: "m1", To: 1, Emptied: true}, r.clock.Now())
	r.heartbeats(3)
	if summary := r.shard.Summary(r.clock.Now()); len(summary.Machines) != 1 || !summary.Machines[0].Moving || summary.Machines[0].To != 1 {
		t.Fatalf("summary of machines %+v, want m1 on its way to shard 1", summary.Machines)
	}
	if r.runningOn("run-000001/1") != "m1" || r.runningOn("run-000001/2") != "" {
		t.Fatalf("tasks 1 and 2 are on %q and %q, want the one that ran on m1 and no new one", r.runningOn("run-000001/1"), r.runningOn("run-000001/2"))
	}
	w.ExitTask("run-000001/1", wire.Done)
	r.heartbeats(3)
	if summary := r.shard.Summary(r.clock.Now()); len(summary.Machines) != 0 {
		t.Fatalf("the shard still holds machines %+v, want none", summary.Machines)
	}
}

// The summary marks a job as starved once none of its tasks has run for agedAfter.
func TestSummaryReportsStarvedJobs(t *testing.T) {
	r := newHarness(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	starved := func() bool {
		needs := r.shard.Summary(r.clock.Now()).Needs
		return len(needs) == 1 && needs[0].Starved
	}
	if starved() {
		t.Fatal("the job counts as starved at once")
	}
	r.clock.Advance(agedAfter + time.Second)
	if !starved() {
		t.Fatal("the job does not count as starved once agedAfter has passed")
	}
}

// The summary gives a machine with protected tasks a priority that keeps it from urgent jobs of
// other shards, but not from services, which users always wait for.
func TestOnlyServicesPreemptProtectedJobs(t *testing.T) {
	r := newHarness(t)
	r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	r.submit(spec("run-000001", "b", wire.Array, "low", 2, 1))
	r.heartbeats(2)
	array := r.shard.jobs["run-000001"]
	r.shard.protection.add(array)
	if top := r.shard.Summary(r.clock.Now()).Machines[0].TopRank; top < Rank("urgent") || top >= Rank("prod") {
		t.Errorf("the summary gives the machine priority %d, want that of urgent jobs at least and less than that of prod", top)
	}
}
