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

// Gathered is the evidence of one Gather, with the controllers whose evidence is missing.
type Gathered struct {
	recovery.Evidence
	Unreachable []string // labels of the controllers that did not return all their evidence
}

// Gather reads all evidence about a cluster in safe mode: from the store, the controllers and the cloud,
// and from a snapshot unless s is nil. Controllers that fail are listed as unreachable. Gather returns
// [recovery.ErrNoSafeMode] if there is no safe mode, and an error if the store or the cloud fails.
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
	for label, caller := range c.Peers {
		if err := gatherPeer(caller, g); err != nil {
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

// gatherStore reads all records that the state service still has, and the operators' decisions of this
// safe mode.
func (c *Client) gatherStore(ctx context.Context, g *Gathered) error {
	g.Store = map[string]wire.Entry{}
	for _, prefix := range record.Prefixes() {
		type listed struct {
			entries  []wire.Entry
			revision uint64
		}
		list, err := withRetry(ctx, c, func() (listed, error) {
			entries, revision, err := c.Store.List(ctx, purpose, prefix)
			return listed{entries, revision}, err
		})
		if err != nil {
			return fmt.Errorf("read records %s: %w", prefix, err)
		}
		g.Revision = max(g.Revision, list.revision)
		for _, e := range list.entries {
			g.Store[e.Key] = e
		}
	}
	decisions, _, err := readRecord[recovery.Decisions](ctx, c, recovery.DecisionsKey)
	if err == nil && decisions != nil && decisions.Epoch == g.Mode.Epoch {
		g.Decisions = decisions.Chosen
	}
	return err
}

// gatherPeer reads the evidence of a controller, page by page, and adds it. It returns
// [recovery.ErrNoSafeMode] if the controller is not in safe mode.
func gatherPeer(caller peer.Caller, g *Gathered) error {
	after := ""
	for {
		var reply peer.EvidenceReply
		if err := caller.Call("Evidence", peer.EvidenceArgs{After: after}, &reply, evidenceTimeout); err != nil {
			return err
		}
		if !reply.Mode.Active {
			return recovery.ErrNoSafeMode
		}
		g.Mode.Floor = max(g.Mode.Floor, reply.Mode.Floor)
		if after == "" && reply.View.Revision > g.View.Revision {
			g.View = reply.View
		}
		g.AddHeld(reply.Held)
		for _, heartbeat := range reply.Reports {
			g.Heartbeats.Add(&heartbeat)
			g.Mode.Floor = max(g.Mode.Floor, heartbeat.Token)
		}
		if !reply.More {
			return nil
		}
		after = reply.Held[len(reply.Held)-1].Key
	}
}
