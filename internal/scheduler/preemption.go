package scheduler

import (
	"maps"
	"math"
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// preemptionOption is a machine with the tasks that have to stop there to make room.
type preemptionOption struct {
	machine *Machine
	victims []taskKey
	loss    float64 // the work that is lost, in seconds
	units   int     // how many tasks then fit
}

// preemptFor stops lower work for n tasks of a job that has waited long enough for a free
// machine: what the preemption rules allow, least loss first.
func (s *Shard) preemptFor(j *Job, n int, now time.Time) {
	if !s.preemptionDue(j, now) {
		return
	}
	options := map[string][]preemptionOption{} // made here, so that it needs no allocation
	s.addPreemptionOptions(options, j, n, now)
	chosen := leastLoss(options, n)
	if chosen == nil && j.longWaiting(now) {
		// Too much for one moment: what is reserved for the gang grows step by step.
		chosen = s.pass.optionsWhereReserving(j, options)
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

// preemptionDue reports whether a job may preempt others now, and arranges to ask again if
// not.
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

// addPreemptionOptions filters the machines where n tasks of a job may preempt others, by the
// zone in which they have to be together.
func (s *Shard) addPreemptionOptions(byZone map[string][]preemptionOption, j *Job, n int, now time.Time) {
	within := s.quotas.withinGuarantee(j, n)
	s.eachPreemptionCandidate(j, within, now, func(m *Machine) {
		if !allows(j.spec, m) || !j.allowsZone(m.Zone) || !s.cfg.usable(m, now) || m.reservedForOther(j, now) || s.pass.reservedByLongWaitingGang(m, j, now) {
			return
		}
		if o := s.preemptionOption(m, j, n, within, now); o.units > 0 {
			zone := j.commonZone(m)
			byZone[zone] = append(byZone[zone], o)
		}
	})
}

// preemptionOption picks the tasks that have to stop on a machine so that a task of j, or of a
// gang as many as there is room for up to n, fits there.
func (s *Shard) preemptionOption(m *Machine, j *Job, n int, within bool, now time.Time) preemptionOption {
	room := freeRoom(m)
	var candidates []taskKey
	cost := map[taskKey]float64{}
	for k, t := range m.tasks {
		if t.stopping {
			room = room.plus(k.job.spec)
			continue
		}
		if s.quotas.preemptible(k.job, j, within) {
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

// leastLoss picks the options of one zone that make room for n tasks and lose least; nil if
// none do. It sorts the options.
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

// firstEnough returns the first options that together make room for n tasks, and what they
// lose: infinitely much if all do not suffice.
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

// optionsWhereReserving returns the options in the zone in which machines are reserved for a
// gang.
func (p *placementPass) optionsWhereReserving(gang *Job, byZone map[string][]preemptionOption) []preemptionOption {
	for zone, options := range byZone {
		if p.gangByZone[zone] == gang {
			return options
		}
	}
	return nil
}

// commonZone is the zone of a machine if the job's tasks have to be in one, else empty.
func (j *Job) commonZone(m *Machine) string {
	if j.spec.OneZone {
		return m.Zone
	}
	return ""
}

// preemptionRetry is when room that could not be made is sought again.
const preemptionRetry = time.Second

// reservedByLongWaitingGang reports whether a gang that has waited for long reserves machines where m
// is: one that is no more urgent makes no room for itself there meanwhile.
func (p *placementPass) reservedByLongWaitingGang(m *Machine, j *Job, now time.Time) bool {
	g := p.gangByZone[m.Zone]
	if g == nil {
		g = p.gangByZone[""]
	}
	return g != nil && g != j && g.longWaiting(now) && g.rank >= j.rank
}

// eachPreemptionCandidate calls f for the machines that have room for a task of j or may have it
// once others have stopped.
func (s *Shard) eachPreemptionCandidate(j *Job, within bool, now time.Time, f func(*Machine)) {
	seen := machineSet{}
	look := func(m *Machine) {
		if _, ok := seen[m]; !ok {
			s.inventory.candidatesExamined++
			seen[m] = struct{}{}
			f(m)
		}
	}
	s.inventory.eachFeasibleMachine(j.spec, now, look)
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

// preemptedReservation is how long preempted room is reserved for its job.
const preemptedReservation = 20 * time.Second

// preemptionCost says how a task is best stopped for one that waits, and what that
// costs in seconds: either it saves, which holds the place meanwhile, or what it
// did since its last checkpoint is lost. Checkpoints come at intervals of its
// progress, so the time since the last one is known well enough to choose.
func (k taskKey) preemptionCost(now time.Time) (loss float64, grace time.Duration) {
	t := &k.job.tasks[k.index]
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
	_, grace := k.preemptionCost(now)
	if k.job.spec.Kind == wire.Gang {
		s.stopJob(k.job, grace, now)
		return
	}
	s.stopTask(k, grace, now)
}

// preemptWhereCached looks for a machine that caches a service's image where lower work can be
// preempted, when only machines without the image are free: stopping takes less than the
// fetch would. It reports whether the task should wait for such room, and whether more may be
// sought for the job's others.
// This is the design's preference for machines that have the image, carried on to those that
// are in use.
func (s *Shard) preemptWhereCached(j *Job, found *Machine, now time.Time) (wait, more bool) {
	if !cachedRoomWorth(j, found, now) {
		return false, false
	}
	zones := maps.Clone(j.progress.placedByZone)
	if s.inventory.cachedRoomComing(j, zones, now) >= j.progress.pending {
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

// cachedRoomWorth reports whether a service that would have to fetch its image on the machine
// that was found does better to wait for room where it is cached.
func cachedRoomWorth(j *Job, found *Machine, now time.Time) bool {
	if j.spec.Kind != wire.Service || found.hasImage(j.spec.Image) || found.Type.FetchGBps <= 0 {
		return false
	}
	fetch := wire.Seconds(j.spec.ImageGB / found.Type.FetchGBps)
	return fetch >= fetchWorthPreempting && now.Sub(j.accepted) <= cachedRoomWait
}

// cachedRoomComing returns for how many tasks of a job room is being made where its image is
// cached, and adds these to the job's tasks by zone.
func (x *inventory) cachedRoomComing(j *Job, zones map[string]int, now time.Time) int {
	coming := 0
	limit := j.zoneLimit()
	for m := range x.reserved[j.ref] {
		// Room that is free by now, or made where the image is not, is not what
		// is waited for.
		if n := m.reservedFor(j, now); n > 0 && m.hasImage(j.spec.Image) && m.evicting() && zones[m.Zone]+n <= limit {
			coming += n
			zones[m.Zone] += n
		}
	}
	return coming
}

// cachedVictim returns the task of an array whose end makes room for a task of a job where its
// image is cached, and loses least; no machine if there is none.
func (x *inventory) cachedVictim(j *Job, zones map[string]int, now time.Time) (best *Machine, victim taskKey) {
	bestLoss := math.Inf(1)
	limit := j.zoneLimit()
	for m := range x.byImage[j.spec.Image] {
		if !allows(j.spec, m) || !j.allowsZone(m.Zone) || !x.cfg.usable(m, now) || zones[m.Zone] >= limit || m.reservedForOther(j, now) {
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
	// fetchWorthPreempting is the fetch from which on other work is preempted instead.
	fetchWorthPreempting = 4 * time.Second
	// cachedRoomWait is how long after its acceptance a service waits for such room.
	cachedRoomWait = 10 * time.Second
)
