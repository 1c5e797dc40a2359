package statestore

import (
	"context"
	"time"

	"bramblespur/internal/wire"
)

// Store is the interface to the state service that controllers use. Requests
// fail with the errors of this package; any other error leaves open whether the request was
// executed.
type Store interface {
	// Get reads one key. It returns ErrNotFound if the key does not exist.
	Get(ctx context.Context, purpose Purpose, key string) (wire.Entry, error)
	// List reads all keys with a prefix, in several pages if there are many. The revision is that
	// of the first page.
	List(ctx context.Context, purpose Purpose, prefix string) ([]wire.Entry, uint64, error)
	// ListPage reads up to limit keys with a prefix, starting after the key after, or at the
	// first key if after is empty.
	ListPage(ctx context.Context, purpose Purpose, prefix, after string, limit int) (wire.EntryPage, error)
	// Txn applies a transaction and returns its revision. OutcomeOf interprets its error.
	Txn(ctx context.Context, purpose Purpose, t wire.Txn) (uint64, error)
	// Grant creates a lease that expires after ttl without a renewal, and returns its ID. Renew
	// renews a lease by its ID; it returns ErrNoLease if the lease has expired.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	// Watch waits for up to wait for changes after revision since of keys with a prefix. It
	// returns ErrTooOld if the state service no longer keeps all these changes.
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error)
	// SetLimits sets this controller's share of the state service's limits: requests and changed
	// keys per second.
	SetLimits(rps, writeRPS float64)
	// TakeDemand returns the numbers of requests and writes (changed keys) that were admitted
	// since the last call or that wait for tokens now.
	TakeDemand() (requests, writes int)
	// Backlog returns how long the waiting writes take at the present limit.
	Backlog() time.Duration
	// TakeUsage returns the usage since the last call, by name of purpose.
	TakeUsage() map[string]Usage
}

// Usage counts the requests of one purpose that were sent, the keys that they put or deleted, and
// the requests refused by the state service's rate limit or, without being sent, for lack of tokens.
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

// writes returns the number of changed keys.
func (u Usage) writes() int { return u.Puts + u.Deletes }
