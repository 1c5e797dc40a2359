package workerapi

import (
	"testing"
	"time"
)

// Parked responses go out at common times, never later than they are due.
func TestParkedResponsesGoTogether(t *testing.T) {
	const d = 1200 * time.Millisecond
	ends := map[time.Duration]bool{}
	for since := time.Duration(0); since < time.Second; since += 7 * time.Millisecond {
		got := alignTimeout(since, d)
		if got > d || got <= d-releaseInterval {
			t.Errorf("parked at %v: %v of %v", since, got, d)
		}
		ends[since+got] = true
	}
	if len(ends) > 11 {
		t.Errorf("%d wake-ups in a second, want 11 at most", len(ends))
	}
	if got := alignTimeout(time.Second, 60*time.Millisecond); got != 60*time.Millisecond {
		t.Errorf("a short timeout became %v", got)
	}
}
