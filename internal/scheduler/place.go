package scheduler

import (
	"sort"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// usable reports whether new work may be placed on a machine.
func (s *Shard) usable(m *Machine, now time.Time) bool {
	return m.up && m.Phase == record.InUse && !m.drain && m.cordon == NotCordoned && m.moveTo < 0 && m.txn == nil && !m.versionUnknown &&
		m.unreachableSince.IsZero() && (m.fenced || !m.inherited) && m.taken.IsZero() && now.Sub(m.reported) < s.suspectAfter()
}

// suspectAfter is when a silent machine gets no new work.
func (s *Shard) suspectAfter() time.Duration { return s.cfg.Report*2 + time.Second }

func (j *Job) unit() int {
	if j.spec.Kind == wire.Gang {
		return j.idleTasks // all, or what replaces those lost while it waits
	}
	return 1
}

func (s *Shard) waiting(j *Job, now time.Time) bool {
	if j.held || j.withheld || j.cancelled || j.idleTasks == 0 || j.versionUnknown {
		return false
	}
	if j.spec.Kind == wire.Gang && !j.gathering() {
		return false // the old attempt must be gone, all of it
	}
	return true
}

// place starts what can be started: team by team, in turn by shares.
func (s *Shard) place(now time.Time) {
	if s.unreadable.unheard || s.awaitsReports(now) {
		return // what runs unrecorded uses room and quota
	}
	s.gathers, s.found = map[string]*Job{}, found{}
	s.weighKept()
	queues := map[string][]*Job{}
	for _, j := range s.index.waiting {
		s.looked++
		if !s.waiting(j, now) {
			j.stuck = time.Time{}
			continue
		}
		if now.Before(j.hold) {
			s.alarm(j.hold)
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
			if late := x.late(now); late != y.late(now) {
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
			if bestJob == nil || s.before(q[0], team, bestJob, best, now) {
				best, bestJob = team, q[0]
			}
		}
		if bestJob == nil {
			return
		}
		if s.start(bestJob, now) && bestJob.idleTasks > 0 {
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
	return (j.kept || j.starved(now)) && now.Sub(j.accepted) > agedAfter && s.keptLoad[j.rank] < agedShare
}

// starved reports whether nothing of a job has run for too long.
func (j *Job) starved(now time.Time) bool {
	return j.placedTasks+j.doneTasks == 0 && now.Sub(j.accepted) > agedAfter
}

// beforeAged orders jobs that have waited too long: the lowest priority first,
// since its share can't be used up by the others, then the largest gang, which
// finds room nowhere else, then the oldest.
func beforeAged(a, b *Job) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if x, y := a.unit(), b.unit(); x != y {
		return x > y
	}
	return a.accepted.Before(b.accepted)
}

// weighKept computes the share of the part's machines that kept jobs hold.
func (s *Shard) weighKept() {
	s.keptLoad = [highestRank + 1]float64{}
	for j := range s.kept {
		if s.index.cpus > 0 {
			s.keptLoad[j.rank] += float64(j.placedTasks) * j.spec.CPUs / s.index.cpus
		}
	}
}

// before orders the heads of two teams' queues: what has waited too long goes
// first, then work within a guarantee, then priority, then the team with less of
// its share.
func (s *Shard) before(a *Job, teamA string, b *Job, teamB string, now time.Time) bool {
	if old := s.aged(a, now); old != s.aged(b, now) {
		return old
	} else if old {
		return beforeAged(a, b)
	}
	if x, y := s.guaranteed(a, a.unit()), s.guaranteed(b, b.unit()); x != y {
		return x
	}
	if a.rank != b.rank {
		return a.rank > b.rank
	}
	if x, y := s.load(teamA), s.load(teamB); x != y {
		return x < y
	}
	return teamA < teamB
}

// start places one unit of a job: a task, or all of a gang.
func (s *Shard) start(j *Job, now time.Time) bool {
	n := j.unit()
	if !s.withinLimit(j, n) {
		j.stuck = time.Time{} // waits for its own team, not for machines
		return false
	}
	where := s.find(j, n, now)
	if where == nil {
		if j.stuck.IsZero() {
			j.stuck = now
		}
		if j.spec.Kind == wire.Gang && (len(s.gathers) == 0 || j.late(now)) {
			s.gather(j, n, now)
		}
		s.makeRoom(j, n, now)
		return false
	}
	if wait, more := s.seek(j, where[0], now); wait {
		return more
	}
	if s.aged(j, now) {
		j.kept = true
		s.kept[j] = true
		defer s.weighKept()
	}
	gang := j.attempt()
	for _, m := range where {
		i := j.nextIdle()
		a := s.nextAttempt(j, i)
		if j.spec.Kind == wire.Gang {
			if gang == 0 {
				gang = a
			}
			a = gang
		}
		s.put(key{j, i}, m, a, now)
		s.use(m, j)
	}
	if j.idleTasks == 0 {
		j.stuck = time.Time{}
	}
	return true
}

func (j *Job) nextIdle() int {
	for j.tasks[j.firstIdle].state != idle {
		j.firstIdle++
	}
	return j.firstIdle
}

// gather keeps the machines that are free for the first gang that waits, in the
// zone that has most for it, so that smaller work can't take them one by one.
// Those that have waited for long gather too, each in a zone of its own: two in
// one zone could hold up each other.
func (s *Shard) gather(j *Job, n int, now time.Time) {
	if _, anywhere := s.gathers[""]; anywhere || (!j.spec.OneZone && len(s.gathers) > 0) {
		return
	}
	byZone := map[string][]*Machine{}
	units := map[string]int{}
	s.roomy(j.spec, now, func(m *Machine) {
		if m.keptFromOthers(j, now) || s.gathers[m.Zone] != nil || !j.mayGoTo(m.Zone) {
			return
		}
		fits := 0
		for r := free(m); fits < n && roomFor(j.spec, r.cpus, r.gpus, r.mem); r = r.less(j.spec, 1) {
			fits++
		}
		z := m.Zone
		if !j.spec.OneZone {
			z = ""
		}
		byZone[z] = append(byZone[z], m)
		units[z] += fits
	})
	missing := now.Sub(j.stuck) > missingAfter
	best, most := "", 0
	for z, u := range units {
		if missing && !s.attainable(j, n, z) {
			continue
		}
		if u > most || (u == most && z < best) {
			best, most = z, u
		}
	}
	for m := range s.index.kept[j.ref] {
		if !m.clearing() {
			s.release(m)
		}
	}
	if most == 0 {
		return
	}
	s.gathers[best] = j
	for _, m := range byZone[best] {
		if m.reserved == "" || !now.Before(m.reservedT) {
			s.reserve(m, j, 1, now.Add(gatherFor))
		}
	}
	s.alarm(now.Add(gatherFor / 2))
}

// late reports whether a gang has waited so long that more seems to be asked than
// can be done.
func (j *Job) late(now time.Time) bool {
	return j.spec.Kind == wire.Gang && now.Sub(j.accepted) > lateAfter
}

// lateAfter is well above what a boot and the fetch of an image take, so that a
// machine lost here and there makes no gang late: those that can still start in
// time go first.
const lateAfter = 90 * time.Second

// gatherFor is how long a free machine is kept for a gang unless that is renewed.
const gatherFor = 4 * time.Second

// clearing reports whether tasks on a machine are being stopped.
func (m *Machine) clearing() bool {
	for _, t := range m.on {
		if t.stop {
			return true
		}
	}
	return false
}
