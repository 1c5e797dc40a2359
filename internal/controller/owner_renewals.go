package controller

import (
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/controller/workerapi"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// renewal is what a controller remembers of a worker's lease that it renews for an owner
// out of reach.
type renewal struct {
	// blockedSince is since when each renewal had a reason against it; the time of the
	// last renewal while there was none.
	blockedSince time.Time
	last         time.Time // when the lease was last renewed, or that refused
}

// renewals remembers, by machine, the leases renewed for owners out of reach. The
// shards' lock guards it.
type renewals map[string]renewal

// full reports whether there is no room to remember one more machine.
func (r renewals) full(machine string) bool {
	_, known := r[machine]
	return !known && len(r) >= workerapi.MaxRemembered
}

// record records a request for a renewal, and whether anything speaks against it, and
// returns for how long something has. A pause longer than the lease starts anew.
func (r renewals) record(machine string, blocked bool, lease time.Duration, now time.Time) time.Duration {
	last := r[machine]
	if !blocked || now.Sub(last.last) > lease {
		last.blockedSince = now
	}
	last.last = now
	r[machine] = last
	return now.Sub(last.blockedSince)
}

// expire forgets workers that have not come for longer than their lease.
func (r renewals) expire(lease time.Duration, now time.Time) {
	for machine, last := range r {
		if now.Sub(last.last) > lease {
			delete(r, machine)
		}
	}
}

// A heartbeat that can't be responded to is kept for renewalRetryTimeout and looked at
// again each renewalRetryInterval; with the relay before it, that stays below the 4 s after
// which a worker gives a response up.
const (
	renewalRetryTimeout  = 1500 * time.Millisecond
	renewalRetryInterval = 250 * time.Millisecond
)

// respondForOwner responds to a heartbeat for an owner out of reach. Where the lease may not
// be renewed for now, the response waits as long as it would still be accepted: what
// isolates this controller may end meanwhile, and a worker sent away would lose
// its lease trying controllers that are partitioned from it.
func (c *Controller) respondForOwner(h *wire.Heartbeat, token uint64, respond func(transport.Response)) {
	response := c.renewForOwner(h, token)
	for range int(renewalRetryTimeout / renewalRetryInterval) {
		if response.Status != 503 {
			break
		}
		retry.Sleep(c.life, renewalRetryInterval)
		response = c.renewForOwner(h, c.ownerToken(h.Machine))
	}
	respond(response)
}

// ownerToken returns the token under which the lease of a machine's worker may be renewed, 0
// if the machine has no record. It takes the shards' lock.
func (c *Controller) ownerToken(machine string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, recorded := c.machines.Machine(machine)
	if !recorded {
		return 0
	}
	return max(c.cluster.ShardVersion(m.Shard), m.Version)
}

// renewForOwner responds for an owner that can't be reached from here, as when two
// zones are partitioned from each other, or that is gone and not yet replaced: the
// same token is accepted from any controller, so the worker's lease is renewed
// and its tasks live. No commands are given. While a heartbeat shows tasks of a job
// that is cancelled or terminal, that ends after a while, so that they end too. It takes
// the shards' lock.
func (c *Controller) renewForOwner(h *wire.Heartbeat, token uint64) transport.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	stale := c.activeJobsStale(now)
	if to, look := c.router.BetterControllerLocked(h.Machine, now); look {
		return redirectTo(to)
	}
	if h.Token > token && stale {
		token = h.Token // given by an owner that this controller can't know of yet
	}
	if token == 0 || h.Token > token {
		return transport.Response{Status: 503, RetryAfter: 1}
	}
	if c.renewals.full(h.Machine) {
		return transport.Response{Status: 503, RetryAfter: transport.RetryAfter}
	}
	lease := config.Seconds(c.cfg.Params.Workers.LeaseS)
	blocked := !stale && c.hasEndedTasksLocked(h)
	if c.renewals.record(h.Machine, blocked, lease, now) > c.maxBlockedRenewal() {
		return transport.Response{Status: 503, RetryAfter: 1}
	}
	return transport.Response{Status: 200, Body: wire.Orders{Token: token, Commands: []wire.Command{}}}
}

// maxBlockedRenewal is how long leases are renewed while tasks of a terminal job
// live by them: the owner may yet be reached.
func (c *Controller) maxBlockedRenewal() time.Duration {
	return config.Seconds(c.cfg.Params.Workers.LeaseS)
}

// hasEndedTasksLocked reports whether a heartbeat shows tasks of a job that is cancelled or
// terminal, as far as is known here. The shards' lock is held.
func (c *Controller) hasEndedTasksLocked(h *wire.Heartbeat) bool {
	for _, t := range h.Tasks {
		ref, _, ok := scheduler.SplitTask(t.Task)
		if j, active := c.activeJobs.Job(ref); ok && t.State != wire.Exited && (!active || j.Cancelled) {
			return true
		}
	}
	return false
}
