package scheduler

import (
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Txn is a transaction to carry out. Its outcome must be told to the part by
// exactly one of Applied, Conflict, Refused and Unknown.
type Txn struct {
	Body    wire.Txn
	Purpose string                    // for the log
	Routine bool                      // may wait for what users wait for
	job     *Job                      // its end
	next    *line                     // its pipeline after that
	free    map[*Job]record.ActiveJob // jobs released by it
	slot    *placementRecord          // placements and completions of the chunks
	gone    bool                      // the slot's record is deleted
	chunks  []*chunk
	starts  []key
	dones   []key
	machine *Machine // its move, or a higher token for it
	fence   bool
	back    *batch // machines to give back
}

// Push is a command to send straight to a worker.
type Push struct {
	Machine string
	Addr    string
	Orders  wire.DirectOrders
}

// Effects is what the shell has to carry out.
type Effects struct {
	Txns           []*Txn
	RereadJobs     []string
	RereadSlots    []int
	RereadMachines []string
	RereadPipes    []string
	Pushes         []Push
	Probes         []Probe
	Wake           []string        // machines for which a start is ready
	Started        []Start         // tasks seen to run for the first time
	Ended          []End           // jobs that are over
	Returned       []MachineReturn // machines to be given back
	// Contradictions are claims of workers that disagree with what is known.
	Contradictions []Contradiction
	// Interrupted are units of work that stopped without having ended, if these are
	// watched for: see WatchInterruptions.
	Interrupted []Interruption
	// Unrecorded are reported tasks whose records are to be looked for: see SetStrict.
	Unrecorded []Unrecorded
}
