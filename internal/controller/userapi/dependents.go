package userapi

import (
	"context"
	"errors"
	"time"

	"bramblespur/internal/controller/dependency"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// When a job is cancelled, its dependents are cancelled with it, which takes changes of the state
// service for each of them. Users must not be told that a dependent is pending long after that, even
// if the changes are held up: see stateOfPending.

// stateOfPending returns the state of an active job that does not run: pending or, if a job on which it
// depends directly or through others was cancelled, cancelled. The latter is answered only once it is
// recorded, so it is recorded first if the job's owner has not done so in time; ErrNotTerminal says
// that the owner is about to. It returns ErrUnavailable if the state cannot be decided, or the end not
// be recorded, now.
func (a *API) stateOfPending(ctx context.Context, ref string) (string, error) {
	if job, active := a.cluster.ActiveJob(ref); active && !job.Dependent {
		return wire.Pending, nil
	}
	dependencies := a.cluster.DependenciesOf(ref)
	if !dependencies.Fresh {
		return "", ErrUnavailable
	}
	if !dependencies.Active {
		// It has ended meanwhile, or was accepted so recently that the view is about to show it.
		return a.jobState(ctx, statestore.Urgent(dependenciesPurpose), ref)
	}
	for _, dependency := range dependencies.Unsettled {
		finished, err := a.readDependency(ctx, dependency)
		if errors.Is(err, statestore.ErrNotFound) {
			continue // it is active, and the view is about to show it
		}
		if err != nil {
			return "", ErrUnavailable
		}
		if finished.State != wire.Cancelled {
			continue
		}
		if ownerEndsDependents(finished) {
			return "", ErrNotTerminal
		}
		return a.endDependent(ctx, ref)
	}
	return wire.Pending, nil
}

// readDependency returns the terminal record of a dependency and applies it.
func (a *API) readDependency(ctx context.Context, ref string) (record.FinishedJob, error) {
	finished, err := a.readTerminal(ctx, ref)
	if err == nil {
		a.cluster.ApplyDependency(ref, finished)
	}
	return finished, err
}

// readTerminal returns a job's terminal record, from the cache or the state service.
func (a *API) readTerminal(ctx context.Context, ref string) (record.FinishedJob, error) {
	if finished, cached := a.terminal.Get(ref); cached {
		return finished, nil
	}
	return a.terminal.Read(ctx, a.store(), statestore.Urgent(dependenciesPurpose), ref)
}

// ownerEndsDependents reports whether a job was cancelled so recently that the owners of its
// dependents are about to record their ends.
func ownerEndsDependents(finished record.FinishedJob) bool {
	return time.Since(time.UnixMilli(finished.FinishedAt)) < dependency.OwnerGrace
}

// endDependent records the end of a job of which a dependency was cancelled, and returns its state.
func (a *API) endDependent(ctx context.Context, ref string) (string, error) {
	if err := a.cluster.CancelDependent(ctx, ref); err != nil {
		a.log.Debug("dependent not cancelled", "job", ref, "err", err)
		return "", ErrUnavailable
	}
	finished, err := a.readTerminal(ctx, ref)
	if err != nil {
		return "", ErrUnavailable
	}
	return finished.State, nil
}
