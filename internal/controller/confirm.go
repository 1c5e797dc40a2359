package controller

import (
	"context"
	"errors"
	"slices"
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
	done chan bool
}

// confirmed reports whether a job is open and not cancelled, by comparing its
// record with the watched copy in a request that starts after the poll came:
// no controller can have told a user anything newer before that. False means
// only that the records must be read.
func (c *Controller) confirmed(ctx context.Context, ref string) bool {
	c.mu.Lock()
	j, ok := c.open[ref]
	if !ok || j.cancelled {
		c.mu.Unlock()
		return false
	}
	q := &confirmation{wire.Cond{Key: record.OpenKey(ref), Version: j.version}, make(chan bool, 1)}
	if c.waiting = append(c.waiting, q); len(c.waiting) == 1 {
		// A timer only where a poll waits: turns without one cost a small machine
		// more than its polls do.
		time.AfterFunc(confirmGather, c.confirmAll)
	}
	c.mu.Unlock()
	select {
	case ok := <-q.done:
		return ok
	case <-ctx.Done():
		return false
	}
}

// confirmAll sends one comparison for all polls that wait.
func (c *Controller) confirmAll() {
	c.mu.Lock()
	all := c.waiting
	c.waiting = nil
	c.mu.Unlock()
	for batch := range slices.Chunk(all, 4*c.limits().TxnOps) {
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
