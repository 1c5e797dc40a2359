// Package recoverctl is what an operator's tool does about a state service that lost data: it
// gathers the evidence, records decisions, and carries a plan out.
package recoverctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/snapshot"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// use is the purpose of recovery's requests. They are what everybody waits for.
var use = statestore.Urgent("recover")

const (
	// patience is how long a request is repeated that has no answer.
	patience     = 15 * time.Second
	retryPause   = 300 * time.Millisecond
	evidenceTime = 5 * time.Second // for one page of a controller's evidence
)

// Client recovers a cluster.
type Client struct {
	Store  statestore.Store
	Peers  map[string]peer.Caller // the controllers, by label
	Cloud  cloud.API
	Limits recovery.Limits
	Now    func() time.Time
}

// Gathered is the evidence with what could not be had of it.
type Gathered struct {
	recovery.Evidence
	Silent []string // controllers that did not answer
}

// again repeats a request while it has no answer.
func again[T any](ctx context.Context, c *Client, request func() (T, error)) (T, error) {
	for end := c.Now().Add(patience); ; {
		v, err := request()
		if statestore.Answered(err) || c.Now().After(end) {
			return v, err
		}
		t := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
			t.Stop()
			return v, ctx.Err()
		case <-t.C:
		}
	}
}

// read reads a record; it returns nil and version 0 if there is none.
func read[T any](ctx context.Context, c *Client, key string) (*T, uint64, error) {
	e, err := again(ctx, c, func() (wire.Entry, error) { return c.Store.Get(ctx, use, key) })
	if errors.Is(err, statestore.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	v := new(T)
	if err := json.Unmarshal(e.Value, v); err != nil {
		return nil, 0, fmt.Errorf("record %s: %w", key, err)
	}
	return v, e.Version, nil
}

// Mode returns the record of the safe mode and its version, nil if there is none.
func (c *Client) Mode(ctx context.Context) (*recovery.SafeMode, uint64, error) {
	return read[recovery.SafeMode](ctx, c, recovery.SafeModeKey)
}

// Gather reads all evidence. The snapshot is optional.
func (c *Client) Gather(ctx context.Context, s *snapshot.Contents) (*Gathered, error) {
	mode, _, err := c.Mode(ctx)
	if err != nil {
		return nil, err
	}
	if mode == nil || !mode.Active {
		return nil, recovery.ErrNoSafeMode
	}
	g := &Gathered{Evidence: recovery.Evidence{Mode: *mode, Reports: recovery.Heartbeats{}}}
	if err := c.gatherStore(ctx, g); err != nil {
		return nil, err
	}
	if s != nil {
		g.Snapshot, g.SnapshotRevision = s.Records, s.Manifest.Revision
	}
	for label, p := range c.Peers {
		if err := gatherPeer(p, g); err != nil {
			g.Silent = append(g.Silent, label)
		}
	}
	list, err := again(ctx, c, func() ([]wire.ListedMachine, error) { return c.Cloud.List(ctx) })
	if err != nil {
		return nil, fmt.Errorf("the cloud's list: %w", err)
	}
	g.Listed = map[string]wire.ListedMachine{}
	for _, m := range list {
		g.Listed[m.ID] = m
	}
	return g, nil
}

// gatherStore reads what the state service still has, and the decisions about it.
func (c *Client) gatherStore(ctx context.Context, g *Gathered) error {
	g.Store = map[string]wire.Entry{}
	for _, prefix := range record.Prefixes() {
		type listed struct {
			entries  []wire.Entry
			revision uint64
		}
		l, err := again(ctx, c, func() (listed, error) {
			entries, revision, err := c.Store.List(ctx, use, prefix)
			return listed{entries, revision}, err
		})
		if err != nil {
			return fmt.Errorf("read %s: %w", prefix, err)
		}
		g.Revision = max(g.Revision, l.revision)
		for _, e := range l.entries {
			g.Store[e.Key] = e
		}
	}
	decisions, _, err := read[recovery.Decisions](ctx, c, recovery.DecisionsKey)
	if err == nil && decisions != nil && decisions.Epoch == g.Mode.Epoch {
		g.Decisions = decisions.Chosen
	}
	return err
}

// gatherPeer reads what a controller holds.
func gatherPeer(p peer.Caller, g *Gathered) error {
	after := ""
	for {
		var r peer.EvidenceReply
		if err := p.Call("Evidence", peer.EvidenceArgs{After: after}, &r, evidenceTime); err != nil {
			return err
		}
		if !r.Mode.Active {
			return recovery.ErrNoSafeMode
		}
		g.Mode.Floor = max(g.Mode.Floor, r.Mode.Floor)
		if after == "" && r.View.Revision > g.View.Revision {
			g.View = r.View
		}
		g.AddHeld(r.Held)
		for _, report := range r.Reports {
			g.Reports.Add(&report)
			g.Mode.Floor = max(g.Mode.Floor, report.Token)
		}
		if !r.More {
			return nil
		}
		after = r.Held[len(r.Held)-1].Key
	}
}

// Decide records an operator's choice about an undecided record.
func (c *Client) Decide(ctx context.Context, key string, choice recovery.Decision) error {
	mode, _, err := c.Mode(ctx)
	if err != nil {
		return err
	}
	if mode == nil || !mode.Active {
		return recovery.ErrNoSafeMode
	}
	for {
		old, version, err := read[recovery.Decisions](ctx, c, recovery.DecisionsKey)
		if err != nil {
			return err
		}
		t := recovery.DecisionTxn(old, version, mode.Epoch, key, choice)
		_, err = again(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, use, t) })
		if !errors.As(err, new(*statestore.ConflictError)) {
			return err
		}
	}
}

// Apply carries a plan out and ends the safe mode. It may be repeated after any cut.
func (c *Client) Apply(ctx context.Context, p *recovery.Plan, progress func(done, all int)) error {
	mode, _, err := c.Mode(ctx)
	if err != nil {
		return err
	}
	if err := p.Check(mode); err != nil {
		if done, readErr := c.finished(ctx, p, mode); readErr == nil && done {
			return nil // the last answer was lost
		}
		return err
	}
	if err := c.claim(ctx, p); err != nil {
		return err
	}
	batches := p.Batches(c.Limits)
	for i, t := range batches {
		if err := c.applyBatch(ctx, t); err != nil {
			return err
		}
		progress(i+1, len(batches))
	}
	if err := c.raise(ctx, p.Floor); err != nil {
		return err
	}
	return c.leave(ctx, p)
}

// finished reports whether a plan was carried out to its end before.
func (c *Client) finished(ctx context.Context, p *recovery.Plan, mode *recovery.SafeMode) (bool, error) {
	if mode == nil || mode.Active || mode.Epoch != p.Epoch {
		return false, nil
	}
	applied, _, err := read[recovery.Applied](ctx, c, recovery.ApplyKey)
	return err == nil && applied != nil && applied.Digest == p.Digest(), err
}

// claim makes a plan the one that is applied.
func (c *Client) claim(ctx context.Context, p *recovery.Plan) error {
	for {
		old, version, err := read[recovery.Applied](ctx, c, recovery.ApplyKey)
		if err != nil {
			return err
		}
		t, needed, err := p.ClaimTxn(old, version)
		if err != nil || !needed {
			return err
		}
		_, err = again(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, use, t) })
		if !errors.As(err, new(*statestore.ConflictError)) {
			return err
		}
	}
}

// applyBatch carries a transaction out, unless that was done before.
func (c *Client) applyBatch(ctx context.Context, t wire.Txn) error {
	_, err := again(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, use, t) })
	if !errors.As(err, new(*statestore.ConflictError)) {
		return err
	}
	now := map[string]wire.Entry{}
	for _, op := range t.Then {
		key := op.Put + op.Delete
		e, err := again(ctx, c, func() (wire.Entry, error) { return c.Store.Get(ctx, use, key) })
		switch {
		case err == nil:
			now[key] = e
		case !errors.Is(err, statestore.ErrNotFound):
			return err
		}
	}
	if !recovery.AlreadyApplied(t, now) {
		return recovery.ErrStoreChanged
	}
	return nil
}

// raise makes the store's revision rise above all tokens that were given: the next ones are
// its revisions.
func (c *Client) raise(ctx context.Context, floor uint64) error {
	for {
		revision, err := again(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, use, recovery.RaiseRevisionTxn(floor)) })
		if err != nil || revision > floor {
			return err
		}
	}
}

// leave ends the safe mode.
func (c *Client) leave(ctx context.Context, p *recovery.Plan) error {
	mode, version, err := c.Mode(ctx)
	if err != nil {
		return err
	}
	if mode == nil || mode.Epoch != p.Epoch {
		return recovery.ErrStoreChanged // the record was lost, or another loss was noticed
	}
	if !mode.Active {
		return nil
	}
	if mode.Floor > p.Floor {
		if err := c.raise(ctx, mode.Floor); err != nil {
			return err
		}
	}
	t := recovery.EndSafeModeTxn(*mode, version, c.Now().UnixMilli())
	_, err = again(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, use, t) })
	if errors.As(err, new(*statestore.ConflictError)) {
		return recovery.ErrStoreChanged // the floor was raised: apply it once more
	}
	return err
}
