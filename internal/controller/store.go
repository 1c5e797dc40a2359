package controller

import (
	"context"
	"time"

	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// currentStore passes each request to the controller's store of that moment. Components that are
// built before the operators' settings are known use it: the guard that detects lost data and
// stops writes in safe mode takes the store's place later, and no request may pass beside it.
type currentStore struct{ c *Controller }

var _ statestore.Store = currentStore{}

// Get implements statestore.Store.
func (s currentStore) Get(ctx context.Context, purpose statestore.Purpose, key string) (wire.Entry, error) {
	return s.c.store.Get(ctx, purpose, key)
}

// List implements statestore.Store.
func (s currentStore) List(ctx context.Context, purpose statestore.Purpose, prefix string) ([]wire.Entry, uint64, error) {
	return s.c.store.List(ctx, purpose, prefix)
}

// ListPage implements statestore.Store.
func (s currentStore) ListPage(ctx context.Context, purpose statestore.Purpose, prefix, after string, limit int) (wire.EntryPage, error) {
	return s.c.store.ListPage(ctx, purpose, prefix, after, limit)
}

// Txn implements statestore.Store.
func (s currentStore) Txn(ctx context.Context, purpose statestore.Purpose, t wire.Txn) (uint64, error) {
	return s.c.store.Txn(ctx, purpose, t)
}

// Grant implements statestore.Store.
func (s currentStore) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	return s.c.store.Grant(ctx, ttl)
}

// Renew implements statestore.Store.
func (s currentStore) Renew(ctx context.Context, lease uint64) error {
	return s.c.store.Renew(ctx, lease)
}

// Watch implements statestore.Store.
func (s currentStore) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	return s.c.store.Watch(ctx, prefix, since, wait)
}

// SetLimits implements statestore.Store.
func (s currentStore) SetLimits(rps, writeRPS float64) { s.c.store.SetLimits(rps, writeRPS) }

// TakeDemand implements statestore.Store.
func (s currentStore) TakeDemand() (requests, changes int) { return s.c.store.TakeDemand() }

// Backlog implements statestore.Store.
func (s currentStore) Backlog() time.Duration { return s.c.store.Backlog() }

// TakeUsage implements statestore.Store.
func (s currentStore) TakeUsage() map[string]statestore.Usage { return s.c.store.TakeUsage() }
