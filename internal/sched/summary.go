package sched

import (
	"maps"
	"sort"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Summary tells the leader what waits and what the part's machines do.
func (p *Part) Summary(now time.Time) fleet.Summary {
	p.fade(now)
	s := fleet.Summary{Part: p.id, Arriving: p.arrived / arrivalFade.Seconds(), ArrivingSpot: p.arrivedSpot / arrivalFade.Seconds()}
	for _, j := range p.index.waiting {
		if !p.waiting(j, now) || now.Before(j.hold) {
			continue
		}
		n := j.idleTasks
		for n > 0 && !p.withinLimit(j, n) {
			if j.spec.Kind == wire.Gang {
				n = 0
				break
			}
			n--
		}
		if j.spec.Kind != wire.Gang {
			for m := range p.index.kept[j.ref] {
				n = max(0, n-m.heldFor(j, now))
			}
		} else if now.Before(j.madeRoom) {
			n = 0
		}
		if n == 0 {
			continue
		}
		need := j.need(n)
		need.Waited, need.Starved = now.Sub(j.accepted), j.starved(now)
		s.Needs = append(s.Needs, need)
	}
	s.Needs = append(s.Needs, p.replacementNeeds()...)
	sort.Slice(s.Needs, func(a, b int) bool {
		if s.Needs[a].Rank != s.Needs[b].Rank {
			return s.Needs[a].Rank > s.Needs[b].Rank
		}
		return s.Needs[a].Waited > s.Needs[b].Waited
	})
	if len(s.Needs) > maxNeeds {
		s.Needs = s.Needs[:maxNeeds]
	}
	s.Machines = make([]fleet.Machine, 0, len(p.machines))
	for _, m := range p.machines {
		f := free(m)
		fm := fleet.Machine{
			ID: m.ID, Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot, Up: m.up, Usable: p.usable(m, now),
			Leaving: m.moveTo >= 0 || m.drain || m.cordon != NotCordoned || m.Phase != record.InUse || !m.taken.IsZero(),
			CPUs:    f.cpus, GPUs: f.gpus, MemoryGB: f.mem, Tasks: len(m.on),
			Avoided: m.avoided,
		}
		if m.moveTo >= 0 {
			fm.Moving, fm.To = true, m.moveTo
		}
		if len(m.on) == 0 && m.up && !m.idleSince.IsZero() {
			fm.Idle = now.Sub(m.idleSince)
		}
		if !m.addressed {
			fm.Addr = m.Addr
		}
		for _, i := range m.images {
			fm.Images = append(fm.Images, i.Name)
		}
		if m.reserved != "" && now.Before(m.reservedT) {
			fm.For = m.reserved
		}
		for k := range m.on {
			fm.Lasting = fm.Lasting || k.job.spec.Kind == wire.Service
			fm.TopRank = max(fm.TopRank, k.job.rank)
			if k.job.kept {
				fm.TopRank = max(fm.TopRank, highestRank-1) // only services take its place
			}
		}
		s.Machines = append(s.Machines, fm)
	}
	sort.Slice(s.Machines, func(a, b int) bool { return s.Machines[a].ID < s.Machines[b].ID })
	return s
}

// need describes machines for n of a job's tasks.
func (j *Job) need(n int) fleet.Need {
	s := j.spec
	need := fleet.Need{
		Job: j.ref, Image: s.Image, CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, Spot: s.Spot,
		OneZone: s.OneZone, Gang: s.Kind == wire.Gang, Count: n, Rank: j.rank,
	}
	if s.Zone != nil {
		need.Zone = *s.Zone
	}
	if s.OneZone {
		for z := range j.zones {
			need.Zone = z // the others have to follow
		}
	}
	if s.Spread {
		need.ZoneLimit, need.InZone = j.zoneLimit(), maps.Clone(j.zones)
	}
	return need
}

// maxNeeds bounds what a summary tells.
const maxNeeds = 64

// Order carries out the leader's wish for a machine, as far as it still fits.
func (p *Part) Order(o fleet.Order, now time.Time) {
	m := p.machines[o.Machine]
	if p.unreadable.unheard || m == nil || m.moveTo >= 0 || m.drain || m.cordon != NotCordoned || m.Phase != record.InUse || m.txn != nil {
		return
	}
	for k, t := range m.on {
		if !o.Emptied && !t.stop && (o.Below <= 0 || k.job.rank >= o.Below) {
			return // in use by now
		}
	}
	defer p.index.update(m)
	if o.To == fleet.Back {
		m.drain = true
		return
	}
	if !m.fenced || m.reserved != "" && now.Before(m.reservedT) {
		return
	}
	m.moveTo = o.To
	if !o.Emptied {
		p.clear(m, now)
	}
}
