// Package scheduler is the pure core of one part of the work: the ledger of its
// tasks and machines, its queues, placement, preemption and demand. Events and
// the time go in, transactions, commands and requests come out. It starts no
// goroutines and does no input or output.
//
// Nothing runs that was not recorded: a placement first becomes a transaction,
// and only when that has succeeded does a report's answer carry the start. A
// placed task keeps its place, its resources and its quota until its machine
// proved it gone.
package scheduler

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"bramblespur/internal/ratelimit"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Team is a team's guarantee and limit (0: none) and its share.
type Team struct {
	Name             string
	CPUs, GPUs       float64 // guaranteed
	MaxCPUs, MaxGPUs float64
	Share            float64
}

// Config is what a part's core needs to know.
type Config struct {
	Teams             map[string]Team
	Types             map[string]wire.MachineType
	HeartbeatInterval time.Duration // interval of reports
	Lease             time.Duration // workers' lease
	// SilentAfter is when a machine counts as lost while others are heard.
	SilentAfter time.Duration
	// BootFactor times a type's boot time is how long a machine may boot.
	BootFactor float64
	// PreemptAfter is how long a task waits for a free machine from elsewhere
	// before it takes the place of lower work.
	PreemptAfter time.Duration
	// GangWait is how long a gang's task that has its image waits for the others.
	GangWait time.Duration
	// MaxProbes is how many machines may be asked for their reports at a time.
	MaxProbes int
	// TxnOps and ValueBytes are the limits to write by: the changes in a
	// transaction and the size of a record.
	TxnOps, ValueBytes int
	// PlacementsPerRecord bounds the tasks whose placements share one plain record.
	PlacementsPerRecord int
	// CompletionBatchDelay is how long completions wait for others to share their write.
	CompletionBatchDelay time.Duration
	// StartBatchDelay and GatherBacks are the same for starts and for machines
	// given back.
	StartBatchDelay, ReleaseBatchDelay time.Duration
	// Urgency orders a team's jobs of one priority; smaller goes first. The
	// deadline, in seconds from when it began to wait, is its own or the one that
	// those which need it leave.
	Urgency func(spec *wire.Spec, waited time.Duration, deadline *float64) float64
	// Pace holds orders back after a restart; nil: they are never held back.
	Pace *ratelimit.Limiter
}

type taskState uint8

const (
	pending taskState = iota
	placed            // has a machine; see the flags
	completed
)

type task struct {
	state              taskState
	recorded           bool // the placement is in the state service
	recording          bool // the placement is in a transaction under way
	completionRecorded bool // the completion is in the state service
	inherited          bool // placed by an earlier owner: never started by us
	reconciled         bool // what became of it after a take-over is known
	reported           bool // its machine has reported this attempt to us
	sentEpoch          uint64
	sent               bool
	phase              string // as reported
	runningSince       time.Time
	attempt            uint64
	machine            *Machine
	stopping           bool // to be stopped; never taken back for an attempt
	grace              time.Duration
	trace              *startTrace // until it runs
}

// startTrace is when a task's start passed what it has to pass.
type startTrace struct {
	placed, recorded, sent, reported time.Time
	cached                           bool
}

// JobEnd tells how long a job took, for the log.
type JobEnd struct {
	Ref, Class, State string
	Took, Estimate    time.Duration
	Tasks, Attempts   int // attempts: of the task that needed most
}

// MachineRelease tells why a machine is given back, for the log.
type MachineRelease struct {
	Machine, Why string
	Tasks        int
	Silent       time.Duration
}

// TaskStart tells how a task came to run, for the log.
type TaskStart struct {
	Task, Class, Machine                   string
	Queued, Recording, Sending, Seen, Runs time.Duration // each after the one before
	Cached                                 bool
	Image                                  string
	ImageGB                                float64
}

// Job is an unfinished job. Its tasks change state only in the task ledger, which keeps
// the counts in progress right.
type Job struct {
	ref                 string
	spec                *wire.Spec
	accepted            time.Time
	record              jobRecord
	pipeline            *pipeline // singleJob unless it was submitted with one
	awaitsDependencies  bool      // not released by its pipeline, or by the jobs that it names, yet
	dependenciesEndedAt time.Time // when the last of these that is terminal ended
	unneeded            bool      // its pipeline has no use for it any more
	cancelled           bool
	withheld            bool // a record that can't be decoded may tell of its tasks
	tasks               []task
	progress            jobProgress
	ranges              []*taskRange // in order, apart
	notBefore           time.Time    // not to be placed before, after failures
	faults              jobFaults
	unplacedSince       time.Time // since when something waits that fits nowhere
	preemption          preemptionState
	rank                int       // its priority, or a higher one of those that need it
	deadlineAt          time.Time // when it is to be done, for itself and these; zero: whenever
	hasDependents       bool      // others wait for its end
	protected           bool      // started after too long a wait: not preempted any more
}

// jobRecord is what is known of a job's record in the state service.
type jobRecord struct {
	version        uint64
	endTxn         *Txn // writes the job's end
	versionUnknown bool // a reread is under way
	retryAt        time.Time
}

// jobProgress counts a job's tasks by state; pending, placed and completed add up to all.
type jobProgress struct {
	pending, placed, completed int
	running                    int            // placed tasks reported as running
	firstPending               int            // no pending task before it
	placedByZone               map[string]int // placed tasks by zone
}

// jobFaults is what failed tasks tell of a job.
type jobFaults struct {
	count    int             // since the job was found to be at fault itself
	machines map[string]bool // where its tasks failed
}

// preemptionState is when a job preempted others, or tried to.
type preemptionState struct {
	awaitedUntil time.Time // until when the room that was made is awaited
	triedAt      time.Time // when preemption last found nothing
}

// Machine is a machine of the shard.
type Machine struct {
	ID            string
	Type          wire.MachineType
	Zone          string
	Spot          bool
	Addr          string
	Phase         record.Phase
	provisionedAt time.Time
	record        machineRecord
	contact       contact
	probes        probeState
	inherited     bool      // may hold what an earlier owner started
	reclaimedAt   time.Time // when the cloud takes it back; zero: no notice
	used          resources
	tasks         map[taskKey]*task
	images        []record.Image // believed to be cached, the latest used last
	idleSince     time.Time
	failed        map[string]bool // jobs that failed here in a row
	transferTo    int             // the shard that it goes to; -1: stays
	draining      bool            // to be released once it is empty
	cordon        Cordon
	cordonedLater bool                    // new work goes elsewhere if it can
	directStarts  map[string]*directStart // by task
	retained      int                     // exited tasks in its last heartbeat that it may not forget
	announceToken bool                    // a command without orders is due, to bring our token there
	reservation   reservation
	entry         inventoryEntry
}

// machineRecord is what is known of a machine's override record in the state service.
type machineRecord struct {
	version        uint64 // 0 without one
	txn            *Txn   // its transfer or a higher token, under way
	versionUnknown bool   // a reread is under way
	retryAt        time.Time
	hasAddress     bool // the machine's address is on record
}

// contact is what a machine's heartbeats and answers have shown.
type contact struct {
	epoch            uint64 // of its agent
	seq              uint64
	up               bool
	fenced           bool      // has reported our token
	heardAt          time.Time // last heartbeat, or answer to a direct command or a probe
	heartbeatAt      time.Time // last heartbeat that could be answered
	steadySince      time.Time // since when it was heard without a gap
	answeredAt       time.Time // when a heartbeat of this epoch was last answered
	unreachableSince time.Time // since when no answer seems to reach it; zero: they do
	missedStarts     int       // heartbeats in a row that lacked a start sent before
}

// reservation keeps room on a machine for tasks of one job.
type reservation struct {
	job   string // empty: none
	tasks int
	until time.Time
}

// inventoryEntry is how the inventory has indexed a machine.
type inventoryEntry struct {
	indexed     bool
	class       machineClass
	tasksByRank [highestRank + 1]int
}

type taskKey struct {
	job   *Job
	index int
}

func (k taskKey) name() string { return TaskName(k.job.ref, k.index) }

// TaskName names a task of a job.
func TaskName(ref string, i int) string { return ref + "/" + strconv.Itoa(i) }

// SplitTask splits a task's name.
func SplitTask(name string) (ref string, i int, ok bool) {
	at := strings.LastIndexByte(name, '/')
	if at < 0 {
		return "", 0, false
	}
	i, err := strconv.Atoi(name[at+1:])
	return name[:at], i, err == nil && i >= 0
}

// Shard is the scheduling core of one shard.
type Shard struct {
	cfg            *Config
	id             int
	token          uint64
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
	candidatesExamined   int       // machines and jobs that placements have examined, for tests
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
		inventory:     newInventory(),
		jobs:          map[string]*Job{},
		endingJobs:    map[string]*Job{},
		dependencies:  dependencies{pipelines: map[string]*pipeline{}, dependents: map[string]map[*Job]struct{}{}},
		ledger:        newPlacementLedger(cfg, token),
		quotas:        quotas{cfg: cfg, used: map[string]*usage{}},
		protection:    protectedJobs{jobs: map[*Job]bool{}},
		probes:        probes{zoneAnsweredAt: map[string]time.Time{}},
		delayedStarts: map[*Machine]time.Time{},
		placementDue:  true,
	}
}

// ID returns the part's number, Token its token, Lost whether it was found to
// belong to somebody else.
func (s *Shard) ID() int             { return s.id }
func (s *Shard) Token() uint64       { return s.token }
func (s *Shard) OwnershipLost() bool { return s.ownershipLost }

func (m *Machine) fencingToken(shard *Shard) uint64 { return max(shard.token, m.record.version) }

func (m *Machine) hasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i record.Image) bool { return i.Name == name })
}

func (s *Shard) ownershipCondition() wire.Condition {
	return wire.Condition{Key: record.ShardKey(s.id), Version: s.token}
}

// highestRank is that of the highest priority: nothing goes before it.
const highestRank = 3

// Rank orders priorities.
func Rank(priority string) int {
	switch priority {
	case "prod":
		return highestRank
	case "urgent":
		return 2
	case "normal":
		return 1
	}
	return 0
}
