package overload

import (
	"log/slog"
	"testing"
	"time"
)

// tickInterval is the interval of the simulated timer.
const tickInterval = 250 * time.Millisecond

// simulation feeds a detector with the lags of a simulated timer.
type simulation struct {
	d   *Detector
	now time.Time // simulated time
}

// newSimulation returns a simulation with a detector whose process keeps up.
func newSimulation() *simulation {
	return &simulation{d: NewDetector(slog.New(slog.DiscardHandler), 1, 4*time.Second), now: time.Unix(1e9, 0)}
}

// run lets the timer fire late by a fixed lag for a duration d, and returns how often the process
// fell behind or caught up.
func (s *simulation) run(lag, d time.Duration) (changes int) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tickInterval + lag)
		if s.d.observe(lag, s.now) {
			changes++
		}
	}
	return changes
}

func TestFallingBehindHasHysteresis(t *testing.T) {
	s := newSimulation()
	for range 2 {
		if s.d.observe(time.Hour, s.now) || s.d.behind {
			t.Error("behind although the process only stopped twice")
		}
	}
	s.run(500*time.Millisecond, 10*time.Second)
	if !s.d.behind {
		t.Error("not behind with every timer late by 500 ms")
	}
	s.run(200*time.Millisecond, 2*BehindEndsAfter)
	if !s.d.behind {
		t.Error("no longer behind with every timer late by 200 ms")
	}
	if s.run(5*time.Millisecond, BehindEndsAfter*9/10); !s.d.behind {
		t.Error("no longer behind although timers were late within BehindEndsAfter")
	}
	if changes := s.run(5*time.Millisecond, BehindEndsAfter); s.d.behind || changes != 1 {
		t.Errorf("with timers in time for BehindEndsAfter: behind %t after %d changes, want false after 1", s.d.behind, changes)
	}
}

// A short burst of work is not overload, and does not keep the process from owning shards. A lasting
// one is. After it the process must keep up for a recovery time, which doubles each time the process
// soon is overloaded again.
func TestOverloadAndRecovery(t *testing.T) {
	s := newSimulation()
	s.run(time.Second, 4*time.Second)
	if !s.d.behind || s.d.overloaded || s.d.KeepsUp(s.now) {
		t.Errorf("after a burst: behind %t, overloaded %t, keeps up %t; want only behind", s.d.behind, s.d.overloaded, s.d.KeepsUp(s.now))
	}
	if s.run(0, 2*BehindEndsAfter); !s.d.KeepsUp(s.now) {
		t.Error("does not keep up after a short burst")
	}
	recovery := func(want time.Duration) {
		t.Helper()
		s.run(time.Second, 30*time.Second)
		if !s.d.overloaded || s.d.KeepsUp(s.now) {
			t.Fatalf("late for 30 s: overloaded %t, keeps up %t; want only overloaded", s.d.overloaded, s.d.KeepsUp(s.now))
		}
		if s.run(0, want*9/10); s.d.overloaded || s.d.KeepsUp(s.now) {
			t.Errorf("in time for %s: overloaded %t, keeps up %t; want neither", want*9/10, s.d.overloaded, s.d.KeepsUp(s.now))
		}
		if s.run(0, want*2/10); !s.d.KeepsUp(s.now) {
			t.Errorf("in time for %s: does not keep up", want*11/10)
		}
	}
	recovery(MinRecovery)
	recovery(2 * MinRecovery)
	recovery(maxRecovery)
	recovery(maxRecovery)
	s.run(0, 2*maxRecovery)
	recovery(MinRecovery)
}
