package controller

import (
	"context"
	"errors"
	"time"

	"bramblespur/internal/controller/userapi"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// A job may name others, its roots, that have to be done before it starts. It is
// recorded as held and stays so: its owner lets it start once it knows the final
// record of each, which never changes. That is told by whoever wrote it, and read
// by who was not told once the root's open record is gone.

const (
	// readDependencyAgain is the pause after a root had neither an open record in the
	// view nor a final one: the view is behind.
	readDependencyAgain = time.Second
	// cancelDependentsAfter is how long the owner has to end what needs a cancelled job,
	// before any controller does.
	cancelDependentsAfter = 4 * time.Second
)

// dependencyEnded takes in a job's final record and tells the parts. The lock is held.
func (c *Controller) dependencyEnded(ref string, j record.FinishedJob, now time.Time) {
	c.terminalStates.Put(ref, j)
	if !c.activeJobs.HasDependents(ref) {
		return
	}
	for _, shard := range c.shards {
		shard.DependencyEnded(ref, j, now)
		c.step(shard, now)
	}
}

// notifyDependents brings a job's final record to the owners of jobs that need it, without
// waiting for their views. The lock is held.
func (c *Controller) notifyDependents(ref string, op wire.Op) {
	owners := map[peer.Caller]bool{}
	for _, dependent := range c.activeJobs.Dependents(ref) {
		j, _ := c.activeJobs.Job(dependent)
		part := j.Shard
		if owner := c.peers[c.cluster.Owner(part)]; c.shards[part] == nil && owner != nil {
			owners[owner] = true
		}
	}
	for owner := range owners {
		go func() {
			a := peer.NotifyArgs{Key: op.Put, Value: op.Value}
			if err := owner.Call("Nudge", a, new(struct{}), peerNoticeTimeout); err != nil {
				c.log.Debug("nudge", "key", a.Key, "err", err) // its view tells it as well
			}
		}()
	}
}

// lookUpDependencies reads the final records of roots that are not open any more: for the
// parts held here at once, and for others later, in case their owners can't end
// what needs a cancelled job. The lock is held.
func (c *Controller) lookUpDependencies(ctx context.Context, now time.Time) {
	if !c.activeJobs.Loaded() {
		return // before there is a view nothing can be missing from it
	}
	mine := map[string]bool{}
	for _, shard := range c.shards {
		for _, r := range shard.Dependencies() {
			if j, ok := c.terminalStates.Get(r); ok {
				shard.DependencyEnded(r, j, now)
				c.step(shard, now)
				continue
			}
			mine[r] = true
		}
	}
	for _, r := range c.activeJobs.EndedDependencies() {
		at, noted := c.dependencyReads[r]
		if !noted {
			at = now
			if !mine[r] {
				at = now.Add(retry.Jitter(cancelDependentsAfter))
			}
			c.dependencyReads[r] = at
		}
		if mine[r] && at.Sub(now) > readDependencyAgain {
			at = now // it came to be ours meanwhile
		}
		if now.Before(at) {
			continue
		}
		c.dependencyReads[r] = now.Add(retry.Jitter(cancelDependentsAfter))
		j, known := c.terminalStates.Get(r)
		if known && j.State == wire.Done {
			continue
		}
		var others []string
		for _, dependent := range c.activeJobs.Dependents(r) {
			if j, _ := c.activeJobs.Job(dependent); c.shards[j.Shard] == nil {
				others = append(others, dependent)
			}
		}
		go c.lookUpDependency(ctx, r, others)
	}
	for r := range c.dependencyReads {
		if !c.activeJobs.HasDependents(r) {
			delete(c.dependencyReads, r)
		}
	}
}

// passDemandOn tells the parts what jobs are to be given. The lock is held.
func (c *Controller) passDemandOn(refs []string) {
	for _, ref := range refs {
		j, _ := c.activeJobs.Job(ref)
		if shard := c.shards[j.Shard]; shard != nil {
			shard.SetInheritedClaim(ref, c.activeJobs.Claim(ref))
		}
	}
}

// lookUpDependency reads a root's final record and, where it was cancelled, ends jobs of
// others that need it.
func (c *Controller) lookUpDependency(ctx context.Context, root string, others []string) {
	ctx, cancel := context.WithTimeout(ctx, userapi.RequestTimeout)
	defer cancel()
	j, ok := c.terminalStates.Get(root)
	if !ok {
		var err error
		if j, err = c.terminalStates.Read(ctx, c.store, statestore.Urgent("dependencies"), root); err != nil {
			c.mu.Lock()
			c.dependencyReads[root] = time.Now().Add(readDependencyAgain)
			c.mu.Unlock()
			if !errors.Is(err, statestore.ErrNotFound) {
				c.log.Debug("root", "ref", root, "err", err)
			}
			return
		}
		c.mu.Lock()
		c.dependencyEnded(root, j, time.Now())
		c.mu.Unlock()
	}
	if j.State != wire.Cancelled {
		return
	}
	for _, d := range others {
		c.cancelDependent(ctx, d)
	}
}

// cancelDependent records the end of a job that needs a cancelled one. It has never run,
// so that needs no word of its owner: only that its record is as it was.
func (c *Controller) cancelDependent(ctx context.Context, ref string) {
	c.mu.Lock()
	j, open := c.activeJobs.Job(ref)
	c.mu.Unlock()
	if !open {
		return
	}
	key := record.ActiveJobKey(ref)
	t := wire.Txn{
		If: []wire.Condition{{Key: key, Version: j.Version}},
		Then: []wire.Op{
			{Put: record.FinishedJobKey(ref), Value: record.Encode(record.FinishedJob{State: wire.Cancelled, FinishedAt: time.Now().UnixMilli()})},
			{Delete: key},
		},
	}
	rev, err := c.store.Txn(ctx, statestore.Urgent("cascade"), t)
	if err != nil {
		c.log.Debug("cascade", "ref", ref, "err", err) // tried again, or done by its owner
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyOwnWrites(t, rev, time.Now())
}
