package scheduler

import (
	"strconv"
	"strings"
	"time"
)

// taskState is the state of a task in the ledger. placeTask, unplaceTask and markCompleted are
// the only transitions.
type taskState uint8

const (
	pending   taskState = iota // has no machine
	placed                     // has a machine; the task's flags show the progress of its start
	completed                  // final
)

// task is a task of a job, in the taskTable of that. Its fields are valid only while it is placed,
// except for state and completionRecorded.
type task struct {
	state              taskState
	recorded           bool      // the placement is in the state service
	recording          bool      // a transaction in flight writes the placement
	completionRecorded bool      // the completion is in the state service
	inherited          bool      // placed by an earlier owner or adopted: this owner never starts it
	reconciled         bool      // its outcome in the reconciliation after a failover is known
	reported           bool      // its machine has reported this attempt to this owner
	sentIncarnation    uint64    // agent incarnation that the start was sent to
	sent               bool      // its start was sent
	phase              string    // state in the last report, a wire constant; empty: not reported
	runningSince       time.Time // when it was first reported as running
	attempt            uint64
	machine            *Machine
	stopping           bool          // to be stopped; never revoked for the attempt
	grace              time.Duration // time that the stop leaves it to save
	trace              *startTrace   // nil once it runs, and for inherited tasks
}

// startTrace holds when a task's start reached each of its stages.
type startTrace struct {
	placed, recorded, sent, reported time.Time
	cached                           bool // the machine was believed to have the image cached
}

// taskKey identifies a task of the shard.
type taskKey struct {
	job   *Job
	index int
}

func (k taskKey) name() string { return TaskName(k.job.ref, k.index) }

// TaskName returns the name of task i of the job ref: REF/INDEX.
func TaskName(ref string, i int) string { return ref + "/" + strconv.Itoa(i) }

// SplitTask splits a task's name into the job's ref and the task's index. It returns ok false if
// the name is not of the form REF/INDEX.
func SplitTask(name string) (ref string, i int, ok bool) {
	at := strings.LastIndexByte(name, '/')
	if at < 0 {
		return "", 0, false
	}
	i, err := strconv.Atoi(name[at+1:])
	return name[:at], i, err == nil && i >= 0
}
