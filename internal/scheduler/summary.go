package scheduler

import (
	"maps"
	"sort"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Summary tells the leader what waits and what the part's machines do.
func (s *Shard) Summary(now time.Time) fleet.Summary {
	s.arrivals.decay(now)
	summary := fleet.Summary{Part: s.id, Arriving: s.arrivals.onDemand / arrivalDecay.Seconds(), ArrivingSpot: s.arrivals.spot / arrivalDecay.Seconds()}
	for _, j := range s.inventory.pendingJobs {
		if !s.placeable(j, now) || now.Before(j.notBefore) {
			continue
		}
		n := j.progress.pending
		for n > 0 && !s.quotas.withinLimit(j, n) {
			if j.spec.Kind == wire.Gang {
				n = 0
				break
			}
			n--
		}
		if j.spec.Kind != wire.Gang {
			for m := range s.inventory.reserved[j.ref] {
				n = max(0, n-m.reservedFor(j, now))
			}
		} else if now.Before(j.preemption.awaitedUntil) {
			n = 0
		}
		if n == 0 {
			continue
		}
		need := j.need(n)
		need.Waited, need.Starved = now.Sub(j.accepted), j.starved(now)
		summary.Needs = append(summary.Needs, need)
	}
	summary.Needs = append(summary.Needs, s.replacementNeeds()...)
	sort.Slice(summary.Needs, func(a, b int) bool {
		if summary.Needs[a].Rank != summary.Needs[b].Rank {
			return summary.Needs[a].Rank > summary.Needs[b].Rank
		}
		return summary.Needs[a].Waited > summary.Needs[b].Waited
	})
	if len(summary.Needs) > maxNeeds {
		summary.Needs = summary.Needs[:maxNeeds]
	}
	summary.Machines = make([]fleet.Machine, 0, len(s.inventory.byID))
	for _, m := range s.inventory.byID {
		f := freeRoom(m)
		fm := fleet.Machine{
			ID: m.ID, Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot, Up: m.contact.up, Usable: s.usable(m, now),
			Leaving: m.transferTo >= 0 || m.draining || m.cordon != NotCordoned || m.Phase != record.InUse || !m.reclaimedAt.IsZero(),
			CPUs:    f.cpus, GPUs: f.gpus, MemoryGB: f.mem, Tasks: len(m.tasks),
			Avoided: m.cordonedLater,
		}
		if m.transferTo >= 0 {
			fm.Moving, fm.To = true, m.transferTo
		}
		if len(m.tasks) == 0 && m.contact.up && !m.idleSince.IsZero() {
			fm.Idle = now.Sub(m.idleSince)
		}
		if !m.record.hasAddress {
			fm.Addr = m.Addr
		}
		for _, i := range m.images {
			fm.Images = append(fm.Images, i.Name)
		}
		if m.reservation.job != "" && now.Before(m.reservation.until) {
			fm.For = m.reservation.job
		}
		for k := range m.tasks {
			fm.Lasting = fm.Lasting || k.job.spec.Kind == wire.Service
			fm.TopRank = max(fm.TopRank, k.job.rank)
			if k.job.protected {
				fm.TopRank = max(fm.TopRank, highestRank-1) // only services take its place
			}
		}
		summary.Machines = append(summary.Machines, fm)
	}
	sort.Slice(summary.Machines, func(a, b int) bool { return summary.Machines[a].ID < summary.Machines[b].ID })
	return summary
}

// need describes machines for n of a job's tasks.
func (j *Job) need(n int) fleet.Need {
	spec := j.spec
	need := fleet.Need{
		Job: j.ref, Image: spec.Image, CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB, Types: spec.Types, Spot: spec.Spot,
		OneZone: spec.OneZone, Gang: spec.Kind == wire.Gang, Count: n, Rank: j.rank,
	}
	if spec.Zone != nil {
		need.Zone = *spec.Zone
	}
	if spec.OneZone {
		for z := range j.progress.placedByZone {
			need.Zone = z // the others have to follow
		}
	}
	if spec.Spread {
		need.ZoneLimit, need.InZone = j.zoneLimit(), maps.Clone(j.progress.placedByZone)
	}
	return need
}

// maxNeeds bounds what a summary tells.
const maxNeeds = 64

// ApplyFleetOrder carries out the leader's wish for a machine, as far as it still fits.
func (s *Shard) ApplyFleetOrder(o fleet.Order, now time.Time) {
	m := s.inventory.byID[o.Machine]
	if s.unreadable.awaitsMachines || m == nil || m.transferTo >= 0 || m.draining || m.cordon != NotCordoned || m.Phase != record.InUse || m.record.txn != nil {
		return
	}
	for k, t := range m.tasks {
		if !o.Emptied && !t.stopping && (o.Below <= 0 || k.job.rank >= o.Below) {
			return // in use by now
		}
	}
	defer s.inventory.update(m)
	if o.To == fleet.ReleaseToCloud {
		m.draining = true
		return
	}
	if !m.contact.fenced || m.reservation.job != "" && now.Before(m.reservation.until) {
		return
	}
	m.transferTo = o.To
	if !o.Emptied {
		s.evictAll(m, now)
	}
}
