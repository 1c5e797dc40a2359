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

// Acceptance is the outcome of an accepted submission: the reference and the state of the
// job or pipeline.
type Acceptance struct {
	wire.JobState
	New bool // this submission was accepted, not an earlier one
}

func accepted(ref, state string) Acceptance {
	return Acceptance{JobState: wire.JobState{Ref: ref, State: state}}
}

func newlyAccepted(ref string) Acceptance {
	return Acceptance{JobState: wire.JobState{Ref: ref, State: wire.Pending}, New: true}
}

// SubmitJob accepts a job once. When it returns no error, the job's record is in the state
// service. It returns an error of package jobspec, a *DependencyError or ErrRecordTooLarge
// for a job that it refuses, ErrFull if there are too many active jobs, and ErrUnavailable if that
// cannot be decided now.
func (a *API) SubmitJob(body []byte) (Acceptance, error) {
	spec, err := jobspec.ParseJob(body)
	if err != nil {
		return Acceptance{}, err
	}
	if finished, ok := a.terminal.Get(spec.Ref); ok {
		return accepted(spec.Ref, finished.State), nil
	}
	machineTypes, err := a.requireMachineTypes()
	if err != nil {
		return Acceptance{}, err
	}
	ctx, cancel := a.requestContext()
	defer cancel()
	if _, active := a.cluster.ActiveJob(spec.Ref); active {
		// The job was probably accepted before. A read finds that out without a change: the
		// state service counts failed changes against its limit too.
		existing, err := a.acceptedBefore(ctx, spec.Ref)
		if !errors.Is(err, ErrNotFound) {
			return existing, err
		}
	}
	job := record.ActiveJob{
		Spec:               *spec,
		Shard:              record.ShardForJob(a.teams, spec.Team, spec.Ref, a.settings.Params.Count),
		AcceptedAt:         time.Now().UnixMilli(),
		AwaitsDependencies: len(spec.DependsOn) > 0,
	}
	value := record.Encode(job)
	err = a.checkAcceptable(ctx, spec, value, machineTypes)
	if isRefusal(err) {
		return a.refuseUnlessAccepted(ctx, spec.Ref, err)
	}
	if err != nil {
		return Acceptance{}, err
	}
	if !a.cluster.HasRoomForJobs(NewJob{spec, len(value)}) {
		return Acceptance{}, ErrFull
	}
	return a.recordJob(ctx, spec.Ref, job.Shard, value)
}

// requireMachineTypes returns the machine types, or ErrUnavailable if no submission can be
// decided: the machine types are not known, or the state service cannot be reached.
func (a *API) requireMachineTypes() ([]wire.MachineType, error) {
	machineTypes := a.cluster.MachineTypes()
	if machineTypes == nil || a.cluster.LeaseLost() {
		return nil, ErrUnavailable
	}
	return machineTypes, nil
}

// checkAcceptable returns an error if a job cannot be accepted: a refusal, or ErrUnavailable
// if it cannot be decided now.
func (a *API) checkAcceptable(ctx context.Context, spec *wire.Spec, value json.RawMessage, machineTypes []wire.MachineType) error {
	if err := jobspec.CheckFeasible(spec, machineTypes, a.settings.Params.Teams); err != nil {
		return err
	}
	if len(value) > a.cluster.WriteLimits().MaxValueBytes() {
		return ErrRecordTooLarge
	}
	return a.checkDependencies(ctx, spec.DependsOn)
}

// recordJob records a job, unless it was accepted meanwhile.
func (a *API) recordJob(ctx context.Context, ref string, shard int, value json.RawMessage) (Acceptance, error) {
	t := wire.Txn{
		If:   []wire.Condition{{Key: record.FinishedJobKey(ref)}, {Key: record.ActiveJobKey(ref)}},
		Then: []wire.Op{{Put: record.ActiveJobKey(ref), Value: value}},
	}
	revision, err := a.store().Txn(ctx, statestore.Urgent(acceptPurpose), t)
	if err == nil {
		a.cluster.NotifyOwner(shard, t, revision)
		return newlyAccepted(ref), nil
	}
	if isConflict(err) {
		if existing, err := a.acceptedBefore(ctx, ref); err == nil {
			return existing, nil
		}
		return Acceptance{}, ErrUnavailable
	}
	a.log.Debug("submission not recorded", "job", ref, "err", err)
	return Acceptance{}, ErrUnavailable
}

// refuseUnlessAccepted refuses a job, unless it was accepted before: an accepted job stays
// accepted, even if the settings or the state service's limits have changed since.
func (a *API) refuseUnlessAccepted(ctx context.Context, ref string, refusal error) (Acceptance, error) {
	existing, err := a.acceptedBefore(ctx, ref)
	if errors.Is(err, ErrNotFound) {
		return Acceptance{}, refusal
	}
	return existing, err
}

// acceptedBefore returns the present state of an accepted job, as a status query does, or ErrNotFound if
// there is none.
func (a *API) acceptedBefore(ctx context.Context, ref string) (Acceptance, error) {
	state, err := a.jobState(ctx, statestore.Urgent(acceptPurpose), ref)
	if err != nil {
		return Acceptance{}, err
	}
	if state != wire.Pending {
		return accepted(ref, state), nil
	}
	status, err := a.activeStatus(ctx, ref)
	if err != nil {
		return Acceptance{}, err
	}
	return accepted(ref, status.State), nil
}

// checkDependencies refuses dependencies on jobs that were never accepted, and on services,
// which have no end. It reads the records of jobs that are neither in this controller's view nor in
// its cache of terminal states.
func (a *API) checkDependencies(ctx context.Context, dependencies []string) error {
	for _, dependency := range dependencies {
		if err := a.checkDependency(ctx, dependency); err != nil {
			return err
		}
	}
	return nil
}

func (a *API) checkDependency(ctx context.Context, ref string) error {
	// The view is read before the cache: a job that ends in between is in the cache by then.
	job, active := a.cluster.ActiveJob(ref)
	if _, finished := a.terminal.Get(ref); finished || (active && !job.Service) {
		return nil
	}
	if active {
		return errDependsOnService(ref)
	}
	purpose := statestore.Urgent(dependenciesPurpose)
	// The active record is read first: a job whose active record is gone has a terminal one.
	entry, err := a.store().Get(ctx, purpose, record.ActiveJobKey(ref))
	var found record.ActiveJob
	switch {
	case err == nil && json.Unmarshal(entry.Value, &found) == nil:
		if found.Spec.Kind == wire.Service {
			return errDependsOnService(ref)
		}
		return nil
	case !errors.Is(err, statestore.ErrNotFound):
		return ErrUnavailable
	}
	_, err = a.terminal.Read(ctx, a.store(), purpose, ref)
	switch {
	case errors.Is(err, statestore.ErrNotFound):
		return &DependencyError{Dependency: ref, Reason: "never accepted"}
	case err != nil:
		return ErrUnavailable
	}
	return nil
}

func errDependsOnService(ref string) error {
	return &DependencyError{Dependency: ref, Reason: "a service has no end"}
}

// isConflict reports whether a transaction failed because its conditions did not hold.
func isConflict(err error) bool {
	var conflict *statestore.ConflictError
	return errors.As(err, &conflict)
}
