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
// controller's lock guards it.
type renewals map[string]renewal

// full reports whether there is no room to remember one more machine.
func (rs renewals) full(machine string) bool {
	_, here := rs[machine]
	return !here && len(rs) >= workerapi.MaxRemembered
}

// note takes in a request for a renewal, and whether anything speaks against it, and
// returns for how long something has. A pause longer than the lease starts anew.
func (rs renewals) note(machine string, blocked bool, lease time.Duration, now time.Time) time.Duration {
	r := rs[machine]
	if !blocked || now.Sub(r.last) > lease {
		r.blockedSince = now
	}
	r.last = now
	rs[machine] = r
	return now.Sub(r.blockedSince)
}

// expire forgets workers that have not come for longer than their lease.
func (rs renewals) expire(lease time.Duration, now time.Time) {
	for machine, r := range rs {
		if now.Sub(r.last) > lease {
			delete(rs, machine)
		}
	}
}

// renewForOwner answers for an owner that can't be reached from here, as when two
// zones are cut off from each other, or that is gone and not yet replaced: the
// same token is accepted from any controller, so the worker's lease is renewed
// and its tasks live. No commands are given. While a report shows tasks of a job
// that is cancelled or over, that ends after a while, so that they end too.
func (c *Controller) renewForOwner(r *wire.Heartbeat, token uint64) transport.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	stale := c.activeJobsStale(now)
	if to, look := c.router.BetterControllerLocked(r.Machine, now); look {
		return transport.Response{Status: 421, Body: wire.Redirect{Label: to}}
	}
	if r.Token > token {
		if !stale {
			return transport.Response{Status: 503, RetryAfter: 1}
		}
		token = r.Token // given by an owner that this controller can't know of yet
	}
	if token == 0 {
		return transport.Response{Status: 503, RetryAfter: 1}
	}
	if c.renewals.full(r.Machine) {
		return transport.Response{Status: 503, RetryAfter: transport.RetryAfter}
	}
	lease := config.Seconds(c.cfg.Params.Workers.LeaseS)
	if c.renewals.note(r.Machine, !stale && c.mustEnd(r), lease, now) > c.mustEndFor() {
		return transport.Response{Status: 503, RetryAfter: 1}
	}
	return transport.Response{Status: 200, Body: wire.Orders{Token: token, Commands: []wire.Command{}}}
}

// mustEndFor is how long leases are renewed while tasks of a job that is over
// live by them: whoever owns them may yet be heard.
func (c *Controller) mustEndFor() time.Duration {
	return config.Seconds(c.cfg.Params.Workers.LeaseS)
}

// answerForOwner answers a report for an owner out of reach. Where the lease may not be
// renewed for now, the answer is held as long as it would still be taken: what
// cut this controller off may end meanwhile, and a worker sent away would lose
// its lease asking controllers that are cut off from it.
func (c *Controller) answerForOwner(r *wire.Heartbeat, token uint64, answer func(transport.Response)) {
	rep := c.renewForOwner(r, token)
	if rep.Status != 503 {
		answer(rep)
		return
	}
	for range int(keepHold / keepLook) {
		retry.Sleep(c.life, keepLook)
		c.mu.Lock()
		token = 0
		if m, known := c.machines.Machine(r.Machine); known {
			token = max(c.cluster.ShardVersion(m.Shard), m.Version)
		}
		c.mu.Unlock()
		if rep = c.renewForOwner(r, token); rep.Status != 503 {
			break
		}
	}
	answer(rep)
}

// A report that can't be answered is held for keepHold and looked at again each
// keepLook; with the relay before it, that stays below the 4 s after which a
// worker gives an answer up.
const (
	keepHold = 1500 * time.Millisecond
	keepLook = 250 * time.Millisecond
)

// mustEnd reports whether a report shows tasks of a job that is cancelled or
// over, as far as is known here. The lock is held.
func (c *Controller) mustEnd(r *wire.Heartbeat) bool {
	for _, t := range r.Tasks {
		ref, _, ok := scheduler.SplitTask(t.Task)
		if j, open := c.activeJobs.Job(ref); ok && t.State != wire.Exited && (!open || j.Cancelled) {
			return true
		}
	}
	return false
}
