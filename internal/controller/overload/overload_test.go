package overload

import (
	"log/slog"
	"testing"
	"time"
)

// tickInterval is how often timers fire.
const tickInterval = 250 * time.Millisecond

// ticks feeds a detector with late timers.
type ticks struct {
	d   *Detector
	now time.Time
}

// newTicks returns ticks for a detector whose process keeps up.
func newTicks() *ticks {
	return &ticks{d: NewDetector(slog.New(slog.DiscardHandler), 1, 4*time.Second), now: time.Unix(1e9, 0)}
}

// run lets timers fire late for a while and returns how often the process fell behind
// or kept up again.
func (w *ticks) run(late, d time.Duration) (changes int) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tickInterval + late)
		if w.d.observe(late, w.now) {
			changes++
		}
	}
	return changes
}

func TestFallingBehindHasHysteresis(t *testing.T) {
	w := newTicks()
	for range 2 {
		if w.d.observe(time.Hour, w.now) || w.d.behind {
			t.Error("behind after standing still twice")
		}
	}
	w.run(500*time.Millisecond, 10*time.Second)
	if !w.d.behind {
		t.Error("not behind with every timer late by 500 ms")
	}
	w.run(200*time.Millisecond, 2*BehindEndsAfter)
	if !w.d.behind {
		t.Error("not behind any more with every timer late by 200 ms")
	}
	if w.run(5*time.Millisecond, BehindEndsAfter*9/10); !w.d.behind {
		t.Error("what was left undone is taken up again although timers were late lately")
	}
	if changes := w.run(5*time.Millisecond, BehindEndsAfter); w.d.behind || changes != 1 {
		t.Errorf("with timers in time again: behind %t after %d changes", w.d.behind, changes)
	}
}

// What a short wave of work does is not overload: nothing changes hands for it. One
// that lasts is, and then the process must keep up for a while before it gets parts,
// the longer the more often that did not last.
func TestOverloadAndRecovery(t *testing.T) {
	w := newTicks()
	w.run(time.Second, 4*time.Second)
	if !w.d.behind || w.d.overloaded || w.d.KeepsUp(w.now) {
		t.Errorf("after a wave: behind %t, overloaded %t, keeps up %t", w.d.behind, w.d.overloaded, w.d.KeepsUp(w.now))
	}
	if w.run(0, 2*BehindEndsAfter); !w.d.KeepsUp(w.now) {
		t.Error("a wave alone keeps it from taking parts")
	}
	recovery := func(want time.Duration) {
		t.Helper()
		w.run(time.Second, 30*time.Second)
		if !w.d.overloaded || w.d.KeepsUp(w.now) {
			t.Fatalf("late for long: overloaded %t, keeps up %t", w.d.overloaded, w.d.KeepsUp(w.now))
		}
		if w.run(0, want*9/10); w.d.overloaded || w.d.KeepsUp(w.now) {
			t.Errorf("in time for %s: overloaded %t, keeps up %t", want*9/10, w.d.overloaded, w.d.KeepsUp(w.now))
		}
		if w.run(0, want*2/10); !w.d.KeepsUp(w.now) {
			t.Errorf("in time for %s: not recovered", want*11/10)
		}
	}
	recovery(MinRecovery)
	recovery(2 * MinRecovery)
	recovery(maxRecovery)
	recovery(maxRecovery)
	w.run(0, 2*maxRecovery)
	recovery(MinRecovery)
}
