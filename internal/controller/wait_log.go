package controller

import (
	"time"

	"bramblespur/internal/scheduler"
)

const (
	// minLoggedWait is how long a job must have waited for placement before its wait is logged.
	minLoggedWait = time.Minute
	// maxLoggedWaits bounds the jobs per shard that are logged at a time, because each requires an
	// examination of all of the shard's machines.
	maxLoggedWaits = 2
)

// logWaitingJobs logs, for each shard hosted here, why the jobs that have waited longest have tasks
// that are not placed. It takes the shards' lock.
func (c *Controller) logWaitingJobs() {
	for id, waits := range c.longestWaits(time.Now()) {
		for _, w := range waits {
			c.log.Info("job waits", "job", w.Job, "shard", id, "team", w.Team, "waited", w.Waited.Round(time.Second), "pending", w.Pending,
				"reason", w.Reason, "team_cpus", w.TeamCPUs, "team_gpus", w.TeamGPUs, "machines", w.Machines)
		}
	}
}

// longestWaits returns, by shard, the waiting jobs to log. It takes the shards' lock.
func (c *Controller) longestWaits(now time.Time) map[int][]scheduler.WaitingJob {
	out := map[int][]scheduler.WaitingJob{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, shard := range c.shards.AllLocked() {
		out[id] = shard.LongestWaits(minLoggedWait, maxLoggedWaits, now)
	}
	return out
}
