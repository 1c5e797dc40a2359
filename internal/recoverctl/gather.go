package recoverctl

import (
	"context"
	"fmt"

	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/snapshot"
	"bramblespur/internal/wire"
)

// Gathered is the evidence with what could not be had of it.
type Gathered struct {
	recovery.Evidence
	Unreachable []string // controllers that did not answer
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
	g := &Gathered{Evidence: recovery.Evidence{Mode: *mode, Heartbeats: recovery.Heartbeats{}}}
	if err := c.gatherStore(ctx, g); err != nil {
		return nil, err
	}
	if s != nil {
		g.Snapshot, g.SnapshotRevision = s.Records, s.Manifest.Revision
	}
	for label, p := range c.Peers {
		if err := gatherPeer(p, g); err != nil {
			g.Unreachable = append(g.Unreachable, label)
		}
	}
	list, err := withRetry(ctx, c, func() ([]wire.ListedMachine, error) { return c.Cloud.List(ctx) })
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
		l, err := withRetry(ctx, c, func() (listed, error) {
			entries, revision, err := c.Store.List(ctx, purpose, prefix)
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
	decisions, _, err := readRecord[recovery.Decisions](ctx, c, recovery.DecisionsKey)
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
		if err := p.Call("Evidence", peer.EvidenceArgs{After: after}, &r, evidenceTimeout); err != nil {
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
			g.Heartbeats.Add(&report)
			g.Mode.Floor = max(g.Mode.Floor, report.Token)
		}
		if !r.More {
			return nil
		}
		after = r.Held[len(r.Held)-1].Key
	}
}
