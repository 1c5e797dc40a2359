package scheduler

import (
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Machine is a machine of the shard.
type Machine struct {
	ID              string
	Type            wire.MachineType
	Zone            string
	Spot            bool
	Addr            string
	Phase           record.Phase
	provisionedAt   time.Time
	record          machineRecord
	contact         contact
	probes          probeState
	inherited       bool      // may hold what an earlier owner started
	reclaimedAt     time.Time // when the cloud takes it back; zero: no notice
	used            resources
	tasks           map[taskKey]*task
	images          []record.Image // believed to be cached, the latest used last
	idleSince       time.Time
	failedJobs      map[string]bool // jobs that failed here in a row
	transferTo      int             // the shard that it goes to; -1: stays
	draining        bool            // to be released once it is empty
	cordon          Cordon
	cordonedLater   bool                    // new work goes elsewhere if it can
	directStarts    map[string]*directStart // by task
	retainedResults int                     // exited tasks in its last heartbeat that it may not forget
	announceToken   bool                    // a command without orders is due, to bring our token there
	reservation     reservation
	entry           inventoryEntry
}

// machineRecord is what is known of a machine's override record in the state service.
type machineRecord struct {
	version        uint64 // 0 without one
	txn            *Txn   // its transfer or a higher token, under way
	versionUnknown bool   // a reread is under way
	retryAt        time.Time
	hasAddress     bool // the machine's address is on record
}

// contact is what a machine's heartbeats and answers have shown.
type contact struct {
	incarnation      uint64 // of its agent
	seq              uint64
	up               bool
	fenced           bool      // has reported our token
	lastContactAt    time.Time // last heartbeat, or answer to a direct command or a probe
	heartbeatAt      time.Time // last heartbeat that could be answered
	steadySince      time.Time // since when it was heard without a gap
	answeredAt       time.Time // when a heartbeat of this epoch was last answered
	unreachableSince time.Time // since when no answer seems to reach it; zero: they do
	missedStarts     int       // heartbeats in a row that lacked a start sent before
}

// reservation is room on a machine for tasks of one job.
type reservation struct {
	job   string // empty: none
	tasks int
	until time.Time
}

// inventoryEntry is how the inventory has indexed a machine.
type inventoryEntry struct {
	indexed     bool
	class       machineClass
	tasksByRank [highestRank + 1]int
}

func (m *Machine) hasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i record.Image) bool { return i.Name == name })
}
