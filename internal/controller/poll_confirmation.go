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

// confirmGather is how long polls wait for others to share a request. Users
// wait 2 s for an answer.
const confirmGather = 200 * time.Millisecond

// confirmation asks whether an open job's record is still as the watch told.
type confirmation struct {
	cond wire.Cond
	done chan bool // receives one answer; buffered, so that nobody waits for a poll that gave up
}

func newConfirmation(cond wire.Cond) *confirmation {
	return &confirmation{cond: cond, done: make(chan bool, 1)}
}

// pollConfirmations gathers the confirmations that polls ask for, so that those of
// one confirmGather share a request to the state service. It has its own lock, which
// is a leaf.
type pollConfirmations struct {
	flush func() // called confirmGather after the first of a batch was added

	mu      sync.Mutex
	waiting []*confirmation
}

// add puts a confirmation into the batch that gathers now. The timer runs only while
// a poll waits: a periodic one costs a small machine more than its polls do.
func (p *pollConfirmations) add(q *confirmation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = append(p.waiting, q)
	if len(p.waiting) == 1 {
		time.AfterFunc(confirmGather, p.flush)
	}
}

// take ends the batch and returns it; it is empty if nobody waits.
func (p *pollConfirmations) take() []*confirmation {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.waiting
	p.waiting = nil
	return all
}

// confirmed reports whether a job is open and not cancelled, by comparing its
// record with the watched copy in a request that starts after the poll came:
// no controller can have told a user anything newer before that. False means
// only that the records must be read.
func (c *Controller) confirmed(ctx context.Context, ref string) bool {
	c.mu.Lock()
	j, ok := c.activeJobs[ref]
	c.mu.Unlock()
	if !ok || j.cancelled {
		return false
	}
	q := newConfirmation(wire.Cond{Key: record.ActiveJobKey(ref), Version: j.version})
	c.confirmations.add(q)
	select {
	case ok := <-q.done:
		return ok
	case <-ctx.Done():
		return false
	}
}

// confirmAll sends one comparison for all polls that wait.
func (c *Controller) confirmAll() {
	for batch := range slices.Chunk(c.confirmations.take(), 4*c.limits().TxnOps) {
		go c.confirm(c.life, batch)
	}
}

// confirm answers a batch. What has changed is told to be read instead; as it
// is not said that all failures are named, the rest is compared again.
func (c *Controller) confirm(ctx context.Context, batch []*confirmation) {
	ctx, cancel := context.WithTimeout(ctx, userTimeout)
	defer cancel()
	for len(batch) > 0 {
		t := wire.Txn{Then: []wire.Op{}}
		for _, q := range batch {
			t.If = append(t.If, q.cond)
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
				q.done <- true
			case slices.Contains(conflict.Keys, q.cond.Key):
				q.done <- false
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
		q.done <- false
	}
}
