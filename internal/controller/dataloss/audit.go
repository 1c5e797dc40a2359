package dataloss

import (
	"context"
	"errors"
	"maps"
	"slices"
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
	// finishedRecordsSampled is how many final records an audit reads again: there may be
	// very many.
	finishedRecordsSampled = 4
	// missingJobsChecked is how many jobs' final records are looked for when their active
	// ones are gone.
	missingJobsChecked = 16
)

// auditedPrefixes are the prefixes whose records all controllers hold.
var auditedPrefixes = []string{record.ClusterPrefix, record.FleetPrefix, record.ActiveJobPrefix}

// Audit compares what is held with the records themselves: what the state service loses silently,
// no watch tells.
type Audit struct{ *Detector }

// Run audits until the context ends. The views are the same on all controllers, so that the leader
// alone compares them; of final states each controller knows others.
func (a Audit) Run(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(a.auditInterval)) {
		a.host.Lock()
		active, leads := a.state.Active(), a.host.IsLeaderLocked(time.Now())
		a.host.Unlock()
		if active {
			continue
		}
		if leads {
			a.compareViews(ctx)
		}
		if err := a.checkFinishedJobs(ctx); err != nil {
			a.log.Debug("audit of final records", "err", err)
		}
	}
}

func (a Audit) compareViews(ctx context.Context) {
	for _, prefix := range auditedPrefixes {
		if err := a.compareView(ctx, prefix); err != nil {
			a.log.Debug("audit", "prefix", prefix, "err", err)
		}
	}
}

// compareView compares a view with all records of a prefix.
func (a Audit) compareView(ctx context.Context, prefix string) error {
	entries, revision, err := a.host.Store().List(ctx, auditPurpose, prefix)
	if err != nil || !a.awaitView(ctx, prefix, revision) {
		return err
	}
	return a.ConfirmMissing(ctx, prefix, a.reportStale(prefix, EntryVersions(entries), revision))
}

// reportStale reports records in a list that are older than those held, and returns the held
// versions of those that are not in it.
func (a Audit) reportStale(prefix string, listed map[string]uint64, revision uint64) map[string]uint64 {
	now := time.Now()
	missing := map[string]uint64{}
	a.host.Lock()
	defer a.host.Unlock()
	for key, held := range a.views.Of(prefix).Versions() {
		switch found := listed[key]; {
		case held > revision:
		case found == 0:
			missing[key] = held
		default:
			a.ReportIfStaleLocked(key, held, found, now)
		}
	}
	return missing
}

// EntryVersions returns the versions of listed records by their keys.
func EntryVersions(entries []wire.Entry) map[string]uint64 {
	out := make(map[string]uint64, len(entries))
	for _, e := range entries {
		out[e.Key] = e.Version
	}
	return out
}

// awaitView waits until a view has come to a revision, and reports false if it does not.
func (a Audit) awaitView(ctx context.Context, prefix string, revision uint64) bool {
	for end := time.Now().Add(auditWatchTurns * a.host.WatchInterval()); time.Now().Before(end); {
		a.host.Lock()
		reached := a.views.Of(prefix).Revision() >= revision
		a.host.Unlock()
		if reached {
			return true
		}
		if !retry.Sleep(ctx, viewPollInterval) {
			return false
		}
	}
	return false
}

// ConfirmMissing tells records that were deleted from those that were lost: a deletion is among
// the changes, as far as the state service still keeps them. It takes out of missing, which holds
// versions by key, what was deleted.
func (a Audit) ConfirmMissing(ctx context.Context, prefix string, missing map[string]uint64) error {
	if len(missing) == 0 {
		return nil
	}
	oldest := slices.Min(slices.Collect(maps.Values(missing)))
	changes, err := a.host.Store().Watch(ctx, prefix, oldest, 0)
	if errors.Is(err, statestore.ErrTooOld) {
		return a.confirmMissingIndirectly(ctx, prefix, missing)
	}
	if err != nil {
		return err
	}
	for _, change := range changes.Events {
		delete(missing, change.Delete)
	}
	a.host.Lock()
	defer a.host.Unlock()
	for key, held := range missing {
		a.ReportIfStaleLocked(key, held, 0, time.Now())
	}
	return nil
}

// confirmMissingIndirectly looks for other proof of what became of records whose deletion the
// state service no longer tells: a job that has ended has a final record, the machines of a
// provision that has ended are silent, and shards are never deleted.
func (a Audit) confirmMissingIndirectly(ctx context.Context, prefix string, missing map[string]uint64) error {
	jobsChecked := 0
	for key, held := range missing {
		lost := prefix == record.ClusterPrefix
		switch {
		case strings.HasPrefix(key, record.ProvisionPrefix):
			lost = a.anyMachineAlive(key)
		case prefix == record.ActiveJobPrefix && jobsChecked < missingJobsChecked:
			jobsChecked++
			finished, err := a.hasFinishedRecord(ctx, record.LastElement(key))
			if err != nil {
				return err
			}
			lost = !finished
		}
		if lost {
			a.host.Lock()
			a.ReportIfStaleLocked(key, held, 0, time.Now())
			a.host.Unlock()
		}
	}
	return nil
}

// anyMachineAlive reports whether a machine of a provision was heard by its owner within its lease.
func (a Audit) anyMachineAlive(provisionKey string) bool {
	a.host.Lock()
	defer a.host.Unlock()
	for _, id := range a.views.Machines.MachineIDs(provisionKey) {
		v, _ := a.views.Machines.Machine(id)
		shard := a.host.OwnedShardsLocked()[v.Shard]
		if shard != nil && shard.HadContactWithin(id, shard.Lease(), time.Now()) {
			return true
		}
	}
	return false
}

// checkFinishedJobs reads some final records again that were read, or written, before.
func (a Audit) checkFinishedJobs(ctx context.Context) error {
	for _, ref := range a.views.Terminal.Sample(finishedRecordsSampled) {
		finished, err := a.hasFinishedRecord(ctx, ref)
		if err != nil {
			return err
		}
		if !finished {
			a.host.Lock()
			a.ReportLocked(recovery.Finding{Kind: recovery.RecordMissing, Key: record.FinishedJobKey(ref)}, time.Now())
			a.host.Unlock()
		}
	}
	return nil
}
