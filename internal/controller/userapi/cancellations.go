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

// cancelAttempts bounds how often a cancellation is tried while concurrent writes change the
// record.
const cancelAttempts = 4

// TerminalWait is how long the answer to a cancellation waits for the job to become terminal:
// as long as stopping its tasks and recording that takes when nothing delays it. It need not
// cover slower ends: a user who asks again later finds the end recorded.
const TerminalWait = 500 * time.Millisecond

// errChanged says that a record changed while a cancellation was under way, or that the job
// has ended and its terminal state remains to be read. The cancellation is then tried again.
var errChanged = errors.New("changed meanwhile")

// CancelJob cancels a job and returns its terminal state, which may also be that of a job
// that was done before.
//
// A cancellation is confirmed to the user only once the job's owner has proven that every
// task is gone and has recorded the end. So no task outlives the confirmation, regardless of
// partitions, pauses and delays, and a controller that receives no cancellations may still
// renew leases. Until then CancelJob returns ErrNotTerminal, and the user has to ask again.
// It returns ErrNotFound for a job that was never accepted, and ErrUnavailable if the
// cancellation cannot be decided now.
func (a *API) CancelJob(ref string) (wire.JobState, error) {
	if !jobspec.ValidJobReference(ref) {
		return wire.JobState{}, ErrNotFound
	}
	if finished, ok := a.terminal.Get(ref); ok {
		return wire.JobState{Ref: ref, State: finished.State}, nil
	}
	if a.cluster.LeaseLost() {
		return wire.JobState{}, ErrUnavailable
	}
	ctx, cancel := a.requestContext()
	defer cancel()
	for range cancelAttempts {
		state, err := a.tryCancelJob(ctx, ref)
		if errors.Is(err, errChanged) {
			continue
		}
		return wire.JobState{Ref: ref, State: state}, err
	}
	return wire.JobState{}, ErrUnavailable
}

// tryCancelJob returns a job's terminal state if it has one. Otherwise it records the
// cancellation and waits for the job to end. If the job ends in time, it returns errChanged,
// and the next attempt reads the terminal state.
func (a *API) tryCancelJob(ctx context.Context, ref string) (string, error) {
	// Users repeat the request every second until the job's end is recorded. A job that is
	// cancelled in the view is cancelled, so its record need not be read.
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

// terminalState returns the terminal state of a job whose active record was not found: the
// job was never accepted or is terminal by now. Except for jobs in the cache of terminal
// records, every cancellation of a job is confirmed from here.
func (a *API) terminalState(ctx context.Context, ref string) (string, error) {
	state, err := a.jobState(ctx, statestore.Urgent(cancelPurpose), ref)
	if err == nil && state == wire.Pending {
		return "", errChanged // the job was accepted after the first read
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
		Then: []wire.Op{{Put: key, Value: cancelledRecord(job, a.cluster.WriteLimits().MaxValueBytes())}},
	}
	revision, err := a.store().Txn(ctx, statestore.Urgent(cancelPurpose), t)
	if isConflict(err) {
		return errChanged
	}
	if err != nil {
		return ErrUnavailable // the transaction may be applied: the user's next request finds out
	}
	a.cluster.NotifyOwner(job.Shard, t, revision)
	return nil
}

// cancelledRecord encodes an active job's record as cancelled. If it is larger than maxBytes,
// as when the state service's limits were wider at its acceptance, the fields that only a
// start needs are left out.
func cancelledRecord(job record.ActiveJob, maxBytes int) json.RawMessage {
	job.Cancelled = true
	if value := record.Encode(job); len(value) <= maxBytes {
		return value
	}
	job.Spec.Types, job.Spec.DependsOn, job.Spec.Image, job.Spec.Class = nil, nil, "", ""
	return record.Encode(job)
}

// awaitTerminal waits until none of some jobs is active in the view, and reports whether that
// was so within TerminalWait.
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
