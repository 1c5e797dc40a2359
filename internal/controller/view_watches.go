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
	// maxWatchWait and minWatchWait bound how long the state service may hold a watch request
	// until there are changes.
	maxWatchWait = 4 * time.Second
	minWatchWait = 500 * time.Millisecond
	// watchSlack is the delay that is allowed for a response to a watch request in addition to
	// its wait.
	watchSlack = 2 * time.Second
	// staleAfterWaits is the number of watch waits, each without a response, after which a view is
	// stale once watchSlack has passed as well.
	staleAfterWaits = 2
	// firstViewWait is how long after its start a controller without a first view of the active
	// jobs considers that view stale. It is shorter than renewalRetryTimeout, so that workers keep their
	// leases if the controller has restarted while the state service is out of reach.
	firstViewWait = renewalRetryTimeout - renewalRetryInterval
)

// recordList is a list of all records with a prefix.
type recordList struct {
	entries    []wire.Entry
	revision   uint64 // of the state service, when it made the list
	generation int    // of the views, when the list was received
}

// watchHandler applies the records and changes that a watch of one prefix delivers to the
// controller. It implements clusterview.Handler.
type watchHandler struct {
	c      *Controller
	prefix string
	reset  func(list recordList, at time.Time)
	apply  func(change wire.Change, at time.Time)
}

// Reset implements clusterview.Handler.
func (h *watchHandler) Reset(entries []wire.Entry, revision uint64, generation int, at time.Time) {
	h.reset(recordList{entries, revision, generation}, at)
}

// Apply implements clusterview.Handler.
func (h *watchHandler) Apply(change wire.Change, at time.Time) { h.apply(change, at) }

// SetAsOf implements clusterview.Handler.
func (h *watchHandler) SetAsOf(at time.Time) { h.c.setViewAsOf(h.prefix, at) }

// SetRevision implements clusterview.Handler.
func (h *watchHandler) SetRevision(revision uint64, generation int) {
	h.c.setViewRevision(h.prefix, revision, generation)
}

// Generation implements clusterview.Handler.
func (h *watchHandler) Generation() int { return h.c.dataLoss.ViewGeneration() }

// watch returns a watch of the handler's prefix that delivers to the handler.
func (c *Controller) watch(h *watchHandler) *clusterview.Watch {
	h.c = c
	return &clusterview.Watch{Store: c.store, Prefix: h.prefix, Wait: c.watchWait(), Handler: h}
}

// startWatches starts the watches that keep the views up to date until the context ends.
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

// setViewAsOf records that the view of a prefix was current at a time or later. It takes the shards'
// lock.
func (c *Controller) setViewAsOf(prefix string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view(prefix).SetAsOf(at)
}

// setViewRevision records the revision that the view of a prefix has reached, unless the views'
// generation has changed, which means that they are to be listed again. It takes the shards' lock.
func (c *Controller) setViewRevision(prefix string, revision uint64, generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setViewRevisionLocked(prefix, revision, generation)
}

// setViewRevisionLocked is setViewRevision for a caller that holds the shards' lock.
func (c *Controller) setViewRevisionLocked(prefix string, revision uint64, generation int) {
	if c.dataLoss.ViewGenerationLocked() == generation {
		c.view(prefix).SetRevision(revision)
	}
}

// watchWait returns how long the state service may hold a watch request: a quarter of the time by
// which the time allowed for a cancellation exceeds a worker's lease, within minWatchWait and
// maxWatchWait. It is short where cancellations must be known soon.
func (c *Controller) watchWait() time.Duration {
	spare := config.Seconds(c.cfg.Params.Workers.CancelS - c.cfg.Params.Workers.LeaseS)
	return max(min(spare/4, maxWatchWait), minWatchWait)
}

// activeJobsStaleLocked reports whether the view of active jobs may lack other controllers' writes,
// such as cancellations, because the watch has delivered nothing for several waits.
func (c *Controller) activeJobsStaleLocked(now time.Time) bool {
	if !c.activeJobs.Loaded() {
		return now.Sub(c.startedAt) > firstViewWait
	}
	return now.Sub(c.activeJobs.AsOf()) > staleAfterWaits*c.watchWait()+watchSlack
}
