package scheduler

import (
	"maps"
	"sort"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Summary returns the shard's report to the leader: its needs for machines, its recent arrivals
// and the state of its machines.
func (s *Shard) Summary(now time.Time) fleet.Summary {
	s.arrivals.decay(now)
	return fleet.Summary{
		Part:         s.id,
		Arriving:     s.arrivals.onDemand / arrivalDecay.Seconds(),
		ArrivingSpot: s.arrivals.spot / arrivalDecay.Seconds(),
		Needs:        s.needs(now),
		Machines:     s.inventory.machineSummaries(now),
	}
}

// needs returns the needs for machines, the most urgent first, at most maxNeeds.
func (s *Shard) needs(now time.Time) []fleet.Need {
	var needs []fleet.Need
	for _, j := range s.inventory.pendingJobs {
		if n := s.unmetTasks(j, now); n > 0 {
			need := j.need(n)
			need.Avoids = j.avoidedMachines(now)
			need.Waited, need.Starved = now.Sub(j.accepted), j.starved(now)
			needs = append(needs, need)
		}
	}
	needs = append(needs, s.replacementNeeds()...)
	sort.Slice(needs, func(a, b int) bool {
		if needs[a].Rank != needs[b].Rank {
			return needs[a].Rank > needs[b].Rank
		}
		return needs[a].Waited > needs[b].Waited
	})
	return needs[:min(len(needs), maxNeeds)]
}

// unmetTasks returns how many of a job's tasks wait for machines. Tasks that wait for other
// jobs, for their team's quota or for room that is reserved for them do not count.
func (s *Shard) unmetTasks(j *Job, now time.Time) int {
	if !s.placeable(j, now) || now.Before(j.notBefore) {
		return 0
	}
	n := j.progress.pending
	if j.spec.Kind == wire.Gang {
		if !s.quotas.withinLimit(j, n) || now.Before(j.preemption.awaitedUntil) {
			return 0
		}
		return n
	}
	n = s.quotas.mostWithinLimit(j, n)
	for m := range s.inventory.reserved[j.ref] {
		if !j.avoids(m, now) {
			n = max(0, n-m.reservedFor(j, now))
		}
	}
	return n
}

// machineSummaries describes the machines for the leader, sorted by ID.
func (inv *inventory) machineSummaries(now time.Time) []fleet.Machine {
	machines := make([]fleet.Machine, 0, len(inv.byID))
	for _, m := range inv.byID {
		machines = append(machines, inv.machineSummary(m, now))
	}
	sort.Slice(machines, func(a, b int) bool { return machines[a].ID < machines[b].ID })
	return machines
}

// machineSummary describes a machine for the leader.
func (inv *inventory) machineSummary(m *Machine, now time.Time) fleet.Machine {
	room := freeRoom(m)
	out := fleet.Machine{
		ID: m.ID, Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot, Up: m.contact.up, Usable: inv.cfg.usable(m, now),
		Leaving: !m.staysInShard(),
		CPUs:    room.cpus, GPUs: room.gpus, MemoryGB: room.mem, Tasks: len(m.tasks), Held: m.heldAttempts(),
		Avoided: m.cordonedLater,
	}
	if m.transferTo >= 0 {
		out.Moving, out.To = true, m.transferTo
	}
	if len(m.tasks) == 0 && m.contact.up && !m.idleSince.IsZero() {
		out.Idle = now.Sub(m.idleSince)
	}
	if !m.record.hasAddress {
		out.Addr = m.Addr
	}
	for _, i := range m.images {
		out.Images = append(out.Images, i.Name)
	}
	if m.reservation.job != "" && now.Before(m.reservation.until) {
		out.For = m.reservation.job
	}
	for k := range m.tasks {
		out.Lasting = out.Lasting || k.job.spec.Kind == wire.Service
		out.TopRank = max(out.TopRank, k.job.rank)
		if k.job.protected {
			out.TopRank = max(out.TopRank, highestRank-1) // only services preempt it
		}
	}
	return out
}

// need describes the machines that n of a job's tasks need.
func (j *Job) need(n int) fleet.Need {
	spec := j.spec
	need := fleet.Need{
		Job: j.ref, Image: spec.Image, CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB, Types: spec.Types, Spot: spec.Spot,
		OneZone: spec.OneZone, Gang: spec.Kind == wire.Gang, Count: n, Rank: j.rank,
	}
	if spec.Zone != nil {
		need.Zone = *spec.Zone
	}
	if zone := j.requiredZone(); zone != "" {
		need.Zone = zone // where its placed tasks are
	}
	if spec.Spread {
		need.ZoneLimit, need.InZone = j.zoneLimit(), maps.Clone(j.progress.placedByZone)
	}
	return need
}

// maxNeeds bounds the number of needs in a summary.
const maxNeeds = 64

// ApplyFleetOrder carries out the leader's order to release a machine or to transfer it to
// another shard. It does nothing if the order no longer fits the state of the machine.
func (s *Shard) ApplyFleetOrder(o fleet.Order, now time.Time) {
	m := s.inventory.byID[o.Machine]
	if s.unreadable.awaitsMachines || m == nil || m.transferTo >= 0 || m.draining || m.cordon != NotCordoned || m.Phase != record.InUse || m.record.txn != nil {
		return
	}
	for k, t := range m.tasks {
		if !o.Emptied && !t.stopping && (o.Below <= 0 || k.job.rank >= o.Below) {
			return // the machine is in use by now
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
