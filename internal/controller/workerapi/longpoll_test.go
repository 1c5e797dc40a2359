package workerapi

import (
	"testing"
	"time"
)

// Parked responses are released at common times, never after their timeouts.
func TestParkedResponsesAreReleasedTogether(t *testing.T) {
	const timeout = 1200 * time.Millisecond
	ends := map[time.Duration]bool{}
	for since := time.Duration(0); since < time.Second; since += 7 * time.Millisecond {
		got := alignTimeout(since, timeout)
		if got > timeout || got <= timeout-releaseInterval {
			t.Errorf("at %v the aligned timeout is %v, want %v or less than 100ms less", since, got, timeout)
		}
		ends[since+got] = true
	}
	if len(ends) > 11 {
		t.Errorf("%d wake-ups in a second, want at most 11", len(ends))
	}
	if got := alignTimeout(time.Second, 60*time.Millisecond); got != 60*time.Millisecond {
		t.Errorf("a timeout of 60ms became %v, want it unchanged", got)
	}
}
