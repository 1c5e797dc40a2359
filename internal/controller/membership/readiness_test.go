package membership

import (
	"testing"
	"time"

	"bramblespur/internal/testkit"
)

// Readiness does not change for short interruptions: the load balancer would keep the controller
// out for up to a minute.
func TestReadinessHasHysteresis(t *testing.T) {
	var r Readiness
	clock := testkit.NewClock()
	step := func(serving bool, d time.Duration) bool {
		clock.Advance(d)
		return r.Update(serving, clock.Now())
	}
	step(true, 0)
	if !step(true, time.Second) {
		t.Fatal("not ready although users were served for a second")
	}
	for range 10 { // short interruptions
		step(false, time.Second)
		if !step(false, time.Second) || !step(true, time.Second) {
			t.Fatal("not ready because of an interruption of a second")
		}
	}
	step(false, 0)
	if step(false, unreadyAfter) {
		t.Fatal("still ready after an interruption of unreadyAfter")
	}
	step(true, 0)
	if !step(true, time.Second) {
		t.Fatal("not ready a second after the interruption ended")
	}
}
