package scheduler

import (
	"math"
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// selectMachines chooses a machine for each of n tasks of j. It returns nil if there is not
// room for all of them.
func (s *Shard) selectMachines(j *Job, n int, now time.Time) []*Machine {
	if n == 1 && s.pass.candidates.job == j {
		return s.pass.candidates.next(j)
	}
	s.pass.candidates.job = nil
	cands := s.filterMachines(j, now)
	if len(cands) == 0 {
		return nil
	}
	limit, zone := j.zoneLimit(), j.requiredZone()
	if n == 1 && (j.spec.Spread || j.spec.OneZone || j.progress.pending == 1) {
		return j.bestMachine(cands, limit, zone)
	}
	scores := j.sortByScore(cands)
	if n == 1 {
		s.pass.candidates = candidateCache{j, cands}
		return s.pass.candidates.next(j)
	}
	if !j.spec.OneZone || zone != "" {
		return packMachines(j.spec, cands, n, j.progress.placedByZone, limit, zone)
	}
	return packInBestZone(j, cands, n, limit, scores)
}

// filterMachines returns the machines that may take a task of j: those that have room, that
// are not reserved for a job that goes before j, and that j does not avoid. If j avoids any, it is
// placed again once that ends.
func (s *Shard) filterMachines(j *Job, now time.Time) []*Machine {
	var cands []*Machine
	s.inventory.eachFeasibleMachine(j.spec, now, func(m *Machine) {
		switch {
		case j.avoids(m, now):
			s.wakeAt(j.avoidedUntil(m.ID))
		case !s.yieldsMachine(j, m, now):
			cands = append(cands, m)
		}
	})
	return cands
}

// yieldsMachine reports whether a machine is reserved for a job that goes before j.
func (s *Shard) yieldsMachine(j *Job, m *Machine, now time.Time) bool {
	if !m.reservedForOther(j, now) {
		return false
	}
	other := s.jobs[m.reservation.job]
	return other != nil && other.progress.pending > 0 && s.protection.yieldsReservation(j, other, now)
}

// requiredZone returns the zone in which a job's pending tasks have to be placed, because
// the job is bound to one zone and has placed tasks there. It returns "" if any zone will do.
func (j *Job) requiredZone() string {
	zone := ""
	if j.spec.OneZone {
		for z := range j.progress.placedByZone {
			zone = z
		}
	}
	return zone
}

// packInBestZone packs a gang into the zone in which its machines have the highest sum of
// scores. It compares whole zones since a gang starts only when the last of its tasks
// has the image.
func packInBestZone(j *Job, cands []*Machine, n, limit int, scores map[*Machine]float64) []*Machine {
	var best []*Machine
	bestScore := math.Inf(-1)
	tried := map[string]bool{}
	for _, m := range cands {
		if tried[m.Zone] {
			continue
		}
		tried[m.Zone] = true
		packed := packMachines(j.spec, cands, n, j.progress.placedByZone, limit, m.Zone)
		if packed == nil {
			continue
		}
		sum := 0.0
		for _, g := range packed {
			sum += scores[g]
		}
		if sum > bestScore {
			best, bestScore = packed, sum
		}
	}
	return best
}

// zoneLimit returns how many of a job's tasks may be placed in one zone.
func (j *Job) zoneLimit() int {
	if j.spec.Spread {
		return (j.tasks.len() + 1) / 2
	}
	return j.tasks.len()
}

// allowsZone reports whether one more of a job's tasks may be placed in a zone, given where
// its placed tasks are.
func (j *Job) allowsZone(zone string) bool {
	if j.spec.OneZone && len(j.progress.placedByZone) > 0 && j.progress.placedByZone[zone] == 0 {
		return false
	}
	return j.progress.placedByZone[zone] < j.zoneLimit()
}

// candidateCache holds the candidate machines for a job's tasks, the best first. It is valid
// until a task of another job is placed.
type candidateCache struct {
	job      *Job
	machines []*Machine
}

// next returns the machine for the next task of a job whose tasks are placed one after the
// other, or nil if there is none. Without the cache a wide array would examine all free
// machines for each of its tasks. A machine that took a task is fuller, and so it stays the
// best candidate until it is full.
func (c *candidateCache) next(j *Job) []*Machine {
	for len(c.machines) > 0 {
		m := c.machines[0]
		if r := freeRoom(m); r.fits(j.spec) {
			return c.machines[:1]
		}
		c.machines = c.machines[1:]
	}
	return nil
}

// sortByScore sorts machines by their score for the job, the best first, and returns the scores.
func (j *Job) sortByScore(ms []*Machine) map[*Machine]float64 {
	scores := make(map[*Machine]float64, len(ms))
	for _, m := range ms {
		scores[m] = j.score(m)
	}
	sort.Slice(ms, func(a, b int) bool {
		if x, y := scores[ms[a]], scores[ms[b]]; x != y {
			return x > y
		}
		return ms[a].ID < ms[b].ID
	})
	return scores
}

// yieldsReservation reports whether job j leaves alone a machine that is reserved for the
// job other. An aged job takes the reservations of jobs that are not aged, but not
// those of aged jobs that go before it: otherwise small gangs, which soon find room, would
// keep the largest from ever reserving enough machines.
func (p *protectedJobs) yieldsReservation(j, other *Job, now time.Time) bool {
	if p.aged(j, now) {
		return p.aged(other, now) && beforeAged(other, j)
	}
	return other.rank >= j.rank
}

// bestMachine returns the candidate with the highest score for one task, or nil. It
// passes over zones that have limit tasks of the job already and, unless requiredZone is
// empty, over all other zones.
func (j *Job) bestMachine(cands []*Machine, limit int, requiredZone string) []*Machine {
	var best *Machine
	top := 0.0
	for _, m := range cands {
		if (requiredZone != "" && m.Zone != requiredZone) || j.progress.placedByZone[m.Zone] >= limit {
			continue
		}
		if v := j.score(m); best == nil || v > top || (v == top && m.ID < best.ID) {
			best, top = m, v
		}
	}
	if best == nil {
		return nil
	}
	return []*Machine{best}
}

// packMachines returns a machine for each of n tasks, or nil if they do not all fit. It
// takes the candidates in order and puts several tasks on one machine where they fit.
// No zone gets more than limit tasks, counting those already placed there; unless
// requiredZone is empty, all tasks go to that zone.
func packMachines(spec *wire.Spec, cands []*Machine, n int, placed map[string]int, limit int, requiredZone string) []*Machine {
	zones := make(map[string]int, len(placed))
	for z, c := range placed {
		zones[z] = c
	}
	var got []*Machine
	for _, m := range cands {
		if requiredZone != "" && m.Zone != requiredZone {
			continue
		}
		r := freeRoom(m)
		for len(got) < n && r.fits(spec) && zones[m.Zone] < limit {
			got = append(got, m)
			zones[m.Zone]++
			r = r.minus(spec, 1)
		}
		if len(got) == n {
			return got
		}
	}
	return nil
}
