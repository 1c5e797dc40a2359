package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Shard is the scheduling core of one shard.
type Shard struct {
	cfg            *Config
	id             int
	token          uint64
	ownership      ownership
	ownershipLost  bool
	inventory      inventory
	jobs           map[string]*Job
	endingJobs     map[string]*Job // jobs whose end is to be recorded
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
	delayedStarts  map[*Machine]time.Time // when starts that are delayed there are due
	writeBacklog   time.Duration          // how long changes wait for the state service's budget
	// cancellationsUnknown: cancellations told elsewhere may be unknown here.
	cancellationsUnknown bool
	effects              Effects
	placementDue         bool      // something changed that may allow a placement
	nextWake             time.Time // when a Step is due though nothing changes; zero: never
}

// placementPass is what one pass over the waiting jobs keeps.
type placementPass struct {
	gangByZone map[string]*Job // the gangs that machines are reserved for, by zone
	candidates candidateCache  // for the job whose tasks are being placed
}

// dependencies is what jobs of the shard wait for besides room.
type dependencies struct {
	pipelines  map[string]*pipeline         // those of several jobs
	dependents map[string]map[*Job]struct{} // by dependency, the jobs here that wait for it
}

// New makes the core of a shard acquired under a token.
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

// ownershipCondition is the condition of every write: that the shard is still ours.
func (s *Shard) ownershipCondition() wire.Condition {
	return wire.Condition{Key: record.ShardKey(s.id), Version: s.token}
}
