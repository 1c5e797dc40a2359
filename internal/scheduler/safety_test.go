package scheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// A start is sent only once its placement is recorded: nothing runs while the state service is down,
// and a start whose transaction failed is never sent.
func TestNoStartWithoutRecord(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	r.state.Down = true
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(4)
	if len(w.Started) != 0 {
		t.Fatalf("started %v without a placement record", w.Started)
	}
	r.state.Down = false
	r.heartbeats(3)
	if r.runningOn("run-000001/0") != "m1" {
		t.Fatal("task not started on m1 after the outage")
	}
}

// A transaction of a start that was given up without an answer must not be applied later.
func TestLateTransactionStartsNothing(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	r.state.HoldTxns = 1
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.carryOutEffects() // the transaction is held and given up, and the task is placed again
	r.heartbeats(3)
	if got := r.state.Release(); len(got) != 1 || got[0] == nil {
		t.Fatalf("outcomes of the late transaction %v, want one failure", got)
	}
	if len(w.Started) != 1 {
		t.Fatalf("starts %v, want one", w.Started)
	}
}

// If the answer to a transaction is lost, its outcome is read from the records.
func TestLostAnswerIsReadBack(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	r.state.LoseAnswers = 1
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.carryOutEffects()
	r.heartbeats(2)
	if !slices.Equal(w.Started, []string{"run-000001/0#1"}) {
		t.Fatalf("starts %v, want the recorded first attempt", w.Started)
	}
	w.ExitTask("run-000001/0", wire.Done)
	r.state.LoseAnswers = 1
	r.heartbeats(2)
	if got := r.jobState("run-000001"); got != wire.Done {
		t.Fatalf("state %q, want done", got)
	}
}

// A cancellation that the owner has not received yet makes the transaction of a start fail.
func TestCancelRacesStart(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1)
	r.submit(s)
	r.cancel(s) // not applied to the shard, which is about to record a start
	r.heartbeats(4)
	if len(w.Started) != 0 {
		t.Fatalf("started after the cancellation: %v", w.Started)
	}
	if r.jobState(s.Ref) != wire.Cancelled {
		t.Fatal("the cancelled job has another state")
	}
}

// Heartbeats are ordered by incarnation and sequence number: an old one proves nothing.
func TestLateHeartbeatIsIgnored(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	empty := w.NextHeartbeat()
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(3)
	r.shard.Heartbeat(&empty, false, r.clock.Now())
	r.heartbeats(3)
	if len(w.Started) != 1 {
		t.Fatalf("starts %v, want one", w.Started)
	}
}

// A start is sent again under the same attempt if the response that carried it was lost.
func TestLostStartIsRepeated(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.carryOutEffects()
	rep := w.NextHeartbeat()
	r.shard.Heartbeat(&rep, false, r.clock.Now()) // the response is lost
	r.heartbeats(2)
	if !slices.Equal(w.Started, []string{"run-000001/0#1"}) {
		t.Fatalf("starts %v, want the first attempt once", w.Started)
	}
}

// A new incarnation proves the tasks of the one before gone.
func TestNewIncarnationFreesTasks(t *testing.T) {
	r := newHarness(t)
	w := r.addMachine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(3)
	r.expireLease(w)
	r.heartbeats(3)
	if !slices.Equal(w.Started, []string{"run-000001/0#1", "run-000001/0#2"}) {
		t.Fatalf("starts %v, want a second attempt", w.Started)
	}
}

// A team's limit also counts tasks on machines that send no heartbeats.
func TestQuotaLimitCountsUnreachableTasks(t *testing.T) {
	r := newHarness(t)
	r.addMachine("m1", "z1", false)
	r.addMachine("m2", "z1", false)
	r.submit(spec("run-000001", "a", wire.Array, "normal", 4, 1))
	r.heartbeats(3)
	w3 := r.addMachine("m3", "z2", false)
	r.submit(spec("run-000002", "a", wire.Array, "prod", 2, 1))
	r.heartbeats(3, w3)
	if len(w3.Started) != 0 {
		t.Fatalf("started %v over the team's limit", w3.Started)
	}
}

// Tasks that an earlier owner placed count for zones as long as they are placed: with OneZone no
// other task of the job starts in another zone.
func TestOneZoneCountsTasksOfEarlierOwner(t *testing.T) {
	r := newHarness(t)
	s := spec("run-000001", "b", wire.Array, "normal", 2, 2)
	s.OneZone = true
	r.submit(s)
	w1 := r.addMachine("m1", "z1", false)
	r.heartbeats(3)
	if r.runningOn("run-000001/0") != "m1" {
		t.Fatal("task 0 not started on m1")
	}
	r.addMachine("m2", "z2", false)
	r.failOver() // the new owner has had no heartbeat of m1 yet
	r.heartbeats(3, r.workers["m2"])
	if got := r.workers["m2"].Started; len(got) != 0 {
		t.Fatalf("started %v in a second zone", got)
	}
	r.heartbeat(w1)
	w1.ExitTask("run-000001/0", wire.Done)
	r.heartbeats(3)
	if r.runningOn("run-000001/1") == "" {
		t.Fatal("task 1 not started after the end of task 0")
	}
}

// With Spread, at most half of a job's tasks may start in one zone; a task on a machine that
// sends no heartbeats still counts.
func TestSpreadCountsTasksOfEarlierOwner(t *testing.T) {
	r := newHarness(t)
	s := spec("run-000001", "b", wire.Service, "prod", 3, 1)
	s.Spread = true
	r.submit(s)
	r.addMachine("m1", "z1", false)
	r.heartbeats(3)
	r.addMachine("m2", "z1", false)
	r.failOver()
	r.heartbeats(3, r.workers["m2"])
	if got := r.workers["m2"].Started; len(got) != 0 {
		t.Fatalf("started %v, with more than half of the tasks in one zone", got)
	}
}

// While the owner may lack cancellations that other controllers accepted, nothing is started, not
// even tasks whose placements were recorded before. Stops are still sent.
func TestNothingStartsWhileCancellationsAreUnknown(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.carryOutEffects()
	r.shard.SetCancellationsUnknown(true)
	r.heartbeats(3)
	if len(w.Started) != 0 {
		t.Fatalf("started %v while cancellations are unknown", w.Started)
	}
	r.shard.SetCancellationsUnknown(false)
	r.heartbeats(1)
	if len(w.Started) != 1 {
		t.Fatalf("starts %v once cancellations are known, want one", w.Started)
	}
}

// Starts of many jobs share one write, and a cancelled job among them does not delay the others.
func TestStartsShareWrites(t *testing.T) {
	r := newHarness(t)
	r.cfg.PlacementsPerRecord, r.cfg.ValueBytes = 200, 200*unsizedPlacementBytes
	r.failOver()
	for i := range 4 {
		r.addMachine(fmt.Sprintf("m%d", i), "z1", false)
	}
	r.heartbeats(2)
	for i := range 6 {
		s := spec(fmt.Sprintf("run-00000%d", i), "b", wire.Array, "normal", 1, 1)
		r.submit(s)
		if i == 3 {
			r.cancel(s) // not applied to the shard
		}
	}
	eff := r.shard.Step(r.clock.Now())
	if len(eff.Txns) != 1 || len(eff.Txns[0].Body.Then) != 1 {
		t.Fatalf("%d transactions for six starts, want one with one operation", len(eff.Txns))
	}
	_, err := r.state.Txn(context.Background(), statestore.Urgent("test"), eff.Txns[0].Body)
	var conflict *statestore.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v, want a conflict on the cancelled job", err)
	}
	r.shard.Conflict(eff.Txns[0], conflict.Keys, r.clock.Now())
	for _, ref := range r.shard.effects.RereadJobs {
		if err := r.shard.JobRead(ref, r.get(record.ActiveJobKey(ref)), r.clock.Now()); err != nil {
			t.Fatal(err)
		}
	}
	r.shard.effects.RereadJobs = nil
	r.heartbeats(3)
	for i := range 6 {
		name := fmt.Sprintf("run-00000%d/0", i)
		if on := r.runningOn(name); (on == "") != (i == 3) {
			t.Errorf("task %s runs on %q, want all running but that of the cancelled job", name, on)
		}
	}
}

// A release whose transaction was not answered is recorded once, and its machine is never used again.
func TestReleaseWithoutAnswer(t *testing.T) {
	for _, disturb := range []func(*testkit.State){
		func(s *testkit.State) { s.LoseAnswers = 1 },
		func(s *testkit.State) { s.HoldTxns = 1 },
	} {
		r, w := newHarnessWithMachine(t)
		r.shard.ApplyFleetOrder(fleet.Order{Machine: "m1", To: fleet.ReleaseToCloud}, r.clock.Now())
		disturb(r.state)
		r.heartbeats(1)
		r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
		r.heartbeats(4)
		r.state.Release()
		r.heartbeats(2)
		if len(w.Started) != 0 {
			t.Fatalf("started %v on a released machine", w.Started)
		}
		if len(r.cloud.Released) == 0 || r.shard.HasMachine("m1") {
			t.Fatalf("released %v, want m1", r.cloud.Released)
		}
	}
}
