package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/retry"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// auditPurpose is the purpose of audits: they leave room for what users wait for.
var auditPurpose = statestore.Routine("audit")

const (
	// auditWatchTurns is for how many turns of the watch an audit waits for the view.
	auditWatchTurns  = 3
	viewPollInterval = 100 * time.Millisecond
	// finishedRecordsSampled is how many final records an audit reads again: there may be very many.
	finishedRecordsSampled = 4
	// missingJobsChecked is how many jobs' final records are looked for when their open ones are gone.
	missingJobsChecked = 16
)

// auditedPrefixes are the prefixes whose records all controllers hold.
var auditedPrefixes = []string{record.ClusterPrefix, record.FleetPrefix, record.ActiveJobPrefix}

// viewGeneration is how often all views were to be read anew.
func (c *Controller) viewGeneration() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.safeMode.viewGeneration
}

// auditLoop compares what is known here with the records themselves: what the state service
// loses silently, no watch tells. The views are the same everywhere, so that the leader alone
// compares them; of final states each controller knows others.
func (c *Controller) auditLoop(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(c.safeMode.auditInterval)) {
		c.mu.Lock()
		safe, leads := c.safeMode.state.Active(), c.election.IsLeader(time.Now())
		c.mu.Unlock()
		if safe {
			continue
		}
		if leads {
			c.auditViews(ctx)
		}
		if err := c.auditFinishedJobs(ctx); err != nil {
			c.log.Debug("audit of final records", "err", err)
		}
	}
}

// auditViews compares all views with the records.
func (c *Controller) auditViews(ctx context.Context) {
	for _, prefix := range auditedPrefixes {
		if err := c.auditPrefix(ctx, prefix); err != nil {
			c.log.Debug("audit", "prefix", prefix, "err", err)
		}
	}
}

// auditPrefix compares a view with all records of a prefix.
func (c *Controller) auditPrefix(ctx context.Context, prefix string) error {
	entries, revision, err := c.store.List(ctx, auditPurpose, prefix)
	if err != nil || !c.awaitView(ctx, prefix, revision) {
		return err
	}
	listed := entryVersions(entries)
	now := time.Now()
	missing := map[string]uint64{}
	c.mu.Lock()
	for key, held := range c.view(prefix).Versions() {
		switch found := listed[key]; {
		case held > revision:
		case found == 0:
			missing[key] = held
		default:
			c.reportIfStale(key, held, found, now)
		}
	}
	c.mu.Unlock()
	return c.confirmMissing(ctx, prefix, missing)
}

// entryVersions returns the versions of listed records by their keys.
func entryVersions(entries []wire.Entry) map[string]uint64 {
	out := make(map[string]uint64, len(entries))
	for _, e := range entries {
		out[e.Key] = e.Version
	}
	return out
}

// awaitView waits until a view has come to a revision, and reports false if it does not.
func (c *Controller) awaitView(ctx context.Context, prefix string, revision uint64) bool {
	for end := time.Now().Add(auditWatchTurns * c.watchWait()); time.Now().Before(end); {
		c.mu.Lock()
		reached := c.view(prefix).Revision() >= revision
		c.mu.Unlock()
		if reached {
			return true
		}
		if !retry.Sleep(ctx, viewPollInterval) {
			return false
		}
	}
	return false
}

// confirmMissing tells records that were deleted from those that were lost: a deletion is
// among the changes, as far as the state service still keeps them.
func (c *Controller) confirmMissing(ctx context.Context, prefix string, missing map[string]uint64) error {
	if len(missing) == 0 {
		return nil
	}
	since := uint64(0)
	for _, held := range missing {
		if since == 0 || held < since {
			since = held
		}
	}
	changes, err := c.store.Watch(ctx, prefix, since, 0)
	if errors.Is(err, statestore.ErrTooOld) {
		return c.confirmMissingIndirectly(ctx, prefix, missing)
	}
	if err != nil {
		return err
	}
	for _, change := range changes.Events {
		delete(missing, change.Delete)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, held := range missing {
		c.reportIfStale(key, held, 0, time.Now())
	}
	return nil
}

// confirmMissingIndirectly looks for other proof of what became of records whose deletion the state
// service no longer tells: a job that is over has a final record, the machines of a rental
// that is over are silent, and parts are never deleted.
func (c *Controller) confirmMissingIndirectly(ctx context.Context, prefix string, missing map[string]uint64) error {
	looked := 0
	for key, held := range missing {
		lost := prefix == record.ClusterPrefix
		switch {
		case strings.HasPrefix(key, record.ProvisionPrefix):
			lost = c.anyMachineAlive(key)
		case prefix == record.ActiveJobPrefix && looked < missingJobsChecked:
			looked++
			over, err := c.hasFinishedRecord(ctx, record.LastElement(key))
			if err != nil {
				return err
			}
			lost = !over
		}
		if lost {
			c.mu.Lock()
			c.reportIfStale(key, held, 0, time.Now())
			c.mu.Unlock()
		}
	}
	return nil
}

// hasFinishedRecord reports whether a job has a final record.
func (c *Controller) hasFinishedRecord(ctx context.Context, ref string) (bool, error) {
	_, err := c.store.Get(ctx, auditPurpose, record.FinishedJobKey(ref))
	if errors.Is(err, statestore.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// anyMachineAlive reports whether a machine of a rental was heard by its owner within its lease.
func (c *Controller) anyMachineAlive(rental string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.machines.IDs(rental) {
		v, _ := c.machines.Machine(id)
		if shard := c.shards[v.Shard]; shard != nil && shard.HeardWithin(id, shard.Lease(), time.Now()) {
			return true
		}
	}
	return false
}

// auditFinishedJobs reads some final records again that were read, or written, before.
func (c *Controller) auditFinishedJobs(ctx context.Context) error {
	for _, ref := range c.terminalStates.Sample(finishedRecordsSampled) {
		over, err := c.hasFinishedRecord(ctx, ref)
		if err != nil {
			return err
		}
		if !over {
			c.mu.Lock()
			c.reportDataLoss(recovery.Finding{Kind: recovery.RecordMissing, Key: record.FinishedJobKey(ref)}, time.Now())
			c.mu.Unlock()
		}
	}
	return nil
}
