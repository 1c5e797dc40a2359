package scheduler

import (
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// usable reports whether new work may be placed on a machine now.
func (c *Config) usable(m *Machine, now time.Time) bool {
	return c.unusable(m, now) == NotRefused
}

// suspectAfter returns how long after its last heartbeat a machine gets no new work.
func (c *Config) suspectAfter() time.Duration { return c.HeartbeatInterval*2 + time.Second }

// unitSize returns how many tasks of a job have to be placed together: one, or for a gang
// all of its pending tasks.
func (j *Job) unitSize() int {
	if j.spec.Kind == wire.Gang {
		return j.progress.pending // the whole gang, or replacements for tasks lost while it assembles
	}
	return 1
}

// placeable reports whether a job has pending tasks that may be placed if there is room.
func (s *Shard) placeable(j *Job, now time.Time) bool {
	return !j.cancelled && j.progress.pending > 0 && j.heldBack() == NotHeldBack
}

// placeJobs places all pending tasks for which there is room. The teams take turns by their
// fair shares, and the jobs of a team are placed in the order of its queue.
func (s *Shard) placeJobs(now time.Time) {
	if s.unreadable.awaitsMachines {
		return // tasks that unreadable records name may use room and quota
	}
	if s.awaitsHeartbeats(now) {
		s.wakeAt(now.Add(s.cfg.HeartbeatInterval / 4))
		return
	}
	s.pass = placementPass{gangByZone: map[string]*Job{}}
	s.protection.updateShares(s.inventory.totalCPUs)
	queues := map[string][]*Job{} // by team; made in this function so that it needs no heap allocation
	s.queuePlaceable(queues, now)
	for _, queue := range queues {
		s.sortQueue(queue, now)
	}
	for {
		team := s.nextTeam(queues, now)
		if len(queues[team]) == 0 {
			return
		}
		j := queues[team][0]
		if s.placeUnit(j, now) && j.progress.pending > 0 {
			continue
		}
		queues[team] = queues[team][1:]
	}
}

// queuePlaceable adds each job with tasks that may be placed now to the queue of its team.
func (s *Shard) queuePlaceable(queues map[string][]*Job, now time.Time) {
	for _, j := range s.inventory.pendingJobs {
		s.inventory.candidatesExamined++
		if !s.placeable(j, now) {
			j.unplacedSince = time.Time{}
			continue
		}
		if now.Before(j.notBefore) {
			s.wakeAt(j.notBefore)
			continue
		}
		queues[j.spec.Team] = append(queues[j.spec.Team], j)
	}
}

// sortQueue orders the jobs of one team, the next to be placed first.
func (s *Shard) sortQueue(queue []*Job, now time.Time) {
	urgency := make(map[*Job]float64, len(queue))
	for _, j := range queue {
		urgency[j] = s.cfg.Urgency(j.spec, now.Sub(j.accepted), j.deadline())
	}
	sort.Slice(queue, func(a, b int) bool {
		x, y := queue[a], queue[b]
		if aged := s.protection.aged(x, now); aged != s.protection.aged(y, now) {
			return aged
		} else if aged {
			return beforeAged(x, y)
		}
		if x.rank != y.rank {
			return x.rank > y.rank
		}
		// Gangs that have waited for long are ordered by their age alone. Otherwise
		// small and short gangs would overtake the large ones forever.
		if long := x.longWaiting(now); long != y.longWaiting(now) {
			return long
		} else if long && !x.accepted.Equal(y.accepted) {
			return x.accepted.Before(y.accepted)
		}
		if urgency[x] != urgency[y] {
			return urgency[x] < urgency[y]
		}
		return x.ref < y.ref
	})
}

// nextTeam returns the team whose first job is placed next, "" if all queues are empty.
func (s *Shard) nextTeam(queues map[string][]*Job, now time.Time) string {
	next := ""
	var first *Job
	for team, queue := range queues {
		if len(queue) == 0 {
			continue
		}
		if first == nil || s.teamBefore(queue[0], team, first, next, now) {
			next, first = team, queue[0]
		}
	}
	return next
}

// Priorities are strict: as long as jobs of a higher priority need all machines, jobs of a
// lower priority would starve. So a job of which no task is placed or completed agedAfter
// after its acceptance goes before all others, and its tasks are then protected from
// preemption. Once the protected jobs of one priority together hold agedShare of the CPUs of
// a shard's machines, no job of that priority goes before the others any more, but tasks that
// are protected stay so.
const (
	agedAfter = 2 * time.Minute
	agedShare = 0.2
)

// aged reports whether a job goes before all others: it is starved, or was when its tasks were
// placed, and the protected jobs of its priority hold less than agedShare.
func (p *protectedJobs) aged(j *Job, now time.Time) bool {
	return (j.protected || j.starved(now)) && now.Sub(j.accepted) > agedAfter && p.shareByRank[j.rank] < agedShare
}

// starved reports whether a job was accepted more than agedAfter ago and none of its tasks
// is placed or completed.
func (j *Job) starved(now time.Time) bool {
	return j.progress.placed+j.progress.completed == 0 && now.Sub(j.accepted) > agedAfter
}

// beforeAged reports whether the aged job a goes before the aged job b. The lowest priority
// goes first, since other priorities cannot use up its share, then the largest gang, which
// finds room nowhere else, then the oldest job.
func beforeAged(a, b *Job) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if x, y := a.unitSize(), b.unitSize(); x != y {
		return x > y
	}
	return a.accepted.Before(b.accepted)
}

// teamBefore reports whether a, the first job of teamA's queue, goes before b, the first
// of teamB's. Aged jobs go first, then jobs within their team's guarantee, then the higher
// priority, then the team that uses less of its fair share.
func (s *Shard) teamBefore(a *Job, teamA string, b *Job, teamB string, now time.Time) bool {
	if aged := s.protection.aged(a, now); aged != s.protection.aged(b, now) {
		return aged
	} else if aged {
		return beforeAged(a, b)
	}
	if x, y := s.quotas.withinGuarantee(a, a.unitSize()), s.quotas.withinGuarantee(b, b.unitSize()); x != y {
		return x
	}
	if a.rank != b.rank {
		return a.rank > b.rank
	}
	if x, y := s.quotas.load(teamA), s.quotas.load(teamB); x != y {
		return x < y
	}
	return teamA < teamB
}

// placeUnit places one unit of a job: a task, or all pending tasks of a gang. It reports
// whether another unit of the job may be placed at once.
func (s *Shard) placeUnit(j *Job, now time.Time) bool {
	n := j.unitSize()
	if !s.quotas.withinLimit(j, n) {
		j.unplacedSince = time.Time{} // it waits for its team's quota, not for machines
		return false
	}
	machines := s.selectMachines(j, n, now)
	if machines == nil {
		s.reserveOrPreempt(j, n, now)
		return false
	}
	if wait, more := s.preemptWhereCached(j, machines[0], now); wait {
		return more
	}
	if s.protection.aged(j, now) {
		s.protection.add(j)
		defer s.protection.updateShares(s.inventory.totalCPUs)
	}
	s.assign(j, machines, now)
	if j.progress.pending == 0 {
		j.unplacedSince = time.Time{}
	}
	return true
}

// reserveOrPreempt makes room for n tasks of a job that fits nowhere: it reserves machines
// if the job is a gang, and preempts tasks of other jobs once that is due.
func (s *Shard) reserveOrPreempt(j *Job, n int, now time.Time) {
	if j.unplacedSince.IsZero() {
		j.unplacedSince = now
	}
	if j.spec.Kind == wire.Gang && (len(s.pass.gangByZone) == 0 || j.longWaiting(now)) {
		s.reserveForGang(j, n, now)
	}
	s.preemptFor(j, n, now)
}

// assign places one pending task of a job on each element of machines. The tasks of a gang
// share one attempt.
func (s *Shard) assign(j *Job, machines []*Machine, now time.Time) {
	gang := j.gangAttempt()
	for _, m := range machines {
		i := j.nextPending()
		attempt := s.ledger.nextAttempt(j, i)
		if j.spec.Kind == wire.Gang {
			if gang == 0 {
				gang = attempt
			}
			attempt = gang
		}
		s.placeTask(taskKey{j, i}, m, attempt, now)
		s.inventory.useReservation(m, j)
	}
}

// nextPending returns the index of a job's first pending task; there must be one.
func (j *Job) nextPending() int {
	for j.tasks.at(j.progress.firstPending).state != pending {
		j.progress.firstPending++
	}
	return j.progress.firstPending
}

// reserveForGang reserves machines with room for a gang, in the zone that has room for most
// of its n tasks, so that smaller jobs cannot take the machines one by one. In each pass
// the first gang that does not fit reserves machines. Gangs that have waited for long
// reserve machines too, each in a zone of its own: two gangs in one zone could block
// each other.
func (s *Shard) reserveForGang(j *Job, n int, now time.Time) {
	if _, anywhere := s.pass.gangByZone[""]; anywhere || (!j.spec.OneZone && len(s.pass.gangByZone) > 0) {
		return
	}
	machines := map[string][]*Machine{}
	capacity := map[string]int{}
	s.inventory.eachFeasibleMachine(j.spec, now, func(m *Machine) {
		if m.reservedForOther(j, now) || s.pass.gangByZone[m.Zone] != nil || !j.allowsZone(m.Zone) || j.avoids(m, now) {
			return
		}
		zone := j.commonZone(m)
		machines[zone] = append(machines[zone], m)
		capacity[zone] += freeRoom(m).capacity(j.spec, n)
	})
	zone, most := s.zoneForGang(j, n, capacity, now)
	for m := range s.inventory.reserved[j.ref] {
		if !m.evicting() {
			s.inventory.cancelReservation(m)
		}
	}
	if most == 0 {
		return
	}
	s.pass.gangByZone[zone] = j
	for _, m := range machines[zone] {
		if m.reservation.job == "" || !now.Before(m.reservation.until) {
			s.inventory.reserve(m, j, 1, now.Add(gangReservation))
		}
	}
	s.wakeAt(now.Add(gangReservation / 2))
}

// zoneForGang returns the zone that has room for most of a gang's n tasks, and for how many;
// capacity is that number by zone. Once the gang has been unplaced for infeasibleAfter, it
// passes over zones that will never have enough room.
func (s *Shard) zoneForGang(j *Job, n int, capacity map[string]int, now time.Time) (zone string, most int) {
	checkFeasible := now.Sub(j.unplacedSince) > infeasibleAfter
	for z, c := range capacity {
		if checkFeasible && !s.feasible(j, n, z) {
			continue
		}
		if c > most || (c == most && z < zone) {
			zone, most = z, c
		}
	}
	return zone, most
}

// longWaiting reports whether a job is a gang that was accepted more than longWaitAfter ago.
// The gangs then probably need more machines than there are.
func (j *Job) longWaiting(now time.Time) bool {
	return j.spec.Kind == wire.Gang && now.Sub(j.accepted) > longWaitAfter
}

// longWaitAfter is how long after its acceptance a gang counts as long-waiting. It is well
// above the time that a boot and the fetch of an image take, so that the loss of single
// machines makes no gang long-waiting: gangs that can still start in time go first.
const longWaitAfter = 90 * time.Second

// gangReservation is how long a machine is reserved for a gang unless the reservation is renewed.
const gangReservation = 4 * time.Second

// evicting reports whether a task on the machine is being stopped.
func (m *Machine) evicting() bool {
	for _, t := range m.tasks {
		if t.stopping {
			return true
		}
	}
	return false
}
