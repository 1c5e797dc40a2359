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
	placed                     // has a machine; the task's flags tell how far its start has come
	completed                  // for ever
)

// task is a task of a job. All but its state has a meaning only while it is placed, except
// for completionRecorded.
type task struct {
	state              taskState
	recorded           bool // the placement is in the state service
	recording          bool // the placement is in a transaction under way
	completionRecorded bool // the completion is in the state service
	inherited          bool // placed by an earlier owner: never started by us
	reconciled         bool // what became of it after a failover is known
	reported           bool // its machine has reported this attempt to us
	sentIncarnation    uint64
	sent               bool
	phase              string // as reported
	runningSince       time.Time
	attempt            uint64
	machine            *Machine
	stopping           bool // to be stopped; never taken back for an attempt
	grace              time.Duration
	trace              *startTrace // until it runs
}

// startTrace is when a task's start passed what it has to pass.
type startTrace struct {
	placed, recorded, sent, reported time.Time
	cached                           bool
}

// taskKey names a task in the shard.
type taskKey struct {
	job   *Job
	index int
}

func (k taskKey) name() string { return TaskName(k.job.ref, k.index) }

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
