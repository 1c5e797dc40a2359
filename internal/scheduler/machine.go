package scheduler

import (
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Machine is a machine of the shard.
type Machine struct {
	ID            string
	Type          wire.MachineType
	Zone          string
	Spot          bool
	Addr          string
	Phase         record.Phase
	provisionedAt time.Time // when it was requested from the cloud
	record        machineRecord
	contact       contact
	attempts      attemptCount
	probes        probeState
	inherited     bool      // may run tasks that an earlier owner started
	reclaimedAt   time.Time // when the cloud reclaims it; zero: no notice
	used          resources // of the tasks placed on it
	tasks         map[taskKey]*task
	images        []record.Image  // believed to be cached, the most recently used last
	idleSince     time.Time       // since when no task is placed on it; zero: tasks are placed on it
	failedJobs    map[string]bool // refs of jobs that failed here in a row
	transferTo    int             // number of the shard that it is to be transferred to; -1: none
	draining      bool            // to be released once it is empty
	cordon        Cordon
	cordonedLater bool         // to be cordoned later: new work avoids it if possible
	directStarts  directStarts // of which a copy may still be carried out
	// blocksReplacement is set if it retains an exited attempt of a task that is to be replaced under
	// the same attempt.
	blocksReplacement bool
	retainedResults   int  // number of exited tasks in its last heartbeat that it may not forget yet
	announcesToken    bool // direct orders are due, even without commands, to bring it the owner's token
	reservation       reservation
	entry             inventoryEntry
}

// machineRecord is the state of a machine's override record in the state service.
type machineRecord struct {
	version        uint64    // 0: no override record
	txn            *Txn      // transaction in flight that writes its transfer or a higher token; nil: none
	versionUnknown bool      // a reread is in flight
	rereadFrom     uint64    // version when the reread was requested
	retryAt        time.Time // no write before this time
	hasAddress     bool      // the machine's address is recorded
}

// contact is the state derived from a machine's heartbeats and answers.
type contact struct {
	incarnation      uint64    // of its agent; 0: no heartbeat yet
	seq              uint64    // sequence number of the last heartbeat accepted
	up               bool      // has sent a heartbeat that was no late copy
	fenced           bool      // has reported the fencing token of this owner
	lastContactAt    time.Time // last heartbeat, or answer to a direct command or a probe
	heartbeatAt      time.Time // last heartbeat that could be answered
	steadySince      time.Time // since when no gap between contacts was longer than SilentAfter
	answeredAt       time.Time // when a heartbeat of this incarnation was last answered; zero: not yet
	unreachableSince time.Time // since when no answer seems to reach it; zero: answers arrive
	missedStarts     int       // heartbeats in a row that lacked a task whose start was sent before
}

// attemptCount counts the attempts that a worker holds and reports, or may soon.
type attemptCount struct {
	reported   int // in the last heartbeat under the owner's token, those that have exited included
	unreported int // tasks placed on the machine that no such heartbeat has had yet
}

// heldAttempts returns how many attempts the worker may have to report: more than MaxReportedTasks do not
// fit into its heartbeat.
func (m *Machine) heldAttempts() int { return m.attempts.reported + m.attempts.unreported }

// reservation keeps room on a machine for tasks of one job.
type reservation struct {
	job   string    // ref; empty: none
	tasks int       // number of tasks that the room suffices for
	until time.Time // when it expires
}

// inventoryEntry is the state of a machine in the inventory's indexes.
type inventoryEntry struct {
	indexed     bool
	class       machineClass
	tasksByRank [highestRank + 1]int // number of tasks on the machine by rank
}

func (m *Machine) hasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i record.Image) bool { return i.Name == name })
}
