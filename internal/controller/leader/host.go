package leader

import (
	"context"
	"sync"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/fleet"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Host is the controller that the duties run in. Lock and Unlock are those of the shards'
// lock. Methods whose names end in Locked expect it held; the others must be called without
// it.
type Host interface {
	sync.Locker
	Election
	Shards
	Machines
	Limits
	Services
}

// Election is what the duties need to know of who leads.
type Election interface {
	// IsLeaderLocked reports whether this controller certainly is the leader.
	IsLeaderLocked(now time.Time) bool
	// SafeModeLocked reports whether suspected data loss suspends the duties.
	SafeModeLocked() bool
	// CandidacyLocked returns how to campaign against the leader record as it is seen now,
	// nil if this controller must not.
	CandidacyLocked(now time.Time) func(context.Context)
	// LeaderLocked returns the leader's label and the version of its record.
	LeaderLocked() (label string, version uint64)
	// ClusterLocked returns all that the reassignment of shards depends on, but for Loads
	// and LeaderFor.
	ClusterLocked(now time.Time) Cluster
	// StepDown ends the term by EndTermLocked and deletes the leader record.
	StepDown(ctx context.Context)
}

// Shards is the shards that are hosted here, and the way to others.
type Shards interface {
	// SummariesLocked steps all shards hosted here and returns what they need and have.
	SummariesLocked(now time.Time) []fleet.Summary
	// OrderLocked carries an order out and reports true if its shard is hosted here.
	OrderLocked(o fleet.Order, now time.Time) bool
	// TokenLocked returns the fencing token of a shard that is hosted here.
	TokenLocked(shard int) (token uint64, hosted bool)
	// OwnerLocked returns a shard's owner by its record.
	OwnerLocked(shard int) string
	// MayPlanLocked reports whether shards are hosted here under a lease that is certain.
	MayPlanLocked(now time.Time) bool
	// AcquireLocked begins to acquire a shard, unless that is under way.
	AcquireLocked(ctx context.Context, shard int)
	// TransferBackLocked begins to give a shard to its preferred owner.
	TransferBackLocked(ctx context.Context, shard int)
}

// Machines is the records of machines and what may be done with them.
type Machines interface {
	// FleetLocked returns the view of the records.
	FleetLocked() *clusterview.Machines
	// FleetLoadedLocked reports whether there is such a view yet.
	FleetLoadedLocked() bool
	// ReadFleet reads the records themselves.
	ReadFleet(ctx context.Context, purpose statestore.Purpose) (*record.Fleet, error)
	MachineTypesLocked() []wire.MachineType
	// ApplyOwnWritesLocked brings the views to what a transaction of this controller wrote.
	ApplyOwnWritesLocked(t wire.Txn, revision uint64, at time.Time)
	// AllowCloudCallLocked reports whether a machine may be provisioned or released now.
	AllowCloudCallLocked(now time.Time) bool
	// CheckForLostRecords asks the agents of machines without records, by id, whether they worked
	// here, and reports whether data was lost.
	CheckForLostRecords(ctx context.Context, addresses map[string]string) bool
}

// Limits is what the controller and the services outside can bear.
type Limits interface {
	// StateServiceLimitsLocked returns the state service's limits for all controllers together.
	StateServiceLimitsLocked() config.State
	// IsLiveMemberLocked reports whether a controller is alive by its member record.
	IsLiveMemberLocked(label string) bool
	// LoadLocked returns this controller's own load.
	LoadLocked(now time.Time) Load
	// BehindLocked reports whether this controller is behind with its work.
	BehindLocked() bool
	// TakeDelayedCommandsLocked returns how many direct commands had to wait since it was last asked.
	TakeDelayedCommandsLocked() int
	// CommandRateLocked returns the direct commands a second of all controllers, if they are
	// limited.
	CommandRateLocked() (total float64, limited bool)
	// SetCommandRateShareLocked sets this controller's part of them.
	SetCommandRateShareLocked(share float64, now time.Time)
}

// Services is how the duties reach the world outside.
type Services interface {
	Store() statestore.Store
	Cloud() cloud.API
	// Peers returns the other controllers by label.
	Peers() map[string]peer.Caller
	// CheckSync notes the outcome of a peer's sync for its health and returns the error of
	// the call, or else that of a reply that makes no sense.
	CheckSync(label string, r *peer.SyncReply, err error) error
	// PingPeers learns which controllers answer, while another one leads.
	PingPeers()
	// AfterTurn does what follows each turn, whoever leads.
	AfterTurn(ctx context.Context)
}
