package membership

import "time"

// A load balancer keeps a controller out for longer each time it turns
// unready, so readiness changes only when its cause has lasted a while.
const (
	unreadyAfter = 3 * time.Second
	readyAfter   = 500 * time.Millisecond
)

// Readiness is whether users are to be sent here, with hysteresis. The zero value is not
// ready. Its owner guards it.
type Readiness struct {
	ready bool
	since time.Time // since when the cause speaks against ready; zero: it does not
}

// Update records whether users would be served now and returns what to tell the load
// balancer.
func (r *Readiness) Update(good bool, now time.Time) bool {
	if good == r.ready {
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
		r.ready, r.since = good, time.Time{}
	}
	return r.ready
}
