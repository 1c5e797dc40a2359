package controller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// validRef checks the form of a job id.
func validRef(ref string) bool { return validName(ref, "run-") }

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
	var s wire.Spec
	if json.Unmarshal(body, &s) != nil {
		return nil, false
	}
	ok := validSpec(&s)
	slices.Sort(s.DependsOn)
	s.DependsOn = slices.Compact(s.DependsOn)
	return &s, ok
}

// isAmount reports whether a number may be an amount of something.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// validSpec checks the values of a specification's fields.
func validSpec(s *wire.Spec) bool {
	return validRef(s.Ref) && s.Class != "" && s.Team != "" && s.Image != "" &&
		slices.Contains([]string{wire.Array, wire.Gang, wire.Service}, s.Kind) &&
		slices.Contains([]string{"prod", "urgent", "normal", "low"}, s.Priority) &&
		s.Tasks >= 1 && s.Tasks <= maxTasks &&
		isAmount(s.CPUs) && isAmount(s.GPUs) && isAmount(s.MemoryGB) && isAmount(s.ImageGB) &&
		isAmount(s.EstimateS) && isAmount(s.CheckpointS) && isAmount(s.SaveS) && (s.DeadlineS == nil || isAmount(*s.DeadlineS)) &&
		!slices.ContainsFunc(s.DependsOn, func(r string) bool { return !validRef(r) })
}

// canRun reports whether a job could ever run here.
func (c *Controller) canRun(s *wire.Spec, types []wire.MachineType) bool {
	fits := false
	for _, t := range types {
		if (s.Types == nil || slices.Contains(s.Types, t.Name)) && s.CPUs <= t.CPUs && s.GPUs <= t.GPUs &&
			s.MemoryGB <= t.MemoryGB && (s.Zone == nil || slices.Contains(t.Zones, *s.Zone)) {
			fits = true
		}
	}
	if !fits {
		return false
	}
	if len(c.cfg.Params.Teams) == 0 {
		return true
	}
	n := float64(s.Tasks)
	if s.Kind == wire.Array {
		n = 1
	}
	const slack = 1e-6
	for _, t := range c.cfg.Params.Teams {
		if t.Name == s.Team {
			return (t.CPUsMax <= 0 || n*s.CPUs <= t.CPUsMax+slack) && (t.GPUsMax <= 0 || n*s.GPUs <= t.GPUsMax+slack)
		}
	}
	return false
}

// decides returns the machine types if a submission can be decided on: they are
// known, and the state service can be asked.
func (c *Controller) decides() ([]wire.MachineType, bool) {
	c.mu.Lock()
	types := c.types
	c.mu.Unlock()
	return types, types != nil && !c.leaseLost()
}

// submit answers a submission. 201 and 200 are durable: the job's record is in the state
// service by then.
func (c *Controller) submit(body []byte) reply {
	s, ok := parseSpec(body)
	if !ok {
		return reply{status: 400}
	}
	if j, ok := c.finals.get(s.Ref); ok {
		return reply{status: 200, body: wire.Brief{Ref: s.Ref, State: j.State}}
	}
	types, ok := c.decides()
	if !ok {
		return later()
	}
	ctx, cancel := context.WithTimeout(c.life, userTimeout)
	defer cancel()
	if c.isOpen(s.Ref) {
		// Accepted before: reading tells so without a change, of which the state
		// service also counts those that fail.
		if r := c.acceptedReply(ctx, s.Ref); r.status != 404 {
			return r
		}
	}
	if !c.canRun(s, types) {
		return c.refuseUnlessAccepted(ctx, s.Ref, 422)
	}
	part := record.PartOf(c.teams, s.Team, s.Ref, c.cfg.Params.Count)
	open := record.Encode(record.Open{Spec: *s, Part: part, At: time.Now().UnixMilli(), Held: len(s.DependsOn) > 0})
	if len(open) > c.limits().Bytes() {
		return c.refuseUnlessAccepted(ctx, s.Ref, 422)
	}
	if no := c.checkDependencies(ctx, s); !no.zero() {
		return no
	}
	t := wire.Txn{
		If:   []wire.Cond{{Key: record.JobKey(s.Ref)}, {Key: record.OpenKey(s.Ref)}},
		Then: []wire.Op{{Put: record.OpenKey(s.Ref), Value: open}},
	}
	rev, err := c.store.Txn(ctx, statestore.Urgent("accept"), t)
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		c.tellOwner(part, t, rev)
		return reply{status: 201, body: wire.Brief{Ref: s.Ref, State: wire.Pending}}
	case errors.As(err, &conflict):
		if r := c.acceptedReply(ctx, s.Ref); r.status == 200 {
			return r
		}
	default:
		c.log.Debug("submission", "ref", s.Ref, "err", err)
	}
	return later()
}

// isOpen reports whether the watch has told of an unfinished job.
func (c *Controller) isOpen(ref string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, open := c.open[ref]
	return open
}

// refuseUnlessAccepted refuses a job with a status, unless it was accepted before:
// whatever the settings or the state service's limits say by now, an accepted job stays
// accepted.
func (c *Controller) refuseUnlessAccepted(ctx context.Context, ref string, status int) reply {
	if r := c.acceptedReply(ctx, ref); r.status != 404 {
		return r // accepted before, or can't tell
	}
	return reply{status: status}
}

// acceptedReply answers with the state of an accepted job, with 404 if there is none.
func (c *Controller) acceptedReply(ctx context.Context, ref string) reply {
	state, err := c.state(ctx, statestore.Urgent("accept"), ref)
	switch {
	case errors.Is(err, statestore.ErrNotFound):
		return reply{status: 404}
	case err != nil:
		return later()
	}
	return reply{status: 200, body: wire.Brief{Ref: ref, State: state}}
}
