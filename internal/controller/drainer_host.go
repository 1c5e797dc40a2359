package controller

import (
	"context"
	"time"

	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// drainerHost adapts a Controller to drainer.Host.
type drainerHost struct{ c *Controller }

// Lock takes the shards' lock.
func (h drainerHost) Lock() { h.c.mu.Lock() }

// Unlock releases the shards' lock.
func (h drainerHost) Unlock() { h.c.mu.Unlock() }

// OwnedShardsLocked implements drainer.Host.
func (h drainerHost) OwnedShardsLocked() map[int]*scheduler.Shard { return h.c.shards.OwnedLocked() }

// StepLocked implements drainer.Host.
func (h drainerHost) StepLocked(shard *scheduler.Shard, now time.Time) {
	h.c.shards.StepLocked(shard, now)
}

// IsLeaderLocked implements drainer.Host.
func (h drainerHost) IsLeaderLocked(now time.Time) bool { return h.c.election.IsLeader(now) }

// HoldsLease implements drainer.Host.
func (h drainerHost) HoldsLease(now time.Time) bool { return h.c.leaseCertain(now) }

// Commit implements drainer.Host.
func (h drainerHost) Commit(ctx context.Context, t wire.Txn) error {
	revision, err := h.c.store.Txn(ctx, statestore.Routine("drain"), t)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, op := range t.Then {
		h.c.applyClusterChange(wire.Change{Put: op.Put, Value: op.Value, Delete: op.Delete, Version: revision}, now)
	}
	return nil
}
