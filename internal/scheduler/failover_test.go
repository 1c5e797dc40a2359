package scheduler

import (
	"slices"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A new owner knows from the records what may run where, and starts nothing
// twice even when the machine is silent for long.
func TestFailoverKeepsPlacements(t *testing.T) {
	r := newHarness(t)
	w1 := r.addMachine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(3)
	if r.runningOn("run-000001/0") != "m1" {
		t.Fatal("not started")
	}
	w2 := r.addMachine("m2", "z1", false)
	r.failOver()
	r.heartbeats(8, w2)
	if len(w2.Started) != 0 {
		t.Fatalf("started on a second machine: %v", w2.Started)
	}
	r.heartbeats(2, w1)
	if r.runningOn("run-000001/0") != "m1" || len(w1.Started) != 1 {
		t.Fatalf("task did not go on where it was: %v", w1.Started)
	}
}

// Crash between record and command: the next owner sees that the task never
// arrived, and starts it under a new attempt.
func TestCrashBetweenRecordAndCommand(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.carryOutEffects()
	if len(w.Started) != 0 {
		t.Fatal("started too early for this test")
	}
	r.failOver()
	r.heartbeats(4)
	if !slices.Equal(w.Started, []string{"run-000001/0#2"}) {
		t.Fatalf("starts %v, want attempt 2 only", w.Started)
	}
}

// The late answer of a deposed owner carries a lower token and does nothing;
// its late write fails on the shard's record.
func TestDeposedOwnerDoesNothing(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	old := r.shard
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.carryOutEffects()
	rep := w.Report()
	late, _ := old.Heartbeat(&rep, false, r.clock.Now())
	if len(late.Commands) == 0 {
		t.Fatal("no start to be late")
	}
	r.failOver()
	r.heartbeats(1)
	if w.Obey(late) {
		t.Fatal("the worker took an answer under the old token")
	}
	r.heartbeats(3)
	if len(w.Started) != 1 {
		t.Fatalf("starts %v, want one", w.Started)
	}
	rep = w.Report()
	if _, v := old.Heartbeat(&rep, false, r.clock.Now()); v != Deposed {
		t.Fatalf("old owner's verdict %v, want Deposed", v)
	}
}

// A cancellation that came while nobody owned the shard: its record is read
// before the placements are, and they must be stopped all the same.
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
		t.Fatalf("still on %s", at)
	}
	r.heartbeats(2)
	if r.shard.HasJob(s.Ref) {
		t.Fatal("cancelled job never ends")
	}
}

// All controllers crash at once, again and again, at every step of a job: it is
// started at most once at a time and ends.
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
				w.End("run-000001/0", wire.Done)
				w.End("run-000001/1", wire.Done)
			}
		}
		if r.jobState(s.Ref) != wire.Done {
			t.Errorf("crash at step %d: job not done", crash)
		}
		if len(w.Started) != 2 {
			t.Errorf("crash at step %d: starts %v, want two", crash, w.Started)
		}
	}
}

// After a failover nobody remembers the last heartbeat. A late copy of an old one
// settles, frees and starts nothing and does not count as a sign of life.
func TestLateCopyAfterFailoverProvesNothing(t *testing.T) {
	r := newHarness(t)
	w1, w2 := r.addMachine("m1", "z1", false), r.addMachine("m2", "z1", false)
	r.heartbeats(2)
	empty := w1.Report()
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
			t.Fatalf("a late copy was answered with %v", o.Commands)
		}
		empty.Seq-- // another copy, older still
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
		t.Fatalf("starts %v: the task of the silent machine runs twice", w2.Started)
	}
	for range 15 {
		r.clock.Advance(r.cfg.HeartbeatInterval)
		late()
		r.heartbeat(w2)
	}
	if !slices.Equal(r.cloud.Returned, []string{at}) {
		t.Fatalf("returned %v, want the silent machine, whatever late copies say", r.cloud.Returned)
	}
}

// A job's record that can't be decoded is passed over and told, and the other jobs go on.
func TestMalformedJobIsIsolated(t *testing.T) {
	r, _ := newHarnessWithMachine(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.state.Put(record.ActiveJobKey("run-000002"), "nonsense")
	r.failOver()
	if got := r.shard.MalformedRecords(); len(got) != 1 {
		t.Errorf("told of %v", got)
	}
	r.heartbeats(3)
	if r.runningOn("run-000001/0") == "" || r.get(record.ActiveJobKey("run-000002")) == nil {
		t.Error("the other job does not run, or the record is gone")
	}
}
