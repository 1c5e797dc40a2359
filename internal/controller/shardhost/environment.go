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

// Environment is the rest of the controller as a Host needs it. Methods whose names end in
// Locked are called with the Host's lock held, and must not take it.
type Environment interface {
	Outside
	ClusterView
	Authority
	DataLossDetection
	Observer
}

// Outside is what a Host calls over the network, never with its lock held.
type Outside interface {
	// Lifetime ends with the controller.
	Lifetime() context.Context
	Store() statestore.Store
	Agents() agent.API
	Cloud() cloud.API
	// CheckResponse returns err, or else what check finds wrong with a worker's response,
	// which it logs.
	CheckResponse(machine string, err error, check func() error) error
	// PipelineEnds reads the terminal states of a pipeline's jobs that its record does not
	// tell; those named are known to be active.
	PipelineEnds(ctx context.Context, pipeline *record.Pipeline, active []string) ([]record.PipelineJobEnd, error)
}

// Ownership is a shard's ownership record with its revision, which is the owner's fencing
// token. The zero value stands for a shard without a record.
type Ownership = record.Versioned[record.Shard]

// ClusterView is what this controller knows of the cluster from its watches.
type ClusterView interface {
	// OwnershipLocked returns a shard's ownership record, false if there is none.
	OwnershipLocked(id int) (Ownership, bool)
	// SetOwnershipLocked applies an ownership record unless a later one is known. A later
	// one than the token of a shard that is served here drops that shard.
	SetOwnershipLocked(id int, rec record.Shard, version uint64)
	// OwnersLocked returns the owners on record by shard.
	OwnersLocked() map[int]string
	// LiveMembersLocked returns the labels of the controllers whose leases stand, in order.
	LiveMembersLocked() []string
	// ViewLocked reports whether there is a view of the members and ownership records, and
	// whether it is recent enough to conclude from it that an owner is gone.
	ViewLocked(now time.Time) (known, recent bool)
	MachinesOfShardLocked(id int) []clusterview.Machine
	// ActiveJobLocked returns the shard and the version of a job's record as viewed.
	ActiveJobLocked(ref string) (shard int, version uint64, known bool)
	// InheritDependenciesLocked tells a shard which jobs its active jobs wait for.
	InheritDependenciesLocked(shard *scheduler.Shard)
	// UpgradedLocked reports whether no controller of the first version is left.
	UpgradedLocked() bool
	// AllRangesSizedLocked reports whether all ranges of tasks are to be written with their size.
	AllRangesSizedLocked() bool
}

// Authority tells what this controller may do by its own lease and its view.
type Authority interface {
	Incarnation() uint64
	// LeaseTime is how long a member lease lasts without a renewal.
	LeaseTime() time.Duration
	// LeaseCertain reports whether this controller's lease certainly stands.
	LeaseCertain(now time.Time) bool
	// MayStartTasksLocked reports whether the lease certainly stands and the view of active
	// jobs, which tells of cancellations, is recent.
	MayStartTasksLocked(now time.Time) bool
	// UptimeLocked returns for how long this controller has been running.
	UptimeLocked(now time.Time) time.Duration
}

// DataLossDetection notices a state service that lost data.
type DataLossDetection interface {
	// DataLossDetectionEnabled reports whether data loss is watched for at all.
	DataLossDetectionEnabled() bool
	// SafeModeLocked reports whether nothing may be started, stopped or recorded.
	SafeModeLocked() bool
	// NoticeOlderLocked compares the version found of a record, 0 if there is none, with the
	// highest that was seen of it.
	NoticeOlderLocked(key string, held, found uint64, now time.Time)
	// ConfirmReread reports whether a shard may be told of a record that was read again: it
	// must not if the record is older than what the shard knows of it. It takes the lock.
	ConfirmReread(ctx context.Context, shard *scheduler.Shard, key string, entry *wire.Entry) (bool, error)
	// LookUpMissingRecords looks for records that explain a reported task of which a shard
	// has none. It takes the lock.
	LookUpMissingRecords(shard *scheduler.Shard, task scheduler.Unrecorded)
}

// Observer is told what happens to shards.
type Observer interface {
	// AcquiredLocked is called once a shard is served, before its first step.
	AcquiredLocked(shard *scheduler.Shard, now time.Time)
	// BeforeStepLocked is called before each step of a shard.
	BeforeStepLocked(shard *scheduler.Shard)
	// AfterStepLocked is told what a step has found out: units of work that were interrupted,
	// and claims of workers that contradict what is known.
	AfterStepLocked(interruptions []scheduler.Interruption, contradictions []scheduler.Contradiction, now time.Time)
	// CommittedLocked is told of each transaction that was applied, at its revision, ahead of
	// the watch.
	CommittedLocked(txn wire.Txn, revision uint64, now time.Time)
	// RespondToParkedLocked answers a machine's parked heartbeat, if there is one.
	RespondToParkedLocked(machine string, now time.Time) bool
}
