package controller

import (
	"context"
	"runtime"

	"bramblespur/internal/controller/admission"
	"bramblespur/internal/controller/overload"
	"bramblespur/internal/retry"
)

// logUsageLoop logs, every usageLogInterval until the context ends, the use of the state service by
// purpose, the memory use, and the jobs that have waited longest.
func (c *Controller) logUsageLoop(ctx context.Context) {
	memoryShort := false
	for retry.Sleep(ctx, usageLogInterval) {
		args := []any{}
		for purpose, n := range c.store.TakeUsage() {
			args = append(args, purpose, n)
		}
		c.log.Info("state service used", args...)
		m := overload.ReadMemory()
		jobs, jobBytes := c.activeJobs.Usage()
		c.log.Info("memory used", "held", m.Held, "live", m.Live, "goroutines", runtime.NumGoroutine(),
			"jobs", jobs, "job_bytes", jobBytes, "max_job_bytes", admission.MaxJobBytes(c.cfg.Params.Resources))
		r, wasShort := c.cfg.Params.Resources, memoryShort
		if memoryShort = m.Short(r); memoryShort && !wasShort {
			c.log.Info("memory is short: params.resources.memory_mb is too small", "memory_mb", r.MemoryMB, "held", m.Held)
		}
		c.logWaitingJobs()
	}
}
