package controller

import (
	"time"

	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// resetActiveJobs applies a list of the records of all active jobs. A job that is not listed has
// ended, unless this controller has written its record since. It takes the shards' lock.
func (c *Controller) resetActiveJobs(list recordList, at time.Time) {
	listed := map[string]bool{}
	for _, e := range clusterview.DependentsFirst(list.entries) {
		listed[record.LastElement(e.Key)] = true
		c.applyActiveJobChange(e.Change(), at)
	}
	missing := map[string]uint64{}
	c.mu.Lock()
	for ref, version := range c.activeJobs.Missing(listed, list.revision) {
		missing[record.ActiveJobKey(ref)] = version
		c.removeActiveJobLocked(ref)
	}
	c.setViewRevisionLocked(record.ActiveJobPrefix, list.revision, list.generation)
	c.mu.Unlock()
	if c.dataLoss.Enabled() {
		go c.audit.ConfirmMissing(c.lifetime, record.ActiveJobPrefix, missing)
	}
	c.setViewAsOf(record.ActiveJobPrefix, at)
}

// applyActiveJobChange applies a change of an active job's record. It takes the shards' lock.
func (c *Controller) applyActiveJobChange(e wire.Change, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyActiveJobChangeLocked(e, time.Now())
}

// applyActiveJobChangeLocked applies a change of an active job's record, from the watch, and
// notifies the shards. The shards' lock is held.
func (c *Controller) applyActiveJobChangeLocked(e wire.Change, now time.Time) {
	c.applyActiveJobLocked(c.activeJobs.Apply, e, now)
}

// applyActiveJobAheadLocked is applyActiveJobChangeLocked for a change that was learned ahead of the
// watch, and may come late.
func (c *Controller) applyActiveJobAheadLocked(e wire.Change, now time.Time) {
	c.applyActiveJobLocked(c.activeJobs.ApplyAhead, e, now)
}

// applyActiveJobLocked applies a change to the view by one of its methods, and passes it to the shards
// unless the view has ignored it. The shards' lock is held.
func (c *Controller) applyActiveJobLocked(apply func(wire.Change) (clusterview.JobChange, bool, error), e wire.Change, now time.Time) {
	change, applied, err := apply(e)
	switch {
	case err != nil:
		c.log.Error("record not applied", "key", e.Put+e.Delete, "err", err)
	case !applied:
	case change.Ended:
		c.notifyJobEndedLocked(&change, now)
	default:
		c.notifyJobChangedLocked(&change, now)
	}
}

// notifyJobEndedLocked passes to the shards that a job is no longer active. The job's owner records
// its end itself, unless the job still awaited its dependencies: then another controller may have
// recorded it. The shards' lock is held.
func (c *Controller) notifyJobEndedLocked(change *clusterview.JobChange, now time.Time) {
	ref := change.Ref
	c.applyInheritedUrgencyLocked(change.UrgencyChanged)
	for _, shard := range c.shards.AllLocked() {
		if shard.HasJob(ref) {
			shard.JobRecordGone(ref, now)
			c.shards.StepLocked(shard, now)
		}
	}
	if c.activeJobs.HasDependents(ref) {
		c.lookUpDependenciesLocked(c.lifetime, now)
	}
}

// notifyJobChangedLocked passes a new or changed active job to its shard, if that is hosted here. The
// shards' lock is held.
func (c *Controller) notifyJobChangedLocked(change *clusterview.JobChange, now time.Time) {
	job := &change.Record
	shard := c.shards.GetLocked(job.Shard)
	if shard != nil {
		shard.SetJob(change.Ref, *job, change.Version, now)
	}
	c.applyInheritedUrgencyLocked(change.UrgencyChanged)
	if shard == nil {
		return
	}
	if len(job.Spec.DependsOn) > 0 {
		c.lookUpDependenciesLocked(c.lifetime, now)
	}
	c.shards.StepLocked(shard, now)
}

// removeActiveJobLocked removes a job that is no longer active from the view. The shards' lock is
// held.
func (c *Controller) removeActiveJobLocked(ref string) {
	c.applyInheritedUrgencyLocked(c.activeJobs.Remove(ref))
}
