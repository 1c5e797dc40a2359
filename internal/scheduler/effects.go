package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Txn is a transaction to carry out. Its outcome must be told to the shard by
// exactly one of Applied, Conflict, Refused and Unknown.
type Txn struct {
	Body          wire.Txn
	Purpose       string                    // for the log
	Routine       bool                      // may wait for what users wait for
	job           *Job                      // its end
	pipelineAfter *pipeline                 // its pipeline after that
	releasedJobs  map[*Job]record.ActiveJob // jobs released by it
	placements    *placementRecord          // placements and completions of the ranges
	deletesRecord bool                      // the placement record is deleted
	ranges        []*taskRange
	starts        []taskKey
	completions   []taskKey
	machine       *Machine // its move, or a higher token for it
	raisesToken   bool
	release       *releaseBatch // machines to release
}

// DirectCommand is a command to send straight to a worker.
type DirectCommand struct {
	Machine string
	Addr    string
	Orders  wire.DirectOrders
}

// Effects is what the shell has to carry out.
type Effects struct {
	Txns             []*Txn
	RereadJobs       []string
	RereadPlacements []int
	RereadMachines   []string
	RereadPipelines  []string
	DirectCommands   []DirectCommand
	Probes           []Probe
	// ConfirmOwnershipAt is a revision for which the ownership record is to be read, 0 for none:
	// see OwnershipConfirmed.
	ConfirmOwnershipAt uint64
	StartsReady        []string         // machines for which a start is ready
	Started            []TaskStart      // tasks seen to run for the first time
	Ended              []JobEnd         // jobs that are over
	Released           []MachineRelease // machines to be released
	// Contradictions are claims of workers that disagree with what is known.
	Contradictions []Contradiction
	// Interrupted are units of work that stopped without having ended, if these are
	// watched for: see WatchInterruptions.
	Interrupted []Interruption
	// Unrecorded are reported tasks whose records are to be looked for: see SetStrict.
	Unrecorded []Unrecorded
}

// JobEnd tells how long a job took, for the log.
type JobEnd struct {
	Ref, Class, State string
	Took, Estimate    time.Duration
	Tasks, Attempts   int // attempts: of the task that needed most
}

// MachineRelease tells why a machine is released, for the log.
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
