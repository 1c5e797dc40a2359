package scheduler

import (
	"time"

	"bramblespur/internal/fragment"
	"bramblespur/internal/wire"
)

// Job is an active job of the shard. Its tasks change state only through the task ledger, which
// keeps the counts in progress consistent.
type Job struct {
	ref                 string
	spec                *wire.Spec
	accepted            time.Time // when it was accepted, or released by its dependencies: its wait counts from then
	record              jobRecord
	pipeline            *pipeline     // singleJob if it was submitted by itself, or dependentJob if it then has dependencies
	join                fragment.Join // of its dependencies
	awaitsDependencies  bool          // not yet released by its pipeline or its dependencies
	dependenciesEndedAt time.Time     // when the latest of its finished dependencies ended
	unneeded            bool          // cancelled because its pipeline or a cancelled dependency leaves no use for it
	cancelled           bool
	withheld            bool // a placement record that cannot be decoded may hold its tasks
	tasks               taskTable
	progress            jobProgress
	ranges              []*taskRange // in order, without overlaps
	notBefore           time.Time    // earliest time of the next placement, after failures
	faults              jobFaults
	unplacedSince       time.Time // since when it has found no machine with room; zero: it does not wait for machines
	preemption          preemptionState
	rank                int       // rank of its priority, or a higher one inherited from its dependents
	deadlineAt          time.Time // earliest deadline of the job and its dependents; zero: only spec.DeadlineS applies
	hasDependents       bool      // other jobs wait for its end
	protected           bool      // placed after too long a wait: exempt from preemption
}

// jobRecord is the state of a job's active record in the state service.
type jobRecord struct {
	version        uint64
	endTxn         *Txn      // transaction in flight that writes the job's end; nil: none
	versionUnknown bool      // a reread is in flight
	retryAt        time.Time // no write before this time
}

// jobProgress counts a job's tasks by state; pending, placed and completed add up to all.
type jobProgress struct {
	pending, placed, completed int
	running                    int            // placed tasks reported as running
	firstPending               int            // no task before this index is pending
	placedByZone               map[string]int // number of placed tasks by zone
}

// jobFaults counts a job's failures, to find out whether the job or a machine is at fault.
type jobFaults struct {
	count    int                  // failures since the job itself was found to be at fault
	machines map[string]time.Time // when one of its tasks last failed on a machine, by the machine's ID
}

// preemptionState records when a job preempted others, or tried to.
type preemptionState struct {
	awaitedUntil time.Time // until when it waits for preempted tasks to free their resources
	triedAt      time.Time // when preemption last found nothing to preempt
}

// highestRank is the rank of the highest priority.
const highestRank = 3

// Rank returns the rank of a priority: jobs of higher ranks are placed first. The lowest is 0.
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
