package reconcile

// Outcome is what reconciliation found about a task or a machine.
type Outcome uint8

// Outcomes.
const (
	Adopted     Outcome = iota // it is where the records say, and continues
	Finished                   // it has ended, perhaps while there was no owner
	MustStop                   // it is there and should not be
	Pending                    // recorded, but the evidence does not prove yet what became of it
	Missing                    // recorded, and proven gone
	Unrecorded                 // it has no record, or no longer has one
	Conflicting                // two reports contradict each other
	outcomeCount
)

// outcomeNames are the names of outcomes in restart records and in logs.
var outcomeNames = [outcomeCount]string{"adopted", "finished while away", "to be stopped", "awaited", "missing",
	"unknown to the records", "contradictory"}

// String returns the outcome's name in restart records and in logs.
func (o Outcome) String() string {
	if o < outcomeCount {
		return outcomeNames[o]
	}
	return "no outcome"
}

// Action is what the owner must do as a result of an outcome.
type Action uint8

// Actions.
const (
	NoAction         Action = iota // nothing is to be done
	RecordCompletion               // it has completed, which is to be recorded
	FreePlacement                  // its placement and quota are freed, and it is placed again
	Stop                           // the worker gets a command to stop it
	Forget                         // the worker may forget it
	RetainResult                   // the worker must not forget it yet: a delayed start would run it again
	ResendStart                    // its start did not arrive and is sent again
	AwaitEvidence                  // only a later heartbeat, a newer incarnation or a release can prove more
	ReleaseMachine                 // the machine is released
)

// Reason is why a task or a machine has its outcome.
type Reason uint8

// Reasons for tasks that a heartbeat reports.
const (
	AsRecorded            Reason = iota // it is recorded on this machine under this attempt
	JobUnknown                          // the shard does not have the job, or the job does not have the task
	CompletionNotRecorded               // it has completed, and its completion is not recorded yet
	RecordedElsewhere                   // this attempt is recorded on another machine
	AlreadyCompleted                    // it failed here and has completed elsewhere
	NotRecorded                         // this attempt is not recorded on this machine

	// Reasons for tasks that are recorded but not reported.

	PlacementNotRecorded // its placement is not recorded yet, so that no start was sent
	PlacedByPredecessor  // an earlier owner placed it, whose start can no longer arrive under this token
	ReportedBefore       // an earlier heartbeat reported it
	IncarnationEnded     // its start was sent to an earlier incarnation of the worker
	StartMayBeUnderWay   // the heartbeat answers a direct command, and may be older than the start
	StartDropped         // it is being stopped, and its start can no longer arrive
	StartNotReceived     // the heartbeat is newer than the start that was sent, and does not report it
	StartNotSent         // its start has not been sent yet

	// Reasons for machines in the cloud's list.

	MachineRecorded         // a record names it
	MachineRecordedRecently // a record named it until recently, and the list lags
	MachineMayBeProvisioned // a provision request is in flight whose machines are not known
	MachineListedTooSeldom  // too few consecutive lists had it: a list may be older than the record
	MachineNotRecorded      // no record names it
	reasonCount
)

// reasonNames are the names of reasons in logs.
var reasonNames = [reasonCount]string{
	"as recorded", "job unknown", "completion not recorded", "recorded elsewhere", "already completed", "not recorded",
	"placement not recorded", "placed by predecessor", "reported before", "incarnation ended", "start may be under way",
	"start dropped", "start not received", "start not sent",
	"machine recorded", "machine recorded recently", "machine may be provisioned", "machine listed too seldom", "machine not recorded",
}

// String returns the reason's name in logs.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "no reason"
}

// Result is an outcome, the action that follows from it, and the reason for it.
type Result struct {
	Outcome Outcome
	Action  Action
	Reason  Reason
}

// OutcomeCounts is the number of tasks or machines with each outcome.
type OutcomeCounts [outcomeCount]int

// Add counts one more task or machine with an outcome.
func (c *OutcomeCounts) Add(o Outcome) { c[o]++ }

// Merge adds the other counts to c.
func (c *OutcomeCounts) Merge(other OutcomeCounts) {
	for o := range c {
		c[o] += other[o]
	}
}

// ByName returns the counts that are not zero, by the names of the outcomes.
func (c *OutcomeCounts) ByName() map[string]int {
	out := map[string]int{}
	for o, n := range c {
		if n > 0 {
			out[Outcome(o).String()] = n
		}
	}
	return out
}
