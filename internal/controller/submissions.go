package controller

import (
	"context"
	"errors"
	"time"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// submissionTypes returns the machine types if a submission can be decided on: they are
// known, and the state service can be asked.
func (c *Controller) submissionTypes() ([]wire.MachineType, bool) {
	c.mu.Lock()
	types := c.machineTypes
	c.mu.Unlock()
	return types, types != nil && !c.leaseLost()
}

// submit answers a submission. 201 and 200 are durable: the job's record is in the state
// service by then.
func (c *Controller) submit(body []byte) transport.Response {
	spec, err := jobspec.ParseJob(body)
	if err != nil {
		return transport.Response{Status: 400}
	}
	if j, ok := c.terminalStates.Get(spec.Ref); ok {
		return transport.Response{Status: 200, Body: wire.Brief{Ref: spec.Ref, State: j.State}}
	}
	types, ok := c.submissionTypes()
	if !ok {
		return retryReply()
	}
	ctx, cancel := context.WithTimeout(c.life, userTimeout)
	defer cancel()
	if c.isActive(spec.Ref) {
		// Accepted before: reading tells so without a change, of which the state
		// service also counts those that fail.
		if r := c.acceptedReply(ctx, spec.Ref); r.Status != 404 {
			return r
		}
	}
	if jobspec.CheckFeasible(spec, types, c.cfg.Params.Teams) != nil {
		return c.refuseUnlessAccepted(ctx, spec.Ref, 422)
	}
	part := record.ShardForJob(c.teams, spec.Team, spec.Ref, c.cfg.Params.Count)
	open := record.Encode(record.ActiveJob{Spec: *spec, Shard: part, AcceptedAt: time.Now().UnixMilli(), AwaitsDependencies: len(spec.DependsOn) > 0})
	if len(open) > c.limits().Bytes() {
		return c.refuseUnlessAccepted(ctx, spec.Ref, 422)
	}
	if no := c.checkDependencies(ctx, spec); !no.IsZero() {
		return no
	}
	t := wire.Txn{
		If:   []wire.Condition{{Key: record.FinishedJobKey(spec.Ref)}, {Key: record.ActiveJobKey(spec.Ref)}},
		Then: []wire.Op{{Put: record.ActiveJobKey(spec.Ref), Value: open}},
	}
	rev, err := c.store.Txn(ctx, statestore.Urgent("accept"), t)
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		c.notifyOwner(part, t, rev)
		return transport.Response{Status: 201, Body: wire.Brief{Ref: spec.Ref, State: wire.Pending}}
	case errors.As(err, &conflict):
		if r := c.acceptedReply(ctx, spec.Ref); r.Status == 200 {
			return r
		}
	default:
		c.log.Debug("submission", "ref", spec.Ref, "err", err)
	}
	return retryReply()
}

// isActive reports whether the watch has told of an unfinished job.
func (c *Controller) isActive(ref string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, open := c.activeJobs.Job(ref)
	return open
}

// refuseUnlessAccepted refuses a job with a status, unless it was accepted before:
// whatever the settings or the state service's limits say by now, an accepted job stays
// accepted.
func (c *Controller) refuseUnlessAccepted(ctx context.Context, ref string, status int) transport.Response {
	if r := c.acceptedReply(ctx, ref); r.Status != 404 {
		return r // accepted before, or can't tell
	}
	return transport.Response{Status: status}
}

// acceptedReply answers with the state of an accepted job, with 404 if there is none.
func (c *Controller) acceptedReply(ctx context.Context, ref string) transport.Response {
	state, err := c.jobState(ctx, statestore.Urgent("accept"), ref)
	switch {
	case errors.Is(err, statestore.ErrNotFound):
		return transport.Response{Status: 404}
	case err != nil:
		return retryReply()
	}
	return transport.Response{Status: 200, Body: wire.Brief{Ref: ref, State: state}}
}
