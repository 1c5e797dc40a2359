package userapi

import (
	"context"
	"errors"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// QueryJob returns a job's status, which is never older than any answer that a controller
// gave a user before the query arrived. It returns ErrNotFound for a job that was never
// accepted, and ErrUnavailable if its state cannot be read now.
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
	return a.activeStatus(ctx, ref)
}

// activeStatus returns the status of an active job. Its counts of tasks are for display only, so the
// owner's memory is good enough for them.
func (a *API) activeStatus(ctx context.Context, ref string) (wire.Status, error) {
	status, ok := a.cluster.OwnerStatus(ref)
	if !ok {
		status = wire.Status{Ref: ref, State: wire.Pending}
	}
	var err error
	if status.State == wire.Pending {
		status.State, err = a.stateOfPending(ctx, ref)
	}
	return status, err
}

func terminalStatus(ref string, finished record.FinishedJob) wire.Status {
	return wire.Status{Ref: ref, State: finished.State, Done: finished.Tasks}
}

// confirmActive reports whether a job is active and not cancelled, by comparing its record
// with the view after the query arrived. False means only that the records must be read.
func (a *API) confirmActive(ctx context.Context, ref string) bool {
	job, active := a.cluster.ActiveJob(ref)
	if !active || job.Cancelled {
		return false
	}
	return a.reads.Confirm(ctx, wire.Condition{Key: record.ActiveJobKey(ref), Version: job.Version})
}

// jobState reads a job's state. It returns ErrNotFound for one that was never accepted, and
// ErrUnavailable if its state cannot be read now.
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

// readJobState reads a job's state from its records. If the job is not active in the view,
// the terminal record is read first: most such jobs are terminal, and one request must be
// enough for them. While the budget is used up, two requests would take longer than a user
// waits, and every status query refused for that would be repeated. If the job is active in
// the view, the active record is read first: a job whose active record is gone by then has a
// terminal one.
func (a *API) readJobState(ctx context.Context, purpose statestore.Purpose, ref string) (string, error) {
	baseline := a.cluster.BaselineOf(ref)
	if !baseline.Active() {
		finished, err := a.terminal.Read(ctx, a.store(), purpose, ref)
		if !errors.Is(err, statestore.ErrNotFound) {
			return finished.State, err
		}
		purpose = statestore.Urgent(purpose.Name) // the second request completes a query that has begun
	}
	entry, err := a.store().Get(ctx, purpose, record.ActiveJobKey(ref))
	if err == nil {
		// An active job is reported as pending even if it is cancelled: see CancelJob.
		return wire.Pending, a.cluster.CheckActiveJob(ref, baseline, entry.Version)
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		return "", err
	}
	finished, err := a.terminal.Read(ctx, a.store(), statestore.Urgent(purpose.Name), ref)
	if errors.Is(err, statestore.ErrNotFound) {
		err = a.cluster.CheckMissingJob(ref, baseline)
	}
	return finished.State, err
}
