package controller

import (
	"time"

	"bramblespur/internal/controller/shardhost"
	"bramblespur/internal/peer"
)

// Sync implements peer.Handler. It applies the leader's orders to the shards hosted here, starts the
// acquisitions and the transfers back that the leader asks for, and applies the granted rates. It
// returns the summaries of the hosted shards, this controller's health, and its demand for requests
// and changes in the state service.
func (c *Controller) Sync(a peer.SyncArgs) peer.SyncReply {
	ctx := c.lifetime
	host := leaderHost{c}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, o := range a.Orders {
		if shard := c.shards.GetLocked(o.Part); shard != nil {
			shard.ApplyFleetOrder(o, now)
		}
	}
	for _, id := range a.Claim {
		if c.shards.GetLocked(id) == nil && !c.shards.AcquiringLocked(id) && c.shards.SchedulerConfigLocked() != nil && c.leaseCertain(now) {
			c.shards.StartAcquisitionLocked(ctx, id, shardhost.AssignedByLeader)
		}
	}
	for _, id := range a.HandHome {
		c.transferBackLocked(ctx, id)
	}
	c.leaderDuties.RecordLeaderContactLocked(now)
	c.leaderDuties.Grant.SetLocked(c.store, a.Requests, a.Changes, now)
	c.reconciliation.SetShareLocked(a.OrderRate, now)
	load := host.LoadLocked(now)
	r := peer.SyncReply{Summaries: host.SummariesLocked(now), StateOK: c.leaseCertain(now),
		Recovering: load.Recovering, HasRoom: load.HasRoom}
	if len(a.Orders) == 0 { // calls with orders come between the leader's turns; only a turn collects demand
		r.Requests, r.Changes = c.store.TakeDemand()
		r.OrdersWaiting = c.reconciliation.TakeDelayedLocked()
	}
	return r
}

// Lend implements peer.Handler: it reports whether another controller may make changes beyond its
// grant.
func (c *Controller) Lend(a peer.LoanArgs) bool { return c.leaderDuties.Lend(a) }

// borrow asks the leader for changes beyond this controller's grant, and reports whether it lent
// them. A modest request leaves part of the loans to controllers that need many changes at once. It
// must be called without the shards' lock.
func (c *Controller) borrow(changes int, modest bool) bool {
	return c.leaderDuties.Borrow(changes, modest)
}
