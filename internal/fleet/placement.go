package fleet

import (
	"maps"
	"slices"
	"sort"
)

// minPreemptingRank is the priority from which demand preempts work of other shards.
const minPreemptingRank = 2

// satisfy finds machines for a demand: its shard's own, free ones of others, those of others
// with work of lower priority, and new ones, in that order.
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

// spare returns free machines of other shards that have no use for them. As within a shard,
// those that cache the image come first.
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

// movable reports whether a machine of another shard may be moved for a demand.
func movable(b *bin, d *demand) bool {
	return b.shard != d.shard && b.Up && b.Usable && b.For == "" && !b.promised
}

// preemptible returns other shards' machines of which all tasks are of lower priority
// than a demand, as they are once emptied.
func (p *planning) preemptible(d *demand) []*bin {
	var out []*bin
	for _, e := range p.emptiedMachines() {
		if e.TopRank < d.Rank && movable(e.original, d) {
			out = append(out, e)
		}
	}
	return out
}

// emptiedMachines returns all machines as they are without their tasks, those with the
// fewest first.
func (p *planning) emptiedMachines() []*bin {
	if p.emptied != nil {
		return p.emptied
	}
	p.emptied = make([]*bin, 0, len(p.bins))
	for _, b := range p.bins {
		if t := p.machineType(b.Type); t != nil {
			e := *b
			e.CPUs, e.GPUs, e.MemoryGB, e.original = t.CPUs, t.GPUs, t.MemoryGB, b
			p.emptied = append(p.emptied, &e)
		}
	}
	sort.SliceStable(p.emptied, func(a, b int) bool { return p.emptied[a].Tasks < p.emptied[b].Tasks })
	return p.emptied
}

// placeOn promises room on bins to a demand and lowers its Count by what found
// some; for a gang it is all in one go. It reports whether nothing is left.
func (p *planning) placeOn(d *demand, bins []*bin) bool {
	p.promise(d, p.assign(d, bins))
	return d.Count == 0
}

// promise takes the room of one of a demand's tasks on each of some bins.
func (p *planning) promise(d *demand, bins []*bin) {
	for _, b := range bins {
		b.use(&d.Need)
		d.place(b.Zone)
	}
	d.Count -= len(bins)
}

// assign finds bins for as many of a demand's tasks as possible, or for a gang
// for all of them or none; one bin is named once for each task.
func (p *planning) assign(d *demand, bins []*bin) []*bin {
	zones := []string{""}
	if d.OneZone {
		zones = p.cfg.Zones
	}
	var best []*bin
	for _, zone := range zones {
		if found := assignInZone(&d.Need, bins, zone); len(found) > len(best) {
			best = found
		}
	}
	if d.Gang && len(best) < d.Count {
		return nil
	}
	return best
}

// assignInZone finds bins of one zone, or of any if it is empty.
func assignInZone(n *Need, bins []*bin, zone string) []*bin {
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
		for len(found) < n.Count && left.fits(n) && trial.open(b.Zone) {
			left.use(n)
			trial.place(b.Zone)
			found = append(found, b)
		}
	}
	return found
}

// moveMachines orders machines of other shards to a demand's shard, of which tasks below a
// priority may be preempted. A gang may be served by its own shard's machines and others'
// together.
func (p *planning) moveMachines(d *demand, others []*bin, below int) []Order {
	if len(others) == 0 {
		return nil
	}
	found := p.assign(d, append(slices.Clone(p.withRoom[d.shard]), others...))
	var orders []Order
	for _, b := range found {
		if b.original != nil {
			b = emptyOriginal(b, d.shard)
		}
		b.use(&d.Need)
		d.place(b.Zone)
		if b.shard != d.shard {
			orders = append(orders, Order{Part: b.shard, Machine: b.ID, To: d.shard, Below: below})
			b.shard = d.shard // what is left of it serves the same shard
			p.withRoom[d.shard] = append(p.withRoom[d.shard], b)
		}
	}
	d.Count -= len(found)
	return orders
}

// emptyOriginal returns the machine that an emptied one stands for, with the room that it
// has once emptied, unless it was moved to the shard before: then it has less.
func emptyOriginal(emptied *bin, shard int) *bin {
	m := emptied.original
	if m.shard != shard {
		m.CPUs, m.GPUs, m.MemoryGB = emptied.CPUs, emptied.GPUs, emptied.MemoryGB
	}
	return m
}
