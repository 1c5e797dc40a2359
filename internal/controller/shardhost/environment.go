package shardhost

import (
	"context"
	"time"

	"bramblespur/internal/agent"
	"bramblespur/internal/cloud"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Environment is the interface between a Host and the rest of the controller. Methods whose names
// end in Locked are called with the Host's lock held, and must not take it.
type Environment interface {
	Services
	ClusterView
	Authority
	DataLossDetection
	Observer
}

// Services gives access to the services and workers that a Host calls over the network, never with
// its lock held.
type Services interface {
	// Lifetime returns a context that ends when the controller stops.
	Lifetime() context.Context
	Store() statestore.Store
	// Agents returns the client for the agents on the workers.
	Agents() agent.API
	Cloud() cloud.API
	// CheckResponse returns the error of a call to a worker. If that is nil, it returns the error
	// that check returns for the worker's response, which it also logs.
	CheckResponse(machine string, err error, check func() error) error
	// PipelineEnds reads the terminal states of those of a pipeline's jobs for which the
	// pipeline's record has none. The jobs listed in active are known to be active.
	PipelineEnds(ctx context.Context, pipeline *record.Pipeline, active []string) ([]record.PipelineJobEnd, error)
}

// Ownership is a shard's ownership record with its revision, which is the owner's fencing
// token. The zero value represents a shard without a record.
type Ownership = record.Versioned[record.Shard]

// ClusterView is this controller's local view of the cluster, fed by its watches.
type ClusterView interface {
	// OwnershipLocked returns a shard's ownership record, and false if there is none.
	OwnershipLocked(id int) (Ownership, bool)
	// SetOwnershipLocked applies an ownership record unless the view has a later one. It drops
	// a shard that is served here under a token lower than the given version.
	SetOwnershipLocked(id int, rec record.Shard, version uint64)
	// OwnersLocked returns the label of each shard's owner according to its ownership record.
	OwnersLocked() map[int]string
	// LiveMembersLocked returns the labels of the controllers whose leases stand, in order.
	LiveMembersLocked() []string
	// ViewLocked reports whether there is a view of the members and ownership records, and
	// whether it is recent enough to conclude from it that an owner is gone.
	ViewLocked(now time.Time) (known, recent bool)
	// MachinesOfShardLocked returns the machines that belong to a shard.
	MachinesOfShardLocked(id int) []clusterview.Machine
	// ActiveJobLocked returns the shard of an active job and the version of the job's record.
	// known is false if the view has no such job.
	ActiveJobLocked(ref string) (shard int, version uint64, known bool)
	// JobEndSeenLocked reports whether the view has seen the end of a job whose active record had
	// a version.
	JobEndSeenLocked(ref string, version uint64) bool
	// InheritDependenciesLocked passes to a shard the jobs that its active jobs depend on.
	InheritDependenciesLocked(shard *scheduler.Shard)
	// UpgradedLocked reports whether no controller of the first version is left.
	UpgradedLocked() bool
	// AllRangesSizedLocked reports whether all ranges of tasks are to be written with their size.
	AllRangesSizedLocked() bool
}

// Authority determines what this controller may do, given its own lease and its view.
type Authority interface {
	// Incarnation returns the incarnation of this controller that its member lease names.
	Incarnation() uint64
	// LeaseTime returns how long a member lease lasts without a renewal.
	LeaseTime() time.Duration
	// LeaseCertain reports whether this controller's lease certainly stands.
	LeaseCertain(now time.Time) bool
	// MayStartTasksLocked reports whether the lease certainly stands and the view of active
	// jobs, through which cancellations arrive, is recent.
	MayStartTasksLocked(now time.Time) bool
	// UptimeLocked returns how long this controller has been running.
	UptimeLocked(now time.Time) time.Duration
}

// DataLossDetection detects that the state service has lost data.
type DataLossDetection interface {
	// DataLossDetectionEnabled reports whether detection of data loss is enabled.
	DataLossDetectionEnabled() bool
	// SafeModeLocked reports whether safe mode is active, in which nothing may be started,
	// stopped or recorded.
	SafeModeLocked() bool
	// ReportIfStaleLocked checks a record that was read for data loss: it compares found, the
	// version that was read or 0 if there is no record, with held, the highest version that
	// was seen of the record.
	ReportIfStaleLocked(key string, held, found uint64, now time.Time)
	// CheckReread reports whether a record that was read again may be passed to a shard. It
	// may not if the record is older than the version that the shard held before. CheckReread
	// takes the lock.
	CheckReread(ctx context.Context, key string, held uint64, entry *wire.Entry) (bool, error)
	// LookUpMissingRecords looks for records that explain a task which a worker reported and
	// the shard has no record of. It takes the lock.
	LookUpMissingRecords(shard *scheduler.Shard, task scheduler.Unrecorded)
}

// Observer receives the events of shards.
type Observer interface {
	// AcquiredLocked is called once a shard is served, before its first step.
	AcquiredLocked(shard *scheduler.Shard, now time.Time)
	// BeforeStepLocked is called before each step of a shard.
	BeforeStepLocked(shard *scheduler.Shard)
	// AfterStepLocked receives the findings of a step: units of work that were interrupted, and
	// workers' claims that contradict the shard's ledger.
	AfterStepLocked(interruptions []scheduler.Interruption, contradictions []scheduler.Contradiction, now time.Time)
	// CommittedLocked receives each transaction that was applied, with its revision, before the
	// watch delivers it.
	CommittedLocked(txn wire.Txn, revision uint64, now time.Time)
	// RespondToParkedLocked responds to a machine's parked heartbeat. It returns false if no
	// heartbeat of the machine is parked.
	RespondToParkedLocked(machine string, now time.Time) bool
}
