package scheduler

import (
	"sort"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// usable reports whether new work may be placed on a machine.
func (s *Shard) usable(m *Machine, now time.Time) bool {
	return m.contact.up && m.Phase == record.InUse && !m.draining && m.cordon == NotCordoned && m.transferTo < 0 && m.record.txn == nil && !m.record.versionUnknown &&
		m.contact.unreachableSince.IsZero() && (m.contact.fenced || !m.inherited) && m.reclaimedAt.IsZero() && now.Sub(m.contact.heartbeatAt) < s.suspectAfter()
}

// suspectAfter is when a silent machine gets no new work.
func (s *Shard) suspectAfter() time.Duration { return s.cfg.HeartbeatInterval*2 + time.Second }

func (j *Job) unitSize() int {
	if j.spec.Kind == wire.Gang {
		return j.progress.pending // all, or what replaces those lost while it waits
	}
	return 1
}

func (s *Shard) placeable(j *Job, now time.Time) bool {
	if j.awaitsDependencies || j.withheld || j.cancelled || j.progress.pending == 0 || j.record.versionUnknown {
		return false
	}
	if j.spec.Kind == wire.Gang && !j.assembling() {
		return false // the old attempt must be gone, all of it
	}
	return true
}

// placeJobs starts what can be started: team by team, in turn by shares.
func (s *Shard) placeJobs(now time.Time) {
	if s.unreadable.awaitsMachines || s.awaitsHeartbeats(now) {
		return // what runs unrecorded uses room and quota
	}
	s.pass.gangByZone, s.pass.candidates = map[string]*Job{}, candidateCache{}
	s.protection.weigh(s.inventory.cpus)
	queues := map[string][]*Job{}
	for _, j := range s.inventory.pendingJobs {
		s.candidatesExamined++
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
	for _, q := range queues {
		urgency := make(map[*Job]float64, len(q))
		for _, j := range q {
			urgency[j] = s.cfg.Urgency(j.spec, now.Sub(j.accepted), j.deadline())
		}
		sort.Slice(q, func(a, b int) bool {
			x, y := q[a], q[b]
			if old := s.aged(x, now); old != s.aged(y, now) {
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
	for {
		var best string
		var bestJob *Job
		for team, q := range queues {
			if len(q) == 0 {
				continue
			}
			if bestJob == nil || s.teamBefore(q[0], team, bestJob, best, now) {
				best, bestJob = team, q[0]
			}
		}
		if bestJob == nil {
			return
		}
		if s.placeUnit(bestJob, now) && bestJob.progress.pending > 0 {
			continue
		}
		queues[best] = queues[best][1:]
	}
}

// Priorities are strict, so that more work of a higher one than the machines
// can do would starve the rest for ever. A job of which nothing has run for
// agedAfter goes before all others, and what it then gets is not taken from it;
// such jobs of one priority together hold at most agedShare of a part's machines.
const (
	agedAfter = 2 * time.Minute
	agedShare = 0.2
)

func (s *Shard) aged(j *Job, now time.Time) bool {
	return (j.protected || j.starved(now)) && now.Sub(j.accepted) > agedAfter && s.protection.load[j.rank] < agedShare
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

// protectedJobs are those that were placed after too long a wait, and are not preempted.
type protectedJobs struct {
	jobs map[*Job]bool
	load [highestRank + 1]float64 // the share of the machines that they hold, by priority
}

// add protects a job from preemption.
func (p *protectedJobs) add(j *Job) {
	j.protected = true
	p.jobs[j] = true
}

// remove forgets a job.
func (p *protectedJobs) remove(j *Job) { delete(p.jobs, j) }

// weigh computes the share of the shard's machines, which have so many CPUs, that protected
// jobs hold.
func (p *protectedJobs) weigh(cpus float64) {
	p.load = [highestRank + 1]float64{}
	for j := range p.jobs {
		if cpus > 0 {
			p.load[j.rank] += float64(j.progress.placed) * j.spec.CPUs / cpus
		}
	}
}

// teamBefore orders the heads of two teams' queues: what has waited too long goes
// first, then work within a guarantee, then priority, then the team with less of
// its share.
func (s *Shard) teamBefore(a *Job, teamA string, b *Job, teamB string, now time.Time) bool {
	if old := s.aged(a, now); old != s.aged(b, now) {
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
	where := s.selectMachines(j, n, now)
	if where == nil {
		if j.unplacedSince.IsZero() {
			j.unplacedSince = now
		}
		if j.spec.Kind == wire.Gang && (len(s.pass.gangByZone) == 0 || j.longWaiting(now)) {
			s.reserveForGang(j, n, now)
		}
		s.preemptFor(j, n, now)
		return false
	}
	if wait, more := s.preemptWhereCached(j, where[0], now); wait {
		return more
	}
	if s.aged(j, now) {
		s.protection.add(j)
		defer s.protection.weigh(s.inventory.cpus)
	}
	gang := j.gangAttempt()
	for _, m := range where {
		i := j.nextPending()
		a := s.ledger.nextAttempt(j, i)
		if j.spec.Kind == wire.Gang {
			if gang == 0 {
				gang = a
			}
			a = gang
		}
		s.placeTask(taskKey{j, i}, m, a, now)
		s.inventory.useReservation(m, j)
	}
	if j.progress.pending == 0 {
		j.unplacedSince = time.Time{}
	}
	return true
}

func (j *Job) nextPending() int {
	for j.tasks[j.progress.firstPending].state != pending {
		j.progress.firstPending++
	}
	return j.progress.firstPending
}

// reserveForGang keeps the machines that are free for the first gang that waits, in the
// zone that has most for it, so that smaller work can't take them one by one.
// Those that have waited for long gather too, each in a zone of its own: two in
// one zone could hold up each other.
func (s *Shard) reserveForGang(j *Job, n int, now time.Time) {
	if _, anywhere := s.pass.gangByZone[""]; anywhere || (!j.spec.OneZone && len(s.pass.gangByZone) > 0) {
		return
	}
	byZone := map[string][]*Machine{}
	units := map[string]int{}
	s.eachFeasibleMachine(j.spec, now, func(m *Machine) {
		if m.reservedForOther(j, now) || s.pass.gangByZone[m.Zone] != nil || !j.allowsZone(m.Zone) {
			return
		}
		count := 0
		for r := freeRoom(m); count < n && fits(j.spec, r.cpus, r.gpus, r.mem); r = r.minus(j.spec, 1) {
			count++
		}
		z := m.Zone
		if !j.spec.OneZone {
			z = ""
		}
		byZone[z] = append(byZone[z], m)
		units[z] += count
	})
	missing := now.Sub(j.unplacedSince) > infeasibleAfter
	best, most := "", 0
	for z, u := range units {
		if missing && !s.feasible(j, n, z) {
			continue
		}
		if u > most || (u == most && z < best) {
			best, most = z, u
		}
	}
	for m := range s.inventory.reserved[j.ref] {
		if !m.evicting() {
			s.inventory.cancelReservation(m)
		}
	}
	if most == 0 {
		return
	}
	s.pass.gangByZone[best] = j
	for _, m := range byZone[best] {
		if m.reservation.job == "" || !now.Before(m.reservation.until) {
			s.inventory.reserve(m, j, 1, now.Add(gangReservation))
		}
	}
	s.wakeAt(now.Add(gangReservation / 2))
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

// gangReservation is how long a free machine is kept for a gang unless that is renewed.
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
