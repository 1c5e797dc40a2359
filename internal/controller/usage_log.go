package controller

import (
	"context"
	"runtime"
	"time"

	"bramblespur/internal/controller/overload"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
)

// logUsageLoop logs what was used of the state service, by purpose, and of the memory.
func (c *Controller) logUsageLoop(ctx context.Context) {
	short := false
	for retry.Sleep(ctx, countsEvery) {
		args := []any{}
		for purpose, n := range c.store.TakeUsage() {
			args = append(args, purpose, n)
		}
		c.log.Info("state service used", args...)
		m := overload.ReadMemory()
		c.log.Info("memory used", "held", m.Held, "live", m.Live, "goroutines", runtime.NumGoroutine())
		r, was := c.cfg.Params.Resources, short
		if short = m.Short(r); short && !was {
			c.log.Info("memory is short: params.resources.memory_mb is too small", "memory_mb", r.MemoryMB, "held", m.Held)
		}
		c.logWaitingJobs(time.Now())
	}
}

const (
	// loggedWait is how long a job waits for a place before the log tells why.
	loggedWait = time.Minute
	// maxLoggedWaits bounds the jobs of one shard of which the log tells at a time: each takes a
	// look at all of the shard's machines.
	maxLoggedWaits = 2
)

// logWaitingJobs logs, for each shard served here, why the jobs that have waited longest have
// tasks without a place.
func (c *Controller) logWaitingJobs(now time.Time) {
	for id, waits := range c.longestWaits(now) {
		for _, w := range waits {
			c.log.Info("job waits", "job", w.Job, "shard", id, "team", w.Team, "waited", w.Waited.Round(time.Second), "pending", w.Pending,
				"reason", w.Reason, "team_cpus", w.TeamCPUs, "team_gpus", w.TeamGPUs, "machines", w.Machines)
		}
	}
}

func (c *Controller) longestWaits(now time.Time) map[int][]scheduler.WaitingJob {
	out := map[int][]scheduler.WaitingJob{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, shard := range c.shards.AllLocked() {
		out[id] = shard.LongestWaits(loggedWait, maxLoggedWaits, now)
	}
	return out
}
