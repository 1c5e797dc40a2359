package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// newActive returns a limiter that became active at start.
func newActive(share float64) *Limiter {
	limiter := New(Settings{})
	limiter.Start(share, start)
	return limiter
}

// No second has more commands than the share, for random requests and acknowledgements.
func TestNoSecondAboveTheShare(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		share := 4 + r.Float64()*200
		limiter := newActive(share)
		var released []time.Time
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Duration(r.IntN(30)) * time.Millisecond) {
			for range r.IntN(12) {
				if limiter.Allow([]Priority{Urgent, Routine}[r.IntN(2)], now) {
					released = append(released, now)
					limiter.Acknowledge()
				}
			}
		}
		first := 0
		for i, at := range released {
			for at.Sub(released[first]) >= time.Second {
				first++
			}
			if n := i - first + 1; float64(n) > share+1 {
				t.Fatalf("seed %d: %d commands in a second, want at most 1 more than the share %.1f", seed, n, share)
			}
		}
		if got := float64(len(released)); got < share/2*15 {
			t.Errorf("seed %d: %v commands in 20 s with a share of %.1f per second", seed, got, share)
		}
	}
}

// Exempt commands are never delayed, and routine commands leave a reserve to urgent ones.
func TestUrgentFirst(t *testing.T) {
	limiter := newActive(256)
	now := start.Add(10 * time.Second) // the bucket is full
	routine := 0
	for limiter.Allow(Routine, now) {
		routine++
	}
	urgent := 0
	for limiter.Allow(Urgent, now) {
		urgent++
	}
	if urgent < 2 {
		t.Errorf("after %d routine commands %d urgent ones were released, want at least 2", routine, urgent)
	}
	for range 100 {
		if !limiter.Allow(Exempt, now) {
			t.Fatal("an exempt command was delayed")
		}
	}
	if limiter.Allow(Urgent, now.Add(time.Second)) {
		t.Error("an urgent command was released although exempt ones had used up the tokens")
	}
	if !limiter.TakeAnyDelayed() || limiter.TakeAnyDelayed() || limiter.TakeDelayed() == 0 || limiter.TakeDelayed() != 0 {
		t.Error("delayed commands were not counted, or counted twice")
	}
}

// Probes are limited to the same rate as commands, but separately from them.
func TestProbesAreLimitedSeparately(t *testing.T) {
	limiter := newActive(64)
	probes := 0
	for now := start.Add(time.Second); now.Before(start.Add(2 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for limiter.AllowProbe(now) {
			probes++
		}
	}
	if probes < 64 || probes > 128 { // a full bucket, and one second's refill
		t.Errorf("%d probes in a second, want 64 to 128", probes)
	}
	if !limiter.Allow(Urgent, start.Add(2*time.Second)) {
		t.Error("a command was delayed after probes")
	}
}

// The rate starts low, grows with acknowledgements, and doubles each second after LimitFor. An inactive
// or nil limiter delays nothing.
func TestRamp(t *testing.T) {
	limiter := newActive(80)
	count := func(from time.Time) int {
		n := 0
		for now := from; now.Before(from.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
			for limiter.Allow(Urgent, now) {
				n++
			}
		}
		return n
	}
	slow := count(start)
	for range 4 * acksToDouble {
		limiter.Acknowledge()
	}
	count(start.Add(time.Second))
	fast := count(start.Add(2 * time.Second))
	late := count(start.Add(DefaultLimitFor + 4*time.Second))
	if slow > 20 || fast < 2*slow || late < 4*fast {
		t.Errorf("commands in a second: %d at first, %d after acknowledgements, %d after LimitFor", slow, fast, late)
	}
	if limiter.NextAllowedAt(start.Add(DefaultLimitFor+6*time.Second)).Sub(start) > time.Minute {
		t.Error("the next command is allowed only after more than a minute")
	}
	limiter.Stop()
	for range 1000 {
		if !limiter.Allow(Routine, start.Add(time.Minute)) {
			t.Fatal("a command was delayed by a stopped limiter")
		}
	}
	var none *Limiter
	if none.Active() || !none.Allow(Routine, start) {
		t.Error("a nil limiter is active or delays a command")
	}
}

// The bound depends on the size of the fleet unless the operators set it.
func TestClusterRate(t *testing.T) {
	for machines, want := range map[int]float64{0: minCommandsPerSecond, 30: minCommandsPerSecond, 4000: 2000} {
		if got := (&Settings{}).ClusterRate(machines); got != want {
			t.Errorf("%d machines: %v commands per second, want %v", machines, got, want)
		}
	}
	if got := (&Settings{CommandsPerSecond: 7}).ClusterRate(4000); got != 7 {
		t.Errorf("%v commands per second, want the 7 that are set", got)
	}
}

// The shares in use never exceed the total together, whichever controllers answer. A share that a
// controller no longer needs goes to those that need it.
func TestSharesNeverExceedTheTotal(t *testing.T) {
	labels := []string{"a", "b", "c"}
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 2))
		s := NewClusterShares(30, labels)
		inUse := map[string]float64{"a": 10, "b": 10, "c": 10}
		for range 50 {
			w := []float64{r.Float64(), r.Float64(), r.Float64()}
			sum := w[0] + w[1] + w[2]
			granted := s.Next(map[string]float64{"a": 30 * w[0] / sum, "b": 30 * w[1] / sum, "c": 30 * w[2] / sum})
			for _, l := range labels {
				switch r.IntN(4) {
				case 0: // the call was lost
					s.MarkSilent(l)
				case 1: // the answer was lost
					inUse[l] = granted[l]
					s.MarkSilent(l)
				default:
					inUse[l] = granted[l]
					s.Confirm(l, granted[l])
				}
				if total := inUse["a"] + inUse["b"] + inUse["c"]; total > 30+1e-9 {
					t.Fatalf("seed %d: shares in use %v, want a sum of at most 30", seed, inUse)
				}
			}
		}
	}
	s := NewClusterShares(30, labels)
	for range 3 {
		for l, share := range s.Next(map[string]float64{"a": 26, "b": 2, "c": 2}) {
			s.Confirm(l, share)
		}
	}
	if got := s.Next(map[string]float64{"a": 26, "b": 2, "c": 2})["a"]; got < 25.9 {
		t.Errorf("a has a share of %v, want the 26 that the others leave", got)
	}
}
