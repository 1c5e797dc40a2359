// Package userapi serves users: submissions, status queries and cancellations of jobs and
// pipelines.
//
// What it guarantees:
//   - A submission is accepted once. Its answer is durable, and a repeated submission is
//     answered with the state of the job that was accepted, whatever the settings and the
//     limits say by then.
//   - A status query tells nothing older than what any controller told a user before the
//     query came: terminal records never change, and that a job is still active is read, or
//     confirmed by a comparison that starts after the query.
//   - A cancellation is answered only once the job's terminal record is written, which its
//     owner does when it has proven every task gone.
//
// An API has no lock and no state of its own. It reaches the cluster's state through
// Cluster, and is never called with the shards' lock held.
package userapi

import (
	"context"
	"log/slog"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/dataloss"
	"bramblespur/internal/controller/linearizable"
	"bramblespur/internal/controller/terminal"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// RequestTimeout bounds the work on one request: a user waits 2 s for the answer to a
	// status query, and what can't be accepted should be said soon.
	RequestTimeout = 1500 * time.Millisecond
	// statusQueryWait is how long a user waits for the answer to a status query.
	statusQueryWait = 2 * time.Second
	// changeWait is how long a user waits for the answer to a submission or a cancellation.
	changeWait = 5 * time.Second
)

// Purposes under which the state service's budget is used.
const (
	acceptPurpose       = "accept"
	dependenciesPurpose = "dependencies"
	queryPurpose        = "poll"
	cancelPurpose       = "cancel"
)

// ActiveJob is what the view tells of a job that is not terminal.
type ActiveJob struct {
	Version   uint64 // of its record
	Cancelled bool
	Service   bool
}

// Cluster is what the API needs of the controller. Every method takes the shards' lock
// itself if it needs it.
type Cluster interface {
	linearizable.StateService
	StateServiceHealth
	StaleReadDetector

	// MachineTypes returns the machine types, nil until they are known.
	MachineTypes() []wire.MachineType
	// ActiveJob returns what the view tells of an active job.
	ActiveJob(ref string) (ActiveJob, bool)
	// CancellationPending reports whether a view that is fresh tells of a job that it is
	// cancelled and still active.
	CancellationPending(ref string) bool
	// Terminal returns a channel that is closed once a job is not active any more as far as
	// the view tells, nil if it isn't active now.
	Terminal(ref string) <-chan struct{}
	// OwnerStatus returns an active job's status from the memory of its shard's owner. It
	// reports false if the owner doesn't answer.
	OwnerStatus(ref string) (wire.Status, bool)
	// NotifyOwner applies a transaction on a shard's jobs here and brings it to the shard's
	// owner, without waiting for either's watch.
	NotifyOwner(shard int, t wire.Txn, revision uint64)
	// Forward lets another controller that lately reached the state service serve a request.
	Forward(request ForwardedRequest) (ForwardedResponse, error)
}

// StateServiceHealth tells whether the state service can be expected to answer.
type StateServiceHealth interface {
	// LeaseOverdue reports whether the member lease's last renewal is so old that the state
	// service may be out of reach.
	LeaseOverdue() bool
	// LeaseLost reports whether the state service could not be reached for a while or has
	// lost data: what needs it is refused at once then.
	LeaseLost() bool
	// InSafeMode reports whether the state service has lost data.
	InSafeMode() bool
}

// StaleReadDetector compares what the state service tells with what was known before.
type StaleReadDetector interface {
	// BaselineOf returns what is known of a job before its records are read.
	BaselineOf(ref string) dataloss.Baseline
	// CheckActiveJob returns an error if an active job's record is older than what was known
	// before it was read.
	CheckActiveJob(ref string, known dataloss.Baseline, found uint64) error
	// CheckMissingJob returns statestore.ErrNotFound for a job without any record if it can
	// be believed that there never was one, else another error.
	CheckMissingJob(ref string, known dataloss.Baseline) error
}

// API serves users' requests.
type API struct {
	cluster   Cluster
	settings  *config.Settings
	teams     []string // names, sorted
	terminal  *terminal.Cache
	reads     *linearizable.Batcher
	log       *slog.Logger
	resources []resource
}

// New returns an API. The settings are shared with the controller; teams are the names of
// its teams in order.
func New(cluster Cluster, settings *config.Settings, teams []string, cache *terminal.Cache, log *slog.Logger) *API {
	a := &API{cluster: cluster, settings: settings, teams: teams, terminal: cache, log: log}
	a.reads = linearizable.NewBatcher(cluster)
	a.resources = a.routes()
	return a
}

func (a *API) store() statestore.Store { return a.cluster.StateService() }

// requestContext returns the context of one request's work.
func (a *API) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.cluster.Context(), RequestTimeout)
}
