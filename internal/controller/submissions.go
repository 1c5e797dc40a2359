package controller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"

	"bramblespur/internal/controller/transport"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// validJobReference checks the form of a job id.
func validJobReference(ref string) bool { return validReference(ref, "run-") }

// maxTasks is the protocol's bound of a job's tasks.
const maxTasks = 100000

// parseSpec checks a submission's form. Every field must be there, except
// those that may be null.
func parseSpec(body []byte) (*wire.Spec, bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil || fields == nil {
		return nil, false
	}
	for _, f := range wire.RequiredFields {
		if v, ok := fields[f]; !ok || string(v) == "null" {
			return nil, false
		}
	}
	var spec wire.Spec
	if json.Unmarshal(body, &spec) != nil {
		return nil, false
	}
	ok := validSpec(&spec)
	slices.Sort(spec.DependsOn)
	spec.DependsOn = slices.Compact(spec.DependsOn)
	return &spec, ok
}

// isAmount reports whether a number may be an amount of something.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// validSpec checks the values of a specification's fields.
func validSpec(spec *wire.Spec) bool {
	return validJobReference(spec.Ref) && spec.Class != "" && spec.Team != "" && spec.Image != "" &&
		slices.Contains([]string{wire.Array, wire.Gang, wire.Service}, spec.Kind) &&
		slices.Contains([]string{"prod", "urgent", "normal", "low"}, spec.Priority) &&
		spec.Tasks >= 1 && spec.Tasks <= maxTasks &&
		isAmount(spec.CPUs) && isAmount(spec.GPUs) && isAmount(spec.MemoryGB) && isAmount(spec.ImageGB) &&
		isAmount(spec.EstimateS) && isAmount(spec.CheckpointS) && isAmount(spec.SaveS) && (spec.DeadlineS == nil || isAmount(*spec.DeadlineS)) &&
		!slices.ContainsFunc(spec.DependsOn, func(r string) bool { return !validJobReference(r) })
}

// canRun reports whether a job could ever run here.
func (c *Controller) canRun(spec *wire.Spec, types []wire.MachineType) bool {
	fits := false
	for _, t := range types {
		if (spec.Types == nil || slices.Contains(spec.Types, t.Name)) && spec.CPUs <= t.CPUs && spec.GPUs <= t.GPUs &&
			spec.MemoryGB <= t.MemoryGB && (spec.Zone == nil || slices.Contains(t.Zones, *spec.Zone)) {
			fits = true
		}
	}
	if !fits {
		return false
	}
	if len(c.cfg.Params.Teams) == 0 {
		return true
	}
	n := float64(spec.Tasks)
	if spec.Kind == wire.Array {
		n = 1
	}
	const slack = 1e-6
	for _, t := range c.cfg.Params.Teams {
		if t.Name == spec.Team {
			return (t.CPUsMax <= 0 || n*spec.CPUs <= t.CPUsMax+slack) && (t.GPUsMax <= 0 || n*spec.GPUs <= t.GPUsMax+slack)
		}
	}
	return false
}

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
	spec, ok := parseSpec(body)
	if !ok {
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
	if !c.canRun(spec, types) {
		return c.refuseUnlessAccepted(ctx, spec.Ref, 422)
	}
	part := record.ShardOf(c.teams, spec.Team, spec.Ref, c.cfg.Params.Count)
	open := record.Encode(record.ActiveJob{Spec: *spec, Shard: part, At: time.Now().UnixMilli(), AwaitsDependencies: len(spec.DependsOn) > 0})
	if len(open) > c.limits().Bytes() {
		return c.refuseUnlessAccepted(ctx, spec.Ref, 422)
	}
	if no := c.checkDependencies(ctx, spec); !no.IsZero() {
		return no
	}
	t := wire.Txn{
		If:   []wire.Cond{{Key: record.FinishedJobKey(spec.Ref)}, {Key: record.ActiveJobKey(spec.Ref)}},
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
	_, open := c.activeJobs[ref]
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
