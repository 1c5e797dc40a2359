package controller

import (
	"context"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

const (
	// maxWatchWait and minWatchWait bound how long the state service may hold a request of
	// a watch.
	maxWatchWait = 4 * time.Second
	minWatchWait = 500 * time.Millisecond
	// watchSlack is what a response to a watch may be late besides its wait.
	watchSlack = 2 * time.Second
	// staleAfterWaits is for how many waits without a response a view is not stale yet.
	staleAfterWaits = 2
	// firstViewWait is how long a controller waits for its first view: workers that find
	// it restarted while the state service is out of reach keep their leases.
	firstViewWait = renewalRetryTimeout - renewalRetryInterval
)

// watchHandler brings what a watch learns of one prefix to the controller. It implements
// clusterview.Handler.
type watchHandler struct {
	c      *Controller
	prefix string
	reset  func(entries []wire.Entry, revision uint64, at time.Time)
	apply  func(change wire.Change, at time.Time)
}

// Reset implements clusterview.Handler.
func (h *watchHandler) Reset(entries []wire.Entry, revision uint64, at time.Time) {
	h.reset(entries, revision, at)
}

// Apply implements clusterview.Handler.
func (h *watchHandler) Apply(change wire.Change, at time.Time) { h.apply(change, at) }

// Current implements clusterview.Handler.
func (h *watchHandler) Current(at time.Time) { h.c.setViewAsOf(h.prefix, at) }

// Reached implements clusterview.Handler.
func (h *watchHandler) Reached(revision uint64, generation int) {
	h.c.setViewRevision(h.prefix, revision, generation)
}

// Generation implements clusterview.Handler.
func (h *watchHandler) Generation() int { return h.c.dataLoss.ViewGeneration() }

// watch returns the watch of the records that a handler is for.
func (c *Controller) watch(h *watchHandler) *clusterview.Watch {
	h.c = c
	return &clusterview.Watch{Store: c.store, Prefix: h.prefix, Wait: c.watchWait(), Handler: h}
}

// startWatches begins to keep all views up to date.
func (c *Controller) startWatches(ctx context.Context) {
	for _, h := range []*watchHandler{
		{prefix: record.ClusterPrefix, reset: c.resetCluster, apply: c.applyClusterChange},
		{prefix: record.FleetPrefix, reset: c.resetMachines, apply: c.applyMachineChange},
		{prefix: record.ActiveJobPrefix, reset: c.resetActiveJobs, apply: c.applyActiveJobChange},
	} {
		go c.watch(h).Run(ctx)
	}
}

// view returns the view of the records with a prefix.
func (c *Controller) view(prefix string) clusterview.View { return c.views().Of(prefix) }

func (c *Controller) views() *clusterview.Views {
	return &clusterview.Views{Cluster: c.cluster, Machines: c.machines, ActiveJobs: c.activeJobs}
}

// setViewAsOf records that a view was true at a time or later.
func (c *Controller) setViewAsOf(prefix string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view(prefix).SetAsOf(at)
}

// setViewRevision records the revision that a view has reached, unless it is to be listed anew.
func (c *Controller) setViewRevision(prefix string, revision uint64, generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dataLoss.ViewGenerationLocked() == generation {
		c.view(prefix).SetRevision(revision)
	}
}

// watchWait is how long the state service may hold a request of a watch: short where
// cancellations must be known soon.
func (c *Controller) watchWait() time.Duration {
	spare := config.Seconds(c.cfg.Params.Workers.CancelS - c.cfg.Params.Workers.LeaseS)
	return max(min(spare/4, maxWatchWait), minWatchWait)
}

// activeJobsStale reports whether what others wrote, such as cancellations, may have been
// unknown here for some requests of the watch.
func (c *Controller) activeJobsStale(now time.Time) bool {
	if !c.activeJobs.Loaded() {
		return now.Sub(c.startedAt) > firstViewWait
	}
	return now.Sub(c.activeJobs.AsOf()) > staleAfterWaits*c.watchWait()+watchSlack
}
