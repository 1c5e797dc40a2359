package controller

import (
	"time"

	"bramblespur/internal/controller/transport"
)

// readinessResponse returns the response to the load balancer's readiness check: 200 if it is to send
// users to this controller, otherwise 503. It takes the shards' lock.
func (c *Controller) readinessResponse() transport.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.readiness.Update(c.servesUsersLocked(now), now) {
		return transport.Response{Status: 200}
	}
	return transport.Response{Status: 503}
}

// servesUsersLocked reports whether this controller serves users at least as well as any other.
// When the state service is out of reach for all controllers, no other one serves them better. A
// controller that reaches neither the state service nor any other controller is probably
// partitioned itself and reports false. The shards' lock is held.
func (c *Controller) servesUsersLocked(now time.Time) bool {
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
			return false // the state service is out of reach only for this controller
		}
		if contact.Answers(now) {
			answers++
		}
	}
	return answers > 0
}
