package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Txn is a transaction to carry out. The caller reports its outcome to the shard by exactly one
// call of Applied, Conflict, Refused, TooLarge or Unknown.
type Txn struct {
	Body          wire.Txn
	Purpose       string                    // for the log
	Routine       bool                      // requests that users wait for may go first
	job           *Job                      // job whose terminal state is recorded
	pipelineAfter *pipeline                 // the job's pipeline after that
	releasedJobs  map[*Job]record.ActiveJob // jobs released by the pipeline step, with their new records (zero: not rewritten)
	placements    *placementRecord          // the placement record that is written or deleted
	deletesRecord bool                      // the placement record is deleted, not written
	ranges        []*taskRange              // ranges in the placement record
	starts        []taskKey                 // tasks whose placements are new in the record
	completions   []taskKey                 // tasks whose completions are new in the record
	machine       *Machine                  // machine whose override record is written: its transfer or a higher token
	raisesToken   bool                      // the override record raises the machine's fencing token
	release       *releaseBatch             // machines to release
}

// DirectCommand holds commands to send directly to a worker.
type DirectCommand struct {
	Machine string // ID
	Addr    string // of the worker
	Orders  wire.DirectCommands
}

// Effects lists what the caller has to carry out.
type Effects struct {
	Txns             []*Txn
	RereadJobs       []string // refs of jobs to read again: see JobRead
	RereadPlacements []int    // numbers of placement records to read again: see PlacementsRead
	RereadMachines   []string // IDs of machines whose override records to read again: see MachineRead
	RereadPipelines  []string // refs of pipelines to read again: see PipelineRead
	DirectCommands   []DirectCommand
	Probes           []Probe
	// ConfirmOwnershipAt is a revision of the state service at which this controller must be
	// shown to own the shard by reading the ownership record; 0: none. See OwnershipConfirmed.
	ConfirmOwnershipAt uint64
	StartsReady        []string         // IDs of the machines for which a start is ready
	Started            []TaskStart      // tasks reported as running for the first time
	Ended              []JobEnd         // jobs whose terminal state was recorded
	Released           []MachineRelease // machines to be released
	// Contradictions are reports of workers that disagree with the ledger.
	Contradictions []Contradiction
	// Interrupted are units of work that stopped without having ended; empty unless
	// WatchInterruptions has turned them on.
	Interrupted []Interruption
	// Unrecorded are reported tasks whose records are to be looked up: see DetectDataLoss.
	Unrecorded []Unrecorded
}

// JobEnd describes a job that became terminal, for the log.
type JobEnd struct {
	Ref, Class, State string
	Took, Estimate    time.Duration
	Tasks, Attempts   int // attempts of the task that needed most
}

// MachineRelease describes a machine to be released and why, for the log.
type MachineRelease struct {
	Machine, Why string
	Tasks        int           // tasks placed on it
	Silent       time.Duration // time since the last contact
}

// TaskStart describes how a task was started, for the log.
type TaskStart struct {
	Task, Class, Machine string
	// The durations of the stages, one after the other: until the task was placed, its placement
	// recorded, its start sent, the task reported, and reported as running.
	Queued, Recording, Sending, Seen, Runs time.Duration
	Cached                                 bool // the machine was believed to have the image cached
	Image                                  string
	ImageGB                                float64
}
