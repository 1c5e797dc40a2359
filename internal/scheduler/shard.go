package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Shard is the scheduling state of one shard. Its methods may be called only under the
// caller's lock.
type Shard struct {
	cfg            *Config
	id             int    // number of the shard
	token          uint64 // fencing token: the version of the ownership record that acquired the shard
	ownership      ownership
	ownershipLost  bool // the shard is given up: Step does no more work, and no start is sent
	inventory      inventory
	jobs           map[string]*Job
	endingJobs     map[string]*Job // jobs whose terminal state is to be recorded
	dependencies   dependencies
	ledger         placementLedger
	releases       releaseQueue
	quotas         quotas
	protection     protectedJobs
	pass           placementPass
	arrivals       arrivalRate
	health         health
	probes         probes
	drains         drainState
	reconciliation reconciliation
	unreadable     unreadableRecords
	dataLoss       dataLossDetection
	delayedStarts  map[*Machine]time.Time // when the delayed starts on a machine are due
	writeBacklog   time.Duration          // how long writes wait for the request budget of the state service
	// cancellationsUnknown is set while cancellations that other controllers have confirmed to
	// users may not have reached this controller.
	cancellationsUnknown bool
	effects              Effects
	placementDue         bool      // a change may allow a placement
	nextWake             time.Time // when Step is due even without a change; zero: never
}

// placementPass is the state of one pass over the pending jobs.
type placementPass struct {
	gangByZone map[string]*Job // the gang for which machines of a zone are reserved
	candidates candidateCache  // for the job whose tasks are being placed
}

// dependencies holds the pipelines and jobs that jobs of the shard wait for.
type dependencies struct {
	pipelines  map[string]*pipeline         // pipelines of several jobs, by ref
	dependents map[string]map[*Job]struct{} // the jobs of this shard that depend on a job, by its ref
}

// New returns the empty state of a shard that was acquired under a fencing token.
func New(cfg *Config, id int, token uint64) *Shard {
	return &Shard{
		cfg: cfg, id: id, token: token,
		inventory:     newInventory(cfg),
		jobs:          map[string]*Job{},
		endingJobs:    map[string]*Job{},
		dependencies:  dependencies{pipelines: map[string]*pipeline{}, dependents: map[string]map[*Job]struct{}{}},
		ledger:        newPlacementLedger(cfg, token),
		quotas:        quotas{cfg: cfg, used: map[string]*usage{}},
		protection:    protectedJobs{jobs: map[*Job]bool{}},
		ownership:     ownership{confirmedAt: token, unconfirmed: map[*Machine]uint64{}},
		probes:        probes{zoneAnsweredAt: map[string]time.Time{}},
		delayedStarts: map[*Machine]time.Time{},
		placementDue:  true,
	}
}

// ID returns the shard's number.
func (s *Shard) ID() int { return s.id }

// Token returns the fencing token under which the shard was acquired.
func (s *Shard) Token() uint64 { return s.token }

// OwnershipLost reports whether the shard was found to belong to another controller.
func (s *Shard) OwnershipLost() bool { return s.ownershipLost }

// ownershipCondition returns the condition of every write: this controller still owns the shard.
func (s *Shard) ownershipCondition() wire.Condition {
	return wire.Condition{Key: record.ShardKey(s.id), Version: s.token}
}
