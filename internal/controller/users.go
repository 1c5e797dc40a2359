package controller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"strings"
	"time"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// userTimeout bounds the work on one user request: a user waits 2 s for a
	// poll, and what can't be taken is to be said soon.
	userTimeout   = 1500 * time.Millisecond
	pollWait      = 2 * time.Second // a user's for the answer to a poll
	requestWait   = 5 * time.Second // and to a submission or a cancellation
	statusTimeout = 400 * time.Millisecond
	retryLater    = 1 // seconds, in Retry-After
)

// serveUser answers a user's request. One that can't be served for want of the
// state service, or of this controller's part of its limits, is passed on to a
// controller that reaches it, if its answer can still come in time: else it would
// cost that controller's part as well, for nobody.
func (c *Controller) serveUser(req httpwire.Request) reply {
	begun, wait := time.Now(), requestWait
	if req.Method == "GET" {
		wait = pollWait
	}
	work, no := c.route(req)
	if !no.zero() {
		return no
	}
	if c.doubtful() {
		if r, ok := c.passOn(req); ok {
			return r
		}
		return work()
	}
	r := work()
	if r.status == 503 && !r.settled && time.Since(begun)+userTimeout <= wait {
		if other, ok := c.passOn(req); ok {
			return other
		}
	}
	return r
}

func (r reply) zero() bool { return r.status == 0 }

// resource is what users submit, poll and cancel under a path.
type resource struct {
	submit       func(body []byte) reply
	poll, cancel func(ref string) reply
}

// route finds the work that a request asks for, or the answer to one that asks
// for none.
func (c *Controller) route(req httpwire.Request) (work func() reply, no reply) {
	for path, r := range map[string]resource{
		wire.JobsPath:      {c.submit, c.poll, c.cancel},
		wire.PipelinesPath: {c.submitPipeline, c.pollPipeline, c.cancelPipeline},
	} {
		if req.Path == path {
			if req.Method != "POST" {
				return nil, reply{status: 405}
			}
			return func() reply { return r.submit(req.Body) }, reply{}
		}
		rest, ok := strings.CutPrefix(req.Path, path+"/")
		if !ok {
			continue
		}
		ref, action, sub := strings.Cut(rest, "/")
		switch {
		case sub && action != wire.CancelWord:
			return nil, reply{status: 404}
		case sub && req.Method == "POST":
			return func() reply { return r.cancel(ref) }, reply{}
		case !sub && req.Method == "GET":
			return func() reply { return r.poll(ref) }, reply{}
		default:
			return nil, reply{status: 405}
		}
	}
	return nil, reply{status: 404}
}

// doubtful reports whether the lease's last renewal is so old that the state
// service may be out of reach.
func (c *Controller) doubtful() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease == 0 || time.Since(c.leaseAt) > leaseTTL/2
}

// passOn lets another controller that lately reached the state service serve a
// request. It reports false when there is none or it can't either.
func (c *Controller) passOn(req httpwire.Request) (reply, bool) {
	c.mu.Lock()
	now := time.Now()
	var best peer.Caller
	for label, p := range c.peers { // any order: they are all as good
		if now.Sub(c.peerState[label]) < peerFresh && now.Sub(c.peerOK[label]) < peerFresh {
			best = p
			break
		}
	}
	c.mu.Unlock()
	if best == nil {
		return reply{}, false
	}
	var r peer.UserReply
	if err := best.Call("User", peer.UserArgs{Method: req.Method, Path: req.Path, Body: req.Body}, &r, userTimeout); err != nil {
		c.log.Debug("request passed on", "path", req.Path, "err", err)
		return reply{}, false
	}
	out := reply{status: r.Status, retryAfter: r.RetryAfter}
	if len(r.Body) > 0 {
		out.body = json.RawMessage(r.Body)
	}
	return out, r.Status != 0 && r.Status != 503
}

// User implements peer.Handler: a request passed on is served here or not at all.
func (c *Controller) User(a peer.UserArgs) peer.UserReply {
	r := reply{status: 503, retryAfter: retryLater}
	if !c.doubtful() {
		work, no := c.route(httpwire.Request{Method: a.Method, Path: a.Path, Body: a.Body})
		if r = no; no.zero() {
			r = work()
		}
	}
	out := peer.UserReply{Status: r.status, RetryAfter: r.retryAfter}
	if r.body != nil {
		out.Body = record.Encode(r.body)
	}
	return out
}

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
	amount := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v) }
	ok := validRef(s.Ref) && s.Class != "" && s.Team != "" && s.Image != "" &&
		slices.Contains([]string{wire.Array, wire.Gang, wire.Service}, s.Kind) &&
		slices.Contains([]string{"prod", "urgent", "normal", "low"}, s.Priority) &&
		s.Tasks >= 1 && s.Tasks <= maxTasks &&
		amount(s.CPUs) && amount(s.GPUs) && amount(s.MemoryGB) && amount(s.ImageGB) &&
		amount(s.EstimateS) && amount(s.CheckpointS) && amount(s.SaveS) && (s.DeadlineS == nil || amount(*s.DeadlineS)) &&
		!slices.ContainsFunc(s.DependsOn, func(r string) bool { return !validRef(r) })
	slices.Sort(s.DependsOn)
	s.DependsOn = slices.Compact(s.DependsOn)
	return &s, ok
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

func later() reply { return reply{status: 503, retryAfter: retryLater} }

// down reports whether the state service could not be reached for a while:
// what needs it is refused at once then.
func (c *Controller) down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease == 0 || time.Since(c.leaseAt) > 3*leaseTTL/4
}

// decides returns the machine types if a submission can be decided on: they are
// known, and the state service can be asked.
func (c *Controller) decides() ([]wire.MachineType, bool) {
	c.mu.Lock()
	types := c.types
	c.mu.Unlock()
	return types, types != nil && !c.down()
}

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
		return c.known(ctx, s.Ref)
	}
	if !c.canRun(s, types) {
		return c.unless(ctx, s.Ref, 422)
	}
	part := record.PartOf(c.teams, s.Team, s.Ref, c.cfg.Params.Count)
	open := record.Encode(record.Open{Spec: *s, Part: part, At: time.Now().UnixMilli(), Held: len(s.DependsOn) > 0})
	if len(open) > c.limits().Bytes() {
		return c.unless(ctx, s.Ref, 422)
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
		if r := c.known(ctx, s.Ref); r.status == 200 {
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

// unless refuses a job, unless it was accepted before: whatever the settings or
// the state service's limits say by now.
func (c *Controller) unless(ctx context.Context, ref string, status int) reply {
	if r := c.known(ctx, ref); r.status != 404 {
		return r // accepted before, or can't tell
	}
	return reply{status: status}
}

// known answers with the state of an accepted job, 404 if there is none.
func (c *Controller) known(ctx context.Context, ref string) reply {
	state, err := c.state(ctx, statestore.Urgent("accept"), ref)
	switch {
	case errors.Is(err, statestore.ErrNotFound):
		return reply{status: 404}
	case err != nil:
		return later()
	}
	return reply{status: 200, body: wire.Brief{Ref: ref, State: state}}
}

// state reads a job's state. Of one that is not open here it reads the final record
// first: most that are asked for are over, and one request must do for them. Two
// would take longer than a user waits while the budget is used up, and then every
// poll that is refused would come again. Else the open record comes first, since a
// job that has none any more is in the other by then.
func (c *Controller) state(ctx context.Context, u statestore.Use, ref string) (string, error) {
	if !c.isOpen(ref) {
		if state, err := c.finalState(ctx, u, ref); !errors.Is(err, statestore.ErrNotFound) {
			return state, err
		}
		u = statestore.Urgent(u.For) // a reading that has begun goes on
	}
	_, err := c.store.Get(ctx, u, record.OpenKey(ref))
	if err == nil {
		return wire.Pending, nil // also of one that is being cancelled: see cancel
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		return "", err
	}
	return c.finalState(ctx, statestore.Urgent(u.For), ref)
}

// finalState reads the state of a job that is over.
func (c *Controller) finalState(ctx context.Context, u statestore.Use, ref string) (string, error) {
	j, err := c.readFinal(ctx, u, ref)
	return j.State, err
}

func finalStatus(ref string, j record.Job) wire.Status {
	return wire.Status{Ref: ref, State: j.State, Done: j.Tasks}
}

func (c *Controller) poll(ref string) reply {
	if !validRef(ref) {
		return reply{status: 404}
	}
	if j, ok := c.finals.get(ref); ok {
		return reply{status: 200, body: finalStatus(ref, j)}
	}
	if c.down() {
		return later()
	}
	ctx, cancel := context.WithTimeout(c.life, userTimeout)
	defer cancel()
	if !c.confirmed(ctx, ref) {
		state, err := c.state(ctx, statestore.Routine("poll"), ref)
		switch {
		case errors.Is(err, statestore.ErrNotFound):
			return reply{status: 404}
		case err != nil:
			return later()
		}
		if j, ok := c.finals.get(ref); ok {
			return reply{status: 200, body: finalStatus(ref, j)}
		}
		if state != wire.Pending {
			return reply{status: 200, body: wire.Status{Ref: ref, State: state}}
		}
	}
	// The counts are for display: the owner's memory has them.
	if own, ok := c.ownerStatus(ref); ok {
		return reply{status: 200, body: own}
	}
	return reply{status: 200, body: wire.Status{Ref: ref, State: wire.Pending}}
}

func (c *Controller) ownerStatus(ref string) (wire.Status, bool) {
	c.mu.Lock()
	part := c.open[ref].part
	p := c.parts[part]
	if p != nil {
		s, ok := p.Status(ref)
		c.mu.Unlock()
		return s, ok
	}
	owner := c.peers[c.partRecs[part].rec.Owner]
	c.mu.Unlock()
	if owner == nil {
		return wire.Status{}, false
	}
	s := new(wire.Status)
	err := owner.Call("Status", ref, s, statusTimeout)
	return *s, err == nil
}

// Status implements peer.Handler.
func (c *Controller) Status(ref string) (wire.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.parts {
		if s, ok := p.Status(ref); ok {
			return s, true
		}
	}
	return wire.Status{}, false
}

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
func (c *Controller) cancel(ref string) reply {
	if !validRef(ref) {
		return reply{status: 404}
	}
	if j, ok := c.finals.get(ref); ok {
		return reply{status: 200, body: wire.Brief{Ref: ref, State: j.State}}
	}
	if c.down() {
		return later()
	}
	ctx, cancel := context.WithTimeout(c.life, userTimeout)
	defer cancel()
	use := statestore.Urgent("cancel")
	for range cancelTries {
		key := record.OpenKey(ref)
		e, err := c.store.Get(ctx, use, key)
		if errors.Is(err, statestore.ErrNotFound) {
			// Never accepted, or over by now.
			state, err := c.state(ctx, use, ref)
			switch {
			case errors.Is(err, statestore.ErrNotFound):
				return reply{status: 404}
			case err != nil:
				return later()
			case state == wire.Pending:
				continue // accepted in this moment
			}
			return reply{status: 200, body: wire.Brief{Ref: ref, State: state}}
		}
		var o record.Open
		if err != nil || json.Unmarshal(e.Value, &o) != nil {
			return later()
		}
		if !o.Cancelled {
			t := wire.Txn{If: []wire.Cond{{Key: key, Version: e.Version}}, Then: []wire.Op{{Put: key, Value: c.cancelled(o)}}}
			rev, err := c.store.Txn(ctx, use, t)
			var conflict *statestore.ConflictError
			if errors.As(err, &conflict) {
				continue
			}
			if err != nil {
				return later() // perhaps applied: the user's next try finds out
			}
			c.tellOwner(o.Part, t, rev)
		}
		if !c.ended(ctx, ref) {
			return ending()
		}
	}
	return later()
}

// ending answers a cancellation whose tasks are not all proven gone yet, which
// every controller would answer alike.
func ending() reply { return reply{status: 503, retryAfter: retryLater, settled: true} }

// ended reports whether jobs are not open any more, as far as is known here, or come
// to be so within endWait.
func (c *Controller) ended(ctx context.Context, refs ...string) bool {
	ctx, cancel := context.WithTimeout(ctx, endWait)
	defer cancel()
	for _, ref := range refs {
		c.mu.Lock()
		if _, open := c.open[ref]; !open {
			c.mu.Unlock()
			continue
		}
		over := c.ends[ref]
		if over == nil {
			over = make(chan struct{})
			c.ends[ref] = over
		}
		c.mu.Unlock()
		select {
		case <-over:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// closeOpen takes in that a job is not open any more. The lock is held.
func (c *Controller) closeOpen(ref string) {
	changed := c.needs.Remove(ref)
	delete(c.open, ref)
	c.inherit(changed)
	if over := c.ends[ref]; over != nil {
		close(over)
		delete(c.ends, ref)
	}
}

// tellOwner brings jobs' new records to their owner without waiting for the watch.
func (c *Controller) tellOwner(part int, t wire.Txn, rev uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied(t, rev, time.Now())
	owner := c.peers[c.partRecs[part].rec.Owner]
	if c.parts[part] != nil || owner == nil {
		return
	}
	go func() {
		for _, op := range t.Then {
			if !strings.HasPrefix(op.Put, record.OpenPrefix) {
				continue
			}
			a := peer.NudgeArgs{Key: op.Put, Value: op.Value, Version: rev}
			if err := owner.Call("Nudge", a, new(struct{}), statusTimeout); err != nil {
				c.log.Debug("nudge", "key", a.Key, "err", err) // the watch tells it as well
			}
		}
	}()
}

// Nudge implements peer.Handler: a job's record, open or final, as the sender has
// just written it.
//
// Upgrade: the first version takes open records only and passes over others.
func (c *Controller) Nudge(a peer.NudgeArgs) {
	switch {
	case strings.HasPrefix(a.Key, record.OpenPrefix):
		c.changeOpen(wire.Change{Put: a.Key, Value: a.Value, Version: a.Version}, time.Now())
	case strings.HasPrefix(a.Key, record.JobPrefix):
		var j record.Job
		if err := json.Unmarshal(a.Value, &j); err != nil {
			c.log.Error("final record", "key", a.Key, "err", err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.dependencyEnded(record.Last(a.Key), j, time.Now())
	}
}
