package scheduler

import (
	"slices"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A new owner loads from the records which tasks may run on which machine, and starts no task twice
// even if the machine is silent for long.
func TestFailoverKeepsPlacements(t *testing.T) {
	r := newHarness(t)
	w1 := r.addMachine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(3)
	if r.runningOn("run-000001/0") != "m1" {
		t.Fatal("the task was not started on m1")
	}
	w2 := r.addMachine("m2", "z1", false)
	r.failOver()
	r.heartbeats(8, w2)
	if len(w2.Started) != 0 {
		t.Fatalf("started %v on a second machine, want none", w2.Started)
	}
	r.heartbeats(2, w1)
	if r.runningOn("run-000001/0") != "m1" || len(w1.Started) != 1 {
		t.Fatalf("starts on m1 are %v, want one, whose task still runs", w1.Started)
	}
}

// The owner crashes between recording and sending a start: the next owner finds that the start never
// arrived, and starts the task under a new attempt.
func TestCrashBetweenRecordAndCommand(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.carryOutEffects()
	if len(w.Started) != 0 {
		t.Fatal("the task was started before the failover")
	}
	r.failOver()
	r.heartbeats(4)
	if !slices.Equal(w.Started, []string{"run-000001/0#2"}) {
		t.Fatalf("starts %v, want only attempt 2", w.Started)
	}
}

// A late response of a deposed owner carries a lower token and has no effect. A worker that reports
// the new owner's token to the deposed owner is not answered by it. The tests in deposed_test.go cover
// late writes, which fail on the shard's record.
func TestDeposedOwnerDoesNothing(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	old := r.shard
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.carryOutEffects()
	rep := w.NextHeartbeat()
	late, _ := old.Heartbeat(&rep, false, r.clock.Now())
	if len(late.Commands) == 0 {
		t.Fatal("the response carries no start to be delayed")
	}
	r.failOver()
	r.heartbeats(1)
	if w.Execute(late) {
		t.Fatal("the worker obeyed a response under the old token")
	}
	r.heartbeats(3)
	if len(w.Started) != 1 {
		t.Fatalf("starts %v, want one", w.Started)
	}
	rep = w.NextHeartbeat()
	if _, v := old.Heartbeat(&rep, false, r.clock.Now()); v != Deposed {
		t.Fatalf("the old owner's disposition is %v, want Deposed", v)
	}
}

// A job is cancelled while the shard has no owner: the next owner loads the job's record before its
// placements, and must nevertheless stop its tasks.
func TestCancelWhileUnowned(t *testing.T) {
	r := newHarness(t)
	r.addMachine("m1", "z1", false)
	s := spec("run-000001", "b", wire.Service, "prod", 1, 1)
	r.submit(s)
	r.heartbeats(3)
	r.cancel(s)
	r.failOver()
	r.heartbeats(3)
	if at := r.runningOn(s.Ref + "/0"); at != "" {
		t.Fatalf("the cancelled task still runs on %s", at)
	}
	r.heartbeats(2)
	if r.shard.HasJob(s.Ref) {
		t.Fatal("the cancelled job did not end")
	}
}

// All controllers crash at once, repeatedly, at every step of a job: each of its tasks runs at most
// once at a time, and the job ends.
func TestCrashAtEveryStep(t *testing.T) {
	for crash := range 8 {
		r := newHarness(t)
		w := r.addMachine("m1", "z1", false)
		s := spec("run-000001", "b", wire.Array, "normal", 2, 1)
		r.submit(s)
		for step := range 24 {
			if step%8 == crash {
				r.failOver()
			}
			r.heartbeat()
			r.runningOn("run-000001/0")
			r.runningOn("run-000001/1")
			if step > 12 {
				w.ExitTask("run-000001/0", wire.Done)
				w.ExitTask("run-000001/1", wire.Done)
			}
		}
		if r.jobState(s.Ref) != wire.Done {
			t.Errorf("crash at step %d: the job did not finish", crash)
		}
		if len(w.Started) != 2 {
			t.Errorf("crash at step %d: starts %v, want two", crash, w.Started)
		}
	}
}

// After a failover no controller holds the position of the last heartbeat. A late copy of an old
// heartbeat must not reconcile, free or start a task, and does not count as contact with the machine.
func TestLateCopyAfterFailoverProvesNothing(t *testing.T) {
	r := newHarness(t)
	w1, w2 := r.addMachine("m1", "z1", false), r.addMachine("m2", "z1", false)
	r.heartbeats(2)
	empty := w1.NextHeartbeat()
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1)
	zone := "z1"
	s.Zone = &zone
	r.submit(s)
	r.heartbeats(3)
	at := r.runningOn("run-000001/0")
	if at == "m2" {
		w2 = w1
		empty.Machine = "m2"
	}
	r.failOver()
	late := func() {
		rep := empty
		if o, _ := r.shard.Heartbeat(&rep, false, r.clock.Now()); len(o.Commands) != 0 {
			t.Fatalf("a late copy was answered with %v, want no commands", o.Commands)
		}
		empty.Seq-- // the next copy is older still
		r.carryOutEffects()
	}
	r.submit(spec("run-000002", "b", wire.Array, "normal", 4, 1))
	for range 10 {
		r.clock.Advance(r.cfg.HeartbeatInterval)
		late()
		r.heartbeat(w2)
	}
	if got := r.runningOn("run-000001/0"); got != at {
		t.Fatalf("the task is on %q after late copies, want %q", got, at)
	}
	if len(w2.Started) > 2 {
		t.Fatalf("starts %v, want at most two: the task of the silent machine runs twice", w2.Started)
	}
	for range 15 {
		r.clock.Advance(r.cfg.HeartbeatInterval)
		late()
		r.heartbeat(w2)
	}
	if !slices.Equal(r.cloud.Released, []string{at}) {
		t.Fatalf("released %v, want the silent machine despite the late copies", r.cloud.Released)
	}
}

// A job record that cannot be decoded is skipped and reported, and the other jobs go on.
func TestMalformedJobIsIsolated(t *testing.T) {
	r, _ := newHarnessWithMachine(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.state.Put(record.ActiveJobKey("run-000002"), "nonsense")
	r.failOver()
	if got := r.shard.MalformedRecords(); len(got) != 1 {
		t.Errorf("malformed records %v, want one", got)
	}
	r.heartbeats(3)
	if r.runningOn("run-000001/0") == "" || r.get(record.ActiveJobKey("run-000002")) == nil {
		t.Error("the other job does not run, or the malformed record was deleted")
	}
}
