package sched

import (
	"math"
	"slices"
	"sort"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// usable reports whether new work may be placed on a machine.
func (p *Part) usable(m *Machine, now time.Time) bool {
	return m.up && m.Phase == record.InUse && !m.drain && m.cordon == NotCordoned && m.moveTo < 0 && m.txn == nil && !m.unsure &&
		m.unreachableSince.IsZero() && (m.fenced || !m.inherited) && m.taken.IsZero() && now.Sub(m.reported) < p.suspectAfter()
}

// suspectAfter is when a silent machine gets no new work.
func (p *Part) suspectAfter() time.Duration { return p.cfg.Report*2 + time.Second }

func allows(s *wire.Spec, m *Machine) bool {
	return (!m.Spot || s.Spot) && (s.Zone == nil || *s.Zone == m.Zone) &&
		(s.Types == nil || slices.Contains(s.Types, m.Type.Name))
}

const slack = 1e-6 // amounts are decimal numbers

func roomFor(s *wire.Spec, cpus, gpus, mem float64) bool {
	return s.CPUs <= cpus+slack && s.GPUs <= gpus+slack && s.MemoryGB <= mem+slack
}

// room is what is free on m, less what a plan has put there already.
type room struct{ cpus, gpus, mem float64 }

func free(m *Machine) room {
	return room{m.Type.CPUs - m.cpus, m.Type.GPUs - m.gpus, m.Type.MemoryGB - m.mem}
}

// less is what is left of r after n tasks.
func (r room) less(s *wire.Spec, n int) room {
	f := float64(n)
	return room{r.cpus - f*s.CPUs, r.gpus - f*s.GPUs, r.mem - f*s.MemoryGB}
}

func (p *Part) withinLimit(j *Job, n int) bool {
	t, ok := p.cfg.Teams[j.spec.Team]
	if !ok {
		return true
	}
	u := p.usage(j.spec.Team)
	f := float64(n)
	return (t.MaxCPUs <= 0 || u.cpus+f*j.spec.CPUs <= t.MaxCPUs+slack) &&
		(t.MaxGPUs <= 0 || u.gpus+f*j.spec.GPUs <= t.MaxGPUs+slack)
}

// guaranteed reports whether n more tasks of j keep to its team's guarantee.
func (p *Part) guaranteed(j *Job, n int) bool {
	t := p.cfg.Teams[j.spec.Team]
	if t.CPUs <= 0 && t.GPUs <= 0 {
		return false
	}
	u := p.usage(j.spec.Team)
	f := float64(n)
	return (t.CPUs <= 0 || u.cpus+f*j.spec.CPUs <= t.CPUs+slack) && (t.GPUs <= 0 || u.gpus+f*j.spec.GPUs <= t.GPUs+slack)
}

// borrowed reports whether a team runs beyond its guarantee.
func (p *Part) borrowed(team string) bool {
	t := p.cfg.Teams[team]
	u := p.usage(team)
	return (t.CPUs > 0 && u.cpus > t.CPUs+slack) || (t.GPUs > 0 && u.gpus > t.GPUs+slack) || (t.CPUs <= 0 && t.GPUs <= 0)
}

func (p *Part) load(team string) float64 {
	share := p.cfg.Teams[team].Share
	if share <= 0 {
		share = 1
	}
	u := p.usage(team)
	return (u.gpus*4 + u.cpus) / share // both kinds count; cards are the scarcer
}

func (j *Job) unit() int {
	if j.spec.Kind == wire.Gang {
		return j.nIdle // all, or what replaces those lost while it waits
	}
	return 1
}

func (p *Part) waiting(j *Job, now time.Time) bool {
	if j.held || j.cancelled || j.nIdle == 0 || j.unsure {
		return false
	}
	if j.spec.Kind == wire.Gang && !j.gathering() {
		return false // the old attempt must be gone, all of it
	}
	return true
}

// place starts what can be started: team by team, in turn by shares.
func (p *Part) place(now time.Time) {
	p.gathers, p.found = map[string]*Job{}, found{}
	p.weighKept()
	queues := map[string][]*Job{}
	for _, j := range p.index.waiting {
		p.looked++
		if !p.waiting(j, now) {
			j.stuck = time.Time{}
			continue
		}
		if now.Before(j.hold) {
			p.alarm(j.hold)
			continue
		}
		queues[j.spec.Team] = append(queues[j.spec.Team], j)
	}
	for _, q := range queues {
		urgency := make(map[*Job]float64, len(q))
		for _, j := range q {
			urgency[j] = p.cfg.Urgency(j.spec, now.Sub(j.accepted), j.deadline())
		}
		sort.Slice(q, func(a, b int) bool {
			x, y := q[a], q[b]
			if old := p.aged(x, now); old != p.aged(y, now) {
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
			if bestJob == nil || p.before(q[0], team, bestJob, best, now) {
				best, bestJob = team, q[0]
			}
		}
		if bestJob == nil {
			return
		}
		if p.start(bestJob, now) && bestJob.nIdle > 0 {
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

func (p *Part) aged(j *Job, now time.Time) bool {
	return (j.kept || j.starved(now)) && now.Sub(j.accepted) > agedAfter && p.keptLoad[j.rank] < agedShare
}

// starved reports whether nothing of a job has run for too long.
func (j *Job) starved(now time.Time) bool {
	return j.nPlaced+j.nDone == 0 && now.Sub(j.accepted) > agedAfter
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
func (p *Part) weighKept() {
	p.keptLoad = [highestRank + 1]float64{}
	for j := range p.kept {
		if p.index.cpus > 0 {
			p.keptLoad[j.rank] += float64(j.nPlaced) * j.spec.CPUs / p.index.cpus
		}
	}
}

// before orders the heads of two teams' queues: what has waited too long goes
// first, then work within a guarantee, then priority, then the team with less of
// its share.
func (p *Part) before(a *Job, teamA string, b *Job, teamB string, now time.Time) bool {
	if old := p.aged(a, now); old != p.aged(b, now) {
		return old
	} else if old {
		return beforeAged(a, b)
	}
	if x, y := p.guaranteed(a, a.unit()), p.guaranteed(b, b.unit()); x != y {
		return x
	}
	if a.rank != b.rank {
		return a.rank > b.rank
	}
	if x, y := p.load(teamA), p.load(teamB); x != y {
		return x < y
	}
	return teamA < teamB
}

// start places one unit of a job: a task, or all of a gang.
func (p *Part) start(j *Job, now time.Time) bool {
	n := j.unit()
	if !p.withinLimit(j, n) {
		j.stuck = time.Time{} // waits for its own team, not for machines
		return false
	}
	where := p.find(j, n, now)
	if where == nil {
		if j.stuck.IsZero() {
			j.stuck = now
		}
		if j.spec.Kind == wire.Gang && (len(p.gathers) == 0 || j.late(now)) {
			p.gather(j, n, now)
		}
		p.makeRoom(j, n, now)
		return false
	}
	if wait, more := p.seek(j, where[0], now); wait {
		return more
	}
	if p.aged(j, now) {
		j.kept = true
		p.kept[j] = true
		defer p.weighKept()
	}
	gang := j.attempt()
	for _, m := range where {
		i := j.nextIdle()
		a := p.nextAttempt(j, i)
		if j.spec.Kind == wire.Gang {
			if gang == 0 {
				gang = a
			}
			a = gang
		}
		p.put(key{j, i}, m, a, now)
		p.use(m, j)
	}
	if j.nIdle == 0 {
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
func (p *Part) gather(j *Job, n int, now time.Time) {
	if _, anywhere := p.gathers[""]; anywhere || (!j.spec.OneZone && len(p.gathers) > 0) {
		return
	}
	byZone := map[string][]*Machine{}
	units := map[string]int{}
	p.roomy(j.spec, now, func(m *Machine) {
		if m.keptFromOthers(j, now) || p.gathers[m.Zone] != nil || !j.mayGoTo(m.Zone) {
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
		if missing && !p.attainable(j, n, z) {
			continue
		}
		if u > most || (u == most && z < best) {
			best, most = z, u
		}
	}
	for m := range p.index.kept[j.ref] {
		if !m.clearing() {
			p.release(m)
		}
	}
	if most == 0 {
		return
	}
	p.gathers[best] = j
	for _, m := range byZone[best] {
		if m.reserved == "" || !now.Before(m.reservedT) {
			p.reserve(m, j, 1, now.Add(gatherFor))
		}
	}
	p.alarm(now.Add(gatherFor / 2))
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

// find chooses a machine for each of n tasks of j, nil if there is no room for
// all of them.
func (p *Part) find(j *Job, n int, now time.Time) []*Machine {
	s := j.spec
	if n == 1 && p.found.job == j {
		return p.next(j)
	}
	p.found.job = nil
	var cands []*Machine
	p.roomy(s, now, func(m *Machine) {
		if j.failedOn[m.ID] && !j.atFault() {
			return
		}
		if m.keptFromOthers(j, now) {
			if o := p.jobs[m.reserved]; o != nil && o.nIdle > 0 && p.yields(j, o, now) {
				return
			}
		}
		cands = append(cands, m)
	})
	if len(cands) == 0 {
		return nil
	}
	limit := j.zoneLimit()
	only := ""
	if s.OneZone {
		for z := range j.zones {
			only = z
		}
	}
	if n == 1 && (s.Spread || s.OneZone || j.nIdle == 1) {
		return p.best(j, cands, limit, only)
	}
	scores := p.sortByScore(j, cands)
	if n == 1 {
		p.found = found{j, cands}
		return p.next(j)
	}
	if !s.OneZone || only != "" {
		return pick(s, cands, n, j.zones, limit, only)
	}
	// The zone that serves the whole gang best: it starts when the last of its
	// tasks has the image.
	var best []*Machine
	bestScore := math.Inf(-1)
	tried := map[string]bool{}
	for _, m := range cands {
		if tried[m.Zone] {
			continue
		}
		tried[m.Zone] = true
		got := pick(s, cands, n, j.zones, limit, m.Zone)
		if got == nil {
			continue
		}
		sum := 0.0
		for _, g := range got {
			sum += scores[g]
		}
		if sum > bestScore {
			best, bestScore = got, sum
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

// mayGoTo reports whether a zone may take one more of a job's tasks, as those that
// are placed leave it.
func (j *Job) mayGoTo(zone string) bool {
	if j.spec.OneZone && len(j.zones) > 0 && j.zones[zone] == 0 {
		return false
	}
	return j.zones[zone] < j.zoneLimit()
}

// found is the candidates for a job's tasks, the best first, while no other
// job's task is placed.
type found struct {
	job  *Job
	list []*Machine
}

// next returns the machine for the next task of a job that places one after the
// other: a wide array would else look at all free machines for each of them. A
// machine that took one is fuller, and so stays the best until it is full.
func (p *Part) next(j *Job) []*Machine {
	for len(p.found.list) > 0 {
		m := p.found.list[0]
		if r := free(m); roomFor(j.spec, r.cpus, r.gpus, r.mem) {
			return p.found.list[:1]
		}
		p.found.list = p.found.list[1:]
	}
	return nil
}

// sortByScore puts the best machines first.
func (p *Part) sortByScore(j *Job, ms []*Machine) map[*Machine]float64 {
	scores := make(map[*Machine]float64, len(ms))
	for _, m := range ms {
		scores[m] = p.score(j, m)
	}
	sort.Slice(ms, func(a, b int) bool {
		if x, y := scores[ms[a]], scores[ms[b]]; x != y {
			return x > y
		}
		return ms[a].ID < ms[b].ID
	})
	return scores
}

// yields reports whether a job leaves alone what is kept for another. One that has
// waited too long takes it from those that have not, but not from those that go
// before it: small gangs, which find room soon, would keep the largest from ever
// having gathered enough.
func (p *Part) yields(j, other *Job, now time.Time) bool {
	if p.aged(j, now) {
		return p.aged(other, now) && beforeAged(other, j)
	}
	return other.rank >= j.rank
}

// best returns the best of the candidates for one task.
func (p *Part) best(j *Job, cands []*Machine, limit int, only string) []*Machine {
	var best *Machine
	top := 0.0
	for _, m := range cands {
		if (only != "" && m.Zone != only) || j.zones[m.Zone] >= limit {
			continue
		}
		if v := p.score(j, m); best == nil || v > top || (v == top && m.ID < best.ID) {
			best, top = m, v
		}
	}
	if best == nil {
		return nil
	}
	return []*Machine{best}
}

// pick takes machines in order, several tasks to one where they fit.
func pick(s *wire.Spec, cands []*Machine, n int, placed map[string]int, limit int, only string) []*Machine {
	zones := make(map[string]int, len(placed))
	for z, c := range placed {
		zones[z] = c
	}
	var got []*Machine
	for _, m := range cands {
		if only != "" && m.Zone != only {
			continue
		}
		r := free(m)
		for len(got) < n && roomFor(s, r.cpus, r.gpus, r.mem) && zones[m.Zone] < limit {
			got = append(got, m)
			zones[m.Zone]++
			r = r.less(s, 1)
		}
		if len(got) == n {
			return got
		}
	}
	return nil
}

// breaksUp is what it counts against a machine that none of its cards is in use, and
// holdsUp that all its work is such as may have to give way to a gang: a task that
// has inherited a priority would not.
const (
	breaksUp = 150
	holdsUp  = 110
)

// soonCordoned is what it counts against a machine that is to be drained: more than its
// image is worth, as what starts there may be evicted soon.
const soonCordoned = 250

// score ranks a machine for a task: one that caches its image first (DESIGN's
// stand-in for sending fragments to the data), then a spot machine where the
// job may use one, then the fullest, so that whole machines stay free, and of
// these the one with the fewest images, so that caches stay for whom they serve.
// Work without cards goes beside work with cards, even where its image, which is
// small, must be fetched first: a machine of which it takes a few cores is lost to
// a gang that needs all of it.
func (p *Part) score(j *Job, m *Machine) float64 {
	v := 0.0
	if m.hasImage(j.spec.Image) {
		v += 100
	}
	if j.spec.GPUs <= 0 && m.Type.GPUs > 0 {
		switch {
		case m.gpus <= 0:
			v -= breaksUp
		case m.ranks[highestRank]+m.ranks[highestRank-1] == 0:
			v -= holdsUp
		}
	}
	if m.avoided {
		v -= soonCordoned
	}
	if m.Spot {
		v += 30
	}
	if j.spec.Spread {
		v -= 10 * float64(j.zones[m.Zone])
	}
	used := 0.0
	if m.Type.GPUs > 0 {
		used = m.gpus / m.Type.GPUs
	}
	if m.Type.CPUs > 0 {
		used = math.Max(used, m.cpus/m.Type.CPUs)
	}
	return v + 20*used - float64(len(m.images))/2
}
