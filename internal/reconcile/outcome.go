package reconcile

// Outcome is what a task or a machine turns out to be.
type Outcome uint8

// Outcomes.
const (
	Adopted     Outcome = iota // it is there as recorded, and goes on
	Finished                   // it has ended, perhaps while there was no owner
	MustStop                   // it is there and must not be
	Pending                    // recorded, and what became of it is not proven yet
	Missing                    // recorded, and proven gone
	Unrecorded                 // there is no record of it, or no longer
	Conflicting                // two reports exclude each other
	outcomeCount
)

// outcomeNames are the names in records of restarts and in logs.
var outcomeNames = [outcomeCount]string{"adopted", "finished while away", "to be stopped", "awaited", "missing",
	"unknown to the records", "contradictory"}

// String returns an outcome's name.
func (o Outcome) String() string {
	if o < outcomeCount {
		return outcomeNames[o]
	}
	return "no verdict"
}

// Action is what follows from an outcome.
type Action uint8

// Actions.
const (
	NoAction         Action = iota // nothing is to be done
	RecordCompletion               // its completion counts, and is to be recorded
	FreePlacement                  // its place and quota are free; it is placed again
	Stop                           // the worker is told to stop it
	Forget                         // the worker may forget it
	RetainResult                   // the worker must not forget it yet: a late start would begin it anew
	ResendStart                    // its start did not arrive and is sent again
	AwaitEvidence                  // only a later heartbeat, a newer incarnation or a release can tell
	ReleaseMachine                 // the machine is released
)

// Reason is why a task or a machine has its outcome.
type Reason uint8

// Reasons for tasks that are reported.
const (
	AsRecorded            Reason = iota // it is recorded where it is
	JobUnknown                          // the shard has no such job, or the job no such task
	CompletionNotRecorded               // it has completed, and no record says so yet
	RecordedElsewhere                   // this attempt is recorded on another machine
	AlreadyCompleted                    // it failed here and has completed elsewhere
	NotRecorded                         // this attempt is not recorded on this machine

	// Reasons for tasks that are recorded but not reported.

	PlacementNotRecorded // its placement is not recorded yet, so that no start was sent
	PlacedByPredecessor  // whatever an earlier owner sent can't arrive under this token
	ReportedBefore       // an earlier heartbeat had it
	IncarnationEnded     // its start was sent to an earlier incarnation of the worker
	StartMayBeUnderWay   // the heartbeat answers a direct command and may be older than the start
	StartDropped         // it is being stopped, and no start can arrive any more
	StartNotReceived     // the heartbeat is newer than the start that was sent
	StartNotSent         // its start is yet to be sent

	// Reasons for machines in the cloud's list.

	MachineRecorded         // a record names it
	MachineRecordedRecently // a record named it, and the list lags
	MachineMayBeProvisioned // a request is under way whose machines are not known
	MachineListedTooSeldom  // a list may be older than the record
	MachineNotRecorded      // no record names it
	reasonCount
)

// reasonNames are the names in logs.
var reasonNames = [reasonCount]string{
	"as recorded", "job unknown", "completion not recorded", "recorded elsewhere", "already completed", "not recorded",
	"placement not recorded", "placed by predecessor", "reported before", "incarnation ended", "start may be under way",
	"start dropped", "start not received", "start not sent",
	"machine recorded", "machine recorded recently", "machine may be provisioned", "machine listed too seldom", "machine not recorded",
}

// String returns a reason's name.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "no reason"
}

// Result is an outcome, what follows from it, and why.
type Result struct {
	Outcome Outcome
	Action  Action
	Reason  Reason
}

// OutcomeCounts counts results by outcome.
type OutcomeCounts [outcomeCount]int

// Add counts an outcome.
func (c *OutcomeCounts) Add(o Outcome) { c[o]++ }

// Merge adds other counts.
func (c *OutcomeCounts) Merge(other OutcomeCounts) {
	for o := range c {
		c[o] += other[o]
	}
}

// ByName returns the counts that are not zero, by the outcomes' names.
func (c *OutcomeCounts) ByName() map[string]int {
	out := map[string]int{}
	for o, n := range c {
		if n > 0 {
			out[Outcome(o).String()] = n
		}
	}
	return out
}
