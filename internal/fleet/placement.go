package fleet

import (
	"maps"
	"slices"
	"sort"
)

// satisfy finds machines for a need: its part's own, others' free ones, others'
// with lower work, and new ones, in that order.
func (p *planning) satisfy(n *demand, due bool) (orders []Order) {
	if p.placeOn(n, p.withRoom[n.shard]) {
		return nil
	}
	// Free machines of parts that have no use for them come first.
	if due || n.Waited >= p.cfg.MoveAfter {
		var spare []*bin
		for _, b := range p.unused {
			if p.movable(b, n) && p.unmet[shardPool{b.shard, b.pool()}] == 0 {
				spare = append(spare, b)
			}
		}
		// As in a part, a machine that caches the image is preferred.
		sort.SliceStable(spare, func(a, b int) bool {
			return slices.Contains(spare[a].Images, n.Image) && !slices.Contains(spare[b].Images, n.Image)
		})
		orders = append(orders, p.moveMachines(n, spare, 0)...)
	}
	if n.Count == 0 {
		return orders
	}
	if n.Rank >= minPreemptingRank && n.Waited >= p.cfg.PreemptAfter {
		orders = append(orders, p.moveMachines(n, p.preemptible(n), n.Rank)...)
	}
	p.provision(n)
	return orders
}

// movable reports whether a machine of another part may be moved for a need.
func (p *planning) movable(b *bin, n *demand) bool {
	return b.shard != n.shard && b.Up && b.Usable && b.For == "" && !b.promised
}

// preemptible returns other parts' machines of which all tasks are of lower priority
// than a need, as they are once emptied.
func (p *planning) preemptible(n *demand) []*bin {
	var out []*bin
	for _, e := range p.emptiedMachines() {
		if e.TopRank < n.Rank && p.movable(e.original, n) {
			out = append(out, e)
		}
	}
	return out
}

// emptiedMachines returns all machines as they are without their tasks, those with the
// fewest first.
func (p *planning) emptiedMachines() []*bin {
	if p.emptied == nil {
		p.emptied = make([]*bin, 0, len(p.bins))
		for _, b := range p.bins {
			if t := p.machineType(b.Type); t != nil {
				e := *b
				e.CPUs, e.GPUs, e.MemoryGB, e.original = t.CPUs, t.GPUs, t.MemoryGB, b
				p.emptied = append(p.emptied, &e)
			}
		}
		sort.SliceStable(p.emptied, func(a, b int) bool { return p.emptied[a].Tasks < p.emptied[b].Tasks })
	}
	return p.emptied
}

const (
	// minPreemptingRank is the priority from which work of other parts gives way.
	minPreemptingRank = 2
)

// placeOn promises room on bins to a need and lowers its Count by what found
// some; for a gang it is all in one go. It reports whether nothing is left.
func (p *planning) placeOn(n *demand, bins []*bin) bool {
	if got := p.assign(n, bins); got != nil {
		for _, b := range got {
			b.use(&n.Need)
			n.place(b.Zone)
		}
		n.Count -= len(got)
	}
	return n.Count == 0
}

// assign finds bins for as many of a need's tasks as possible, or for a gang
// for all of them or none; one bin is named once for each task.
func (p *planning) assign(n *demand, bins []*bin) []*bin {
	zones := []string{""}
	if n.OneZone {
		zones = p.cfg.Zones
	}
	var best []*bin
	for _, z := range zones {
		var got []*bin
		trial := n.Need
		trial.InZone = maps.Clone(n.InZone)
		for _, b := range bins {
			if len(got) == n.Count {
				break
			}
			if (z != "" && b.Zone != z) || !b.fits(&n.Need) {
				continue
			}
			for c := *b; len(got) < n.Count && c.fits(&n.Need) && trial.open(b.Zone); c.use(&n.Need) {
				trial.place(b.Zone)
				got = append(got, b)
			}
		}
		if len(got) > len(best) {
			best = got
		}
	}
	if n.Gang && len(best) < n.Count {
		return nil
	}
	return best
}

// moveMachines orders machines of other parts to a need's part. A gang may be served
// by its own part's machines and others' together.
func (p *planning) moveMachines(n *demand, others []*bin, below int) []Order {
	if len(others) == 0 {
		return nil
	}
	got := p.assign(n, append(slices.Clone(p.withRoom[n.shard]), others...))
	var orders []Order
	for _, b := range got {
		if b.original != nil {
			m := b.original
			if m.shard != n.shard {
				m.CPUs, m.GPUs, m.MemoryGB = b.CPUs, b.GPUs, b.MemoryGB
			}
			b = m
		}
		b.use(&n.Need)
		n.place(b.Zone)
		if b.shard != n.shard {
			orders = append(orders, Order{Part: b.shard, Machine: b.ID, To: n.shard, Below: below})
			b.shard = n.shard // what is left of it serves the same part
			p.withRoom[n.shard] = append(p.withRoom[n.shard], b)
		}
	}
	n.Count -= len(got)
	return orders
}
