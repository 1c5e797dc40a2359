package controller

import (
	"context"
	"errors"
	"time"

	"bramblespur/internal/controller/userapi"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// A job may name dependencies, jobs that have to be done before it starts. Its record says
// that it awaits them, and goes on saying so: its owner lets it start once it knows the
// terminal record of each, which never changes. That is told by whoever wrote it, and read
// by who was not told once the dependency is not active any more.

// dependencyEnded applies a job's terminal record and passes it to the shards held here.
// The shards' lock is held.
func (c *Controller) dependencyEnded(ref string, finished record.FinishedJob, now time.Time) {
	c.terminalStates.Put(ref, finished)
	if !c.activeJobs.HasDependents(ref) {
		return
	}
	for _, shard := range c.shards.AllLocked() {
		shard.DependencyEnded(ref, finished, now)
		c.shards.StepLocked(shard, now)
	}
}

// notifyDependents brings a job's terminal record to the owners of jobs that depend on it,
// without waiting for their views. The shards' lock is held.
func (c *Controller) notifyDependents(ref string, op wire.Op) {
	owners := map[peer.Caller]bool{}
	for _, dependent := range c.activeJobs.Dependents(ref) {
		job, _ := c.activeJobs.Job(dependent)
		if owner := c.peers[c.cluster.Owner(job.Shard)]; c.shards.GetLocked(job.Shard) == nil && owner != nil {
			owners[owner] = true
		}
	}
	for owner := range owners {
		go func() {
			args := peer.NotifyArgs{Key: op.Put, Value: op.Value}
			if err := owner.Call("Nudge", args, new(struct{}), peerNoticeTimeout); err != nil {
				c.log.Debug("owner not notified", "key", args.Key, "err", err) // its view tells it as well
			}
		}()
	}
}

// lookUpDependencies reads the terminal records of dependencies that are not active any
// more: for the shards held here at once, and for others later, in case their owners can't
// end what depends on a cancelled job. The shards' lock is held.
func (c *Controller) lookUpDependencies(ctx context.Context, now time.Time) {
	if !c.activeJobs.Loaded() {
		return // before there is a view nothing can be missing from it
	}
	awaitedHere := c.passKnownDependencies(now)
	for _, ref := range c.activeJobs.EndedDependencies() {
		if !c.dependencyReads.Due(ref, awaitedHere[ref], now) {
			continue
		}
		if finished, known := c.terminalStates.Get(ref); known && finished.State == wire.Done {
			continue
		}
		go c.lookUpDependency(ctx, ref, c.dependentsElsewhere(ref))
	}
	c.dependencyReads.Prune(c.activeJobs.HasDependents)
}

// passKnownDependencies passes the terminal records that are known to the shards that await
// them, and returns the dependencies that are awaited still. The shards' lock is held.
func (c *Controller) passKnownDependencies(now time.Time) map[string]bool {
	awaited := map[string]bool{}
	for _, shard := range c.shards.AllLocked() {
		for _, ref := range shard.Dependencies() {
			finished, known := c.terminalStates.Get(ref)
			if !known {
				awaited[ref] = true
				continue
			}
			shard.DependencyEnded(ref, finished, now)
			c.shards.StepLocked(shard, now)
		}
	}
	return awaited
}

// dependentsElsewhere returns the dependents of a job that belong to shards which are not
// held here. The shards' lock is held.
func (c *Controller) dependentsElsewhere(ref string) []string {
	var elsewhere []string
	for _, dependent := range c.activeJobs.Dependents(ref) {
		if job, _ := c.activeJobs.Job(dependent); c.shards.GetLocked(job.Shard) == nil {
			elsewhere = append(elsewhere, dependent)
		}
	}
	return elsewhere
}

// applyInheritedUrgency sets the urgency of jobs in the shards that are held here. The
// shards' lock is held.
func (c *Controller) applyInheritedUrgency(refs []string) {
	for _, ref := range refs {
		job, _ := c.activeJobs.Job(ref)
		if shard := c.shards.GetLocked(job.Shard); shard != nil {
			shard.SetInheritedUrgency(ref, c.activeJobs.Urgency(ref))
		}
	}
}

// lookUpDependency reads a dependency's terminal record and, where it was cancelled, ends
// dependents of shards that are held elsewhere.
func (c *Controller) lookUpDependency(ctx context.Context, ref string, elsewhere []string) {
	ctx, cancel := context.WithTimeout(ctx, userapi.RequestTimeout)
	defer cancel()
	finished, known := c.terminalStates.Get(ref)
	if !known {
		var err error
		if finished, err = c.readDependency(ctx, ref); err != nil {
			return
		}
	}
	if finished.State != wire.Cancelled {
		return
	}
	for _, dependent := range elsewhere {
		c.cancelDependent(ctx, dependent)
	}
}

// readDependency reads a dependency's terminal record and applies it. Without one it is
// read again later.
func (c *Controller) readDependency(ctx context.Context, ref string) (record.FinishedJob, error) {
	finished, err := c.terminalStates.Read(ctx, c.store, statestore.Urgent("dependencies"), ref)
	if err != nil && !errors.Is(err, statestore.ErrNotFound) {
		c.log.Debug("dependency not read", "job", ref, "err", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.dependencyReads.Retry(ref, time.Now())
		return finished, err
	}
	c.dependencyEnded(ref, finished, time.Now())
	return finished, nil
}

// cancelDependent records the end of a job that depends on a cancelled one. It has never
// run, so that its owner need not be asked: its record only has to be as it was.
func (c *Controller) cancelDependent(ctx context.Context, ref string) {
	c.mu.Lock()
	job, active := c.activeJobs.Job(ref)
	c.mu.Unlock()
	if !active {
		return
	}
	key := record.ActiveJobKey(ref)
	t := wire.Txn{
		If: []wire.Condition{{Key: key, Version: job.Version}},
		Then: []wire.Op{
			{Put: record.FinishedJobKey(ref), Value: record.Encode(record.FinishedJob{State: wire.Cancelled, FinishedAt: time.Now().UnixMilli()})},
			{Delete: key},
		},
	}
	rev, err := c.store.Txn(ctx, statestore.Urgent("cascade"), t)
	if err != nil {
		c.log.Debug("dependent not cancelled", "job", ref, "err", err) // tried again, or done by its owner
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyOwnWrites(t, rev, time.Now())
}
