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

// renewal records the requests to renew one worker's lease on behalf of an owner that is out of
// reach.
type renewal struct {
	// blockedSince is the time of the last request that was not blocked, or of the first request
	// after a pause longer than the lease if that is later. All requests since were blocked.
	blockedSince time.Time
	last         time.Time // time of the last request, whether the lease was renewed or not
}

// renewals holds, by machine, the leases that are renewed on behalf of owners that are out of
// reach. The shards' lock guards it.
type renewals map[string]renewal

// full reports whether there is no room to record a machine's requests.
func (r renewals) full(machine string) bool {
	_, known := r[machine]
	return !known && len(r) >= workerapi.MaxRemembered
}

// record records a request to renew a machine's lease, and whether a reason against the renewal
// blocks it. It returns for how long the requests have been blocked without interruption. A pause
// between requests that is longer than the lease counts as an interruption.
func (r renewals) record(machine string, blocked bool, lease time.Duration, now time.Time) time.Duration {
	last := r[machine]
	if !blocked || now.Sub(last.last) > lease {
		last.blockedSince = now
	}
	last.last = now
	r[machine] = last
	return now.Sub(last.blockedSince)
}

// expire removes the machines that have sent no request for longer than a lease.
func (r renewals) expire(lease time.Duration, now time.Time) {
	for machine, last := range r {
		if now.Sub(last.last) > lease {
			delete(r, machine)
		}
	}
}

// A renewal that is not allowed at first is tried again every renewalRetryInterval for
// renewalRetryTimeout. Together with a relay before it (relayTimeout), that stays below the 4 s after
// which a worker stops waiting for a response.
const (
	renewalRetryTimeout  = 1500 * time.Millisecond
	renewalRetryInterval = 250 * time.Millisecond
)

// respondForOwner responds to a heartbeat on behalf of an owner that is out of reach. While the
// lease may not be renewed, it delays the response for as long as the worker would still accept it:
// this controller's isolation may end meanwhile, and a worker that is redirected would lose its
// lease while it tries controllers that are partitioned from it. It takes the shards' lock.
func (c *Controller) respondForOwner(h *wire.Heartbeat, token uint64, respond func(transport.Response)) {
	response := c.renewForOwner(h, token)
	for range int(renewalRetryTimeout / renewalRetryInterval) {
		if response.Status != 503 {
			break
		}
		retry.Sleep(c.lifetime, renewalRetryInterval)
		response = c.renewForOwner(h, c.ownerToken(h.Machine))
	}
	respond(response)
}

// ownerToken returns the fencing token under which the lease of a machine's worker may be renewed;
// 0 if the machine has no record. It takes the shards' lock.
func (c *Controller) ownerToken(machine string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, recorded := c.machines.Machine(machine)
	if !recorded {
		return 0
	}
	return max(c.cluster.ShardVersion(m.Shard), m.Version)
}

// renewForOwner returns the response on behalf of an owner that cannot be reached from this
// controller, for example because two zones are partitioned from each other, or that is gone and not
// yet replaced. Workers accept the same token from any controller, so the worker's lease is renewed
// and its tasks keep running. The response contains no commands. While heartbeats report tasks of
// jobs that are cancelled or terminal, renewals stop after maxBlockedRenewal, so that these tasks
// end too. It takes the shards' lock.
func (c *Controller) renewForOwner(h *wire.Heartbeat, token uint64) transport.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	stale := c.activeJobsStaleLocked(now)
	if to, look := c.router.BetterControllerLocked(h.Machine, now); look {
		return redirectTo(to)
	}
	if h.Token > token && stale {
		token = h.Token // from an owner that this controller's stale view may not show yet
	}
	if token == 0 || h.Token > token {
		return transport.Response{Status: 503, RetryAfter: 1}
	}
	if c.renewals.full(h.Machine) {
		return transport.Response{Status: 503, RetryAfter: transport.RetryAfter}
	}
	lease := config.Seconds(c.cfg.Params.Workers.LeaseS)
	blocked := !stale && c.hasTasksOfEndedJobsLocked(h)
	if c.renewals.record(h.Machine, blocked, lease, now) > c.maxBlockedRenewal() {
		return transport.Response{Status: 503, RetryAfter: 1}
	}
	return transport.Response{Status: 200, Body: wire.CommandBatch{Token: token, Commands: []wire.Command{}}}
}

// maxBlockedRenewal returns how long a lease is still renewed while it keeps tasks of a cancelled
// or terminal job alive: the owner may become reachable meanwhile.
func (c *Controller) maxBlockedRenewal() time.Duration {
	return config.Seconds(c.cfg.Params.Workers.LeaseS)
}

// hasTasksOfEndedJobsLocked reports whether a heartbeat reports tasks that have not exited of a job
// that is cancelled or terminal according to this controller's view. The shards' lock is held.
func (c *Controller) hasTasksOfEndedJobsLocked(h *wire.Heartbeat) bool {
	for _, t := range h.Tasks {
		ref, _, ok := scheduler.SplitTask(t.Task)
		if j, active := c.activeJobs.Job(ref); ok && t.State != wire.Exited && (!active || j.Cancelled) {
			return true
		}
	}
	return false
}
