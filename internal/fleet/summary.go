// Package fleet is pure: the leader's plan over all shards. It decides which machines
// change their shards, what is provisioned and what is released (Planner), who owns a shard
// whose owner is gone (ChooseOwner), and how a limit is divided (FairShare). It takes no locks;
// the leader calls a Planner under the shards' lock.
package fleet

import (
	"fmt"
	"time"
)

// Need, Machine, Summary and Order travel by gob between controllers of different
// versions, which matches fields by name: their exported fields keep their names and
// meanings, also where these are odd (a Part is a shard). The types and their methods may be
// renamed.

// Need is work of one shard that waits and fits on none of its machines now.
type Need struct {
	Job      string
	Image    string
	CPUs     float64
	GPUs     float64
	MemoryGB float64
	Types    []string // nil: any
	Zone     string   // empty: any
	Spot     bool     // may use spot machines
	OneZone  bool
	Gang     bool // all of Count or none
	Count    int
	Rank     int // priority
	Waited   time.Duration
	Starved  bool // nothing of the job has run for long
	// ZoneLimit is how many of the job's tasks may be in one zone, 0 for any number,
	// and InZone how many are in each.
	ZoneLimit int
	InZone    map[string]int
	// Ahead says that the work still runs, on machines that are being drained: it is
	// not to go to one that will be drained later.
	Ahead bool
}

// open reports whether one more task may go to a zone.
func (n *Need) open(zone string) bool { return n.ZoneLimit == 0 || n.InZone[zone] < n.ZoneLimit }

// place records that a task goes to a zone.
func (n *Need) place(zone string) {
	if n.ZoneLimit > 0 {
		n.InZone[zone]++
	}
}

// Machine is a machine as its shard's owner sees it.
type Machine struct {
	ID       string
	Type     string
	Zone     string
	Spot     bool
	Up       bool // its agent was heard
	Usable   bool // new work may be placed on it
	Leaving  bool // being moved or released
	Moving   bool // to the shard To, once it is empty
	To       int
	Lasting  bool    // holds services, which end when their users say so
	CPUs     float64 // free
	GPUs     float64
	MemoryGB float64
	Tasks    int
	TopRank  int // highest priority of its tasks
	Idle     time.Duration
	Images   []string // believed to be cached
	For      string   // job that it is kept for
	Addr     string   // its address, if that is known and not recorded yet
	Avoided  bool     // will be drained later
}

// Summary is one shard's state for the leader.
type Summary struct {
	Part     int
	Needs    []Need
	Machines []Machine
	// Arriving is what has lately arrived that must start soon, in machines a second.
	Arriving float64
	// ArrivingSpot is the same of work that may use spot machines.
	ArrivingSpot float64
}

// String is a summary in short, for the log.
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

// Order tells a shard's owner what to do with a machine.
type Order struct {
	Part    int
	Machine string
	To      int // the shard it goes to, or ReleaseToCloud
	// Below lets tasks of lower priority be preempted to free the machine.
	Below int
	// Emptied lets the machine's tasks run to their end; it takes no new ones.
	Emptied bool
}

// ReleaseToCloud is the value of an Order's To that releases the machine.
const ReleaseToCloud = -1
