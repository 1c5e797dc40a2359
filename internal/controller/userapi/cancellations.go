package userapi

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// cancelAttempts bounds how often a cancellation is tried again because of other writes.
const cancelAttempts = 4

// TerminalWait is how long the answer to a cancellation waits for the job's end: what
// stopping its tasks and recording that takes where nothing is in the way. It is not there
// to keep the user from asking again: who comes later finds the end recorded.
const TerminalWait = 500 * time.Millisecond

// errChanged says that a record changed while a cancellation was under way, or that the end
// of the job remains to be read, so that the cancellation begins again.
var errChanged = errors.New("changed meanwhile")

// CancelJob cancels a job and returns its terminal state.
//
// A user is told of a cancellation only once the job's owner has proven every task gone and
// recorded the end. Whatever is partitioned, paused or late, no task can outlive what was
// told; and so a controller that can't hear of cancellations may still renew leases. Until
// then the user is asked to come again (ErrNotTerminal).
func (a *API) CancelJob(ref string) (wire.Brief, error) {
	if !jobspec.ValidJobReference(ref) {
		return wire.Brief{}, ErrNotFound
	}
	if finished, ok := a.terminal.Get(ref); ok {
		return wire.Brief{Ref: ref, State: finished.State}, nil
	}
	if a.cluster.LeaseLost() {
		return wire.Brief{}, ErrUnavailable
	}
	ctx, cancel := a.requestContext()
	defer cancel()
	for range cancelAttempts {
		state, err := a.tryCancelJob(ctx, ref)
		if errors.Is(err, errChanged) {
			continue
		}
		return wire.Brief{Ref: ref, State: state}, err
	}
	return wire.Brief{}, ErrUnavailable
}

// tryCancelJob returns a job's terminal state if it has one. Else it records the
// cancellation and waits for the end, which the next attempt reads.
func (a *API) tryCancelJob(ctx context.Context, ref string) (string, error) {
	// Users come again each second until the job's end is recorded: what the view tells as
	// cancelled is, and needs no reading.
	if a.cluster.CancellationPending(ref) && !a.awaitTerminal(ctx, ref) {
		return "", ErrNotTerminal
	}
	job, version, err := a.readActiveJob(ctx, ref)
	if errors.Is(err, statestore.ErrNotFound) {
		return a.terminalState(ctx, ref)
	}
	if err != nil {
		return "", ErrUnavailable
	}
	if !job.Cancelled {
		if err := a.recordCancellation(ctx, ref, job, version); err != nil {
			return "", err
		}
	}
	if !a.awaitTerminal(ctx, ref) {
		return "", ErrNotTerminal
	}
	return "", errChanged
}

// terminalState returns the state of a job that has no active record: it was never accepted
// or is terminal by now. This is the one place from where a cancellation is answered.
func (a *API) terminalState(ctx context.Context, ref string) (string, error) {
	state, err := a.jobState(ctx, statestore.Urgent(cancelPurpose), ref)
	if err == nil && state == wire.Pending {
		return "", errChanged // accepted in this moment
	}
	return state, err
}

// readActiveJob reads an active job's record and its version.
func (a *API) readActiveJob(ctx context.Context, ref string) (record.ActiveJob, uint64, error) {
	var job record.ActiveJob
	entry, err := a.store().Get(ctx, statestore.Urgent(cancelPurpose), record.ActiveJobKey(ref))
	if err != nil {
		return job, 0, err
	}
	return job, entry.Version, json.Unmarshal(entry.Value, &job)
}

// recordCancellation records that a job is cancelled, unless its record has changed.
func (a *API) recordCancellation(ctx context.Context, ref string, job record.ActiveJob, version uint64) error {
	key := record.ActiveJobKey(ref)
	t := wire.Txn{
		If:   []wire.Condition{{Key: key, Version: version}},
		Then: []wire.Op{{Put: key, Value: cancelledRecord(job, a.cluster.WriteLimits().Bytes())}},
	}
	revision, err := a.store().Txn(ctx, statestore.Urgent(cancelPurpose), t)
	if isConflict(err) {
		return errChanged
	}
	if err != nil {
		return ErrUnavailable // perhaps applied: the user's next attempt finds out
	}
	a.cluster.NotifyOwner(job.Shard, t, revision)
	return nil
}

// cancelledRecord is an active job's record once it is cancelled. One that the state
// service accepted when its limits were wider goes without what only a start needs.
func cancelledRecord(job record.ActiveJob, maxBytes int) json.RawMessage {
	job.Cancelled = true
	if value := record.Encode(job); len(value) <= maxBytes {
		return value
	}
	job.Spec.Types, job.Spec.DependsOn, job.Spec.Image, job.Spec.Class = nil, nil, "", ""
	return record.Encode(job)
}

// awaitTerminal waits until jobs are not active any more, as far as the view tells, and
// reports whether none was within TerminalWait.
func (a *API) awaitTerminal(ctx context.Context, refs ...string) bool {
	ctx, cancel := context.WithTimeout(ctx, TerminalWait)
	defer cancel()
	for _, ref := range refs {
		ended := a.cluster.Terminal(ref)
		if ended == nil {
			continue
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
