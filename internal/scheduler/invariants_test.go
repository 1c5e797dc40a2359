package scheduler

import (
	"fmt"
	"math"

	"bramblespur/internal/wire"
)

// checkInvariants compares all that the core derives with what it derives it from. The random
// tests call it after each step.
func checkInvariants(s *Shard) error {
	for _, j := range s.jobs {
		if err := checkJob(s, j); err != nil {
			return fmt.Errorf("job %s: %w", j.ref, err)
		}
	}
	for _, m := range s.inventory.byID {
		if err := checkMachine(s, m); err != nil {
			return fmt.Errorf("machine %s: %w", m.ID, err)
		}
	}
	for n, rec := range s.ledger.records {
		if err := checkPlacementRecord(s, rec); err != nil {
			return fmt.Errorf("placement record %d: %w", n, err)
		}
	}
	for ref := range s.inventory.pendingJobs {
		if s.jobs[ref] == nil {
			return fmt.Errorf("job %s is pending and not there", ref)
		}
	}
	return checkQuotas(s)
}

// checkJob: a job's counts are those of its tasks, which are where their machines have them.
func checkJob(s *Shard, j *Job) error {
	var pendingCount, placedCount, completedCount, running int
	byZone := map[string]int{}
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.state {
		case pending:
			pendingCount++
			if i < j.progress.firstPending {
				return fmt.Errorf("task %d is pending, and the first that may be is %d", i, j.progress.firstPending)
			}
		case placed:
			placedCount++
			byZone[t.machine.Zone]++
			if t.machine.tasks[taskKey{j, i}] != t {
				return fmt.Errorf("task %d is placed on %s, which does not have it", i, t.machine.ID)
			}
			if s.inventory.byID[t.machine.ID] != t.machine {
				return fmt.Errorf("task %d is placed on %s, which is gone", i, t.machine.ID)
			}
			if t.phase == wire.Running {
				running++
			}
		case completed:
			completedCount++
		}
		if t.state != pending && j.rangeAt(i) == nil {
			return fmt.Errorf("task %d is in no range", i)
		}
	}
	p := j.progress
	if p.pending != pendingCount || p.placed != placedCount || p.completed != completedCount || p.running != running {
		return fmt.Errorf("counts %+v, and has %d pending, %d placed, %d completed, %d running", p, pendingCount, placedCount, completedCount, running)
	}
	if fmt.Sprint(p.placedByZone) != fmt.Sprint(byZone) {
		return fmt.Errorf("counts %v by zone, and has %v", p.placedByZone, byZone)
	}
	if _, queued := s.inventory.pendingJobs[j.ref]; queued != (pendingCount > 0) {
		return fmt.Errorf("%d tasks pending, queued %t", pendingCount, queued)
	}
	return checkRanges(j)
}

// checkRanges: a job's ranges are in order, apart, and each is in its record.
func checkRanges(j *Job) error {
	end := 0
	for _, c := range j.ranges {
		if c.first < end || c.end <= c.first || c.end > len(j.tasks) {
			return fmt.Errorf("range [%d, %d) after one that ends at %d, of %d tasks", c.first, c.end, end, len(j.tasks))
		}
		end = c.end
		if !contains(c.record.ranges, c) {
			return fmt.Errorf("range [%d, %d) is not in its record", c.first, c.end)
		}
	}
	return nil
}

// checkMachine: what a machine's tasks use is what counts as used there, and the inventory
// finds the machine by what it is.
func checkMachine(s *Shard, m *Machine) error {
	var used resources
	var byRank [highestRank + 1]int
	for k, t := range m.tasks {
		if t.state != placed || t.machine != m || &k.job.tasks[k.index] != t {
			return fmt.Errorf("has %s, which is not placed there", k.name())
		}
		used = used.plus(k.job.spec)
		byRank[k.job.rank]++
	}
	if !near(used.cpus, m.used.cpus) || !near(used.gpus, m.used.gpus) || !near(used.mem, m.used.mem) {
		return fmt.Errorf("counts %+v as used, and tasks use %+v", m.used, used)
	}
	if byRank != m.entry.tasksByRank {
		return fmt.Errorf("indexes %v tasks by priority, and has %v", m.entry.tasksByRank, byRank)
	}
	for rank, n := range byRank {
		if _, found := s.inventory.byRank[rank][m]; found != (n > 0) {
			return fmt.Errorf("%d tasks of priority %d, found %t", n, rank, found)
		}
	}
	if _, found := s.inventory.byRoom[m.class()][m]; !found {
		return fmt.Errorf("is not found by its room, %+v", m.class())
	}
	for _, i := range m.images {
		if _, found := s.inventory.byImage[i.Name][m]; !found {
			return fmt.Errorf("is not found by its image %s", i.Name)
		}
	}
	if _, found := s.inventory.evicting[m]; m.evicting() && !found {
		return fmt.Errorf("has tasks that stop, and is not found by that")
	}
	if _, found := s.inventory.reserved[m.reservation.job][m]; m.reservation.job != "" && !found {
		return fmt.Errorf("is reserved for %s, and not found by that", m.reservation.job)
	}
	return nil
}

// checkPlacementRecord: a record's ranges know that they are in it, and what they take is what
// counts as used. What left it for other records waits to be written there.
func checkPlacementRecord(s *Shard, rec *placementRecord) error {
	used := 0
	for name, c := range rec.ranges {
		used += c.bytes
		if c.record != rec || s.ledger.rangeName(c) != name {
			return fmt.Errorf("range %s is not in it", name)
		}
	}
	if used != rec.usedBytes {
		return fmt.Errorf("counts %d bytes as used, and ranges use %d", rec.usedBytes, used)
	}
	for c := range rec.movedOut {
		if c.previousRecord != rec {
			return fmt.Errorf("waits for range [%d, %d), which was not in it", c.first, c.end)
		}
	}
	return nil
}

// checkQuotas: a team uses what its placed tasks use.
func checkQuotas(s *Shard) error {
	used := map[string]resources{}
	for _, j := range s.jobs {
		for i := range j.tasks {
			if j.tasks[i].state == placed {
				used[j.spec.Team] = used[j.spec.Team].plus(j.spec)
			}
		}
	}
	for team, u := range s.quotas.used {
		if r := used[team]; !near(r.cpus, u.cpus) || !near(r.gpus, u.gpus) {
			return fmt.Errorf("team %s counts %+v as used, and tasks use %+v", team, *u, r)
		}
	}
	for team := range used {
		if s.quotas.used[team] == nil {
			return fmt.Errorf("team %s counts nothing as used", team)
		}
	}
	return nil
}

func contains[K comparable](m map[K]*taskRange, c *taskRange) bool {
	for _, other := range m {
		if other == c {
			return true
		}
	}
	return false
}

func near(a, b float64) bool { return math.Abs(a-b) < slack }
