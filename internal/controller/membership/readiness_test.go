package membership

import (
	"testing"
	"time"

	"bramblespur/internal/testkit"
)

// Readiness does not flap: the load balancer would keep the controller out for
// up to a minute.
func TestReadinessHasHysteresis(t *testing.T) {
	var r Readiness
	clock := testkit.NewClock()
	step := func(good bool, d time.Duration) bool {
		clock.Advance(d)
		return r.Update(good, clock.Now())
	}
	step(true, 0)
	if !step(true, time.Second) {
		t.Fatal("not ready after a second of good times")
	}
	for range 10 { // short troubles
		step(false, time.Second)
		if !step(false, time.Second) || !step(true, time.Second) {
			t.Fatal("unready for a trouble of a second")
		}
	}
	step(false, 0)
	if step(false, unreadyAfter) {
		t.Fatal("ready in a lasting trouble")
	}
	step(true, 0)
	if !step(true, time.Second) {
		t.Fatal("not ready again after it")
	}
}
