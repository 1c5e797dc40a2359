package controller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Pipelines are an extension of ours, documented in docs/api.md. One is accepted
// with all its jobs in one transaction or not at all; what it releases is its
// owner's to decide, see package scheduler.

// submitPipeline accepts a pipeline whole, or refuses it.
func (c *Controller) submitPipeline(body []byte) transport.Response {
	parsed, err := jobspec.ParsePipeline(body)
	if err != nil {
		return transport.Response{Status: 400}
	}
	ref, rec, specs := parsed.Ref, parsed.Record, parsed.Jobs
	types, ok := c.submissionTypes()
	if !ok {
		return retryReply()
	}
	ctx, cancel := context.WithTimeout(c.life, userTimeout)
	defer cancel()
	use := statestore.Urgent("accept")
	// What is known is never refused, whatever the settings say by now.
	if r := c.knownPipeline(ctx, use, ref); r.Status != 404 {
		return r
	}
	if slices.ContainsFunc(specs, func(spec *wire.Spec) bool { return jobspec.CheckFeasible(spec, types, c.cfg.Params.Teams) != nil }) {
		return transport.Response{Status: 422}
	}
	rec.Shard = record.ShardForJob(c.teams, specs[0].Team, ref, c.cfg.Params.Count)
	t, ok := c.pipelineTxn(ref, rec, specs)
	if !ok {
		return transport.Response{Status: 422}
	}
	rev, err := c.store.Txn(ctx, use, t)
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		c.notifyOwner(rec.Shard, t, rev)
		return transport.Response{Status: 201, Body: wire.Brief{Ref: ref, State: wire.Pending}}
	case errors.As(err, &conflict):
		r := c.knownPipeline(ctx, use, ref)
		if r.Status == 404 {
			return transport.Response{Status: 400} // one of its jobs' references is in use
		}
		return r
	}
	return retryReply()
}

// pipelineTxn records a pipeline and its jobs, all but the first held. It
// reports false if a record would be too large, or a step that follows.
func (c *Controller) pipelineTxn(ref string, rec record.Pipeline, specs []*wire.Spec) (wire.Txn, bool) {
	p := c.limits()
	fits := !rec.NeedsSplitCommits(p.Bytes(), p.TxnOps)
	t := wire.Txn{
		If:   []wire.Condition{{Key: record.PipelineKey(ref)}},
		Then: []wire.Op{{Put: record.PipelineKey(ref), Value: record.Encode(rec)}},
	}
	follows := map[string]bool{}
	for _, l := range rec.Links {
		for _, j := range l.To {
			follows[j] = true
		}
	}
	size := 0
	for _, spec := range specs {
		open := record.Encode(record.ActiveJob{Spec: *spec, Shard: rec.Shard, AcceptedAt: time.Now().UnixMilli(), Pipeline: ref, AwaitsDependencies: follows[spec.Ref]})
		size += len(open)
		fits = fits && len(open) <= p.Bytes()
		t.If = append(t.If, wire.Condition{Key: record.FinishedJobKey(spec.Ref)}, wire.Condition{Key: record.ActiveJobKey(spec.Ref)})
		t.Then = append(t.Then, wire.Op{Put: record.ActiveJobKey(spec.Ref), Value: open})
	}
	return t, fits && size <= maxTxnBytes && len(t.Then) <= p.TxnOps && len(t.If) <= 4*p.TxnOps
}

// maxTxnBytes keeps a transaction below the protocol's 64 KiB.
const maxTxnBytes = 48 << 10

// pipelineRecord reads a pipeline's record.
func (c *Controller) pipelineRecord(ctx context.Context, purpose statestore.Purpose, ref string) (record.Pipeline, uint64, error) {
	var rec record.Pipeline
	e, err := c.store.Get(ctx, purpose, record.PipelineKey(ref))
	if err != nil {
		return rec, 0, err
	}
	return rec, e.Version, json.Unmarshal(e.Value, &rec)
}

// knownPipeline answers with the state of an accepted pipeline, 404 if there is
// none.
func (c *Controller) knownPipeline(ctx context.Context, purpose statestore.Purpose, ref string) transport.Response {
	rec, _, err := c.pipelineRecord(ctx, purpose, ref)
	if errors.Is(err, statestore.ErrNotFound) {
		return transport.Response{Status: 404}
	}
	over := false
	if err == nil {
		over, err = c.pipelineTerminal(ctx, purpose, &rec)
	}
	if err != nil {
		return retryReply()
	}
	return transport.Response{Status: 200, Body: wire.Brief{Ref: ref, State: c.pipelineState(&rec, over)}}
}

// pipelineTerminal reports whether a pipeline has its final state: as with a single job,
// it is called cancelled only once none of its jobs is open any more, and so all
// tasks are proven gone.
func (c *Controller) pipelineTerminal(ctx context.Context, purpose statestore.Purpose, rec *record.Pipeline) (bool, error) {
	if rec.State != wire.Cancelled {
		return rec.State != "", nil
	}
	// What is not open is never open again, so it can be asked in several steps.
	for refs := range slices.Chunk(rec.Jobs, 4*c.limits().TxnOps) {
		t := wire.Txn{Then: []wire.Op{}}
		for _, ref := range refs {
			t.If = append(t.If, wire.Condition{Key: record.ActiveJobKey(ref)})
		}
		_, err := c.store.Txn(ctx, purpose, t)
		var conflict *statestore.ConflictError
		if errors.As(err, &conflict) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
	}
	return true, nil
}

// pipelineState is the state of a pipeline as a whole.
func (c *Controller) pipelineState(rec *record.Pipeline, over bool) string {
	if over {
		return rec.State
	}
	if len(rec.Ended) > 0 {
		return wire.Running
	}
	for _, ref := range rec.Jobs {
		if status, ok := c.ownerStatus(ref); ok && status.State == wire.Running {
			return wire.Running
		}
	}
	return wire.Pending
}

// pipelineStatusQuery answers with a pipeline's state and those of its jobs.
func (c *Controller) pipelineStatusQuery(ref string) transport.Response {
	if no := c.refuseEarly(ref); !no.IsZero() {
		return no
	}
	ctx, cancel := context.WithTimeout(c.life, userTimeout)
	defer cancel()
	rec, _, err := c.pipelineRecord(ctx, statestore.Routine("poll"), ref)
	switch {
	case errors.Is(err, statestore.ErrNotFound):
		return transport.Response{Status: 404}
	case err != nil:
		return retryReply()
	}
	over, err := c.pipelineTerminal(ctx, statestore.Routine("poll"), &rec)
	if err != nil {
		return retryReply()
	}
	ends := rec.Ended
	if limits := c.limits(); rec.NeedsSplitCommits(limits.Bytes(), limits.TxnOps) {
		more, err := c.missingPipelineEnds(ctx, statestore.Routine("poll"), &rec, nil)
		if err != nil {
			return retryReply()
		}
		ends = slices.Concat(ends, more)
	}
	out := wire.PipelineStatus{Ref: ref, State: c.pipelineState(&rec, over)}
	for _, j := range rec.Jobs {
		b := wire.Brief{Ref: j, State: wire.Pending}
		if over {
			b.State = wire.Cancelled // what has not run by the end never does
		} else if status, ok := c.ownerStatus(j); ok {
			b.State = status.State
		}
		for _, e := range ends {
			if e.Ref == j {
				b.State = e.State
			}
		}
		out.Jobs = append(out.Jobs, b)
	}
	return transport.Response{Status: 200, Body: out}
}

// cancelPipeline cancels what is left of a pipeline: first the pipeline, so that
// nothing more is released, then its jobs. The user is told once all are over; until
// then any controller that is asked again carries on.
func (c *Controller) cancelPipeline(ref string) transport.Response {
	if no := c.refuseEarly(ref); !no.IsZero() {
		return no
	}
	ctx, cancel := context.WithTimeout(c.life, userTimeout)
	defer cancel()
	use := statestore.Urgent("cancel")
	for range cancelTries {
		rec, version, err := c.pipelineRecord(ctx, use, ref)
		if errors.Is(err, statestore.ErrNotFound) {
			return transport.Response{Status: 404}
		}
		if err != nil {
			return retryReply()
		}
		if rec.State == wire.Done {
			return c.pipelineTerminalReply(ctx, ref, &rec)
		}
		if rec.State == "" {
			rec.State = wire.Cancelled
			rec = rec.Compacted(c.limits().Bytes())
			t := wire.Txn{
				If:   []wire.Condition{{Key: record.PipelineKey(ref), Version: version}},
				Then: []wire.Op{{Put: record.PipelineKey(ref), Value: record.Encode(rec)}},
			}
			_, err := c.store.Txn(ctx, use, t)
			var conflict *statestore.ConflictError
			if errors.As(err, &conflict) {
				continue
			}
			if err != nil {
				return retryReply() // perhaps applied: the user's next try finds out
			}
		}
		if !c.cancelPipelineJobs(ctx, &rec) {
			return retryReply()
		}
		return c.pipelineTerminalReply(ctx, ref, &rec)
	}
	return retryReply()
}

// cancelPipelineJobs cancels the open jobs of a withdrawn pipeline, as many at once as a
// transaction holds. Its own record was written before, so nothing more of it is
// released.
func (c *Controller) cancelPipelineJobs(ctx context.Context, rec *record.Pipeline) bool {
	use := statestore.Urgent("cancel")
	for refs := range slices.Chunk(rec.Jobs, c.limits().TxnOps) {
		for try := 0; ; try++ {
			t, err := c.cancelTxn(ctx, use, refs)
			if err != nil {
				return false
			}
			if len(t.Then) == 0 {
				break
			}
			rev, err := c.store.Txn(ctx, use, t)
			if err == nil {
				c.notifyOwner(rec.Shard, t, rev)
				break
			}
			var conflict *statestore.ConflictError
			if !errors.As(err, &conflict) || try == cancelTries {
				return false // perhaps applied: the user's next try finds out
			}
		}
	}
	return true
}

// cancelTxn makes the transaction that cancels those of some jobs that are open.
func (c *Controller) cancelTxn(ctx context.Context, use statestore.Purpose, refs []string) (wire.Txn, error) {
	var t wire.Txn
	for _, ref := range refs {
		key := record.ActiveJobKey(ref)
		e, err := c.store.Get(ctx, use, key)
		if errors.Is(err, statestore.ErrNotFound) {
			continue // it is over
		}
		if err != nil {
			return t, err
		}
		var o record.ActiveJob
		if err := json.Unmarshal(e.Value, &o); err != nil {
			return t, err
		}
		if o.Cancelled {
			continue
		}
		t.If = append(t.If, wire.Condition{Key: key, Version: e.Version})
		t.Then = append(t.Then, wire.Op{Put: key, Value: c.cancelledRecord(o)})
	}
	return t, nil
}

// cancelledRecord is an open job's record once it is cancelled. One that the state
// service took when its limits were wider goes without what only a start needs.
func (c *Controller) cancelledRecord(o record.ActiveJob) json.RawMessage {
	o.Cancelled = true
	if v := record.Encode(o); len(v) <= c.limits().Bytes() {
		return v
	}
	o.Spec.Types, o.Spec.DependsOn, o.Spec.Image, o.Spec.Class = nil, nil, "", ""
	return record.Encode(o)
}

// pipelineTerminalReply answers with the final state of a pipeline once all its jobs are
// over.
func (c *Controller) pipelineTerminalReply(ctx context.Context, ref string, rec *record.Pipeline) transport.Response {
	if rec.State == wire.Cancelled && !c.awaitTerminal(ctx, rec.Jobs...) {
		return notYetTerminal()
	}
	switch over, err := c.pipelineTerminal(ctx, statestore.Urgent("cancel"), rec); {
	case err != nil:
		return retryReply()
	case !over:
		return notYetTerminal()
	}
	return transport.Response{Status: 200, Body: wire.Brief{Ref: ref, State: rec.State}}
}

// refuseEarly answers at once what asks for a malformed reference, or comes while
// the state service can't be asked.
func (c *Controller) refuseEarly(ref string) transport.Response {
	switch {
	case !jobspec.ValidPipelineReference(ref):
		return transport.Response{Status: 404}
	case c.leaseLost():
		return retryReply()
	}
	return transport.Response{}
}
