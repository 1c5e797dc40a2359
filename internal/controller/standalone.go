package controller

import (
	"context"
	"fmt"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Where the leader does not reach an owner, as when connections between
// controllers are refused, the owner plans for its own parts and records what
// it would have rented. The leader finds such records in its view and carries
// them out as it would its own: the cloud's calls stay with it alone.

// standaloneAfter is how long an owner waits for the leader before it plans itself.
const standaloneAfter = 3 * time.Second

// standalonePlanner is what an owner keeps while it plans for itself. The controller's lock
// guards it.
type standalonePlanner struct {
	plan      *fleet.Planner
	requested map[string]fleet.ProvisionRequest // by name: recorded, not yet answered by the leader
}

// planWithoutLeader plans for the parts held here if the leader has not asked for them
// lately.
func (c *Controller) planWithoutLeader(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.shards) == 0 || c.schedulerConfig == nil || !c.sure(now) || c.isLeader(now) || now.Sub(c.leaderAskedAt) < standaloneAfter {
		c.standalone = nil
		return
	}
	if c.standalone == nil {
		c.standalone = &standalonePlanner{plan: fleet.NewPlanner(c.fleetConfig()), requested: map[string]fleet.ProvisionRequest{}}
		return // the next turn plans: a leader may just have changed
	}
	c.applyLeaderAnswers(c.standalone, now)
	sums := c.summaries(now)
	c.addPendingMachines(sums, nil)
	orders, rents := c.standalone.plan.Plan(sums, now)
	for _, o := range orders {
		if shard := c.shards[o.Part]; shard != nil && (o.To == fleet.ReleaseToCloud || c.shards[o.To] != nil) {
			shard.ApplyFleetOrder(o, now)
			c.step(shard, now)
		}
	}
	for _, r := range rents {
		shard := c.shards[r.Shards[0]]
		if len(c.standalone.requested) < concurrentProvisions && shard != nil {
			c.requestProvision(ctx, c.standalone, shard, r)
		}
	}
}

// applyLeaderAnswers tells the plan which of the requested rentals the leader has granted or
// refused. The lock is held.
func (c *Controller) applyLeaderAnswers(sp *standalonePlanner, now time.Time) {
	for name, r := range sp.requested {
		rec, ok := c.fleet.Rental(name)
		switch {
		case ok && len(rec.IDs) == 0:
			continue // not answered yet
		case ok && len(rec.IDs) == len(r.Shards):
			sp.plan.CapacityGranted(r)
		default:
			sp.plan.CapacityRefused(r, now)
		}
		delete(sp.requested, name)
	}
}

// requestProvision records a rental under the token of a part held here, for the leader to
// carry out. The lock is held.
func (c *Controller) requestProvision(ctx context.Context, sp *standalonePlanner, shard *scheduler.Shard, r fleet.ProvisionRequest) {
	c.provisionsRequested++
	name := fmt.Sprintf("%s-%d-alone-%d", c.cfg.Label, shard.Token(), c.provisionsRequested)
	rec := record.Provision{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Shards: r.Shards}
	t := wire.Txn{
		If:   []wire.Cond{{Key: record.ProvisionKey(name)}, {Key: record.ShardKey(shard.ID()), Version: shard.Token()}},
		Then: []wire.Op{{Put: record.ProvisionKey(name), Value: record.Encode(rec)}},
	}
	sp.requested[name] = r
	c.log.Info("rental requested", "name", name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "number", len(r.Shards))
	go func() {
		rev, err := c.store.Txn(ctx, statestore.Urgent("rental"), t)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil {
			delete(sp.requested, name) // if it was written all the same, the view tells
			return
		}
		c.applyOwnWrites(t, rev, time.Now())
	}()
}

// adoptProvisions carries out rentals that others recorded: an earlier leader, or owners
// that this one does not reach. The lock is held.
func (c *Controller) adoptProvisions(ctx context.Context, l *leadership) {
	for name, r := range c.fleet.Unfinished() {
		if _, ok := l.provisions[name]; !ok {
			l.provisions[name] = r.Rec
			go c.finishProvision(ctx, l, name, r.Rec, r.Version)
		}
	}
}
