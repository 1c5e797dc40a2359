package controller

import (
	"context"
	"runtime"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/peer"
	"bramblespur/internal/statestore"
)

// The state service's limits hold for all controllers together. Every one may
// use an equal share; the leader, which asks each what it needs, gives it what the
// others leave, and lends changes to those that need several at once.

// grantLifetime is how long a budget given by the leader counts.
const grantLifetime = 4 * time.Second

// grantedShare is the part of the limits that is shared out: what is in flight
// when budgets change must not exceed them.
const grantedShare = 0.95

// loanTimeout bounds a question for changes. They wait for it, and without an answer
// for their own part of the limit.
const loanTimeout = 400 * time.Millisecond

// quotaGrants is what the leader last gave, by controller.
type quotaGrants struct{ requests, changes, orders map[string]float64 }

// quotaDemand is what a controller needed since the leader last asked.
type quotaDemand struct {
	fleet.Usage
	ordersWaiting int
}

// computeGrants computes the budgets from what each controller needed in the last
// turn. One that lives but did not answer may be using its equal share, so that
// is left to it. The lock is held.
func (c *Controller) computeGrants(needs map[string]quotaDemand, turn time.Duration) quotaGrants {
	s := c.rates()
	c.leadership.lender.SetLimit(c.cfg.Params.Count, s.WriteRPS, time.Now())
	rps, writes := s.RPS*grantedShare, s.WriteRPS*(grantedShare-statestore.LoanShare)
	requests, changes := map[string]float64{}, map[string]float64{}
	for _, l := range c.cfg.Labels() {
		u, answered := needs[l]
		switch _, lives := c.members[l]; {
		case answered:
			requests[l], changes[l] = float64(u.Requests)/turn.Seconds(), float64(u.Changes)/turn.Seconds()
		case lives:
			rps -= s.RPS / float64(c.cfg.Params.Count)
			writes -= s.WriteRPS / float64(c.cfg.Params.Count)
		}
	}
	return quotaGrants{fleet.FairShare(rps, requests), fleet.FairShare(writes, changes), c.shareCommandRate(c.leadership, needs)}
}

// Lend implements peer.Handler: whether another controller may make changes beyond
// its budget.
func (c *Controller) Lend(a peer.LendArgs) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.isLeader(now) && c.leadership != nil && c.leadership.lender.Lend(a.Changes, a.Modest, now)
}

// borrow asks the leader for changes beyond this controller's budget.
func (c *Controller) borrow(changes int, modest bool) bool {
	a := peer.LendArgs{From: c.cfg.Label, Changes: changes, Modest: modest}
	c.mu.Lock()
	leader := c.leader.rec.Label
	c.mu.Unlock()
	if leader == c.cfg.Label {
		return c.Lend(a)
	}
	p := c.peers[leader]
	if p == nil {
		return false
	}
	var lent bool
	if err := p.Call("Lend", a, &lent, loanTimeout); err != nil {
		c.log.Debug("changes to be lent", "by", leader, "err", err)
		return false
	}
	return lent
}

// applyGrant takes a budget in; 0 means the plain share. The lock is held.
func (c *Controller) applyGrant(requests, changes float64, now time.Time) {
	if requests > 0 && changes > 0 {
		c.grantedAt = now
		c.store.SetLimits(requests, changes)
	}
}

// expireGrant falls back to the plain share when no leader gives a budget.
func (c *Controller) expireGrant(now time.Time) {
	if now.Sub(c.grantedAt) > grantLifetime {
		n := float64(c.cfg.Params.Count)
		c.store.SetLimits(c.rates().RPS/n, c.rates().WriteRPS/n)
	}
}

// logUsageLoop logs what was used of the state service, by purpose, and of the memory.
func (c *Controller) logUsageLoop(ctx context.Context) {
	short := false
	for sleep(ctx, countsEvery) {
		args := []any{}
		for purpose, n := range c.store.TakeUsage() {
			args = append(args, purpose, n)
		}
		c.log.Info("state service used", args...)
		m := readMemory()
		c.log.Info("memory used", "held", m.held, "live", m.live, "goroutines", runtime.NumGoroutine())
		r, was := c.cfg.Params.Resources, short
		if short = m.short(r); short && !was {
			c.log.Info("memory is short: params.resources.memory_mb is too small", "memory_mb", r.MemoryMB, "held", m.held)
		}
	}
}
