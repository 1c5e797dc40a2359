package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// cancelTries bounds how often a cancellation races with other writes.
const cancelTries = 4

// endWait is how long a cancellation's answer waits for the job's end: what stopping
// its tasks and recording that takes where nothing is in the way. It is not for
// keeping the user from asking again: who comes later finds the end recorded.
const endWait = 500 * time.Millisecond

// cancel records a cancellation. A user is told of it only once the job's owner has
// proven every task gone and recorded that the job is over. Whatever is cut off,
// stands still or comes late, no task can outlive what was told, and so leases may
// be renewed by who can't hear of cancellations. Until then the user is asked to
// come again.
func (c *Controller) cancel(ref string) transport.Response {
	if !jobspec.ValidJobReference(ref) {
		return transport.Response{Status: 404}
	}
	if j, ok := c.terminalStates.Get(ref); ok {
		return transport.Response{Status: 200, Body: wire.Brief{Ref: ref, State: j.State}}
	}
	if c.leaseLost() {
		return retryReply()
	}
	ctx, cancel := context.WithTimeout(c.life, userTimeout)
	defer cancel()
	use := statestore.Urgent("cancel")
	for range cancelTries {
		// Users come again each second until the job's end is recorded: what the view
		// tells as cancelled is, and needs no reading.
		if c.cancellationPending(ref) && !c.awaitTerminal(ctx, ref) {
			return notYetTerminal()
		}
		key := record.ActiveJobKey(ref)
		e, err := c.store.Get(ctx, use, key)
		if errors.Is(err, statestore.ErrNotFound) {
			// Never accepted, or over by now.
			state, err := c.jobState(ctx, use, ref)
			switch {
			case errors.Is(err, statestore.ErrNotFound):
				return transport.Response{Status: 404}
			case err != nil:
				return retryReply()
			case state == wire.Pending:
				continue // accepted in this moment
			}
			return transport.Response{Status: 200, Body: wire.Brief{Ref: ref, State: state}}
		}
		var o record.ActiveJob
		if err != nil || json.Unmarshal(e.Value, &o) != nil {
			return retryReply()
		}
		if !o.Cancelled {
			t := wire.Txn{If: []wire.Condition{{Key: key, Version: e.Version}}, Then: []wire.Op{{Put: key, Value: c.cancelledRecord(o)}}}
			rev, err := c.store.Txn(ctx, use, t)
			var conflict *statestore.ConflictError
			if errors.As(err, &conflict) {
				continue
			}
			if err != nil {
				return retryReply() // perhaps applied: the user's next try finds out
			}
			c.notifyOwner(o.Shard, t, rev)
		}
		if !c.awaitTerminal(ctx, ref) {
			return notYetTerminal()
		}
	}
	return retryReply()
}

// cancellationPending reports whether a fresh view tells of a job that its cancellation is
// recorded and its end is not.
func (c *Controller) cancellationPending(ref string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, _ := c.activeJobs.Job(ref)
	return j.Cancelled && !c.activeJobsStale(time.Now())
}

// notYetTerminal answers a cancellation whose tasks are not all proven gone yet, which
// every controller would answer alike.
func notYetTerminal() transport.Response {
	return transport.Response{Status: 503, RetryAfter: transport.RetryAfter, Authoritative: true}
}

// awaitTerminal waits until jobs are not open any more, as far as is known here, and reports
// whether they all were so within endWait.
func (c *Controller) awaitTerminal(ctx context.Context, refs ...string) bool {
	ctx, cancel := context.WithTimeout(ctx, endWait)
	defer cancel()
	for _, ref := range refs {
		c.mu.Lock()
		ended := c.activeJobs.Ended(ref)
		c.mu.Unlock()
		if ended == nil {
			continue
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
