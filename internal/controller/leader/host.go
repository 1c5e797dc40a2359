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

// Host is the interface between a Leader and its controller. Lock and Unlock operate on the shards'
// lock. Methods whose names end in Locked expect it held; the others must be called without it.
type Host interface {
	sync.Locker
	Election
	Shards
	Machines
	Limits
	Services
}

// Election gives access to the election of the leader, and to the state of the cluster that a
// leader acts on.
type Election interface {
	// IsLeaderLocked reports whether this controller certainly is the leader.
	IsLeaderLocked(now time.Time) bool
	// SafeModeLocked reports whether suspected data loss suspends the leader's duties.
	SafeModeLocked() bool
	// CandidacyLocked returns a function that campaigns to replace the leader record as it is
	// seen now, or nil if this controller must not campaign.
	CandidacyLocked(now time.Time) func(context.Context)
	// LeaderLocked returns the leader's label and the version of its record.
	LeaderLocked() (label string, version uint64)
	// ClusterLocked returns the inputs to the reassignment of shards, except Loads and LeaderFor.
	ClusterLocked(now time.Time) Cluster
	// StepDown ends the term by calling EndTermLocked and deletes the leader record.
	StepDown(ctx context.Context)
}

// Shards gives access to the shards that are hosted here, and to the ownership of the others.
type Shards interface {
	// SummariesLocked runs a step of all shards hosted here and returns their summaries.
	SummariesLocked(now time.Time) []fleet.Summary
	// OrderLocked carries an order out if its shard is hosted here, and returns false if it is
	// not.
	OrderLocked(o fleet.Order, now time.Time) bool
	// TokenLocked returns the fencing token of a shard, and false if it is not hosted here.
	TokenLocked(shard int) (token uint64, hosted bool)
	// OwnerLocked returns the label of a shard's owner according to its ownership record.
	OwnerLocked(shard int) string
	// MayPlanLocked reports whether shards are hosted here under a lease that is certain.
	MayPlanLocked(now time.Time) bool
	// AcquireLocked begins to acquire a shard, unless its acquisition is under way.
	AcquireLocked(ctx context.Context, shard int)
	// TransferBackLocked begins to transfer a shard back to its preferred owner.
	TransferBackLocked(ctx context.Context, shard int)
}

// Machines gives access to the records of machines, and decides what may be done with machines.
type Machines interface {
	// FleetLocked returns the view of the records of machines.
	FleetLocked() *clusterview.Machines
	// FleetLoadedLocked reports whether the view of the records of machines has been loaded.
	FleetLoadedLocked() bool
	// ReadFleet reads the records of machines from the state service, past the view.
	ReadFleet(ctx context.Context, purpose statestore.Purpose) (*record.Fleet, error)
	MachineTypesLocked() []wire.MachineType
	// ApplyOwnWritesLocked applies a transaction of this controller, which was committed at a
	// revision, to the views.
	ApplyOwnWritesLocked(t wire.Txn, revision uint64, at time.Time)
	// AllowCloudCallLocked reports whether the rate limit allows to provision or release machines
	// now.
	AllowCloudCallLocked(now time.Time) bool
	// CheckForLostRecords asks the agents of machines without records whether the machines worked
	// for this cluster, and reports whether data was lost. The addresses are by machine id.
	CheckForLostRecords(ctx context.Context, addresses map[string]string) bool
}

// Limits gives access to the load of this controller and to the limits that all controllers share.
type Limits interface {
	// StateServiceLimitsLocked returns the state service's limits for all controllers together.
	StateServiceLimitsLocked() config.State
	// IsLiveMemberLocked reports whether a controller is alive according to its member record.
	IsLiveMemberLocked(label string) bool
	// LoadLocked returns this controller's own load.
	LoadLocked(now time.Time) Load
	// BehindLocked reports whether this controller is behind with its work.
	BehindLocked() bool
	// TakeDelayedCommandsLocked returns how many commands to workers were delayed by the rate
	// limit since the last call.
	TakeDelayedCommandsLocked() int
	// CommandRateLocked returns how many commands to workers all controllers together may send
	// per second, and false if they are not limited.
	CommandRateLocked() (total float64, limited bool)
	// SetCommandRateShareLocked sets this controller's share of that rate, in commands per second.
	SetCommandRateShareLocked(share float64, now time.Time)
}

// Services gives access to the state service, the cloud and the other controllers.
type Services interface {
	Store() statestore.Store
	Cloud() cloud.API
	// Peers returns the other controllers by label.
	Peers() map[string]peer.Caller
	// CheckSync records the outcome of a sync for the peer's health. It returns the error of the
	// call, or if that is nil, an error if the reply is malformed.
	CheckSync(label string, r *peer.SyncReply, err error) error
	// PingPeers checks which other controllers answer. It is called while another one leads.
	PingPeers()
	// AfterTurn is called after each turn, whichever controller leads.
	AfterTurn(ctx context.Context)
}
