package controller

import (
	"time"

	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// setViewsAsOf makes all views as recent as a time.
func setViewsAsOf(c *Controller, at time.Time) {
	c.cluster.SetAsOf(at)
	c.machines.SetAsOf(at)
	c.activeJobs.SetAsOf(at)
}

// setMember puts a controller's member record into the view.
func setMember(c *Controller, label string, m record.Member) {
	applyToCluster(c, wire.Change{Put: record.MemberPrefix + label, Value: record.Encode(m)})
}

func applyToCluster(c *Controller, change wire.Change) {
	if _, err := c.cluster.Apply(change); err != nil {
		panic(err)
	}
}

// setActiveJob puts an active job's record into the view alone.
func setActiveJob(c *Controller, ref string, r record.ActiveJob, version uint64) {
	change := wire.Change{Put: record.ActiveJobKey(ref), Value: record.Encode(r), Version: version}
	if _, applied, err := c.activeJobs.Apply(change); err != nil || !applied {
		panic(err)
	}
}

// activeJob returns an active job as the view has it.
func activeJob(c *Controller, ref string) clusterview.ActiveJob {
	j, _ := c.activeJobs.Job(ref)
	return j
}

// shardRecord returns a shard's record as the view has it.
func shardRecord(c *Controller, id int) record.Versioned[record.Shard] {
	r, _ := c.cluster.Shard(id)
	return r
}
