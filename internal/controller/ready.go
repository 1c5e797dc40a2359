package controller

import (
	"time"

	"bramblespur/internal/controller/transport"
)

// readinessResponse tells the load balancer whether to send users here.
func (c *Controller) readinessResponse() transport.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.readiness.Update(c.servesUsers(now), now) {
		return transport.Response{Status: 200}
	}
	return transport.Response{Status: 503}
}

// servesUsers reports whether users are served here, or no worse than elsewhere: in
// an outage of the state service for all controllers there is no better place.
// One that reaches neither the state service nor any other controller is rather
// partitioned itself. The shards' lock is held.
func (c *Controller) servesUsers(now time.Time) bool {
	if c.shards.SchedulerConfigLocked() == nil || c.lease.Current().ID == 0 || !c.activeJobs.Loaded() {
		return false
	}
	if c.leaseCertain(now) {
		return true
	}
	if len(c.peers) == 0 {
		return true
	}
	answers := 0
	for label := range c.peers {
		contact := c.peerHealth.Contact(label)
		if contact.ReachesStateService(now) {
			return false // refused here alone
		}
		if contact.Answers(now) {
			answers++
		}
	}
	return answers > 0
}
