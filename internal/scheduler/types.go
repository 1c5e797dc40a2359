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
	Teams  map[string]Team
	Types  map[string]wire.MachineType
	Report time.Duration // interval of reports
	Lease  time.Duration // workers' lease
	// SilentAfter is when a machine counts as lost while others are heard.
	SilentAfter time.Duration
	// BootFactor times a type's boot time is how long a machine may boot.
	BootFactor float64
	// PreemptAfter is how long a task waits for a free machine from elsewhere
	// before it takes the place of lower work.
	PreemptAfter time.Duration
	// GangWait is how long a gang's task that has its image waits for the others.
	GangWait time.Duration
	// Probes is how many machines may be asked for their reports at a time.
	Probes int
	// TxnOps and ValueBytes are the limits to write by: the changes in a
	// transaction and the size of a record.
	TxnOps, ValueBytes int
	// SlotTasks bounds the tasks whose placements share one plain record.
	SlotTasks int
	// GatherEnds is how long completions wait for others to share their write.
	GatherEnds time.Duration
	// GatherStarts and GatherBacks are the same for starts and for machines
	// given back.
	GatherStarts, GatherBacks time.Duration
	// Urgency orders a team's jobs of one priority; smaller goes first. The
	// deadline, in seconds from when it began to wait, is its own or the one that
	// those which need it leave.
	Urgency func(spec *wire.Spec, waited time.Duration, deadline *float64) float64
	// Pace holds orders back after a restart; nil: they are never held back.
	Pace *ratelimit.Limiter
}

type taskState uint8

const (
	idle   taskState = iota
	placed           // has a machine; see the flags
	done
)

type task struct {
	state     taskState
	recorded  bool // the placement is in the state service
	inTxn     bool // the placement is in a transaction under way
	durable   bool // the completion is in the state service
	inherited bool // placed by an earlier owner: never started by us
	judged    bool // what became of it after a take-over is known
	seen      bool // its machine has reported this attempt to us
	sentSess  uint64
	sent      bool
	phase     string // as reported
	runSince  time.Time
	attempt   uint64
	machine   *Machine
	stop      bool // to be stopped; never taken back for an attempt
	grace     time.Duration
	steps     *steps // until it runs
}

// steps is when a task's start passed what it has to pass.
type steps struct {
	placed, recorded, sent, seen time.Time
	cached                       bool
}

// End tells how long a job took, for the log.
type End struct {
	Ref, Class, State string
	Took, Estimate    time.Duration
	Tasks, Attempts   int // attempts: of the task that needed most
}

// MachineReturn tells why a machine is given back, for the log.
type MachineReturn struct {
	Machine, Why string
	Tasks        int
	Silent       time.Duration
}

// Start tells how a task came to run, for the log.
type Start struct {
	Task, Class, Machine                   string
	Queued, Recording, Sending, Seen, Runs time.Duration // each after the one before
	Cached                                 bool
	Image                                  string
	ImageGB                                float64
}

// Job is an unfinished job.
type Job struct {
	ref            string
	spec           *wire.Spec
	line           *line     // its pipeline; of one job alone unless it was submitted with one
	held           bool      // not released by its pipeline, or by the jobs that it names, yet
	freeAt         time.Time // when the last of these that is over was done
	dead           bool      // its pipeline has no use for it any more
	version        uint64
	accepted       time.Time
	cancelled      bool
	tasks          []task
	idleTasks      int
	placedTasks    int
	doneTasks      int
	firstIdle      int            // no idle task before it
	chunks         []*chunk       // in order, apart
	zones          map[string]int // placed tasks by zone
	runningTasks   int            // placed tasks reported as running
	ending         *Txn           // its end, under way
	versionUnknown bool           // the record's version is unknown; a reread is under way
	retry          time.Time
	hold           time.Time // not to be placed before, after failures
	fails          int
	failedOn       map[string]bool
	stuck          time.Time // since when something waits that fits nowhere
	rank           int       // its priority, or a higher one of those that need it
	due            time.Time // when it is to be done, for itself and these; zero: whenever
	needed         bool      // others wait for its end
	withheld       bool      // a record that can't be decoded may tell of its tasks
	madeRoom       time.Time // until when room made for it is awaited
	roomTried      time.Time // when room was last sought in vain
	kept           bool      // started after too long a wait: nothing takes its place
}

// batch is a number of machines to be given back with one record.
type batch struct {
	key   string
	ids   []string
	txn   *Txn
	retry time.Time
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
	born             time.Time
	session          uint64
	seq              uint64
	up               bool
	fenced           bool      // has reported our token
	inherited        bool      // may hold what an earlier owner started
	heard            time.Time // last report, or answer to a direct command or a probe
	reported         time.Time // last report that could be answered
	steady           time.Time // since when it was heard without a gap
	answered         time.Time // when a report of this session was last answered
	unreachableSince time.Time // since when no answer seems to reach it; zero: they do
	missed           int       // reports in a row that lacked a start sent before
	taken            time.Time // when the cloud takes it back; zero: no notice
	cpus             float64   // used
	gpus             float64
	mem              float64
	on               map[key]*task
	images           []record.Image // believed to be cached, the latest used last
	idleSince        time.Time
	failed           map[string]bool // jobs that failed here in a row
	moveTo           int             // -1: stays
	drain            bool
	cordon           Cordon
	avoided          bool // to be cordoned later: new work goes elsewhere if it can
	txn              *Txn // its move, under way
	versionUnknown   bool
	retry            time.Time
	runs             map[string]*pushedStart // starts sent straight to it, by task
	kept             int                     // exited tasks in its last report that it may not forget
	reserved         string                  // job for which room was made
	reservedN        int                     // for so many of its tasks
	reservedT        time.Time
	probes           probing
	addressed        bool  // its address is recorded
	announceToken    bool  // a command without orders is due, to bring our token there
	indexed          bool  // the index holds it,
	indexedAs        class // under this class
	ranks            [highestRank + 1]int
}

type key struct {
	job *Job
	i   int
}

func (k key) name() string { return TaskName(k.job.ref, k.i) }

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
	cfg      *Config
	id       int
	token    uint64
	lost     bool
	machines map[string]*Machine
	jobs     map[string]*Job
	slots    map[int]*placementRecord
	// txnOps and valueBytes are the limits to write by: those of the settings,
	// or less where the state service turned out to have others.
	txnOps, valueBytes int
	upgraded           bool                         // no controller of the first version is left
	stated             bool                         // ranges state their size
	plain              []*placementRecord           // to be deleted
	lines              map[string]*line             // pipelines of several jobs
	dependents         map[string]map[*Job]struct{} // by dependency, the jobs here that wait for it
	longestID          int                          // of the machines' names
	leaving            []string                     // machines to be given back with the next batch
	leaveAt            time.Time                    // when that batch is due
	back               *batch
	backs              int
	index              index
	looked             int                      // machines and jobs that placements have looked at, for tests
	kept               map[*Job]bool            // see Job.kept
	keptLoad           [highestRank + 1]float64 // the share of the machines that kept jobs hold, by priority
	gathers            map[string]*Job          // the gangs that machines are kept for in this pass, by zone
	found              found                    // for the job whose tasks are being placed
	backlog            time.Duration            // how long changes wait for the state service's budget
	blind              bool                     // cancellations told elsewhere may be unknown here
	teams              map[string]*usage
	out                Effects
	changed            bool // something that may allow a placement
	wake               time.Time
	delayed            map[*Machine]time.Time // when starts that are delayed there are due
	ending             map[string]*Job        // jobs whose end is to be recorded
	healthAt           time.Time
	asked              int                  // probes under way
	zoneSeen           map[string]time.Time // when a probe of a zone's machine was last answered
	cut                map[string]bool
	behind             bool                    // this controller falls behind: see lostWhy
	zones              map[zoneLimit]zoneCount // since the last health check
	drained            drained
	settling           settling
	unreadable         unreadable
	reportsDue         time.Time           // until when starts may wait for reports
	strict             bool                // what the records never knew is told
	doubts             map[string]*doubt   // reported tasks that the records do not know
	explained          map[string]struct{} // and those that turned out to be of jobs that are over
	// Machines' worth that arrived, fading; what may use spot machines apart.
	arrived, arrivedSpot float64
	arriveAt             time.Time
}

// New makes the core of a part claimed under a token.
func New(cfg *Config, id int, token uint64) *Shard {
	return &Shard{
		cfg: cfg, id: id, token: token, txnOps: cfg.TxnOps, valueBytes: cfg.ValueBytes, machines: map[string]*Machine{}, jobs: map[string]*Job{},
		slots: map[int]*placementRecord{}, lines: map[string]*line{}, dependents: map[string]map[*Job]struct{}{}, teams: map[string]*usage{}, ending: map[string]*Job{}, changed: true,
		index: newIndex(), kept: map[*Job]bool{}, delayed: map[*Machine]time.Time{}, zoneSeen: map[string]time.Time{},
	}
}

// ID returns the part's number, Token its token, Lost whether it was found to
// belong to somebody else.
func (s *Shard) ID() int       { return s.id }
func (s *Shard) Token() uint64 { return s.token }
func (s *Shard) Lost() bool    { return s.lost }

func (m *Machine) token(shard *Shard) uint64 { return max(shard.token, m.version) }

// keepsImage takes in that an image was used on a machine, and which older ones
// its cache can no longer hold.
func (s *Shard) keepsImage(m *Machine, name string, gb float64) {
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

func (s *Shard) cond() wire.Cond { return wire.Cond{Key: record.ShardKey(s.id), Version: s.token} }

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
	u := s.teams[team]
	if u == nil {
		u = &usage{}
		s.teams[team] = u
	}
	return u
}
