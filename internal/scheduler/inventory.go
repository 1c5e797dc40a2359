package scheduler

import (
	"math"
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// With thousands of machines and tasks nothing that a heartbeat or a placement
// brings about may look at all of them. What it looks for is indexed: machines by
// their free room, by the images that they cache and by the priority of what runs
// there, reserved ones by their job, and the jobs that wait.

// machineClass is what machines have in common for a placement: their kind, whether
// they take new work, and their free room, rounded down.
type machineClass struct {
	typ, zone  string
	spot       bool
	takesWork  bool // takes new work, as far as that does not depend on the time
	cpus, gpus int
}

type machineSet map[*Machine]struct{}

// inventory is the shard's machines. It finds those that may serve without walking all of
// them: update must be called after each change of a machine's room or state.
type inventory struct {
	cfg         *Config
	byID        map[string]*Machine
	byRoom      map[machineClass]machineSet
	byImage     map[string]machineSet
	byRank      [highestRank + 1]machineSet // those with a task of this priority
	reserved    map[string]machineSet       // by the job that room is, or was, reserved for
	commandsDue machineSet                  // for which a direct command is due
	// evicting are those with a task that is being stopped.
	evicting    machineSet
	pendingJobs map[string]*Job // jobs with a task that has no place
	totalCPUs   float64         // of all machines
	// candidatesExamined counts the machines and jobs that placements have examined, for tests.
	candidatesExamined int
}

func newInventory(cfg *Config) inventory {
	x := inventory{cfg: cfg, byID: map[string]*Machine{}, byRoom: map[machineClass]machineSet{}, byImage: map[string]machineSet{}, reserved: map[string]machineSet{}, commandsDue: machineSet{}, evicting: machineSet{}, pendingJobs: map[string]*Job{}}
	for r := range x.byRank {
		x.byRank[r] = machineSet{}
	}
	return x
}

func insert[K comparable](sets map[K]machineSet, k K, m *Machine) {
	s := sets[k]
	if s == nil {
		s = machineSet{}
		sets[k] = s
	}
	s[m] = struct{}{}
}

func remove[K comparable](sets map[K]machineSet, k K, m *Machine) {
	if s := sets[k]; s != nil {
		delete(s, m)
		if len(s) == 0 {
			delete(sets, k)
		}
	}
}

func (m *Machine) class() machineClass {
	f := freeRoom(m)
	return machineClass{
		typ: m.Type.Name, zone: m.Zone, spot: m.Spot,
		takesWork: m.contact.up && m.Phase == record.InUse && !m.draining && m.cordon == NotCordoned && m.transferTo < 0 && m.contact.unreachableSince.IsZero(),
		cpus:      int(math.Floor(f.cpus + slack)), gpus: int(math.Floor(f.gpus + slack)),
	}
}

// update puts a machine where it belongs after its room or its state has changed.
func (x *inventory) update(m *Machine) {
	c := m.class()
	if m.entry.indexed && c == m.entry.class {
		return
	}
	if m.entry.indexed {
		remove(x.byRoom, m.entry.class, m)
	} else {
		x.totalCPUs += m.Type.CPUs
		for _, i := range m.images {
			insert(x.byImage, i.Name, m)
		}
	}
	m.entry.indexed, m.entry.class = true, c
	insert(x.byRoom, c, m)
}

// drop forgets a machine.
func (x *inventory) drop(m *Machine) {
	if !m.entry.indexed {
		return
	}
	m.entry.indexed = false
	x.totalCPUs -= m.Type.CPUs
	remove(x.byRoom, m.entry.class, m)
	for _, i := range m.images {
		remove(x.byImage, i.Name, m)
	}
	for r := range x.byRank {
		delete(x.byRank[r], m)
	}
	remove(x.reserved, m.reservation.job, m)
	delete(x.commandsDue, m)
	delete(x.evicting, m)
}

// countTask counts a task of some priority on a machine, or one less.
func (x *inventory) countTask(m *Machine, rank, n int) {
	if m.entry.tasksByRank[rank] += n; m.entry.tasksByRank[rank] > 0 {
		x.byRank[rank][m] = struct{}{}
	} else {
		delete(x.byRank[rank], m)
	}
}

// updatePending notes whether a job has a task without a place.
func (x *inventory) updatePending(j *Job) {
	if j.progress.pending > 0 {
		x.pendingJobs[j.ref] = j
	} else {
		delete(x.pendingJobs, j.ref)
	}
}

// eachFeasibleMachine calls f for the machines that may have room for a task of s now. Machines
// that only look as if they had are few: rooms are rounded down.
func (x *inventory) eachFeasibleMachine(spec *wire.Spec, now time.Time, f func(*Machine)) {
	for c, ms := range x.byRoom {
		if !c.takesWork || (c.spot && !spec.Spot) || (spec.Zone != nil && *spec.Zone != c.zone) ||
			spec.CPUs >= float64(c.cpus+1) || spec.GPUs >= float64(c.gpus+1) {
			continue
		}
		for m := range ms {
			x.candidatesExamined++
			if r := freeRoom(m); r.fits(spec) && allows(spec, m) && x.cfg.usable(m, now) {
				f(m)
			}
		}
	}
}

// recordCachedImage takes in that an image was used on a machine, and which older ones
// its cache can no longer hold.
func (x *inventory) recordCachedImage(m *Machine, name string, gb float64) {
	m.images = slices.DeleteFunc(m.images, func(i record.Image) bool { return i.Name == name })
	m.images = append(m.images, record.Image{Name: name, GB: gb})
	insert(x.byImage, name, m)
	sum := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		if sum += m.images[i].GB; sum > m.Type.CacheGB && i < len(m.images)-1 {
			for _, old := range m.images[:i+1] {
				remove(x.byImage, old.Name, m)
			}
			m.images = slices.Clone(m.images[i+1:])
			break
		}
	}
}
