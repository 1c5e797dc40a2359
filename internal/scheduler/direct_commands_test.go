package scheduler

import (
	"fmt"
	"testing"

	"bramblespur/internal/wire"
)

// deliverCommand carries a direct command out, as its worker would, and tells the
// shard unless the answer is lost.
func (r *harness) deliverCommand(d DirectCommand, answered bool) {
	w := r.workers[d.Machine]
	if w.Session != d.Orders.Session || !w.Obey(wire.Orders{Token: d.Orders.Token, Commands: d.Orders.Commands}) {
		if answered {
			r.shard.CommandDone(d, Refused, r.clock.Now())
		}
		return
	}
	rep := w.Report()
	if answered {
		r.shard.CommandDone(d, Executed, r.clock.Now())
		r.shard.Heartbeat(&rep, true, r.clock.Now())
	}
}

// A start sent straight to the worker runs without waiting for a heartbeat, and
// its repetition in an answer starts nothing twice.
func TestDirectStartRunsWithoutHeartbeat(t *testing.T) {
	r := newHarness(t)
	r.sendStart = func(d DirectCommand) { r.deliverCommand(d, true) }
	w := r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 2, 1))
	r.carryOutEffects()
	if len(w.Started) != 2 {
		t.Fatalf("starts %v before the next report, want both", w.Started)
	}
	r.heartbeats(2)
	w.End("run-000001/0", wire.Done)
	w.End("run-000001/1", wire.Done)
	r.heartbeats(4)
	if len(w.Started) != 2 || r.jobState("run-000001") != wire.Done {
		t.Fatalf("starts %v, state %s", w.Started, r.jobState("run-000001"))
	}
}

// A direct start without an answer may come late. Its task keeps its place, and
// its job is not over, until the worker has seen a higher token; from then on
// the late command does nothing.
func TestLateDirectStart(t *testing.T) {
	r := newHarness(t)
	var late []DirectCommand
	r.sendStart = func(d DirectCommand) { late = append(late, d) }
	w := r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1)
	r.submit(s)
	r.carryOutEffects()
	if len(late) != 1 {
		t.Fatalf("%d direct starts, want one", len(late))
	}
	r.cancel(s)()
	r.heartbeats(1)
	if !r.shard.HasJob(s.Ref) {
		t.Fatal("the job is over though its start may still come")
	}
	before := w.Token
	for range 6 {
		r.shard.CommandDone(late[0], NoAnswer, r.clock.Now())
		r.heartbeat()
	}
	if w.Token <= before || r.shard.HasJob(s.Ref) {
		t.Fatalf("token %d, before %d: want a higher one, and the job's end after it", w.Token, before)
	}
	r.deliverCommand(late[0], false)
	if len(w.Started) != 0 {
		t.Fatalf("the late command started %v", w.Started)
	}
}

// A copy of a direct start that was carried out comes after its task was
// stopped and started elsewhere: the worker has not forgotten the attempt.
func TestCopyOfDirectStartStartsNothing(t *testing.T) {
	r := newHarness(t)
	var sent []DirectCommand
	r.sendStart = func(d DirectCommand) { sent = append(sent, d); r.deliverCommand(d, true) }
	w1 := r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 2))
	r.carryOutEffects()
	r.heartbeats(1)
	r.submit(spec("run-000002", "b", wire.Service, "prod", 1, 2))
	r.heartbeats(4) // takes the array's place
	w2 := r.addMachine("m2", "z1", false)
	r.heartbeats(4)
	if r.runningOn("run-000001/0") != "m2" || r.runningOn("run-000002/0") != "m1" {
		t.Fatalf("starts %v and %v", w1.Started, w2.Started)
	}
	r.deliverCommand(sent[0], false)
	if got := r.runningOn("run-000001/0"); got != "m2" {
		t.Fatalf("the task is on %q", got)
	}
	// A new epoch forgets all, and takes no command of the old one.
	r.expireLease(w1)
	r.deliverCommand(sent[0], false)
	if got := r.runningOn("run-000001/0"); got != "m2" {
		t.Fatalf("the task is on %q", got)
	}
}

// Attempts that may not be forgotten do not pile up: a higher token ends that.
func TestRetainedAttemptsAreCleared(t *testing.T) {
	r := newHarness(t)
	r.sendStart = func(d DirectCommand) { r.deliverCommand(d, true) }
	w := r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	for i := range 3 * maxRetainedAttempts {
		s := spec(fmt.Sprintf("run-0000%02d", i), "b", wire.Service, "prod", 1, 2)
		r.submit(s)
		r.heartbeats(2)
		r.cancel(s)()
		r.heartbeats(2)
		if len(w.Tasks) > maxRetainedAttempts+2 {
			t.Fatalf("%d tasks are kept after %d jobs", len(w.Tasks), i+1)
		}
	}
	if len(w.Started) != 3*maxRetainedAttempts {
		t.Fatalf("%d starts, want %d", len(w.Started), 3*maxRetainedAttempts)
	}
}

// A failover makes every direct start of the earlier owner void.
func TestFailoverVoidsDirectStarts(t *testing.T) {
	r := newHarness(t)
	var late []DirectCommand
	r.sendStart = func(d DirectCommand) { late = append(late, d) }
	w1 := r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 2))
	r.carryOutEffects()
	r.sendStart = nil
	w2 := r.addMachine("m2", "z1", false)
	r.failOver()
	r.heartbeats(4)
	r.deliverCommand(late[0], false)
	if n := len(w1.Started) + len(w2.Started); n != 1 {
		t.Fatalf("starts %v and %v, want one", w1.Started, w2.Started)
	}
}
