package scheduler

import (
	"time"

	"bramblespur/internal/wire"
)

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
