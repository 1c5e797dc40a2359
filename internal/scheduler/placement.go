package scheduler

import (
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// usable reports whether new work may be placed on a machine.
func (c *Config) usable(m *Machine, now time.Time) bool {
	return c.unusable(m, now) == NotRefused
}

// suspectAfter is when a silent machine gets no new work.
func (c *Config) suspectAfter() time.Duration { return c.HeartbeatInterval*2 + time.Second }

func (j *Job) unitSize() int {
	if j.spec.Kind == wire.Gang {
		return j.progress.pending // all, or what replaces those lost while it waits
	}
	return 1
}

func (s *Shard) placeable(j *Job, now time.Time) bool {
	return !j.cancelled && j.progress.pending > 0 && j.heldBack() == NotHeldBack
}

// placeJobs starts what can be started: team by team, in turn by shares.
func (s *Shard) placeJobs(now time.Time) {
	if s.unreadable.awaitsMachines {
		return // what runs unrecorded uses room and quota
	}
	if s.awaitsHeartbeats(now) {
		s.wakeAt(now.Add(s.cfg.HeartbeatInterval / 4))
		return
	}
	s.pass = placementPass{gangByZone: map[string]*Job{}}
	s.protection.weigh(s.inventory.cpus)
	queues := map[string][]*Job{} // made here, so that it needs no allocation
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

// queuePlaceable adds the jobs of which something may be placed now to their teams' queues.
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

// sortQueue orders the jobs of one team.
func (s *Shard) sortQueue(queue []*Job, now time.Time) {
	urgency := make(map[*Job]float64, len(queue))
	for _, j := range queue {
		urgency[j] = s.cfg.Urgency(j.spec, now.Sub(j.accepted), j.deadline())
	}
	sort.Slice(queue, func(a, b int) bool {
		x, y := queue[a], queue[b]
		if old := s.protection.aged(x, now); old != s.protection.aged(y, now) {
			return old
		} else if old {
			return beforeAged(x, y)
		}
		if x.rank != y.rank {
			return x.rank > y.rank
		}
		// Gangs that have waited for long go by their age alone: the small
		// and the short ones would else overtake the large for ever.
		if late := x.longWaiting(now); late != y.longWaiting(now) {
			return late
		} else if late && !x.accepted.Equal(y.accepted) {
			return x.accepted.Before(y.accepted)
		}
		if urgency[x] != urgency[y] {
			return urgency[x] < urgency[y]
		}
		return x.ref < y.ref
	})
}

// nextTeam returns the team whose first job goes next; its queue is empty if all are.
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

// Priorities are strict, so that more work of a higher one than the machines
// can do would starve the rest for ever. A job of which nothing has run for
// agedAfter goes before all others, and what it then gets is not taken from it;
// such jobs of one priority together hold at most agedShare of a shard's machines.
const (
	agedAfter = 2 * time.Minute
	agedShare = 0.2
)

func (p *protectedJobs) aged(j *Job, now time.Time) bool {
	return (j.protected || j.starved(now)) && now.Sub(j.accepted) > agedAfter && p.load[j.rank] < agedShare
}

// starved reports whether nothing of a job has run for too long.
func (j *Job) starved(now time.Time) bool {
	return j.progress.placed+j.progress.completed == 0 && now.Sub(j.accepted) > agedAfter
}

// beforeAged orders jobs that have waited too long: the lowest priority first,
// since its share can't be used up by the others, then the largest gang, which
// finds room nowhere else, then the oldest.
func beforeAged(a, b *Job) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if x, y := a.unitSize(), b.unitSize(); x != y {
		return x > y
	}
	return a.accepted.Before(b.accepted)
}

// teamBefore orders the heads of two teams' queues: what has waited too long goes
// first, then work within a guarantee, then priority, then the team with less of
// its share.
func (s *Shard) teamBefore(a *Job, teamA string, b *Job, teamB string, now time.Time) bool {
	if old := s.protection.aged(a, now); old != s.protection.aged(b, now) {
		return old
	} else if old {
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

// placeUnit places one unit of a job: a task, or all of a gang.
func (s *Shard) placeUnit(j *Job, now time.Time) bool {
	n := j.unitSize()
	if !s.quotas.withinLimit(j, n) {
		j.unplacedSince = time.Time{} // waits for its own team, not for machines
		return false
	}
	machines := s.selectMachines(j, n, now)
	if machines == nil {
		s.seekRoom(j, n, now)
		return false
	}
	if wait, more := s.preemptWhereCached(j, machines[0], now); wait {
		return more
	}
	if s.protection.aged(j, now) {
		s.protection.add(j)
		defer s.protection.weigh(s.inventory.cpus)
	}
	s.assign(j, machines, now)
	if j.progress.pending == 0 {
		j.unplacedSince = time.Time{}
	}
	return true
}

// seekRoom reserves machines for a gang, and preempts others, for a job that fits nowhere.
func (s *Shard) seekRoom(j *Job, n int, now time.Time) {
	if j.unplacedSince.IsZero() {
		j.unplacedSince = now
	}
	if j.spec.Kind == wire.Gang && (len(s.pass.gangByZone) == 0 || j.longWaiting(now)) {
		s.reserveForGang(j, n, now)
	}
	s.preemptFor(j, n, now)
}

// assign places a pending task on each of the machines; a gang's tasks share one attempt.
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

func (j *Job) nextPending() int {
	for j.tasks[j.progress.firstPending].state != pending {
		j.progress.firstPending++
	}
	return j.progress.firstPending
}

// reserveForGang reserves the machines that are free for the first gang that waits, in the
// zone that has most for it, so that smaller work can't take them one by one.
// Those that have waited for long reserve machines too, each in a zone of its own: two in
// one zone could hold up each other.
func (s *Shard) reserveForGang(j *Job, n int, now time.Time) {
	if _, anywhere := s.pass.gangByZone[""]; anywhere || (!j.spec.OneZone && len(s.pass.gangByZone) > 0) {
		return
	}
	machines := map[string][]*Machine{}
	capacity := map[string]int{}
	s.inventory.eachFeasibleMachine(j.spec, now, func(m *Machine) {
		if m.reservedForOther(j, now) || s.pass.gangByZone[m.Zone] != nil || !j.allowsZone(m.Zone) {
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

// zoneForGang returns the zone that has room for most of a gang's n tasks, and for how many.
// Once the gang has waited for a while, zones don't count that never will have enough.
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

// longWaiting reports whether a gang has waited so long that more seems to be asked than
// can be done.
func (j *Job) longWaiting(now time.Time) bool {
	return j.spec.Kind == wire.Gang && now.Sub(j.accepted) > longWaitAfter
}

// longWaitAfter is well above what a boot and the fetch of an image take, so that a
// machine lost here and there makes no gang late: those that can still start in
// time go first.
const longWaitAfter = 90 * time.Second

// gangReservation is how long a free machine is reserved for a gang unless that is renewed.
const gangReservation = 4 * time.Second

// evicting reports whether tasks on a machine are being stopped.
func (m *Machine) evicting() bool {
	for _, t := range m.tasks {
		if t.stopping {
			return true
		}
	}
	return false
}
