package controller

import (
	"context"
	"errors"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/controller/messagecheck"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// jobState reads a job's state. Of one that is not open here it reads the final record
// first: most that are asked for are over, and one request must do for them. Two
// would take longer than a user waits while the budget is used up, and then every
// poll that is refused would come again. Else the open record comes first, since a
// job that has none any more is in the other by then.
func (c *Controller) jobState(ctx context.Context, purpose statestore.Purpose, ref string) (string, error) {
	known := c.staleReads.BaselineOf(ref)
	if !known.Active() {
		if state, err := c.terminalState(ctx, purpose, ref); !errors.Is(err, statestore.ErrNotFound) {
			return state, err
		}
		purpose = statestore.Urgent(purpose.Name) // a reading that has begun goes on
	}
	e, err := c.store.Get(ctx, purpose, record.ActiveJobKey(ref))
	if err == nil {
		// Also of one that is being cancelled: see cancel.
		return wire.Pending, c.staleReads.CheckActiveJob(ref, known, e.Version)
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		return "", err
	}
	state, err := c.terminalState(ctx, statestore.Urgent(purpose.Name), ref)
	if errors.Is(err, statestore.ErrNotFound) {
		err = c.staleReads.CheckMissingJob(ref, known)
	}
	return state, err
}

// terminalState reads the state of a job that is over.
func (c *Controller) terminalState(ctx context.Context, purpose statestore.Purpose, ref string) (string, error) {
	j, err := c.readTerminal(ctx, purpose, ref)
	return j.State, err
}

func terminalStatus(ref string, j record.FinishedJob) wire.Status {
	return wire.Status{Ref: ref, State: j.State, Done: j.Tasks}
}

// statusQuery answers a user's question for a job's state, which is never older than what any
// controller has told a user before the question came.
func (c *Controller) statusQuery(ref string) transport.Response {
	if !jobspec.ValidJobReference(ref) {
		return transport.Response{Status: 404}
	}
	if j, ok := c.terminalStates.Get(ref); ok {
		return transport.Response{Status: 200, Body: terminalStatus(ref, j)}
	}
	if c.leaseLost() {
		return retryReply()
	}
	ctx, cancel := context.WithTimeout(c.life, userTimeout)
	defer cancel()
	if !c.confirmActive(ctx, ref) {
		state, err := c.jobState(ctx, statestore.Routine("poll"), ref)
		switch {
		case errors.Is(err, statestore.ErrNotFound):
			return transport.Response{Status: 404}
		case err != nil:
			return retryReply()
		}
		if j, ok := c.terminalStates.Get(ref); ok {
			return transport.Response{Status: 200, Body: terminalStatus(ref, j)}
		}
		if state != wire.Pending {
			return transport.Response{Status: 200, Body: wire.Status{Ref: ref, State: state}}
		}
	}
	// The counts are for display: the owner's memory has them.
	if own, ok := c.ownerStatus(ref); ok {
		return transport.Response{Status: 200, Body: own}
	}
	return transport.Response{Status: 200, Body: wire.Status{Ref: ref, State: wire.Pending}}
}

// ownerStatus returns an open job's status with its counts from the memory of the owner of
// its part, this controller or another. It reports false if the owner does not answer.
func (c *Controller) ownerStatus(ref string) (wire.Status, bool) {
	c.mu.Lock()
	j, _ := c.activeJobs.Job(ref)
	part := j.Shard
	shard := c.shards[part]
	if shard != nil {
		status, ok := shard.Status(ref)
		c.mu.Unlock()
		return status, ok
	}
	owner := c.peers[c.cluster.Owner(part)]
	c.mu.Unlock()
	if owner == nil {
		return wire.Status{}, false
	}
	status := new(wire.Status)
	err := owner.Call("Status", ref, status, statusTimeout)
	err = c.messages.Reply("reply to a status query", "a controller", err, func() error { return messagecheck.Status(status, ref) })
	return *status, err == nil
}

// Status implements peer.Handler.
func (c *Controller) Status(ref string) (wire.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, shard := range c.shards {
		if status, ok := shard.Status(ref); ok {
			return status, true
		}
	}
	return wire.Status{}, false
}
