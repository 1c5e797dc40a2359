// Package userapi serves users: submissions, status queries and cancellations of jobs and
// pipelines.
//
// It guarantees:
//   - A submission is accepted once. The acceptance is durable, and a repeated submission is
//     answered with the state of the job that was accepted, even if the settings or the
//     limits have changed since.
//   - The answer to a status query is never older than any answer that a controller gave a
//     user before the query arrived: terminal records never change, and that a job is still
//     active is read, or confirmed by a comparison that starts after the query arrived.
//   - A cancellation is answered only once the job's terminal record is written. The job's
//     owner writes it when it has proven that every task is gone.
//
// An API has no lock and no state of its own. It reaches the cluster's state through
// Cluster. Its methods must not be called with the shards' lock held.
package userapi

import (
	"context"
	"log/slog"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/dataloss"
	"bramblespur/internal/controller/linearizable"
	"bramblespur/internal/controller/terminal"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// RequestTimeout bounds the work on one request: a user waits 2 s for the answer to a
	// status query, and a submission that cannot be accepted should be refused soon.
	RequestTimeout = 1500 * time.Millisecond
	// statusQueryWait is how long a user waits for the answer to a status query.
	statusQueryWait = 2 * time.Second
	// changeWait is how long a user waits for the answer to a submission or a cancellation.
	changeWait = 5 * time.Second
)

// Purposes under which requests are counted against the state service's budget.
const (
	acceptPurpose       = "accept"
	dependenciesPurpose = "dependencies"
	queryPurpose        = "poll"
	cancelPurpose       = "cancel"
)

// ActiveJob is what the view holds of a job that is not terminal.
type ActiveJob struct {
	Version   uint64 // of the job's active record
	Cancelled bool   // the job's cancellation is recorded
	Service   bool   // the job is a service
	Dependent bool   // the job names dependencies
}

// Dependencies is what the view holds of the jobs on which a job depends.
type Dependencies struct {
	Fresh  bool // the view is so recent that it lacks no end of long ago
	Active bool // the job itself is active in the view
	// Unsettled are the jobs that are neither active in the view nor known to be done, on which the
	// job depends directly or through active jobs.
	Unsettled []string
}

// NewJob is a job that is about to be accepted.
type NewJob struct {
	Spec        *wire.Spec
	RecordBytes int // size of its encoded record
}

// Cluster is what the API needs of the controller. Every method takes the shards' lock
// itself if it needs it.
type Cluster interface {
	linearizable.StateService
	StateServiceHealth
	StaleReadDetector

	// HasRoomForJobs reports whether the controllers' memory has room for new jobs with these
	// encoded records besides all active ones.
	HasRoomForJobs(jobs ...NewJob) bool
	// MachineTypes returns the machine types; nil: they are not known yet.
	MachineTypes() []wire.MachineType
	// ActiveJob returns what the view holds of a job. It reports false if the job is not
	// active in the view.
	ActiveJob(ref string) (ActiveJob, bool)
	// DependenciesOf returns what the view holds of a job's dependencies.
	DependenciesOf(ref string) Dependencies
	// ApplyDependency applies the terminal record of a dependency.
	ApplyDependency(ref string, finished record.FinishedJob)
	// CancelDependent records the end of a job of which a dependency was cancelled. Its owner
	// does the same; an error says that neither is known to have succeeded.
	CancelDependent(ctx context.Context, ref string) error
	// CancellationPending reports whether the view is fresh and holds a job as cancelled and
	// still active.
	CancellationPending(ref string) bool
	// Terminal returns a channel that is closed once a job is no longer active in the view;
	// nil: it is not active in the view now.
	Terminal(ref string) <-chan struct{}
	// OwnerStatus returns an active job's status from the memory of its shard's owner. It
	// reports false if the owner does not answer.
	OwnerStatus(ref string) (wire.Status, bool)
	// NotifyOwner applies a transaction on a shard's jobs to the local view and sends it to
	// the shard's owner, without waiting for the watch of either controller.
	NotifyOwner(shard int, t wire.Txn, revision uint64)
	// Forward lets another controller that recently reached the state service serve a
	// request. It returns ErrNoController if there is none, and another error if the call
	// fails or its reply is invalid.
	Forward(request ForwardedRequest) (ForwardedResponse, error)
}

// StateServiceHealth says whether the state service can be expected to answer.
type StateServiceHealth interface {
	// LeaseOverdue reports whether the member lease's last renewal is so old that the state
	// service may be out of reach.
	LeaseOverdue() bool
	// LeaseLost reports whether the state service could not be reached for a while or has
	// lost data. Requests that need it are then refused at once.
	LeaseLost() bool
	// InSafeMode reports whether the state service has lost data.
	InSafeMode() bool
}

// StaleReadDetector compares what is read from the state service with what was known before.
type StaleReadDetector interface {
	// BaselineOf returns what is known of a job before its records are read.
	BaselineOf(ref string) dataloss.Baseline
	// CheckActiveJob returns an error if the version of an active job's record that was read
	// is older than the baseline taken before the read.
	CheckActiveJob(ref string, baseline dataloss.Baseline, version uint64) error
	// CheckMissingJob returns statestore.ErrNotFound for a job without any record if it can
	// be relied on, given the baseline taken before the read, that there never was one, and
	// another error otherwise.
	CheckMissingJob(ref string, baseline dataloss.Baseline) error
}

// API serves users' requests. Its methods are safe for concurrent use.
type API struct {
	cluster   Cluster
	settings  *config.Settings
	teams     []string // names, sorted
	terminal  *terminal.Cache
	reads     *linearizable.Batcher // confirms that active jobs in the view are current
	log       *slog.Logger
	resources []resource
}

// New returns an API. The settings are shared with the controller; teams are the sorted
// names of its teams.
func New(cluster Cluster, settings *config.Settings, teams []string, cache *terminal.Cache, log *slog.Logger) *API {
	a := &API{cluster: cluster, settings: settings, teams: teams, terminal: cache, log: log}
	a.reads = linearizable.NewBatcher(cluster)
	a.resources = a.routes()
	return a
}

func (a *API) store() statestore.Store { return a.cluster.StateService() }

// requestContext returns a context for the work on one request. It ends after RequestTimeout
// or with the controller.
func (a *API) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.cluster.Context(), RequestTimeout)
}
