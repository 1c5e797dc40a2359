package controller

import (
	"context"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/shardhost"
	"bramblespur/internal/retry"
)

// tickInterval is the period of the tick: each shard checks its machines and runs a step, and expired
// state is dropped.
const tickInterval = 250 * time.Millisecond

// tickLoop calls tick every tickInterval until the context ends.
func (c *Controller) tickLoop(ctx context.Context) {
	for due := time.Now().Add(tickInterval); retry.Sleep(ctx, tickInterval); due = time.Now().Add(tickInterval) {
		now := time.Now()
		c.tick(ctx, now.Sub(due), now)
	}
}

// tick runs a step of each shard, starts due acquisitions of shards and expires old state, all
// under the shards' lock. lag is how long after its due time the tick ran, from which the
// overload detector concludes whether the processor keeps up.
func (c *Controller) tick(ctx context.Context, lag time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overload.Observe(lag, now)
	c.shards.TickLocked(shardhost.Conditions{
		PartitionedZones: c.partitionedZones(now),
		Behind:           c.overload.Behind(),
		WriteBacklog:     c.store.Backlog(),
	}, now)
	if !c.dataLoss.ActiveLocked() {
		c.lookUpDependenciesLocked(ctx, now)
		c.shards.ConsiderAcquisitionsLocked(ctx, now)
	}
	c.leaderDuties.Grant.ExpireLocked(c.store, c.clusterRates(), c.cfg.Params.Count, now)
	c.router.ExpireLocked(now)
	c.renewals.expire(config.Seconds(c.cfg.Params.Workers.LeaseS), now)
}

// partitionedZones returns the zones in which no controller can be reached. Their machines may be
// silent only toward this controller. If no other controller can be reached at all, this
// controller's own zone is included.
func (c *Controller) partitionedZones(now time.Time) map[string]bool {
	partitioned := map[string]bool{c.cfg.Zone: len(c.cfg.Peers) > 0}
	for _, p := range c.cfg.Peers {
		if _, ok := partitioned[p.Zone]; !ok {
			partitioned[p.Zone] = true
		}
		if c.peerHealth.Contact(p.Label).Reachable(now) {
			partitioned[p.Zone], partitioned[c.cfg.Zone] = false, false
		}
	}
	return partitioned
}
