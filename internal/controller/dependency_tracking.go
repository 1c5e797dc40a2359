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

// A job may name dependencies: jobs that must be done before it starts. Its record lists them and
// is not updated when they end. The owner lets the job start once it has the terminal record of each
// dependency, which never changes. The controller that writes a terminal record sends it to the
// owners of the dependents. An owner that did not receive it reads it once the dependency is no
// longer active.

// applyTerminalRecordLocked caches a job's terminal record and, if the job has dependents, passes
// it to the shards hosted here. The shards' lock is held.
func (c *Controller) applyTerminalRecordLocked(ref string, finished record.FinishedJob, now time.Time) {
	c.terminalStates.Put(ref, finished)
	if !c.activeJobs.HasDependents(ref) {
		return
	}
	if finished.State == wire.Done {
		c.activeJobs.SetDone(ref)
	}
	for _, shard := range c.shards.AllLocked() {
		shard.DependencyEnded(ref, finished, now)
		c.shards.StepLocked(shard, now)
	}
}

// notifyDependentsLocked sends a job's terminal record, which op wrote, to the other controllers
// that own dependents of the job. It sends it in the background, so that they need not wait for
// their views to show that the job has ended. The shards' lock is held.
func (c *Controller) notifyDependentsLocked(ref string, op wire.Op) {
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
				c.log.Debug("owner of a dependent not notified", "key", args.Key, "err", err) // the owner's view will show that the job has ended
			}
		}()
	}
}

// lookUpDependenciesLocked starts reads of the terminal records of dependencies that are no longer
// active: at once for those that shards hosted here await, and later for others, in case the owners
// of their dependents cannot cancel the dependents of a cancelled job. The shards' lock is held.
func (c *Controller) lookUpDependenciesLocked(ctx context.Context, now time.Time) {
	if !c.activeJobs.Loaded() {
		return // absence from a view that is not loaded proves nothing
	}
	awaitedHere := c.passKnownDependenciesLocked(now)
	for _, ref := range c.activeJobs.EndedDependencies() {
		if !c.dependencyReads.Due(ref, awaitedHere[ref], now) {
			continue
		}
		if finished, known := c.terminalStates.Get(ref); known && finished.State == wire.Done {
			continue
		}
		go c.lookUpDependency(ctx, ref, c.dependentsElsewhereLocked(ref))
	}
	c.dependencyReads.Prune(c.activeJobs.HasDependents)
}

// passKnownDependenciesLocked passes cached terminal records to the hosted shards that await them. It
// returns the dependencies that hosted shards still await. The shards' lock is held.
func (c *Controller) passKnownDependenciesLocked(now time.Time) map[string]bool {
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

// dependentsElsewhereLocked returns the dependents of a job whose shards are not hosted here. The
// shards' lock is held.
func (c *Controller) dependentsElsewhereLocked(ref string) []string {
	var elsewhere []string
	for _, dependent := range c.activeJobs.Dependents(ref) {
		if job, _ := c.activeJobs.Job(dependent); c.shards.GetLocked(job.Shard) == nil {
			elsewhere = append(elsewhere, dependent)
		}
	}
	return elsewhere
}

// applyInheritedUrgencyLocked passes the urgency that jobs inherit from their dependents to those
// of the jobs' shards that are hosted here. The shards' lock is held.
func (c *Controller) applyInheritedUrgencyLocked(refs []string) {
	for _, ref := range refs {
		job, _ := c.activeJobs.Job(ref)
		if shard := c.shards.GetLocked(job.Shard); shard != nil {
			shard.SetInheritedUrgency(ref, c.activeJobs.Urgency(ref))
		}
	}
}

// lookUpDependency reads a dependency's terminal record unless it is cached. If the dependency was
// cancelled, it cancels the given dependents, whose shards are hosted elsewhere. It takes the shards'
// lock.
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
		if err := c.cancelDependent(ctx, dependent); err != nil {
			c.log.Debug("dependent not cancelled", "job", dependent, "err", err) // the next tick tries again, unless the owner has cancelled it by then
		}
	}
}

// readDependency reads a dependency's terminal record and applies it. If that fails or there is no
// record, it schedules another read and returns the error. It takes the shards' lock.
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
	c.applyTerminalRecordLocked(ref, finished, time.Now())
	return finished, nil
}

// cancelDependent records a job as cancelled because a job that it depends on was cancelled. The
// dependent has never run, so its owner need not take part: the write only requires that the job's
// record has not changed. It takes the shards' lock.
func (c *Controller) cancelDependent(ctx context.Context, ref string) error {
	c.mu.Lock()
	job, active := c.activeJobs.Job(ref)
	c.mu.Unlock()
	if !active {
		return nil
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
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyOwnWritesLocked(t, rev, time.Now())
	return nil
}
