package scheduler

import (
	"math"
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A shard may have thousands of machines and tasks, so no heartbeat or placement may
// examine all of them. The inventory has indexes instead: of the machines by their free
// room, by the images that they cache and by the priority of their tasks, of the reserved
// machines by job, and of the jobs with pending tasks.

// machineClass is what a group of machines has in common for a placement: their type and
// zone, whether they take new work, and their free room, rounded down.
type machineClass struct {
	typ, zone  string
	spot       bool
	takesWork  bool // takes new work, apart from conditions that depend on the time
	cpus, gpus int
}

type machineSet map[*Machine]struct{}

// inventory holds the shard's machines, with indexes to find machines for a task without
// examining all of them. The caller has to call update after each change of a machine's
// room or state.
type inventory struct {
	cfg         *Config
	byID        map[string]*Machine
	byRoom      map[machineClass]machineSet
	byImage     map[string]machineSet
	byRank      [highestRank + 1]machineSet // the machines with a task of this priority
	reserved    map[string]machineSet       // by the job that room is, or was, reserved for
	commandsDue machineSet                  // the machines for which a direct command is due
	// evicting holds the machines with a task that is being stopped.
	evicting    machineSet
	pendingJobs map[string]*Job // the jobs with pending tasks, by reference
	totalCPUs   float64         // of all machines
	// candidatesExamined counts the machines and jobs that placements have examined, for tests.
	candidatesExamined int
}

func newInventory(cfg *Config) inventory {
	inv := inventory{cfg: cfg, byID: map[string]*Machine{}, byRoom: map[machineClass]machineSet{}, byImage: map[string]machineSet{}, reserved: map[string]machineSet{}, commandsDue: machineSet{}, evicting: machineSet{}, pendingJobs: map[string]*Job{}}
	for r := range inv.byRank {
		inv.byRank[r] = machineSet{}
	}
	return inv
}

// insert adds a machine to the set with key k, which it creates if there is none.
func insert[K comparable](sets map[K]machineSet, k K, m *Machine) {
	s := sets[k]
	if s == nil {
		s = machineSet{}
		sets[k] = s
	}
	s[m] = struct{}{}
}

// remove removes a machine from the set with key k, and the set once it is empty.
func remove[K comparable](sets map[K]machineSet, k K, m *Machine) {
	if s := sets[k]; s != nil {
		delete(s, m)
		if len(s) == 0 {
			delete(sets, k)
		}
	}
}

// class returns the class to which a machine belongs now.
func (m *Machine) class() machineClass {
	f := freeRoom(m)
	return machineClass{
		typ: m.Type.Name, zone: m.Zone, spot: m.Spot,
		takesWork: m.contact.up && m.Phase == record.InUse && !m.draining && m.cordon == NotCordoned && m.transferTo < 0 && m.contact.unreachableSince.IsZero(),
		cpus:      int(math.Floor(f.cpus + slack)), gpus: int(math.Floor(f.gpus + slack)),
	}
}

// update updates the index entry of a machine after its room or its state has changed. It adds machines that
// are not indexed yet.
func (inv *inventory) update(m *Machine) {
	c := m.class()
	if m.entry.indexed && c == m.entry.class {
		return
	}
	if m.entry.indexed {
		remove(inv.byRoom, m.entry.class, m)
	} else {
		inv.totalCPUs += m.Type.CPUs
		for _, i := range m.images {
			insert(inv.byImage, i.Name, m)
		}
	}
	m.entry.indexed, m.entry.class = true, c
	insert(inv.byRoom, c, m)
}

// drop removes a machine from all indexes.
func (inv *inventory) drop(m *Machine) {
	if !m.entry.indexed {
		return
	}
	m.entry.indexed = false
	inv.totalCPUs -= m.Type.CPUs
	remove(inv.byRoom, m.entry.class, m)
	for _, i := range m.images {
		remove(inv.byImage, i.Name, m)
	}
	for r := range inv.byRank {
		delete(inv.byRank[r], m)
	}
	remove(inv.reserved, m.reservation.job, m)
	delete(inv.commandsDue, m)
	delete(inv.evicting, m)
}

// countTask adds n, 1 or -1, to the number of tasks of a priority on a machine.
func (inv *inventory) countTask(m *Machine, rank, n int) {
	if m.entry.tasksByRank[rank] += n; m.entry.tasksByRank[rank] > 0 {
		inv.byRank[rank][m] = struct{}{}
	} else {
		delete(inv.byRank[rank], m)
	}
}

// updatePending updates pendingJobs after a job's number of pending tasks has changed.
func (inv *inventory) updatePending(j *Job) {
	if j.progress.pending > 0 {
		inv.pendingJobs[j.ref] = j
	} else {
		delete(inv.pendingJobs, j.ref)
	}
}

// eachFeasibleMachine calls f for each machine that takes new work and has room for a task
// with this spec now. It examines few machines that turn out to have too little room, since
// machines are grouped by their free room, rounded down.
func (inv *inventory) eachFeasibleMachine(spec *wire.Spec, now time.Time, f func(*Machine)) {
	for c, ms := range inv.byRoom {
		if !c.takesWork || (c.spot && !spec.Spot) || (spec.Zone != nil && *spec.Zone != c.zone) ||
			spec.CPUs >= float64(c.cpus+1) || spec.GPUs >= float64(c.gpus+1) {
			continue
		}
		for m := range ms {
			inv.candidatesExamined++
			if r := freeRoom(m); r.fits(spec) && allows(spec, m) && inv.cfg.usable(m, now) {
				f(m)
			}
		}
	}
}

// recordCachedImage records that an image was used on a machine, and drops the least recently
// used images that the machine's cache can no longer hold. gb is the size of the image.
func (inv *inventory) recordCachedImage(m *Machine, name string, gb float64) {
	m.images = slices.DeleteFunc(m.images, func(i record.Image) bool { return i.Name == name })
	m.images = append(m.images, record.Image{Name: name, GB: gb})
	insert(inv.byImage, name, m)
	sum := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		if sum += m.images[i].GB; sum > m.Type.CacheGB && i < len(m.images)-1 {
			for _, old := range m.images[:i+1] {
				remove(inv.byImage, old.Name, m)
			}
			m.images = slices.Clone(m.images[i+1:])
			break
		}
	}
}
