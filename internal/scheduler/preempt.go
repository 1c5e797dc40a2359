package scheduler

import (
	"maps"
	"math"
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// makeRoom stops lower work for a job that has waited long enough for a free
// machine: what the protocol's preemption rules allow, least loss first.
func (s *Shard) makeRoom(j *Job, n int, now time.Time) {
	due := j.stuck.Add(s.cfg.PreemptAfter)
	if now.Before(due) {
		s.alarm(due)
		return
	}
	if now.Before(j.madeRoom) {
		return
	}
	if again := j.roomTried.Add(roomAgain); now.Before(again) {
		s.alarm(again)
		return
	}
	type option struct {
		m       *Machine
		victims []key
		loss    float64
		units   int
	}
	byZone := map[string][]option{}
	within := s.guaranteed(j, n)
	s.mayYield(j, within, now, func(m *Machine) {
		if !allows(j.spec, m) || !j.mayGoTo(m.Zone) || !s.usable(m, now) || m.keptFromOthers(j, now) || s.awaited(m, j, now) {
			return
		}
		r := free(m)
		o := option{m: m}
		fits := func() int {
			c, q := 0, r
			for roomFor(j.spec, q.cpus, q.gpus, q.mem) && c < n {
				c++
				q = q.less(j.spec, 1)
			}
			return c
		}
		var ks []key
		cost := map[key]float64{}
		for k, t := range m.on {
			if t.stop {
				r = room{r.cpus + k.job.spec.CPUs, r.gpus + k.job.spec.GPUs, r.mem + k.job.spec.MemoryGB}
				continue
			}
			if s.givesWay(k.job, j, within) {
				ks = append(ks, k)
				cost[k], _ = s.stopping(k, now)
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
			r = room{r.cpus + spec.CPUs, r.gpus + spec.GPUs, r.mem + spec.MemoryGB}
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
	if best == nil && j.late(now) {
		// Too much for one moment: what the gang gathers grows step by step.
		for zone, os := range byZone {
			if s.gathers[zone] == j {
				best = os
			}
		}
	}
	for _, o := range best {
		for _, k := range o.victims {
			s.giveWay(k, now)
		}
		s.reserve(o.m, j, o.units, now.Add(reserveFor))
	}
	if best != nil {
		j.madeRoom = now.Add(reserveFor / 2)
		s.alarm(j.madeRoom)
	} else {
		j.roomTried = now
		s.alarm(now.Add(roomAgain))
	}
}

// roomAgain is when room that could not be made is sought again.
const roomAgain = time.Second

// awaited reports whether a gang that has waited for long gathers machines where m
// is: one that is no more urgent makes no room for itself there meanwhile.
func (s *Shard) awaited(m *Machine, j *Job, now time.Time) bool {
	g := s.gathers[m.Zone]
	if g == nil {
		g = s.gathers[""]
	}
	return g != nil && g != j && g.late(now) && g.rank >= j.rank
}

// mayYield calls f for the machines that have room for a task of j or may have it
// once others have stopped.
func (s *Shard) mayYield(j *Job, within bool, now time.Time, f func(*Machine)) {
	seen := machines{}
	look := func(m *Machine) {
		if _, ok := seen[m]; !ok {
			s.looked++
			seen[m] = struct{}{}
			f(m)
		}
	}
	s.roomy(j.spec, now, look)
	for m := range s.index.clearing {
		look(m)
	}
	top := j.rank
	if within && s.othersBorrow(j.spec.Team) {
		top = highestRank + 1 // whatever its priority
	}
	for _, ms := range s.index.byRank[:top] {
		for m := range ms {
			look(m)
		}
	}
}

// othersBorrow reports whether another team runs beyond its guarantee here.
func (s *Shard) othersBorrow(team string) bool {
	for t, u := range s.teams {
		if t != team && u.gpus+u.cpus > 0 && s.borrowed(t) {
			return true
		}
	}
	return false
}

// reserveFor is how long room made by stopping others is kept for its job.
const reserveFor = 20 * time.Second

// stopping says how a task is best stopped for one that waits, and what that
// costs in seconds: either it saves, which holds the place meanwhile, or what it
// did since its last checkpoint is lost. Checkpoints come at intervals of its
// progress, so the time since the last one is known well enough to choose.
func (s *Shard) stopping(k key, now time.Time) (loss float64, grace time.Duration) {
	t := &k.job.tasks[k.i]
	spec := k.job.spec
	if t.phase == wire.Running {
		ran := now.Sub(t.runSince).Seconds()
		loss = ran
		if spec.CheckpointS > 0 {
			loss = math.Mod(ran, spec.CheckpointS)
			if loss > spec.SaveS {
				loss, grace = spec.SaveS, s.grace(k.job)
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

// giveWay stops a task, a gang's with all its mates, for one that waits.
func (s *Shard) giveWay(k key, now time.Time) {
	_, grace := s.stopping(k, now)
	if k.job.spec.Kind == wire.Gang {
		s.stopJob(k.job, grace, now)
		return
	}
	s.stop(k, grace, now)
}

// seek looks for a machine that caches a service's image where lower work can
// give way, when only machines without the image are free: stopping takes less
// than the fetch would. It reports whether the task should wait for such room,
// and whether more may be sought for the job's others.
// This is the design's leaning to machines that have the image, carried on to
// those that are taken.
func (s *Shard) seek(j *Job, found *Machine, now time.Time) (wait, more bool) {
	spec := j.spec
	if spec.Kind != wire.Service || found.hasImage(spec.Image) || found.Type.FetchGBps <= 0 {
		return false, false
	}
	fetch := wire.Seconds(spec.ImageGB / found.Type.FetchGBps)
	if fetch < seekWorth || now.Sub(j.accepted) > seekFor {
		return false, false
	}
	zones := maps.Clone(j.zones)
	coming := 0
	limit := j.zoneLimit()
	for m := range s.index.kept[j.ref] {
		// Room that is free by now, or made where the image is not, is not what
		// is waited for.
		if n := m.heldFor(j, now); n > 0 && m.hasImage(spec.Image) && m.clearing() && zones[m.Zone]+n <= limit {
			coming += n
			zones[m.Zone] += n
		}
	}
	if coming >= j.idleTasks {
		return true, false
	}
	var best *Machine
	var victim key
	bestLoss := math.Inf(1)
	for m := range s.index.byImage[spec.Image] {
		if !allows(spec, m) || !j.mayGoTo(m.Zone) || !s.usable(m, now) || zones[m.Zone] >= limit || m.keptFromOthers(j, now) {
			continue
		}
		f := free(m)
		for k, t := range m.on {
			if t.stop {
				f = f.less(k.job.spec, -1)
			}
		}
		f = f.less(spec, m.heldFor(j, now))
		for k, t := range m.on {
			v := k.job.spec
			if t.stop || k.job.kept || k.job.rank >= j.rank || v.Kind != wire.Array || !roomFor(spec, f.cpus+v.CPUs, f.gpus+v.GPUs, f.mem+v.MemoryGB) {
				continue
			}
			if l, _ := s.stopping(k, now); l < bestLoss || (l == bestLoss && m.ID < best.ID) {
				best, victim, bestLoss = m, k, l
			}
		}
	}
	if best == nil {
		return false, false
	}
	s.giveWay(victim, now)
	s.reserve(best, j, 1, now.Add(seekFor))
	s.alarm(best.reservedT)
	return true, true
}

const (
	// seekWorth is the fetch from which on other work gives way instead.
	seekWorth = 4 * time.Second
	// seekFor is how long after its acceptance a service waits for such room.
	seekFor = 10 * time.Second
)
