package controller

import (
	"context"
	"time"

	"bramblespur/internal/agent"
	"bramblespur/internal/controller/shardhost"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Evidence implements peer.Handler.
func (c *Controller) Evidence(a peer.EvidenceArgs) peer.EvidenceReply { return c.dataLoss.Evidence(a) }

// dataLossHost adapts a Controller to dataloss.Host.
type dataLossHost struct{ c *Controller }

// Lock takes the shards' lock.
func (h dataLossHost) Lock() { h.c.mu.Lock() }

// Unlock releases the shards' lock.
func (h dataLossHost) Unlock() { h.c.mu.Unlock() }

// Context implements dataloss.Host.
func (h dataLossHost) Context() context.Context { return h.c.lifetime }

// Store implements dataloss.Host.
func (h dataLossHost) Store() statestore.Store { return h.c.store }

// Agents implements dataloss.Host.
func (h dataLossHost) Agents() agent.API { return h.c.agents }

// WatchInterval implements dataloss.Host.
func (h dataLossHost) WatchInterval() time.Duration { return h.c.watchWait() }

// StartedAtLocked implements dataloss.Host.
func (h dataLossHost) StartedAtLocked() time.Time { return h.c.startedAt }

// IsLeaderLocked implements dataloss.Host.
func (h dataLossHost) IsLeaderLocked(now time.Time) bool { return h.c.election.IsLeader(now) }

// AllFormatsKnownLocked implements dataloss.Host.
func (h dataLossHost) AllFormatsKnownLocked() bool { return h.c.allUpgraded() }

// OwnedShardsLocked implements dataloss.Host.
func (h dataLossHost) OwnedShardsLocked() map[int]*scheduler.Shard { return h.c.shards.OwnedLocked() }

// ReleaseShardsLocked implements dataloss.Host.
func (h dataLossHost) ReleaseShardsLocked(now time.Time) {
	h.c.shards.DropAllLocked()
	h.c.longPolls.ReleaseAllLocked(now)
}

// ForgetViewsLocked implements dataloss.Host.
func (h dataLossHost) ForgetViewsLocked() {
	h.c.cluster.Forget()
	h.c.machines.Forget()
	h.c.activeJobs.Forget()
	for ref := range h.c.activeJobs.Jobs() {
		h.c.removeActiveJobLocked(ref)
	}
	h.c.startedAt = time.Now()
}

// ReadFleet implements dataloss.Host.
func (h dataLossHost) ReadFleet(ctx context.Context, purpose statestore.Purpose) (*record.Fleet, error) {
	return shardhost.ReadMachines(ctx, h.c.store, purpose)
}

// GetIfPresent implements dataloss.Host.
func (h dataLossHost) GetIfPresent(ctx context.Context, key string) (*wire.Entry, error) {
	return h.c.shards.GetIfPresent(ctx, key)
}

// RetryWhileOwned implements dataloss.Host.
func (h dataLossHost) RetryWhileOwned(shard *scheduler.Shard, read func(context.Context) error) bool {
	return h.c.shards.RetryWhileServed(shard, read)
}

// UpdateShard implements dataloss.Host.
func (h dataLossHost) UpdateShard(shard *scheduler.Shard, change func(now time.Time)) {
	h.c.shards.Update(shard, change)
}
