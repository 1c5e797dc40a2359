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

// auditPurpose is the purpose of audits. They are routine requests, which leave room for requests that
// users wait for.
var auditPurpose = statestore.Routine("audit")

const (
	// auditWatchIntervals is for how many watch intervals an audit waits for a view.
	auditWatchIntervals = 3
	// viewPollInterval is how often an audit checks whether the view has reached a revision.
	viewPollInterval = 100 * time.Millisecond
	// finishedRecordsSampled is how many terminal records an audit reads again: there may be
	// very many.
	finishedRecordsSampled = 4
	// missingJobsChecked is for how many jobs without an active record an audit looks for the
	// terminal record.
	missingJobsChecked = 16
)

// auditedPrefixes has the prefixes of the records that all controllers hold in their views.
var auditedPrefixes = []string{record.ClusterPrefix, record.FleetPrefix, record.ActiveJobPrefix}

// Audit compares the records that this controller holds with those in the state service, since a
// watch does not report records that the state service loses.
type Audit struct{ *Detector }

// Run audits periodically until the context is cancelled. The views are the same on all controllers,
// so only the leader compares them. Each controller holds different terminal records, so each
// controller checks its own.
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
			a.log.Debug("audit of terminal records failed", "err", err)
		}
	}
}

// compareViews compares each view with the records in the state service.
func (a Audit) compareViews(ctx context.Context) {
	for _, prefix := range auditedPrefixes {
		if err := a.compareView(ctx, prefix); err != nil {
			a.log.Debug("audit", "prefix", prefix, "err", err)
		}
	}
}

// compareView compares the view of the records with a prefix with all of these records. It does nothing
// if the view does not reach the revision of the records in time.
func (a Audit) compareView(ctx context.Context, prefix string) error {
	entries, revision, err := a.host.Store().List(ctx, auditPurpose, prefix)
	if err != nil || !a.awaitView(ctx, prefix, revision) {
		return err
	}
	return a.ConfirmMissing(ctx, prefix, a.reportStale(prefix, EntryVersions(entries), revision))
}

// reportStale reports listed records that are older than those in the view, given the versions by key
// and the revision of the list. It returns the versions of records in the view that are not listed.
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

// EntryVersions returns the versions of records by key.
func EntryVersions(entries []wire.Entry) map[string]uint64 {
	out := make(map[string]uint64, len(entries))
	for _, e := range entries {
		out[e.Key] = e.Version
	}
	return out
}

// awaitView waits until the view of the records with a prefix has reached a revision, and reports false
// if it does not within auditWatchIntervals.
func (a Audit) awaitView(ctx context.Context, prefix string, revision uint64) bool {
	for end := time.Now().Add(auditWatchIntervals * a.host.WatchInterval()); time.Now().Before(end); {
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

// ConfirmMissing reports missing records as lost, except for those that were deleted. A deletion is
// among the changes that the state service returns, as long as it still keeps them. Missing has the
// versions by key; ConfirmMissing removes the deleted records from it.
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

// confirmMissingIndirectly reports missing records as lost for which the state service no longer keeps
// the changes, if other evidence shows that they were not deleted: a finished job has a terminal
// record, the machines of a provision that has ended are silent, and shard records are never deleted.
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

// anyMachineAlive reports whether a machine of a provision, in a shard that this controller owns, had
// contact within its lease.
func (a Audit) anyMachineAlive(provisionKey string) bool {
	a.host.Lock()
	defer a.host.Unlock()
	for _, id := range a.views.Machines.MachineIDs(provisionKey) {
		machine, _ := a.views.Machines.Machine(id)
		shard := a.host.OwnedShardsLocked()[machine.Shard]
		if shard != nil && shard.HadContactWithin(id, shard.Lease(), time.Now()) {
			return true
		}
	}
	return false
}

// checkFinishedJobs reads some of the cached terminal records again, and reports one that is missing.
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
