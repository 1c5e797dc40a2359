// Package linearizable confirms that copies of records in a view are current, so that they can
// answer linearizable reads. A copy is current if a comparison at the state service that starts
// after the read finds its version unchanged: no newer version can have been reported to a user
// before the read. Reads that come close together share one comparison, so that the requests
// to the state service do not grow with the rate of status queries.
package linearizable

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// batchDelay is how long a check waits for others that share its comparison. Users
	// wait 2 s for the answer to a status query.
	batchDelay = 200 * time.Millisecond
	// compareTimeout bounds the time for all comparisons of a batch: users do not wait
	// longer.
	compareTimeout = 1500 * time.Millisecond
	// conditionsPerChange is how many conditions a transaction may have for each change
	// that the state service allows in it.
	conditionsPerChange = 4
)

// StateService gives a Batcher access to the state service. It is called without any lock held.
type StateService interface {
	// StateService returns the store that comparisons are sent to.
	StateService() statestore.Store
	// WriteLimits returns the limits on the size of transactions.
	WriteLimits() config.State
	// Context returns a context that ends with the controller.
	Context() context.Context
}

// Check is a pending check that a record still has the version that a view has.
type Check struct {
	Cond wire.Condition // the record's key and the version in the view
	// Current receives one result: true if the record has that version. False means only
	// that the record must be read. The channel is buffered, so that the sender does not
	// block if the receiver has given up.
	Current chan bool
}

// NewCheck returns a check of a condition.
func NewCheck(cond wire.Condition) *Check {
	return &Check{Cond: cond, Current: make(chan bool, 1)}
}

// Batcher collects checks into batches and resolves each batch by one comparison if one
// transaction can hold it.
//
// It is safe for concurrent use. Its lock is a leaf: no other lock is taken under it. Confirm
// must not be called with the shards' lock held, since it waits for the state service.
type Batcher struct {
	service StateService
	flush   func() // resolves the present batch; stored, so that a batch does not allocate it

	mu      sync.Mutex
	waiting []*Check // the present batch
}

// NewBatcher returns a Batcher without any checks.
func NewBatcher(service StateService) *Batcher {
	b := &Batcher{service: service}
	b.flush = func() { b.Resolve(b.take()) }
	return b
}

// Confirm reports whether a record still has a version, by a comparison that starts after the
// call. False means only that the record must be read, for example since the context ended
// first.
func (b *Batcher) Confirm(ctx context.Context, cond wire.Condition) bool {
	check := NewCheck(cond)
	b.add(check)
	select {
	case current := <-check.Current:
		return current
	case <-ctx.Done():
		return false
	}
}

// add adds a check to the present batch, which is resolved batchDelay after its first check.
// The timer runs only while a check waits, since on a small machine a periodic timer would cost
// more than the status queries do.
func (b *Batcher) add(check *Check) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, check)
	if len(b.waiting) == 1 {
		time.AfterFunc(batchDelay, b.flush)
	}
}

// take ends the present batch and returns its checks; there are none if none wait.
func (b *Batcher) take() []*Check {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.waiting
	b.waiting = nil
	return batch
}

// Resolve resolves checks in the background, by one comparison for as many of them as a
// transaction may hold.
func (b *Batcher) Resolve(checks []*Check) {
	for batch := range slices.Chunk(checks, conditionsPerChange*b.service.WriteLimits().TxnOps) {
		go b.resolve(b.service.Context(), batch)
	}
}

// resolve resolves a batch that fits into one transaction, and sends each check its result. As
// the state service does not promise to name all failed conditions, those that it did not name
// are compared again.
func (b *Batcher) resolve(ctx context.Context, batch []*Check) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	for len(batch) > 0 {
		rest, ok := b.compare(ctx, batch)
		if !ok || len(rest) == len(batch) {
			break
		}
		batch = rest
	}
	for _, check := range batch {
		check.Current <- false
	}
}

// compare makes one comparison and sends their results to the checks that it decides. It returns
// the other checks, or false if the comparison failed and decided none.
func (b *Batcher) compare(ctx context.Context, batch []*Check) ([]*Check, bool) {
	comparison := wire.Txn{Then: []wire.Op{}}
	for _, check := range batch {
		comparison.If = append(comparison.If, check.Cond)
	}
	_, err := b.service.StateService().Txn(ctx, statestore.Routine("poll"), comparison)
	var conflict *statestore.ConflictError
	if err != nil && (!errors.As(err, &conflict) || len(conflict.Keys) == 0) {
		return nil, false
	}
	rest := batch[:0:0]
	for _, check := range batch {
		switch {
		case err == nil:
			check.Current <- true
		case slices.Contains(conflict.Keys, check.Cond.Key):
			check.Current <- false
		default:
			rest = append(rest, check)
		}
	}
	return rest, true
}
