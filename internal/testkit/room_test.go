package testkit

import (
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/wire"
)

// anyZone allows all zones.
func anyZone(string) bool { return true }

// newRoomWorld returns a world with one machine of four GPUs and a job of one GPU for each task.
func newRoomWorld() (*World, *Agent, wire.Spec) {
	typ := wire.MachineType{Name: "g4", GPUs: 4}
	w := NewWorld([]string{"n0"}, []wire.MachineType{typ}, Timing{Report: time.Second, Lease: time.Hour}, NewChecker(nil, time.Minute), 1)
	spec := wire.Spec{Ref: "r1", Kind: wire.Array, Tasks: 4, GPUs: 1}
	a := newAgent(w, "i-1", typ, "a", false)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agents[a.ID] = a
	w.specs[spec.Ref] = spec
	return w, a, spec
}

// Guards against a deadlock: the checker asks for room under its lock, which agents take under
// theirs when they report a start.
func TestRoomTakesNoLockOfAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, a, spec := newRoomWorld()
		defer w.Stop()
		w.check.SetFaultFree(true)
		w.check.JobSubmitted(spec)
		w.check.Answered(Submission, spec.Ref, time.Now(), time.Now(), 201, wire.Pending)
		room := w.room()
		a.mu.Lock()
		defer a.mu.Unlock()
		w.check.CheckDurations(room)
		if !room(&spec, anyZone) {
			t.Error("no room on an empty machine")
		}
	})
}

// A machine has room for as many tasks as fit beside those that are active on it.
func TestRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, a, spec := newRoomWorld()
		defer w.Stop()
		gang := wire.Spec{Ref: "r2", Kind: wire.Gang, Tasks: 4, GPUs: 1}
		for running, want := range []struct{ task, gang bool }{{true, true}, {true, false}, {true, false}, {true, false}, {false, false}} {
			if running > 0 {
				a.Inject(spec.Ref, running, 1, wire.Running, "")
			}
			room := w.room()
			if got := room(&spec, anyZone); got != want.task {
				t.Errorf("%d tasks running: room for a task %t, want %t", running, got, want.task)
			}
			if got := room(&gang, anyZone); got != want.gang {
				t.Errorf("%d tasks running: room for a gang of 4 %t, want %t", running, got, want.gang)
			}
		}
		a.Hang(true)
		if w.room()(&wire.Spec{Tasks: 1, MemoryGB: 0, CPUs: 0, GPUs: 0.5, Kind: wire.Array}, anyZone) {
			t.Error("a machine that hangs has room")
		}
	})
}

// An injected attempt must not replace an active one, which the checker would believe to go on.
func TestInjectRefusesToReplaceActiveAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, a, spec := newRoomWorld()
		defer w.Stop()
		a.Inject(spec.Ref, 0, 1, wire.Exited, wire.ExitError)
		a.Inject(spec.Ref, 0, 2, wire.Running, "")
		defer func() {
			if recover() == nil {
				t.Error("an active attempt was replaced")
			}
		}()
		a.Inject(spec.Ref, 0, 3, wire.Running, "")
	})
}
