package statestore

import (
	"context"
	"time"

	"bramblespur/internal/wire"
)

// Store is what controllers need of the key-value store.
type Store interface {
	// Get reads one key; ErrNotFound without it.
	Get(ctx context.Context, purpose Purpose, key string) (wire.Entry, error)
	// List reads all keys with a prefix, and returns the revision of the first page.
	List(ctx context.Context, purpose Purpose, prefix string) ([]wire.Entry, uint64, error)
	// ListPage reads up to limit keys with a prefix that come after a key, none for the first.
	ListPage(ctx context.Context, purpose Purpose, prefix, after string, limit int) (wire.EntryPage, error)
	// Txn applies a transaction and returns its revision; see OutcomeOf for its errors.
	Txn(ctx context.Context, purpose Purpose, t wire.Txn) (uint64, error)
	// Grant makes a lease, and Renew renews one; ErrNoLease if it has expired.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	// Watch waits for changes after a revision; ErrTooOld if they are no longer kept.
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error)
	// SetLimits sets this controller's share of the store's limits, per second.
	SetLimits(rps, writeRPS float64)
	// TakeDemand returns the requests and writes made since the last call, and those that
	// wait for tokens.
	TakeDemand() (requests, changes int)
	// Backlog is how long the writes that wait now will take.
	Backlog() time.Duration
	// TakeUsage returns what was used since the last call, by purpose.
	TakeUsage() map[string]Usage
}

// Usage is what requests of one purpose used.
type Usage struct {
	Requests, Puts, Deletes, Refused int
	Bytes                            int // of requests and responses
}

// add returns the sum of two usages.
func (u Usage) add(other Usage) Usage {
	u.Requests += other.Requests
	u.Puts += other.Puts
	u.Deletes += other.Deletes
	u.Refused += other.Refused
	u.Bytes += other.Bytes
	return u
}

// writes is how many keys are changed.
func (u Usage) writes() int { return u.Puts + u.Deletes }
