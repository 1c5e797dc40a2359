package scheduler

import (
	"math"
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// selectMachines chooses a machine for each of n tasks of j, nil if there is no room for
// all of them.
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

// filterMachines returns the machines that may take a task of j: with room, and neither
// reserved for a job that goes before it nor one where it failed.
func (s *Shard) filterMachines(j *Job, now time.Time) []*Machine {
	var cands []*Machine
	s.inventory.eachFeasibleMachine(j.spec, now, func(m *Machine) {
		if !j.avoids(m) && !s.yieldsMachine(j, m, now) {
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

// requiredZone is the zone where the placed tasks of a job of one zone are; empty: any.
func (j *Job) requiredZone() string {
	zone := ""
	if j.spec.OneZone {
		for z := range j.progress.placedByZone {
			zone = z
		}
	}
	return zone
}

// packInBestZone packs a gang into the zone that serves the whole of it best: it starts when
// the last of its tasks has the image.
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

// zoneLimit is how many of a job's tasks may be in one zone.
func (j *Job) zoneLimit() int {
	if j.spec.Spread {
		return (len(j.tasks) + 1) / 2
	}
	return len(j.tasks)
}

// allowsZone reports whether a zone may take one more of a job's tasks, as those that
// are placed leave it.
func (j *Job) allowsZone(zone string) bool {
	if j.spec.OneZone && len(j.progress.placedByZone) > 0 && j.progress.placedByZone[zone] == 0 {
		return false
	}
	return j.progress.placedByZone[zone] < j.zoneLimit()
}

// candidateCache is the candidates for a job's tasks, the best first, while no other
// job's task is placed.
type candidateCache struct {
	job      *Job
	machines []*Machine
}

// nextCandidate returns the machine for the next task of a job that places one after the
// other: a wide array would else look at all free machines for each of them. A
// machine that took one is fuller, and so stays the best until it is full.
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

// sortByScore puts the best machines first.
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

// yieldsReservation reports whether a job leaves alone what is reserved for another. One that has
// waited too long takes it from those that have not, but not from those that go
// before it: small gangs, which find room soon, would keep the largest from ever
// having reserved enough.
func (p *protectedJobs) yieldsReservation(j, other *Job, now time.Time) bool {
	if p.aged(j, now) {
		return p.aged(other, now) && beforeAged(other, j)
	}
	return other.rank >= j.rank
}

// bestMachine returns the best of the candidates for one task.
func (j *Job) bestMachine(cands []*Machine, limit int, only string) []*Machine {
	var best *Machine
	top := 0.0
	for _, m := range cands {
		if (only != "" && m.Zone != only) || j.progress.placedByZone[m.Zone] >= limit {
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

// packMachines takes machines in order, several tasks to one where they fit.
func packMachines(spec *wire.Spec, cands []*Machine, n int, placed map[string]int, limit int, only string) []*Machine {
	zones := make(map[string]int, len(placed))
	for z, c := range placed {
		zones[z] = c
	}
	var got []*Machine
	for _, m := range cands {
		if only != "" && m.Zone != only {
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
