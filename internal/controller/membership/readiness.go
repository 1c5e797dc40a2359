package membership

import "time"

// How long users must be served, or not be served, before readiness changes accordingly. A
// load balancer keeps a controller out for longer each time it becomes unready.
const (
	unreadyAfter = 3 * time.Second
	readyAfter   = 500 * time.Millisecond
)

// Readiness is whether the load balancer is to send users to this controller, with hysteresis.
// The zero value is not ready. It is not safe for concurrent use; its owner guards it.
type Readiness struct {
	ready bool
	since time.Time // since when the updates have contradicted ready; zero: the last one did not
}

// Update records whether users would be served now and returns whether the controller is
// ready.
func (r *Readiness) Update(serving bool, now time.Time) bool {
	if serving == r.ready {
		r.since = time.Time{}
		return r.ready
	}
	if r.since.IsZero() {
		r.since = now
	}
	wait := readyAfter
	if r.ready {
		wait = unreadyAfter
	}
	if now.Sub(r.since) >= wait {
		r.ready, r.since = serving, time.Time{}
	}
	return r.ready
}
