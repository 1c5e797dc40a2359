// Package linearizable confirms that watched copies of records are current. A copy counts
// as current if a comparison that starts after the question came finds its version
// unchanged: nobody can have been told of anything newer before that. Questions that come
// close together share one comparison, so that the requests to the state service don't
// grow with the rate of status queries.
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
	// batchDelay is how long a question waits for others to share its comparison. Users
	// wait 2 s for an answer to a status query.
	batchDelay = 200 * time.Millisecond
	// compareTimeout bounds the comparisons of a batch: users don't wait longer.
	compareTimeout = 1500 * time.Millisecond
	// conditionsPerChange is how many conditions the state service takes for each change
	// that a transaction may hold.
	conditionsPerChange = 4
)

// StateService is what a Batcher needs of its owner. It is called without any lock held.
type StateService interface {
	StateService() statestore.Store
	// WriteLimits are the limits on the size of transactions.
	WriteLimits() config.State
	// Context ends with the controller.
	Context() context.Context
}

// Check asks whether a record still has the version that the watch told.
type Check struct {
	Cond wire.Condition
	// Current receives one answer. It is buffered, so that nobody waits for a reader that
	// gave up. False means only that the record has to be read.
	Current chan bool
}

// NewCheck returns a check of a record's version.
func NewCheck(cond wire.Condition) *Check {
	return &Check{Cond: cond, Current: make(chan bool, 1)}
}

// Batcher gathers checks into batches and resolves each with one comparison.
//
// Its lock is a leaf: Confirm may not be called with the shards' lock held, since it waits
// for the state service, but nothing else is locked under it.
type Batcher struct {
	service StateService
	flush   func() // stored, so that a batch does not allocate it

	mu      sync.Mutex
	waiting []*Check
}

// NewBatcher returns a batcher without any checks.
func NewBatcher(service StateService) *Batcher {
	b := &Batcher{service: service}
	b.flush = func() { b.Resolve(b.take()) }
	return b
}

// Confirm reports whether a record still has a version, by a comparison that starts after
// the call. False means only that the record has to be read.
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

// add puts a check into the present batch. The timer runs only while a check waits: a
// periodic one costs a small machine more than its status queries do.
func (b *Batcher) add(check *Check) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, check)
	if len(b.waiting) == 1 {
		time.AfterFunc(batchDelay, b.flush)
	}
}

// take ends the present batch and returns it; it is empty if nobody waits.
func (b *Batcher) take() []*Check {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.waiting
	b.waiting = nil
	return batch
}

// Resolve answers checks without waiting for it, with one comparison for as many as a
// transaction may hold.
func (b *Batcher) Resolve(checks []*Check) {
	for batch := range slices.Chunk(checks, conditionsPerChange*b.service.WriteLimits().TxnOps) {
		go b.resolve(b.service.Context(), batch)
	}
}

// resolve answers a batch that one transaction holds. As the state service doesn't promise
// to name all failed conditions, those that it didn't name are compared again.
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

// compare answers what one comparison tells and returns the checks on which it tells
// nothing. It reports false if it tells nothing at all.
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
