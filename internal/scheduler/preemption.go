package scheduler

import (
	"maps"
	"math"
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// preemptionOption is a machine on which preemption can make room, with the tasks to be
// stopped there.
type preemptionOption struct {
	machine *Machine
	victims []taskKey
	loss    float64 // the cost of stopping the victims, in seconds: see preemptionCost
	units   int     // how many tasks of the waiting job fit then
}

// preemptFor preempts tasks of other jobs to make room for n tasks of a job that has waited
// long enough for a free machine. Among the options that the preemption rules allow, it chooses
// those with the least loss.
func (s *Shard) preemptFor(j *Job, n int, now time.Time) {
	if !s.preemptionDue(j, now) {
		return
	}
	options := map[string][]preemptionOption{} // by zone; made in this function so that it needs no heap allocation
	s.addPreemptionOptions(options, j, n, now)
	chosen := leastLoss(options, n)
	if chosen == nil && j.longWaiting(now) {
		// There is not enough room for the whole gang at once: preempt where machines are
		// reserved for it, so that its reservations grow step by step.
		chosen = s.pass.optionsInZoneReservedFor(j, options)
	}
	if chosen == nil {
		j.preemption.triedAt = now
		s.wakeAt(now.Add(preemptionRetry))
		return
	}
	for _, o := range chosen {
		for _, k := range o.victims {
			s.preemptTask(k, now)
		}
		s.inventory.reserve(o.machine, j, o.units, now.Add(preemptedReservation))
	}
	j.preemption.awaitedUntil = now.Add(preemptedReservation / 2)
	s.wakeAt(j.preemption.awaitedUntil)
}

// preemptionDue reports whether a job may preempt others now. If it may not yet, it arranges
// for a Step at the time when it may.
func (s *Shard) preemptionDue(j *Job, now time.Time) bool {
	due := j.unplacedSince.Add(s.cfg.PreemptAfter)
	if now.Before(due) {
		s.wakeAt(due)
		return false
	}
	if now.Before(j.preemption.awaitedUntil) {
		return false
	}
	if again := j.preemption.triedAt.Add(preemptionRetry); now.Before(again) {
		s.wakeAt(again)
		return false
	}
	return true
}

// addPreemptionOptions adds to byZone the machines on which n tasks of a job may preempt
// others. The key is the zone if the job's tasks have to be in one zone, else "".
func (s *Shard) addPreemptionOptions(byZone map[string][]preemptionOption, j *Job, n int, now time.Time) {
	withinGuarantee := s.quotas.withinGuarantee(j, n)
	s.eachPreemptionCandidate(j, withinGuarantee, now, func(m *Machine) {
		if !allows(j.spec, m) || !j.allowsZone(m.Zone) || j.avoids(m, now) || !s.cfg.usable(m, now) || m.reservedForOther(j, now) || s.pass.zoneReservedByLongWaitingGang(m, j, now) {
			return
		}
		if o := s.preemptionOption(m, j, n, withinGuarantee, now); o.units > 0 {
			zone := j.commonZone(m)
			byZone[zone] = append(byZone[zone], o)
		}
	})
}

// preemptionOption picks the tasks that have to be stopped on a machine so that one task of
// j fits there, or, if j is a gang, as many of its n tasks as there can be room for.
// withinGuarantee says whether j keeps within its team's guarantee. If no task can fit, the
// result has no units.
func (s *Shard) preemptionOption(m *Machine, j *Job, n int, withinGuarantee bool, now time.Time) preemptionOption {
	room := freeRoom(m)
	var candidates []taskKey
	cost := map[taskKey]float64{}
	for k, t := range m.tasks {
		if t.stopping {
			room = room.plus(k.job.spec)
			continue
		}
		if s.quotas.preemptible(k.job, j, withinGuarantee) {
			candidates = append(candidates, k)
			cost[k], _ = k.preemptionCost(now)
		}
	}
	sort.Slice(candidates, func(a, b int) bool {
		if x, y := candidates[a].job.rank, candidates[b].job.rank; x != y {
			return x < y
		}
		return cost[candidates[a]] < cost[candidates[b]]
	})
	o := preemptionOption{machine: m}
	for _, k := range candidates {
		if count := room.capacity(j.spec, n); count > 0 && (j.spec.Kind != wire.Gang || count >= n) {
			break
		}
		o.victims = append(o.victims, k)
		o.loss += cost[k]
		room = room.plus(k.job.spec)
	}
	o.units = room.capacity(j.spec, n)
	return o
}

// leastLoss returns the options of one zone that together make room for n tasks at the least
// loss, nil if no zone has enough. It sorts the options.
func leastLoss(byZone map[string][]preemptionOption, n int) []preemptionOption {
	var best []preemptionOption
	bestLoss := math.Inf(1)
	for _, options := range byZone {
		sort.Slice(options, func(a, b int) bool {
			if options[a].loss != options[b].loss {
				return options[a].loss < options[b].loss
			}
			return options[a].machine.ID < options[b].machine.ID
		})
		if enough, loss := firstEnough(options, n); loss < bestLoss {
			best, bestLoss = enough, loss
		}
	}
	return best
}

// firstEnough returns the first options that together make room for n tasks, and the sum of
// their losses. If all options are not enough, it returns nil and an infinite loss.
func firstEnough(options []preemptionOption, n int) ([]preemptionOption, float64) {
	units, loss := 0, 0.0
	for i, o := range options {
		units += o.units
		loss += o.loss
		if units >= n {
			return options[:i+1], loss
		}
	}
	return nil, math.Inf(1)
}

// optionsInZoneReservedFor returns the options in the zone where machines are reserved for
// a gang, nil if there are none.
func (p *placementPass) optionsInZoneReservedFor(gang *Job, byZone map[string][]preemptionOption) []preemptionOption {
	for zone, options := range byZone {
		if p.gangByZone[zone] == gang {
			return options
		}
	}
	return nil
}

// commonZone returns the zone of a machine if the job's tasks have to be in one zone, else "".
func (j *Job) commonZone(m *Machine) string {
	if j.spec.OneZone {
		return m.Zone
	}
	return ""
}

// preemptionRetry is how long after a failed attempt a job tries again to preempt others.
const preemptionRetry = time.Second

// zoneReservedByLongWaitingGang reports whether a gang that has waited for long, and has the
// same priority as j or a higher one, reserves machines in the zone of m. j must not
// preempt tasks there meanwhile.
func (p *placementPass) zoneReservedByLongWaitingGang(m *Machine, j *Job, now time.Time) bool {
	g := p.gangByZone[m.Zone]
	if g == nil {
		g = p.gangByZone[""]
	}
	return g != nil && g != j && g.longWaiting(now) && g.rank >= j.rank
}

// eachPreemptionCandidate calls f once for each machine that has room for a task of j or may
// have it once other tasks have stopped.
func (s *Shard) eachPreemptionCandidate(j *Job, withinGuarantee bool, now time.Time, f func(*Machine)) {
	seen := machineSet{}
	visit := func(m *Machine) {
		if _, ok := seen[m]; !ok {
			s.inventory.candidatesExamined++
			seen[m] = struct{}{}
			f(m)
		}
	}
	s.inventory.eachFeasibleMachine(j.spec, now, visit)
	for m := range s.inventory.evicting {
		visit(m)
	}
	top := j.rank
	if withinGuarantee && s.quotas.othersOverGuarantee(j.spec.Team) {
		top = highestRank + 1 // tasks of any priority may be preempted
	}
	for _, ms := range s.inventory.byRank[:top] {
		for m := range ms {
			visit(m)
		}
	}
}

// preemptedReservation is how long room made by preemption is reserved for the job that
// preempted.
const preemptedReservation = 20 * time.Second

// preemptionCost returns what stopping a task costs, in seconds, and the grace period to stop
// it with. The task either saves a checkpoint, which keeps its room in use meanwhile, or
// loses the work since its last checkpoint (grace period 0), whichever costs less. Checkpoints
// come at intervals of the task's progress, so the time since the last one is known well
// enough to choose.
func (k taskKey) preemptionCost(now time.Time) (loss float64, grace time.Duration) {
	t := k.job.tasks.at(k.index)
	spec := k.job.spec
	if t.phase == wire.Running {
		ran := now.Sub(t.runningSince).Seconds()
		loss = ran
		if spec.CheckpointS > 0 {
			loss = math.Mod(ran, spec.CheckpointS)
			if loss > spec.SaveS {
				loss, grace = spec.SaveS, k.job.gracePeriod()
			}
		}
		if ran < startCountsAfter.Seconds() {
			loss += spec.ImageGB // the task is stopped before its start counts: see startCountsAfter
		}
	}
	loss += 1 + spec.ImageGB/2
	if spec.Kind == wire.Gang {
		loss *= float64(k.job.tasks.len())
	}
	return loss, grace
}

// startCountsAfter is how long a task must run for its start to count for its users.
const startCountsAfter = 30 * time.Second

// preemptTask stops a task to make room for another job; a gang is stopped as a whole.
func (s *Shard) preemptTask(k taskKey, now time.Time) {
	_, grace := k.preemptionCost(now)
	if k.job.spec.Kind == wire.Gang {
		s.stopJob(k.job, grace, now)
		return
	}
	s.stopTask(k, grace, now)
}

// preemptWhereCached preempts a task of lower priority for a service on a machine that caches
// its image, if only machines without the image are free: stopping a task takes less time
// than the fetch of a large image. found is the free machine that the service would get
// otherwise. preemptWhereCached reports whether the service's next task should wait
// for such room, and whether more room may be sought for the service's other tasks. This
// extends the preference for machines that cache the image to machines in use.
func (s *Shard) preemptWhereCached(j *Job, found *Machine, now time.Time) (wait, more bool) {
	if !cachedRoomWorthAwaiting(j, found, now) {
		return false, false
	}
	zones := maps.Clone(j.progress.placedByZone)
	if s.inventory.cachedRoomBeingMade(j, zones, now) >= j.progress.pending {
		return true, false
	}
	best, victim := s.inventory.cachedVictim(j, zones, now)
	if best == nil {
		return false, false
	}
	s.preemptTask(victim, now)
	s.inventory.reserve(best, j, 1, now.Add(cachedRoomWait))
	s.wakeAt(best.reservation.until)
	return true, true
}

// cachedRoomWorthAwaiting reports whether a service should wait for room where its image is
// cached rather than fetch the image on the machine that was found.
func cachedRoomWorthAwaiting(j *Job, found *Machine, now time.Time) bool {
	if j.spec.Kind != wire.Service || found.hasImage(j.spec.Image) || found.Type.FetchGBps <= 0 {
		return false
	}
	fetch := wire.Seconds(j.spec.ImageGB / found.Type.FetchGBps)
	return fetch >= minFetchToPreempt && now.Sub(j.accepted) <= cachedRoomWait
}

// cachedRoomBeingMade returns for how many tasks of a job room is being made where its image
// is cached, and adds these tasks to zones, the number of the job's tasks by zone.
func (inv *inventory) cachedRoomBeingMade(j *Job, zones map[string]int, now time.Time) int {
	coming := 0
	limit := j.zoneLimit()
	for m := range inv.reserved[j.ref] {
		// Room that is free by now, or that is made where the image is not cached, does
		// not count.
		if n := m.reservedFor(j, now); n > 0 && m.hasImage(j.spec.Image) && m.evicting() && zones[m.Zone]+n <= limit {
			coming += n
			zones[m.Zone] += n
		}
	}
	return coming
}

// cachedVictim returns the array task of lower priority that can be stopped at the least loss
// to make room for a task of j where j's image is cached, and its machine, nil if there is
// no such task. zones counts the tasks of j by zone.
func (inv *inventory) cachedVictim(j *Job, zones map[string]int, now time.Time) (best *Machine, victim taskKey) {
	bestLoss := math.Inf(1)
	limit := j.zoneLimit()
	for m := range inv.byImage[j.spec.Image] {
		if !allows(j.spec, m) || !j.allowsZone(m.Zone) || j.avoids(m, now) || !inv.cfg.usable(m, now) || zones[m.Zone] >= limit || m.reservedForOther(j, now) {
			continue
		}
		room := freeRoom(m)
		for k, t := range m.tasks {
			if t.stopping {
				room = room.plus(k.job.spec)
			}
		}
		room = room.minus(j.spec, m.reservedFor(j, now))
		for k, t := range m.tasks {
			v := k.job
			if t.stopping || v.protected || v.rank >= j.rank || v.spec.Kind != wire.Array || !room.plus(v.spec).fits(j.spec) {
				continue
			}
			if l, _ := k.preemptionCost(now); l < bestLoss || (l == bestLoss && m.ID < best.ID) {
				best, victim, bestLoss = m, k, l
			}
		}
	}
	return best, victim
}

const (
	// minFetchToPreempt is the least time that the fetch of an image must take for a service to
	// avoid it by preemption.
	minFetchToPreempt = 4 * time.Second
	// cachedRoomWait is how long after its acceptance a service waits for room where its
	// image is cached, and how long such room is reserved for it.
	cachedRoomWait = 10 * time.Second
)
