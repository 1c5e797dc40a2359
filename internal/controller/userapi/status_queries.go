package userapi

import (
	"context"
	"errors"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// QueryJob returns a job's status, which is never older than what any controller has told a
// user before the query came.
func (a *API) QueryJob(ref string) (wire.Status, error) {
	if !jobspec.ValidJobReference(ref) {
		return wire.Status{}, ErrNotFound
	}
	if finished, ok := a.terminal.Get(ref); ok {
		return terminalStatus(ref, finished), nil
	}
	if a.cluster.LeaseLost() {
		return wire.Status{}, ErrUnavailable
	}
	ctx, cancel := a.requestContext()
	defer cancel()
	if !a.confirmActive(ctx, ref) {
		state, err := a.jobState(ctx, statestore.Routine(queryPurpose), ref)
		if err != nil {
			return wire.Status{}, err
		}
		if finished, ok := a.terminal.Get(ref); ok {
			return terminalStatus(ref, finished), nil
		}
		if state != wire.Pending {
			return wire.Status{Ref: ref, State: state}, nil
		}
	}
	// The counts are for display: the owner's memory has them.
	if status, ok := a.cluster.OwnerStatus(ref); ok {
		return status, nil
	}
	return wire.Status{Ref: ref, State: wire.Pending}, nil
}

func terminalStatus(ref string, finished record.FinishedJob) wire.Status {
	return wire.Status{Ref: ref, State: finished.State, Done: finished.Tasks}
}

// confirmActive reports whether a job is active and not cancelled, by a comparison of its
// record with the view that starts after the query came. False means only that the records
// must be read.
func (a *API) confirmActive(ctx context.Context, ref string) bool {
	job, active := a.cluster.ActiveJob(ref)
	if !active || job.Cancelled {
		return false
	}
	return a.reads.Confirm(ctx, wire.Condition{Key: record.ActiveJobKey(ref), Version: job.Version})
}

// jobState reads a job's state. It returns ErrNotFound for one that was never accepted, and
// ErrUnavailable if its state can't be told.
func (a *API) jobState(ctx context.Context, purpose statestore.Purpose, ref string) (string, error) {
	state, err := a.readJobState(ctx, purpose, ref)
	switch {
	case errors.Is(err, statestore.ErrNotFound):
		return "", ErrNotFound
	case err != nil:
		return "", ErrUnavailable
	}
	return state, nil
}

// readJobState reads the terminal record of a job first that is not active as far as the
// view tells: most that are asked for are terminal, and one request must do for them. Two
// would take longer than a user waits while the budget is used up, and then every status
// query that is refused would come again. Else the active record comes first, since a job
// that has none any more has the other by then.
func (a *API) readJobState(ctx context.Context, purpose statestore.Purpose, ref string) (string, error) {
	known := a.cluster.BaselineOf(ref)
	if !known.Active() {
		finished, err := a.terminal.Read(ctx, a.store(), purpose, ref)
		if !errors.Is(err, statestore.ErrNotFound) {
			return finished.State, err
		}
		purpose = statestore.Urgent(purpose.Name) // a read that has begun goes on
	}
	entry, err := a.store().Get(ctx, purpose, record.ActiveJobKey(ref))
	if err == nil {
		// Pending also if it is cancelled: see CancelJob.
		return wire.Pending, a.cluster.CheckActiveJob(ref, known, entry.Version)
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		return "", err
	}
	finished, err := a.terminal.Read(ctx, a.store(), statestore.Urgent(purpose.Name), ref)
	if errors.Is(err, statestore.ErrNotFound) {
		err = a.cluster.CheckMissingJob(ref, known)
	}
	return finished.State, err
}
