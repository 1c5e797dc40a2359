package controller

import (
	"time"

	"bramblespur/internal/controller/transport"
)

// A load balancer keeps a controller out for longer each time it turns
// unready, so readiness changes only when its cause has lasted a while.
const (
	unreadyAfter = 3 * time.Second
	readyAfter   = 500 * time.Millisecond
)

// readiness is whether users are to be sent here, with hysteresis.
type readiness struct {
	ready bool
	since time.Time // since when the present state of things speaks against ready
}

// update takes in whether users would be served and returns what to tell.
func (r *readiness) update(good bool, now time.Time) bool {
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

// ready tells the load balancer whether to send users here.
func (c *Controller) ready() transport.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.readiness.update(c.serves(now), now) {
		return transport.Response{Status: 200}
	}
	return transport.Response{Status: 503}
}

// serves reports whether users are served here, or no worse than elsewhere: in
// an outage of the state service for all controllers there is no better place.
// One that reaches neither the state service nor any other controller is rather
// cut off itself. The lock is held.
func (c *Controller) serves(now time.Time) bool {
	if c.schedulerConfig == nil || c.lease.current().id == 0 || c.jobsAt.IsZero() {
		return false
	}
	if c.sure(now) {
		return true
	}
	if len(c.peers) == 0 {
		return true
	}
	answers := 0
	for label := range c.peers {
		contact := c.peerHealth.contact(label)
		if contact.reachesState(now) {
			return false // refused here alone
		}
		if contact.answers(now) {
			answers++
		}
	}
	return answers > 0
}
