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
	statusTimeout = 400 * time.Millisecond
	retryLater    = 1 // seconds, in Retry-After
)

func (c *Controller) ready() reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.schedCfg == nil || c.lease == 0 {
		return reply{status: 503}
	}
	if !c.sure(now) && c.peersReachState(now) {
		return reply{status: 503} // refused here alone: users do better elsewhere
	}
	return reply{status: 200}
}

// peersReachState reports whether another controller said lately that it
// reaches the state service.
func (c *Controller) peersReachState(now time.Time) bool {
	for _, at := range c.peerState {
		if now.Sub(at) < 3*time.Second {
			return true
		}
	}
	return false
}

func (c *Controller) handleUser(req httpwire.Request, answer func(reply)) {
	switch {
	case req.Path == wire.JobsPath:
		if req.Method != "POST" {
			answer(reply{status: 405})
			return
		}
		go func() { answer(c.submit(req.Body)) }()
	case hasPrefix(req.Path, wire.JobsPath+"/"):
		ref, action, sub := strings.Cut(req.Path[len(wire.JobsPath)+1:], "/")
		switch {
		case sub && action != wire.CancelWord:
			answer(reply{status: 404})
		case sub && req.Method == "POST":
			go func() { answer(c.cancel(ref)) }()
		case !sub && req.Method == "GET":
			go func() { answer(c.poll(ref)) }()
		default:
			answer(reply{status: 405})
		}
	default:
		answer(reply{status: 404})
	}
}

// validRef checks the form of a job id.
func validRef(ref string) bool {
	digits, ok := strings.CutPrefix(ref, "run-")
	if !ok || len(digits) < 6 || len(digits) > 18 {
		return false
	}
	for _, d := range digits {
		if d < '0' || d > '9' {
			return false
		}
	}
	return true
}

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
		amount(s.EstimateS) && amount(s.CheckpointS) && amount(s.SaveS) && (s.DeadlineS == nil || amount(*s.DeadlineS))
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

func (c *Controller) submit(body []byte) reply {
	s, ok := parseSpec(body)
	if !ok {
		return reply{status: 400}
	}
	c.mu.Lock()
	types := c.types
	final := c.finals[s.Ref]
	c.mu.Unlock()
	if final != "" {
		return reply{status: 200, body: wire.Brief{Ref: s.Ref, State: final}}
	}
	if types == nil || c.down() {
		return later()
	}
	ctx, cancel := context.WithTimeout(context.Background(), userTimeout)
	defer cancel()
	if !c.canRun(s, types) {
		switch r := c.known(ctx, s.Ref); r.status {
		case 404:
			return reply{status: 422}
		default:
			return r // accepted before, or can't tell
		}
	}
	part := record.PartOf(c.teams, s.Team, s.Ref, c.cfg.Params.Count)
	open := record.Encode(record.Open{Spec: *s, At: time.Now().UnixMilli()})
	if float64(len(open)) > c.cfg.Params.State.ValueKB*1024 {
		return reply{status: 400}
	}
	openKey := record.OpenKey(part, s.Ref)
	rev, err := c.store.Txn(ctx, statestore.Urgent, wire.Txn{
		If: []wire.Cond{{Key: record.JobKey(s.Ref)}},
		Then: []wire.Op{
			{Put: record.JobKey(s.Ref), Value: record.Encode(record.Job{Part: part, State: wire.Pending, Tasks: s.Tasks})},
			{Put: openKey, Value: open},
		},
	})
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		c.tellOwner(part, s.Ref, &wire.Entry{Key: openKey, Value: open, Version: rev})
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

// known answers with the state of an accepted job, 404 if there is none.
func (c *Controller) known(ctx context.Context, ref string) reply {
	j, err := c.job(ctx, ref)
	switch {
	case errors.Is(err, statestore.ErrNotFound):
		return reply{status: 404}
	case err != nil:
		return later()
	}
	return reply{status: 200, body: wire.Brief{Ref: ref, State: j.State}}
}

// job reads a job's state. Reads are not shared between polls: one already
// under way may be older than what the user was told a moment ago.
func (c *Controller) job(ctx context.Context, ref string) (record.Job, error) {
	var j record.Job
	e, err := c.store.Get(ctx, statestore.Routine, record.JobKey(ref))
	if err != nil {
		return j, err
	}
	if err := decode(e.Value, &j); err != nil {
		return j, err
	}
	if j.Final() {
		c.mu.Lock()
		c.keepFinal(ref, j.State)
		c.mu.Unlock()
	}
	return j, nil
}

// keepFinal remembers a state that never changes again.
func (c *Controller) keepFinal(ref, state string) {
	if len(c.finals) >= finalsKept {
		for old := range c.finals { // any will do: the record is the truth
			delete(c.finals, old)
			break
		}
	}
	c.finals[ref] = state
}

func (c *Controller) poll(ref string) reply {
	if !validRef(ref) {
		return reply{status: 404}
	}
	c.mu.Lock()
	final := c.finals[ref]
	c.mu.Unlock()
	if final != "" {
		return reply{status: 200, body: wire.Status{Ref: ref, State: final}}
	}
	if c.down() {
		return later()
	}
	ctx, cancel := context.WithTimeout(context.Background(), userTimeout)
	defer cancel()
	j, err := c.job(ctx, ref)
	switch {
	case errors.Is(err, statestore.ErrNotFound):
		return reply{status: 404}
	case err != nil:
		return later()
	}
	s := wire.Status{Ref: ref, State: j.State}
	if j.Final() {
		if j.State == wire.Done {
			s.Done = j.Tasks
		}
		return reply{status: 200, body: s}
	}
	// The counts are for display: the owner's memory has them.
	if own, ok := c.ownerStatus(j.Part, ref); ok {
		s = own
	}
	return reply{status: 200, body: s}
}

func (c *Controller) ownerStatus(part int, ref string) (wire.Status, bool) {
	c.mu.Lock()
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

func (c *Controller) cancel(ref string) reply {
	if !validRef(ref) {
		return reply{status: 404}
	}
	c.mu.Lock()
	final := c.finals[ref]
	c.mu.Unlock()
	if final != "" {
		return reply{status: 200, body: wire.Brief{Ref: ref, State: final}}
	}
	if c.down() {
		return later()
	}
	ctx, cancel := context.WithTimeout(context.Background(), userTimeout)
	defer cancel()
	for range cancelTries {
		e, err := c.store.Get(ctx, statestore.Urgent, record.JobKey(ref))
		if errors.Is(err, statestore.ErrNotFound) {
			return reply{status: 404}
		}
		var j record.Job
		if err != nil || decode(e.Value, &j) != nil {
			return later()
		}
		if j.Final() {
			c.mu.Lock()
			c.keepFinal(ref, j.State)
			c.mu.Unlock()
			return reply{status: 200, body: wire.Brief{Ref: ref, State: j.State}}
		}
		openKey := record.OpenKey(j.Part, ref)
		o, err := c.store.Get(ctx, statestore.Urgent, openKey)
		if errors.Is(err, statestore.ErrNotFound) {
			continue // it has just ended: read its state again
		}
		var open record.Open
		if err != nil || decode(o.Value, &open) != nil {
			return later()
		}
		open.Cancelled = true
		j.State = wire.Cancelled
		value := record.Encode(open)
		rev, err := c.store.Txn(ctx, statestore.Urgent, wire.Txn{
			If: []wire.Cond{{Key: record.JobKey(ref), Version: e.Version}, {Key: openKey, Version: o.Version}},
			Then: []wire.Op{
				{Put: record.JobKey(ref), Value: record.Encode(j)},
				{Put: openKey, Value: value},
			},
		})
		if err == nil {
			c.mu.Lock()
			c.keepFinal(ref, wire.Cancelled)
			c.mu.Unlock()
			c.tellOwner(j.Part, ref, &wire.Entry{Key: openKey, Value: value, Version: rev})
			return reply{status: 200, body: wire.Brief{Ref: ref, State: wire.Cancelled}}
		}
		var conflict *statestore.ConflictError
		if !errors.As(err, &conflict) {
			return later() // perhaps applied: the user's next try finds out
		}
	}
	return later()
}

// tellOwner brings a job's new record to its owner without waiting for the watch.
func (c *Controller) tellOwner(part int, ref string, e *wire.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.parts[part]; p != nil {
		now := time.Now()
		if err := p.SetJob(*e, now); err != nil {
			c.log.Error("job record", "ref", ref, "err", err)
		}
		c.pump(p, now)
		return
	}
	if owner := c.peers[c.partRecs[part].rec.Owner]; owner != nil {
		go func() {
			if err := owner.Call("Nudge", peer.NudgeArgs{Part: part, Ref: ref}, new(struct{}), statusTimeout); err != nil {
				c.log.Debug("nudge", "ref", ref, "err", err) // the watch tells it as well
			}
		}()
	}
}

// Nudge implements peer.Handler.
func (c *Controller) Nudge(a peer.NudgeArgs) {
	ctx, cancel := context.WithTimeout(context.Background(), userTimeout)
	defer cancel()
	e, err := c.getIfThere(ctx, record.OpenKey(a.Part, a.Ref))
	if err != nil || e == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.parts[a.Part]
	if p == nil {
		return
	}
	now := time.Now()
	if err := p.SetJob(*e, now); err != nil {
		c.log.Error("job record", "ref", a.Ref, "err", err)
	}
	c.pump(p, now)
}
