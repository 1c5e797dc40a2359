package controller

import (
	"fmt"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// The cache is bounded, and what was put last is always there.
func TestFinalStatesAreBounded(t *testing.T) {
	f := newFinalStates()
	for i := range finalStatesKept + 10 {
		ref := fmt.Sprintf("run-%06d", i)
		f.put(ref, record.FinishedJob{State: wire.Done, Tasks: i})
		if j, ok := f.get(ref); !ok || j.Tasks != i {
			t.Fatalf("%s: %+v, %t", ref, j, ok)
		}
	}
	if n := len(f.jobs); n != finalStatesKept {
		t.Errorf("%d final states are kept, want %d", n, finalStatesKept)
	}
	if _, ok := f.get("run-999999"); ok {
		t.Error("knows the state of a job it was never told of")
	}
}
