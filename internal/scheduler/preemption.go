package scheduler

import (
	"maps"
	"math"
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// preemptFor stops lower work for a job that has waited long enough for a free
// machine: what the protocol's preemption rules allow, least loss first.
func (s *Shard) preemptFor(j *Job, n int, now time.Time) {
	due := j.unplacedSince.Add(s.cfg.PreemptAfter)
	if now.Before(due) {
		s.wakeAt(due)
		return
	}
	if now.Before(j.preemption.awaitedUntil) {
		return
	}
	if again := j.preemption.triedAt.Add(preemptionRetry); now.Before(again) {
		s.wakeAt(again)
		return
	}
	type option struct {
		m       *Machine
		victims []taskKey
		loss    float64
		units   int
	}
	byZone := map[string][]option{}
	within := s.quotas.withinGuarantee(j, n)
	s.eachPreemptionCandidate(j, within, now, func(m *Machine) {
		if !allows(j.spec, m) || !j.allowsZone(m.Zone) || !s.usable(m, now) || m.reservedForOther(j, now) || s.reservedByLongWaitingGang(m, j, now) {
			return
		}
		r := freeRoom(m)
		o := option{m: m}
		fits := func() int {
			c, q := 0, r
			for fits(j.spec, q.cpus, q.gpus, q.mem) && c < n {
				c++
				q = q.minus(j.spec, 1)
			}
			return c
		}
		var ks []taskKey
		cost := map[taskKey]float64{}
		for k, t := range m.tasks {
			if t.stopping {
				r = resources{r.cpus + k.job.spec.CPUs, r.gpus + k.job.spec.GPUs, r.mem + k.job.spec.MemoryGB}
				continue
			}
			if s.preemptible(k.job, j, within) {
				ks = append(ks, k)
				cost[k], _ = s.preemptionCost(k, now)
			}
		}
		sort.Slice(ks, func(a, b int) bool {
			if x, y := ks[a].job.rank, ks[b].job.rank; x != y {
				return x < y
			}
			return cost[ks[a]] < cost[ks[b]]
		})
		for _, k := range ks {
			if fits() > 0 && (j.spec.Kind != wire.Gang || fits() >= n) {
				break
			}
			o.victims = append(o.victims, k)
			o.loss += cost[k]
			spec := k.job.spec
			r = resources{r.cpus + spec.CPUs, r.gpus + spec.GPUs, r.mem + spec.MemoryGB}
		}
		if o.units = fits(); o.units == 0 {
			return
		}
		zone := m.Zone
		if !j.spec.OneZone {
			zone = ""
		}
		byZone[zone] = append(byZone[zone], o)
	})
	var best []option
	bestLoss := math.Inf(1)
	for _, os := range byZone {
		sort.Slice(os, func(a, b int) bool {
			if os[a].loss != os[b].loss {
				return os[a].loss < os[b].loss
			}
			return os[a].m.ID < os[b].m.ID
		})
		units, loss := 0, 0.0
		for i, o := range os {
			units += o.units
			loss += o.loss
			if units >= n {
				if loss < bestLoss {
					best, bestLoss = os[:i+1], loss
				}
				break
			}
		}
	}
	if best == nil && j.longWaiting(now) {
		// Too much for one moment: what the gang gathers grows step by step.
		for zone, os := range byZone {
			if s.pass.gangByZone[zone] == j {
				best = os
			}
		}
	}
	for _, o := range best {
		for _, k := range o.victims {
			s.preemptTask(k, now)
		}
		s.inventory.reserve(o.m, j, o.units, now.Add(preemptedReservation))
	}
	if best != nil {
		j.preemption.awaitedUntil = now.Add(preemptedReservation / 2)
		s.wakeAt(j.preemption.awaitedUntil)
	} else {
		j.preemption.triedAt = now
		s.wakeAt(now.Add(preemptionRetry))
	}
}

// preemptionRetry is when room that could not be made is sought again.
const preemptionRetry = time.Second

// reservedByLongWaitingGang reports whether a gang that has waited for long gathers machines where m
// is: one that is no more urgent makes no room for itself there meanwhile.
func (s *Shard) reservedByLongWaitingGang(m *Machine, j *Job, now time.Time) bool {
	g := s.pass.gangByZone[m.Zone]
	if g == nil {
		g = s.pass.gangByZone[""]
	}
	return g != nil && g != j && g.longWaiting(now) && g.rank >= j.rank
}

// eachPreemptionCandidate calls f for the machines that have room for a task of j or may have it
// once others have stopped.
func (s *Shard) eachPreemptionCandidate(j *Job, within bool, now time.Time, f func(*Machine)) {
	seen := machineSet{}
	look := func(m *Machine) {
		if _, ok := seen[m]; !ok {
			s.candidatesExamined++
			seen[m] = struct{}{}
			f(m)
		}
	}
	s.eachFeasibleMachine(j.spec, now, look)
	for m := range s.inventory.evicting {
		look(m)
	}
	top := j.rank
	if within && s.quotas.othersOverGuarantee(j.spec.Team) {
		top = highestRank + 1 // whatever its priority
	}
	for _, ms := range s.inventory.byRank[:top] {
		for m := range ms {
			look(m)
		}
	}
}

// othersOverGuarantee reports whether another team runs beyond its guarantee here.
func (q *quotas) othersOverGuarantee(team string) bool {
	for t, u := range q.used {
		if t != team && u.gpus+u.cpus > 0 && q.overGuarantee(t) {
			return true
		}
	}
	return false
}

// preemptedReservation is how long room made by stopping others is kept for its job.
const preemptedReservation = 20 * time.Second

// preemptionCost says how a task is best stopped for one that waits, and what that
// costs in seconds: either it saves, which holds the place meanwhile, or what it
// did since its last checkpoint is lost. Checkpoints come at intervals of its
// progress, so the time since the last one is known well enough to choose.
func (s *Shard) preemptionCost(k taskKey, now time.Time) (loss float64, grace time.Duration) {
	t := &k.job.tasks[k.index]
	spec := k.job.spec
	if t.phase == wire.Running {
		ran := now.Sub(t.runningSince).Seconds()
		loss = ran
		if spec.CheckpointS > 0 {
			loss = math.Mod(ran, spec.CheckpointS)
			if loss > spec.SaveS {
				loss, grace = spec.SaveS, s.gracePeriod(k.job)
			}
		}
		if ran < countedAfter.Seconds() {
			loss += spec.ImageGB // its start would not count
		}
	}
	loss += 1 + spec.ImageGB/2
	if spec.Kind == wire.Gang {
		loss *= float64(len(k.job.tasks))
	}
	return loss, grace
}

// countedAfter is how long a start must stand to count for its users.
const countedAfter = 30 * time.Second

// preemptTask stops a task, a gang's with all its mates, for one that waits.
func (s *Shard) preemptTask(k taskKey, now time.Time) {
	_, grace := s.preemptionCost(k, now)
	if k.job.spec.Kind == wire.Gang {
		s.stopJob(k.job, grace, now)
		return
	}
	s.stopTask(k, grace, now)
}

// preemptWhereCached looks for a machine that caches a service's image where lower work can
// give way, when only machines without the image are free: stopping takes less
// than the fetch would. It reports whether the task should wait for such room,
// and whether more may be sought for the job's others.
// This is the design's leaning to machines that have the image, carried on to
// those that are taken.
func (s *Shard) preemptWhereCached(j *Job, found *Machine, now time.Time) (wait, more bool) {
	spec := j.spec
	if spec.Kind != wire.Service || found.hasImage(spec.Image) || found.Type.FetchGBps <= 0 {
		return false, false
	}
	fetch := wire.Seconds(spec.ImageGB / found.Type.FetchGBps)
	if fetch < fetchWorthPreempting || now.Sub(j.accepted) > cachedRoomWait {
		return false, false
	}
	zones := maps.Clone(j.progress.placedByZone)
	coming := 0
	limit := j.zoneLimit()
	for m := range s.inventory.reserved[j.ref] {
		// Room that is free by now, or made where the image is not, is not what
		// is waited for.
		if n := m.reservedFor(j, now); n > 0 && m.hasImage(spec.Image) && m.evicting() && zones[m.Zone]+n <= limit {
			coming += n
			zones[m.Zone] += n
		}
	}
	if coming >= j.progress.pending {
		return true, false
	}
	var best *Machine
	var victim taskKey
	bestLoss := math.Inf(1)
	for m := range s.inventory.byImage[spec.Image] {
		if !allows(spec, m) || !j.allowsZone(m.Zone) || !s.usable(m, now) || zones[m.Zone] >= limit || m.reservedForOther(j, now) {
			continue
		}
		f := freeRoom(m)
		for k, t := range m.tasks {
			if t.stopping {
				f = f.minus(k.job.spec, -1)
			}
		}
		f = f.minus(spec, m.reservedFor(j, now))
		for k, t := range m.tasks {
			v := k.job.spec
			if t.stopping || k.job.protected || k.job.rank >= j.rank || v.Kind != wire.Array || !fits(spec, f.cpus+v.CPUs, f.gpus+v.GPUs, f.mem+v.MemoryGB) {
				continue
			}
			if l, _ := s.preemptionCost(k, now); l < bestLoss || (l == bestLoss && m.ID < best.ID) {
				best, victim, bestLoss = m, k, l
			}
		}
	}
	if best == nil {
		return false, false
	}
	s.preemptTask(victim, now)
	s.inventory.reserve(best, j, 1, now.Add(cachedRoomWait))
	s.wakeAt(best.reservation.until)
	return true, true
}

const (
	// fetchWorthPreempting is the fetch from which on other work gives way instead.
	fetchWorthPreempting = 4 * time.Second
	// cachedRoomWait is how long after its acceptance a service waits for such room.
	cachedRoomWait = 10 * time.Second
)
