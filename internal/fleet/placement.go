package fleet

import (
	"maps"
	"slices"
	"sort"
)

// minPreemptingRank is the lowest priority at which demand preempts tasks of other shards.
const minPreemptingRank = 2

// satisfy finds machines for a demand and returns the orders that transfer them. In this order it
// uses the shard's own machines, free machines of other shards, machines of other shards with
// tasks of lower priority, and new machines.
func (p *planning) satisfy(d *demand, balance bool) []Order {
	if p.placeOn(d, p.withRoom[d.shard]) {
		return nil
	}
	var orders []Order
	if balance || d.Waited >= p.cfg.MoveAfter {
		orders = p.moveMachines(d, p.spare(d), 0)
	}
	if d.Count == 0 {
		return orders
	}
	if d.Rank >= minPreemptingRank && d.Waited >= p.cfg.PreemptAfter {
		orders = append(orders, p.moveMachines(d, p.preemptible(d), d.Rank)...)
	}
	p.provision(d)
	return orders
}

// spare returns the free machines of other shards for which these shards have no demand. As
// within a shard, machines that cache the image come first.
func (p *planning) spare(d *demand) []*bin {
	var spare []*bin
	for _, b := range p.unused {
		if movable(b, d) && p.unmet[shardPool{b.shard, b.pool()}] == 0 {
			spare = append(spare, b)
		}
	}
	sort.SliceStable(spare, func(a, b int) bool {
		return slices.Contains(spare[a].Images, d.Image) && !slices.Contains(spare[b].Images, d.Image)
	})
	return spare
}

// movable reports whether a machine belongs to another shard and may be transferred for a demand.
func movable(b *bin, d *demand) bool {
	return b.shard != d.shard && b.Up && b.Usable && b.For == "" && !b.assigned
}

// preemptible returns the machines of other shards whose tasks all have a lower priority than a
// demand, with the room that they have once emptied.
func (p *planning) preemptible(d *demand) []*bin {
	var out []*bin
	for _, e := range p.emptiedMachines() {
		if e.TopRank < d.Rank && movable(e.original, d) {
			out = append(out, e)
		}
	}
	return out
}

// emptiedMachines returns copies of all machines without their tasks, sorted by the number of
// tasks that the originals have, fewest first.
func (p *planning) emptiedMachines() []*bin {
	if p.emptied != nil {
		return p.emptied
	}
	p.emptied = make([]*bin, 0, len(p.bins))
	for _, b := range p.bins {
		if t := p.machineType(b.Type); t != nil {
			e := *b
			e.CPUs, e.GPUs, e.MemoryGB, e.Held, e.original = t.CPUs, t.GPUs, t.MemoryGB, 0, b
			p.emptied = append(p.emptied, &e)
		}
	}
	sort.SliceStable(p.emptied, func(a, b int) bool { return p.emptied[a].Tasks < p.emptied[b].Tasks })
	return p.emptied
}

// placeOn assigns room on bins to as many of a demand's tasks as possible, or for a gang to all
// or none, and lowers its Count by their number. It reports whether no tasks are left.
func (p *planning) placeOn(d *demand, bins []*bin) bool {
	p.assign(d, p.findBins(d, bins))
	return d.Count == 0
}

// assign uses the room of one of a demand's tasks on each bin of a list.
func (p *planning) assign(d *demand, bins []*bin) {
	for _, b := range bins {
		b.use(&d.Need)
		d.addToZone(b.Zone)
	}
	d.Count -= len(bins)
}

// findBins finds bins for as many of a demand's tasks as possible, or for a gang for all of them or
// none. The result has one entry for each task, so that a bin may occur several times.
func (p *planning) findBins(d *demand, bins []*bin) []*bin {
	zones := []string{""}
	if d.OneZone {
		zones = p.cfg.Zones
	}
	var best []*bin
	for _, zone := range zones {
		if found := findBinsInZone(&d.Need, bins, zone); len(found) > len(best) {
			best = found
		}
	}
	if d.Gang && len(best) < d.Count {
		return nil
	}
	return best
}

// findBinsInZone finds bins for a need in one zone, or in any if zone is empty, as findBins does.
func findBinsInZone(n *Need, bins []*bin, zone string) []*bin {
	var found []*bin
	trial := *n
	trial.InZone = maps.Clone(n.InZone)
	for _, b := range bins {
		if len(found) == n.Count {
			break
		}
		if (zone != "" && b.Zone != zone) || !b.fits(n) {
			continue
		}
		left := *b
		for len(found) < n.Count && left.fits(n) && trial.allowsZone(b.Zone) {
			left.use(n)
			trial.addToZone(b.Zone)
			found = append(found, b)
		}
	}
	return found
}

// moveMachines returns orders that transfer machines of other shards to a demand's shard. Tasks on
// them with a priority lower than below may be preempted. A gang may use machines of its own shard
// and of others together.
func (p *planning) moveMachines(d *demand, others []*bin, below int) []Order {
	if len(others) == 0 {
		return nil
	}
	found := p.findBins(d, append(slices.Clone(p.withRoom[d.shard]), others...))
	var orders []Order
	for _, b := range found {
		if b.original != nil {
			b = emptyOriginal(b, d.shard)
		}
		b.use(&d.Need)
		d.addToZone(b.Zone)
		if b.shard != d.shard {
			orders = append(orders, Order{Part: b.shard, Machine: b.ID, To: d.shard, Below: below})
			b.shard = d.shard // the rest of its room is for the same shard
			p.withRoom[d.shard] = append(p.withRoom[d.shard], b)
		}
	}
	d.Count -= len(found)
	return orders
}

// emptyOriginal returns the original of an emptied machine, with the room that it has once
// emptied. If the plan has already transferred the machine to the shard, its room stays as it is,
// since some of it is assigned.
func emptyOriginal(emptied *bin, shard int) *bin {
	m := emptied.original
	if m.shard != shard {
		m.CPUs, m.GPUs, m.MemoryGB, m.Held = emptied.CPUs, emptied.GPUs, emptied.MemoryGB, emptied.Held
	}
	return m
}
