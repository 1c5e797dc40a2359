package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func begun(share float64) *Limiter {
	p := New(Settings{})
	p.Start(share, start)
	return p
}

// However commands are requested and whatever is answered, no second has more than the share.
func TestNoSecondAboveTheShare(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		share := 4 + r.Float64()*200
		p := begun(share)
		var released []time.Time
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Duration(r.IntN(30)) * time.Millisecond) {
			for range r.IntN(12) {
				if p.Allow([]Priority{Urgent, Routine}[r.IntN(2)], now) {
					released = append(released, now)
					p.Acknowledge()
				}
			}
		}
		first := 0
		for i, at := range released {
			for at.Sub(released[first]) >= time.Second {
				first++
			}
			if n := i - first + 1; float64(n) > share+1 {
				t.Fatalf("seed %d: %d orders in a second, share %.1f", seed, n, share)
			}
		}
		if got := float64(len(released)); got < share/2*15 {
			t.Errorf("seed %d: %v orders in 20 s at %.1f a second", seed, got, share)
		}
	}
}

// What a rule limits is never held back, and what is urgent goes before the rest.
func TestUrgentFirst(t *testing.T) {
	p := begun(256)
	now := start.Add(10 * time.Second) // all that may be saved up is
	routine := 0
	for p.Allow(Routine, now) {
		routine++
	}
	urgent := 0
	for p.Allow(Urgent, now) {
		urgent++
	}
	if urgent < 2 {
		t.Errorf("after %d others only %d urgent orders are left", routine, urgent)
	}
	for range 100 {
		if !p.Allow(Exempt, now) {
			t.Fatal("a stop with a time limit is held back")
		}
	}
	if p.Allow(Urgent, now.Add(time.Second)) {
		t.Error("what the stops took is not taken from the others")
	}
	if !p.TakeAnyDelayed() || p.TakeAnyDelayed() || p.TakeDelayed() == 0 || p.TakeDelayed() != 0 {
		t.Error("what waits is not told, or told twice")
	}
}

// Questions to workers keep to the same rate, and take nothing from the commands.
func TestCallsCountApart(t *testing.T) {
	p := begun(64)
	calls := 0
	for now := start.Add(time.Second); now.Before(start.Add(2 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for p.AllowProbe(now) {
			calls++
		}
	}
	if calls < 64 || calls > 128 { // what was saved up, and what came
		t.Errorf("%d calls in a second", calls)
	}
	if !p.Allow(Urgent, start.Add(2*time.Second)) {
		t.Error("no order is left after the calls")
	}
}

// It begins slowly, grows as answers come, and doubles without end once that took too long.
func TestRamp(t *testing.T) {
	p := begun(80)
	count := func(from time.Time) int {
		n := 0
		for now := from; now.Before(from.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
			for p.Allow(Urgent, now) {
				n++
			}
		}
		return n
	}
	slow := count(start)
	for range 4 * acksToDouble {
		p.Acknowledge()
	}
	count(start.Add(time.Second))
	fast := count(start.Add(2 * time.Second))
	late := count(start.Add(DefaultLimitFor + 4*time.Second))
	if slow > 20 || fast < 2*slow || late < 4*fast {
		t.Errorf("%d, then %d, then %d orders in a second", slow, fast, late)
	}
	if p.NextAllowedAt(start.Add(DefaultLimitFor+6*time.Second)).Sub(start) > time.Minute {
		t.Error("the next order is far off")
	}
	p.Stop()
	for range 1000 {
		if !p.Allow(Routine, start.Add(time.Minute)) {
			t.Fatal("held back after the pace ended")
		}
	}
	var none *Limiter
	if none.Active() || !none.Allow(Routine, start) {
		t.Error("no pace holds orders back")
	}
}

// The bound follows the fleet unless the operators set it.
func TestTotal(t *testing.T) {
	for machines, want := range map[int]float64{0: minCommandsPerSecond, 30: minCommandsPerSecond, 4000: 2000} {
		if got := (&Settings{}).ClusterRate(machines); got != want {
			t.Errorf("%d machines: %v, want %v", machines, got, want)
		}
	}
	if got := (&Settings{CommandsPerSecond: 7}).ClusterRate(4000); got != 7 {
		t.Errorf("%v, want what is set", got)
	}
}

// Whoever answers or does not, all that may be in use together never passes the total, and a
// share that nobody needs any more comes to who does.
func TestSharesStaySafe(t *testing.T) {
	labels := []string{"a", "b", "c"}
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 2))
		s := NewClusterShares(30, labels)
		inUse := map[string]float64{"a": 10, "b": 10, "c": 10}
		for range 50 {
			w := []float64{r.Float64(), r.Float64(), r.Float64()}
			sum := w[0] + w[1] + w[2]
			given := s.Next(map[string]float64{"a": 30 * w[0] / sum, "b": 30 * w[1] / sum, "c": 30 * w[2] / sum})
			for _, l := range labels {
				switch r.IntN(4) {
				case 0: // the call was lost
					s.MarkSilent(l)
				case 1: // its answer was
					inUse[l] = given[l]
					s.MarkSilent(l)
				default:
					inUse[l] = given[l]
					s.Confirm(l, given[l])
				}
				if total := inUse["a"] + inUse["b"] + inUse["c"]; total > 30+1e-9 {
					t.Fatalf("seed %d: %v in use together", seed, inUse)
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
		t.Errorf("a has %v of the 26 that the others leave", got)
	}
}
