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

// Job is an unfinished job.
type Job struct {
	ref                 string
	spec                *wire.Spec
	pipeline            *pipeline // its pipeline; of one job alone unless it was submitted with one
	awaitsDependencies  bool      // not released by its pipeline, or by the jobs that it names, yet
	dependenciesEndedAt time.Time // when the last of these that is over was done
	unneeded            bool      // its pipeline has no use for it any more
	version             uint64
	accepted            time.Time
	cancelled           bool
	tasks               []task
	pendingTasks        int
	placedTasks         int
	completedTasks      int
	firstPending        int            // no idle task before it
	ranges              []*taskRange   // in order, apart
	zones               map[string]int // placed tasks by zone
	runningTasks        int            // placed tasks reported as running
	endTxn              *Txn           // its end, under way
	versionUnknown      bool           // the record's version is unknown; a reread is under way
	retryAt             time.Time
	notBefore           time.Time // not to be placed before, after failures
	failures            int
	failedOn            map[string]bool
	unplacedSince       time.Time // since when something waits that fits nowhere
	rank                int       // its priority, or a higher one of those that need it
	deadlineAt          time.Time // when it is to be done, for itself and these; zero: whenever
	hasDependents       bool      // others wait for its end
	withheld            bool      // a record that can't be decoded may tell of its tasks
	preemptedUntil      time.Time // until when room made for it is awaited
	preemptionTriedAt   time.Time // when room was last sought in vain
	protected           bool      // started after too long a wait: nothing takes its place
}

// releaseBatch is a number of machines to be given back with one record.
type releaseBatch struct {
	key     string
	ids     []string
	txn     *Txn
	retryAt time.Time
}

// Machine is a machine of the part.
type Machine struct {
	ID               string
	Type             wire.MachineType
	Zone             string
	Spot             bool
	Addr             string
	Phase            record.Phase
	version          uint64 // of its own record, 0 without one
	provisionedAt    time.Time
	epoch            uint64
	seq              uint64
	up               bool
	fenced           bool      // has reported our token
	inherited        bool      // may hold what an earlier owner started
	heardAt          time.Time // last report, or answer to a direct command or a probe
	heartbeatAt      time.Time // last report that could be answered
	steadySince      time.Time // since when it was heard without a gap
	answeredAt       time.Time // when a report of this session was last answered
	unreachableSince time.Time // since when no answer seems to reach it; zero: they do
	missedStarts     int       // reports in a row that lacked a start sent before
	reclaimedAt      time.Time // when the cloud takes it back; zero: no notice
	cpus             float64   // used
	gpus             float64
	mem              float64
	tasks            map[taskKey]*task
	images           []record.Image // believed to be cached, the latest used last
	idleSince        time.Time
	failed           map[string]bool // jobs that failed here in a row
	transferTo       int             // -1: stays
	draining         bool
	cordon           Cordon
	cordonedLater    bool // to be cordoned later: new work goes elsewhere if it can
	txn              *Txn // its move, under way
	versionUnknown   bool
	retryAt          time.Time
	directStarts     map[string]*directStart // starts sent straight to it, by task
	retained         int                     // exited tasks in its last report that it may not forget
	reserved         string                  // job for which room was made
	reservedTasks    int                     // for so many of its tasks
	reservedUntil    time.Time
	probes           probeState
	addressRecorded  bool         // its address is recorded
	announceToken    bool         // a command without orders is due, to bring our token there
	indexed          bool         // the index holds it,
	indexedClass     machineClass // under this class
	tasksByRank      [highestRank + 1]int
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

type usage struct{ cpus, gpus float64 }

// Shard is the core of one part.
type Shard struct {
	cfg           *Config
	id            int
	token         uint64
	ownershipLost bool
	machines      map[string]*Machine
	jobs          map[string]*Job
	placements    map[int]*placementRecord
	// txnOps and valueBytes are the limits to write by: those of the settings,
	// or less where the state service turned out to have others.
	txnOps, valueBytes     int
	sizedAllowed           bool                         // no controller of the first version is left
	sized                  bool                         // ranges state their size
	obsolete               []*placementRecord           // to be deleted
	pipelines              map[string]*pipeline         // pipelines of several jobs
	dependents             map[string]map[*Job]struct{} // by dependency, the jobs here that wait for it
	longestMachineID       int                          // of the machines' names
	toRelease              []string                     // machines to be given back with the next batch
	releaseAt              time.Time                    // when that batch is due
	releasing              *releaseBatch
	releaseBatches         int
	index                  index
	candidatesExamined     int                      // machines and jobs that placements have looked at, for tests
	protected              map[*Job]bool            // see Job.kept
	protectedLoad          [highestRank + 1]float64 // the share of the machines that kept jobs hold, by priority
	reservingGangs         map[string]*Job          // the gangs that machines are kept for in this pass, by zone
	candidates             candidateCache           // for the job whose tasks are being placed
	writeBacklog           time.Duration            // how long changes wait for the state service's budget
	cancellationsUnknown   bool                     // cancellations told elsewhere may be unknown here
	quotaUsage             map[string]*usage
	effects                Effects
	placementDue           bool // something that may allow a placement
	nextWake               time.Time
	delayedStarts          map[*Machine]time.Time // when starts that are delayed there are due
	endingJobs             map[string]*Job        // jobs whose end is to be recorded
	healthCheckedAt        time.Time
	probesInFlight         int                  // probes under way
	zoneAnsweredAt         map[string]time.Time // when a probe of a zone's machine was last answered
	partitionedZones       map[string]bool
	overloaded             bool                       // this controller falls behind: see lostWhy
	zoneCounts             map[silenceLimit]zoneCount // since the last health check
	drains                 drainState
	reconciliation         reconciliation
	unreadable             unreadableRecords
	heartbeatsAwaitedUntil time.Time                  // until when starts may wait for reports
	detectsDataLoss        bool                       // what the records never knew is told
	unrecordedTasks        map[string]*unrecordedTask // reported tasks that the records do not know
	explainedTasks         map[string]struct{}        // and those that turned out to be of jobs that are over
	// Machines' worth that arrived, fading; what may use spot machines apart.
	arrivals, spotArrivals float64
	arrivalsAt             time.Time
}

// New makes the core of a part claimed under a token.
func New(cfg *Config, id int, token uint64) *Shard {
	return &Shard{
		cfg: cfg, id: id, token: token, txnOps: cfg.TxnOps, valueBytes: cfg.ValueBytes, machines: map[string]*Machine{}, jobs: map[string]*Job{},
		placements: map[int]*placementRecord{}, pipelines: map[string]*pipeline{}, dependents: map[string]map[*Job]struct{}{}, quotaUsage: map[string]*usage{}, endingJobs: map[string]*Job{}, placementDue: true,
		index: newIndex(), protected: map[*Job]bool{}, delayedStarts: map[*Machine]time.Time{}, zoneAnsweredAt: map[string]time.Time{},
	}
}

// ID returns the part's number, Token its token, Lost whether it was found to
// belong to somebody else.
func (s *Shard) ID() int             { return s.id }
func (s *Shard) Token() uint64       { return s.token }
func (s *Shard) OwnershipLost() bool { return s.ownershipLost }

func (m *Machine) fencingToken(shard *Shard) uint64 { return max(shard.token, m.version) }

// recordCachedImage takes in that an image was used on a machine, and which older ones
// its cache can no longer hold.
func (s *Shard) recordCachedImage(m *Machine, name string, gb float64) {
	m.images = slices.DeleteFunc(m.images, func(i record.Image) bool { return i.Name == name })
	m.images = append(m.images, record.Image{Name: name, GB: gb})
	insert(s.index.byImage, name, m)
	sum := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		if sum += m.images[i].GB; sum > m.Type.CacheGB && i < len(m.images)-1 {
			for _, old := range m.images[:i+1] {
				remove(s.index.byImage, old.Name, m)
			}
			m.images = slices.Clone(m.images[i+1:])
			break
		}
	}
}

func (m *Machine) hasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i record.Image) bool { return i.Name == name })
}

func (s *Shard) ownershipCondition() wire.Cond {
	return wire.Cond{Key: record.ShardKey(s.id), Version: s.token}
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

func (s *Shard) usage(team string) *usage {
	u := s.quotaUsage[team]
	if u == nil {
		u = &usage{}
		s.quotaUsage[team] = u
	}
	return u
}
