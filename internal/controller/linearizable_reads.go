package controller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// batchDelay is how long polls wait for others to share a request. Users
// wait 2 s for an answer.
const batchDelay = 200 * time.Millisecond

// Check asks whether an open job's record is still as the watch told.
type Check struct {
	Cond      wire.Condition
	Confirmed chan bool // receives one answer; buffered, so that nobody waits for a poll that gave up
}

func NewCheck(cond wire.Condition) *Check {
	return &Check{Cond: cond, Confirmed: make(chan bool, 1)}
}

// Batcher gathers the confirmations that polls ask for, so that those of
// one confirmGather share a request to the state service. It has its own lock, which
// is a leaf.
type Batcher struct {
	flush func() // called confirmGather after the first of a batch was added

	mu      sync.Mutex
	waiting []*Check
}

// Add puts a confirmation into the batch that gathers now. The timer runs only while
// a poll waits: a periodic one costs a small machine more than its polls do.
func (b *Batcher) Add(q *Check) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, q)
	if len(b.waiting) == 1 {
		time.AfterFunc(batchDelay, b.flush)
	}
}

// Take ends the batch and returns it; it is empty if nobody waits.
func (b *Batcher) Take() []*Check {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.waiting
	b.waiting = nil
	return all
}

// confirmActive reports whether a job is open and not cancelled, by comparing its
// record with the watched copy in a request that starts after the poll came:
// no controller can have told a user anything newer before that. False means
// only that the records must be read.
func (c *Controller) confirmActive(ctx context.Context, ref string) bool {
	c.mu.Lock()
	j, ok := c.activeJobs.Job(ref)
	c.mu.Unlock()
	if !ok || j.Cancelled {
		return false
	}
	q := NewCheck(wire.Condition{Key: record.ActiveJobKey(ref), Version: j.Version})
	c.linearizableReads.Add(q)
	select {
	case ok := <-q.Confirmed:
		return ok
	case <-ctx.Done():
		return false
	}
}

// flushLinearizableReads sends one comparison for all polls that wait.
func (c *Controller) flushLinearizableReads() {
	for batch := range slices.Chunk(c.linearizableReads.Take(), 4*c.limits().TxnOps) {
		go c.checkUnchanged(c.life, batch)
	}
}

// checkUnchanged answers a batch. What has changed is told to be read instead; as it
// is not said that all failures are named, the rest is compared again.
func (c *Controller) checkUnchanged(ctx context.Context, batch []*Check) {
	ctx, cancel := context.WithTimeout(ctx, userTimeout)
	defer cancel()
	for len(batch) > 0 {
		t := wire.Txn{Then: []wire.Op{}}
		for _, q := range batch {
			t.If = append(t.If, q.Cond)
		}
		_, err := c.store.Txn(ctx, statestore.Routine("poll"), t)
		var conflict *statestore.ConflictError
		if err != nil && (!errors.As(err, &conflict) || len(conflict.Keys) == 0) {
			break
		}
		rest := batch[:0:0]
		for _, q := range batch {
			switch {
			case err == nil:
				q.Confirmed <- true
			case slices.Contains(conflict.Keys, q.Cond.Key):
				q.Confirmed <- false
			default:
				rest = append(rest, q)
			}
		}
		if len(rest) == len(batch) {
			break // a failure that names none of ours
		}
		batch = rest
	}
	for _, q := range batch {
		q.Confirmed <- false
	}
}
