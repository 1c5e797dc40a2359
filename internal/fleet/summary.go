// Package fleet computes the leader's plan for all shards: which machines are transferred to
// other shards, provisioned and released (Planner), which controller acquires a shard whose
// owner is gone (ChooseOwner), and how a limit is divided among controllers (FairShare).
//
// It does no I/O, reads no clock and takes no locks. The leader calls a Planner while it holds
// the shards' lock.
package fleet

import (
	"fmt"
	"time"
)

// Need, Machine, Summary and Order travel by gob between controllers of different
// versions, which matches fields by name. So their exported fields keep their names and
// meanings, even where a name is unusual (Part is the number of a shard). The types and their
// methods may be renamed.

// Need is a shard's demand for machines by one job: tasks that are pending and fit on none of
// the shard's machines now.
type Need struct {
	Job      string
	Image    string
	CPUs     float64 // per task, like GPUs and MemoryGB
	GPUs     float64
	MemoryGB float64
	Types    []string // machine types that the job may use; nil: any
	Zone     string   // zone that the tasks must be in; empty: any
	Spot     bool     // the tasks may use spot machines
	OneZone  bool     // all tasks must be in the same zone
	Gang     bool     // either all Count tasks are placed or none
	Count    int      // number of tasks
	Rank     int      // priority; higher is more urgent
	Waited   time.Duration
	Starved  bool // no task of the job has run for a long time
	// ZoneLimit is how many of the job's tasks may be in one zone (0 for any number),
	// and InZone is how many are in each zone.
	ZoneLimit int
	InZone    map[string]int
	// Ahead reports that the tasks still run, on machines that are being drained, and need
	// replacements. These must not be machines that will be drained later.
	Ahead bool
	// Avoids holds the IDs of machines on which the job is not to be placed now. Leaders of earlier
	// versions ignore it.
	Avoids []string
}

// allowsZone reports whether one more task may be placed in a zone.
func (n *Need) allowsZone(zone string) bool {
	return n.ZoneLimit == 0 || n.InZone[zone] < n.ZoneLimit
}

// addToZone counts a task that is placed in a zone.
func (n *Need) addToZone(zone string) {
	if n.ZoneLimit > 0 {
		n.InZone[zone]++
	}
}

// Machine is the state of a machine as its shard's owner reports it.
type Machine struct {
	ID       string
	Type     string
	Zone     string
	Spot     bool
	Up       bool // its agent has sent heartbeats
	Usable   bool // new tasks may be placed on it
	Leaving  bool // being transferred or released
	Moving   bool // being transferred to shard To, once it is empty
	To       int
	Lasting  bool    // runs services, which end only when their users cancel them
	CPUs     float64 // free, like GPUs and MemoryGB
	GPUs     float64
	MemoryGB float64
	Tasks    int           // number of tasks on it
	TopRank  int           // highest priority of its tasks
	Idle     time.Duration // how long it has had no tasks
	Images   []string      // images that are believed to be cached
	For      string        // job for which it is reserved; empty: none
	Addr     string        // its address, if that is known and not recorded yet
	Avoided  bool          // will be drained later
	// Held is how many attempts of tasks its worker may have to report. Owners of earlier versions
	// leave it 0.
	Held int
}

// Summary is the state of one shard as its owner reports it to the leader.
type Summary struct {
	Part     int // the shard
	Needs    []Need
	Machines []Machine
	// Arriving is the recent arrival rate of work that must start soon and may not use spot
	// machines, in machines' worth of work per second.
	Arriving float64
	// ArrivingSpot is the same rate of work that may use spot machines.
	ArrivingSpot float64
}

// String returns a short form of the summary for the log.
func (s Summary) String() string {
	var up, spot, idle, leaving int
	var free float64
	for _, m := range s.Machines {
		if m.Up {
			up++
		}
		if m.Spot {
			spot++
		}
		if m.Leaving {
			leaving++
		}
		if m.Up && m.Usable {
			free += m.GPUs
			if m.Tasks == 0 {
				idle++
			}
		}
	}
	out := fmt.Sprintf("machines=%d up=%d spot=%d idle=%d leaving=%d freegpus=%g arriving=%.3f", len(s.Machines), up, spot, idle, leaving, free, s.Arriving)
	for _, n := range s.Needs {
		out += fmt.Sprintf(" [%s rank=%d n=%d gpus=%g spot=%t waited=%.0fs]", n.Job, n.Rank, n.Count, n.GPUs, n.Spot, n.Waited.Seconds())
	}
	return out
}

// Order asks a shard's owner to transfer or release a machine.
type Order struct {
	Part    int    // the shard that has the machine
	Machine string // ID of the machine
	To      int    // the shard to which the machine is transferred, or ReleaseToCloud
	// Below allows tasks of lower priority than this to be preempted to free the machine; 0
	// allows none.
	Below int
	// Emptied lets the machine's tasks run to their end before the transfer, while no new
	// ones are placed on it.
	Emptied bool
}

// ReleaseToCloud is the value of Order.To that releases the machine.
const ReleaseToCloud = -1
