package scheduler

import (
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Txn is a transaction to carry out. Its outcome must be told to the part by
// exactly one of Applied, Conflict, Refused and Unknown.
type Txn struct {
	Body          wire.Txn
	Purpose       string                    // for the log
	Routine       bool                      // may wait for what users wait for
	job           *Job                      // its end
	pipelineAfter *pipeline                 // its pipeline after that
	releasedJobs  map[*Job]record.ActiveJob // jobs released by it
	placements    *placementRecord          // placements and completions of the chunks
	deletesRecord bool                      // the slot's record is deleted
	ranges        []*taskRange
	starts        []taskKey
	completions   []taskKey
	machine       *Machine // its move, or a higher token for it
	raisesToken   bool
	release       *releaseBatch // machines to give back
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
	StartsReady      []string         // machines for which a start is ready
	Started          []TaskStart      // tasks seen to run for the first time
	Ended            []JobEnd         // jobs that are over
	Released         []MachineRelease // machines to be given back
	// Contradictions are claims of workers that disagree with what is known.
	Contradictions []Contradiction
	// Interrupted are units of work that stopped without having ended, if these are
	// watched for: see WatchInterruptions.
	Interrupted []Interruption
	// Unrecorded are reported tasks whose records are to be looked for: see SetStrict.
	Unrecorded []Unrecorded
}
