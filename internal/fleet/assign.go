package fleet

import (
	"maps"
	"slices"
	"sort"
)

// serve finds machines for a need: its part's own, others' free ones, others'
// with lower work, and new ones, in that order.
func (p *plan) serve(n *waiting, due bool) (orders []Order) {
	if p.cover(n, p.roomy[n.part]) {
		return nil
	}
	// Free machines of parts that have no use for them come first.
	if due || n.Waited >= p.cfg.MoveAfter {
		var spare []*bin
		for _, b := range p.unused {
			if p.movable(b, n) && p.hungry[hunger{b.part, b.pool()}] == 0 {
				spare = append(spare, b)
			}
		}
		// As in a part, a machine that caches the image is preferred.
		sort.SliceStable(spare, func(a, b int) bool {
			return slices.Contains(spare[a].Images, n.Image) && !slices.Contains(spare[b].Images, n.Image)
		})
		orders = append(orders, p.bring(n, spare, 0)...)
	}
	if n.Count == 0 {
		return orders
	}
	if n.Rank >= takingRank && n.Waited >= p.cfg.TakeAfter {
		orders = append(orders, p.bring(n, p.lower(n), n.Rank)...)
	}
	p.rent(n)
	return orders
}

// movable reports whether a machine of another part may be moved for a need.
func (p *plan) movable(b *bin, n *waiting) bool {
	return b.part != n.part && b.Up && b.Usable && b.For == "" && !b.taken
}

// lower returns other parts' machines of which all tasks are of lower priority
// than a need, as they are once emptied.
func (p *plan) lower(n *waiting) []*bin {
	var out []*bin
	for _, e := range p.empties() {
		if e.TopRank < n.Rank && p.movable(e.whole, n) {
			out = append(out, e)
		}
	}
	return out
}

// empties returns all machines as they are without their tasks, those with the
// fewest first.
func (p *plan) empties() []*bin {
	if p.emptied == nil {
		p.emptied = make([]*bin, 0, len(p.bins))
		for _, b := range p.bins {
			if t := p.typ(b.Type); t != nil {
				e := *b
				e.CPUs, e.GPUs, e.MemoryGB, e.whole = t.CPUs, t.GPUs, t.MemoryGB, b
				p.emptied = append(p.emptied, &e)
			}
		}
		sort.SliceStable(p.emptied, func(a, b int) bool { return p.emptied[a].Tasks < p.emptied[b].Tasks })
	}
	return p.emptied
}

const (
	// takingRank is the priority from which work of other parts gives way.
	takingRank = 2
)

// cover promises room on bins to a need and lowers its Count by what found
// some; for a gang it is all in one go. It reports whether nothing is left.
func (p *plan) cover(n *waiting, bins []*bin) bool {
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
func (p *plan) assign(n *waiting, bins []*bin) []*bin {
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

// bring orders machines of other parts to a need's part. A gang may be served
// by its own part's machines and others' together.
func (p *plan) bring(n *waiting, others []*bin, below int) []Order {
	if len(others) == 0 {
		return nil
	}
	got := p.assign(n, append(slices.Clone(p.roomy[n.part]), others...))
	var orders []Order
	for _, b := range got {
		if b.whole != nil {
			m := b.whole
			if m.part != n.part {
				m.CPUs, m.GPUs, m.MemoryGB = b.CPUs, b.GPUs, b.MemoryGB
			}
			b = m
		}
		b.use(&n.Need)
		n.place(b.Zone)
		if b.part != n.part {
			orders = append(orders, Order{Part: b.part, Machine: b.ID, To: n.part, Below: below})
			b.part = n.part // what is left of it serves the same part
			p.roomy[n.part] = append(p.roomy[n.part], b)
		}
	}
	n.Count -= len(got)
	return orders
}
