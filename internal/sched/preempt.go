package sched

import (
	"math"
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// makeRoom stops lower work for a job that has waited long enough for a free
// machine: what the protocol's preemption rules allow, least loss first.
func (p *Part) makeRoom(j *Job, n int, now time.Time) {
	due := j.stuck.Add(p.cfg.PreemptAfter)
	if now.Before(due) {
		p.alarm(due)
		return
	}
	if now.Before(j.madeRoom) {
		return
	}
	type option struct {
		m       *Machine
		victims []key
		loss    float64
		units   int
	}
	byZone := map[string][]option{}
	within := p.guaranteed(j, n)
	for _, m := range p.machines {
		if !allows(j.spec, m) || !p.usable(m, now) || (m.reserved != "" && m.reserved != j.ref && now.Before(m.reservedT)) {
			continue
		}
		r := free(m)
		o := option{m: m}
		fits := func() int {
			c, q := 0, r
			for roomFor(j.spec, q.cpus, q.gpus, q.mem) && c < n {
				c++
				q = q.less(j.spec)
			}
			return c
		}
		var ks []key
		for k, t := range m.on {
			if t.stop {
				r = room{r.cpus + k.job.spec.CPUs, r.gpus + k.job.spec.GPUs, r.mem + k.job.spec.MemoryGB}
				continue
			}
			if k.job.rank < j.rank || (within && k.job.spec.Team != j.spec.Team && p.borrowed(k.job.spec.Team)) {
				ks = append(ks, k)
			}
		}
		sort.Slice(ks, func(a, b int) bool {
			if x, y := ks[a].job.rank, ks[b].job.rank; x != y {
				return x < y
			}
			return p.loss(ks[a], now) < p.loss(ks[b], now)
		})
		for _, k := range ks {
			if fits() > 0 && (j.spec.Kind != wire.Gang || fits() >= n) {
				break
			}
			o.victims = append(o.victims, k)
			o.loss += p.loss(k, now)
			s := k.job.spec
			r = room{r.cpus + s.CPUs, r.gpus + s.GPUs, r.mem + s.MemoryGB}
		}
		if o.units = fits(); o.units == 0 {
			continue
		}
		zone := m.Zone
		if !j.spec.OneZone {
			zone = ""
		}
		byZone[zone] = append(byZone[zone], o)
	}
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
	for _, o := range best {
		for _, k := range o.victims {
			p.halt(k, now)
		}
		o.m.reserved = j.ref
		o.m.reservedT = now.Add(reserveFor)
	}
	if best != nil {
		j.madeRoom = now.Add(reserveFor / 2)
		p.alarm(j.madeRoom)
	} else {
		p.alarm(now.Add(time.Second))
	}
}

// reserveFor is how long room made by stopping others is kept for its job.
const reserveFor = 20 * time.Second

// loss is the work in seconds that stopping a task costs.
func (p *Part) loss(k key, now time.Time) float64 {
	t := &k.job.tasks[k.i]
	s := k.job.spec
	l := s.SaveS + s.ImageGB/2
	if t.phase == wire.Running && s.CheckpointS <= 0 {
		l += now.Sub(t.runSince).Seconds()
	}
	if s.Kind == wire.Gang {
		l *= float64(len(k.job.tasks))
	}
	return l + 1
}
