package controller

import (
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
)

// reconciliationHost adapts a Controller to reconciliation.Host.
type reconciliationHost struct{ c *Controller }

// Lock takes the shards' lock.
func (h reconciliationHost) Lock() { h.c.mu.Lock() }

// Unlock releases the shards' lock.
func (h reconciliationHost) Unlock() { h.c.mu.Unlock() }

// OwnedShardsLocked implements reconciliation.Host.
func (h reconciliationHost) OwnedShardsLocked() map[int]*scheduler.Shard {
	return h.c.shards.OwnedLocked()
}

// Incarnation implements reconciliation.Host.
func (h reconciliationHost) Incarnation() uint64 { return h.c.lease.Current().Incarnation }

// Store implements reconciliation.Host.
func (h reconciliationHost) Store() statestore.Store { return h.c.store }
