package controller

import (
	"context"
	"errors"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// releaseMachines gives back what the parts' owners have recorded as to be given back,
// several batches with one call. The answer is recorded: it proves gone what
// ran on the machines, to whoever owns their parts by then.
func (c *Controller) releaseMachines(ctx context.Context, l *leadership, now time.Time) {
	c.mu.Lock()
	if c.safeMode.state.Active() || len(c.fleet.Pending()) > 0 && !c.allowCloudCall(now) {
		c.mu.Unlock()
		return
	}
	var ids []string
	batches := map[string]record.Versioned[record.Release]{}
	for key, b := range c.fleet.Pending() {
		if l.releasing[key] || len(ids)+len(b.Rec.IDs) > protocolMaxRelease {
			continue
		}
		l.releasing[key] = true
		batches[key] = b
		ids = append(ids, b.Rec.IDs...)
	}
	c.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	l.lastReleaseAt = now
	go func() {
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			for key := range batches {
				delete(l.releasing, key)
			}
		}()
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		err := c.cloud.Return(ctx, ids)
		c.log.Info("machines returned", "machines", ids, "err", err)
		if err != nil {
			return // asked again with the next step
		}
		for key, b := range batches {
			c.recordReleased(ctx, key, b)
		}
	}()
}

// protocolMaxRelease is the protocol's bound of one return.
const protocolMaxRelease = 100

// recordReleased records that a batch is gone.
func (c *Controller) recordReleased(ctx context.Context, key string, b record.Versioned[record.Release]) {
	t := wire.Txn{
		If:   []wire.Cond{{Key: key, Version: b.Version}},
		Then: []wire.Op{{Put: key, Value: record.Encode(record.Release{IDs: b.Rec.IDs, Done: true})}},
	}
	for ctx.Err() == nil {
		rev, err := c.store.Txn(ctx, statestore.Urgent("back"), t)
		if err == nil {
			c.mu.Lock()
			c.applyOwnWrites(t, rev, time.Now())
			c.mu.Unlock()
			return
		}
		var conflict *statestore.ConflictError
		if errors.As(err, &conflict) {
			return // recorded already
		}
		sleep(ctx, jitter(500*time.Millisecond))
	}
}

// clearOldRecords removes records of machines that are long gone, a few at a time.
func (c *Controller) clearOldRecords(ctx context.Context, l *leadership, now time.Time) {
	if now.Before(l.nextClearAt) {
		return
	}
	l.nextClearAt = now.Add(clearInterval)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleetAt.IsZero() || l.clearRunning {
		return // before there is a view it may lack rentals
	}
	ops := c.limits().TxnOps
	t, ok := c.fleet.Clear(ops)
	if !ok {
		return
	}
	if len(t.Then) == ops && ops < clearOpsPerInterval { // the smaller the steps, the more of them
		l.nextClearAt = now.Add(clearInterval * time.Duration(ops) / clearOpsPerInterval)
	}
	l.clearRunning = true
	go func() {
		rev, err := c.store.Txn(ctx, statestore.Routine("clear"), t)
		c.mu.Lock()
		defer c.mu.Unlock()
		l.clearRunning = false
		if err != nil {
			c.log.Debug("clear records", "err", err)
			return
		}
		c.applyOwnWrites(t, rev, time.Now())
	}()
}
