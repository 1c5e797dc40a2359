package fleet

// Where the cloud has nothing more, the parts' machines are all there is, and a
// part's own work uses whatever comes free in it: a part whose work came later
// would wait for as long as the others have any. So parts with starving work get
// machines from those with more, until they have about as many as these.

// rebalance orders machines to parts in which work starves, at most one to each in a
// plan: those of the part that has most, as their tasks end.
func (p *planning) rebalance() []Order {
	var orders []Order
	relieved := map[int]bool{}
	var free freeing
	for _, n := range p.demands {
		if !n.Starved || n.Count == 0 || relieved[n.shard] || len(p.offers(&n.Need)) > 0 {
			continue
		}
		if free.byShard == nil {
			free = p.countFreeing()
		}
		b := p.chooseDonor(n, &free)
		if b == nil {
			continue
		}
		relieved[n.shard] = true
		b.promised = true
		free.move(b, n.shard)
		orders = append(orders, Order{Part: b.shard, Machine: b.ID, To: n.shard, Emptied: true})
	}
	return orders
}

// shardZone is the machines of one part in one zone.
type shardZone struct {
	shard int
	zone  string
}

// freeing counts the machines that come free by and by: those without services.
// Machines on their way to another part count there.
type freeing struct {
	byShard     map[int]int
	byShardZone map[shardZone]int
	byZone      map[string]int // of all parts
	total       int
}

func (p *planning) countFreeing() freeing {
	f := freeing{byShard: map[int]int{}, byShardZone: map[shardZone]int{}, byZone: map[string]int{}}
	for _, summary := range p.summaries {
		for i := range summary.Machines {
			m := &summary.Machines[i]
			switch {
			case m.Moving:
				f.add(shardZone{m.To, m.Zone}, 1)
			case m.Leaving || m.Lasting || (m.Up && !m.Usable):
			default:
				f.add(shardZone{summary.Part, m.Zone}, 1)
			}
		}
	}
	return f
}

func (f *freeing) add(at shardZone, n int) {
	f.byShard[at.shard] += n
	f.byShardZone[at] += n
	f.byZone[at.zone] += n
	f.total += n
}

func (f *freeing) move(b *bin, to int) {
	f.add(shardZone{b.shard, b.Zone}, -1)
	f.add(shardZone{to, b.Zone}, 1)
}

// fairShare is how many of the machines that come free each part would have if all
// parts that have such machines, or work that waits, had as many.
func (p *planning) fairShare(f *freeing) int {
	parts := map[int]bool{}
	for part, n := range f.byShard {
		if n > 0 {
			parts[part] = true
		}
	}
	for _, n := range p.demands {
		parts[n.shard] = true
	}
	return (f.total + len(parts) - 1) / max(1, len(parts))
}

// chooseDonor chooses the machine that goes to a starving need's part, nil if no part
// has enough more than that.
func (p *planning) chooseDonor(n *demand, f *freeing) *bin {
	zone := n.Zone
	if n.Gang {
		machines := p.machinesNeeded(n)
		if machines > p.fairShare(f) {
			return nil // a part can't have as many without taking others' share
		}
		if n.OneZone && zone == "" {
			if zone = p.fullestZone(n.shard, machines, f); zone == "" {
				return nil // no zone has as many
			}
		}
	}
	var best *bin
	for _, e := range p.emptiedMachines() {
		b := e.original
		if !e.fits(&n.Need) || (zone != "" && b.Zone != zone) || !p.mayGive(b, n, f) {
			continue
		}
		if best == nil || p.betterDonor(b, best, f) {
			best = b
		}
	}
	return best
}

// mayGive reports whether a machine's part can do without it better than a need's.
func (p *planning) mayGive(b *bin, n *demand, f *freeing) bool {
	return b.shard != n.shard && b.Up && b.Usable && !b.Lasting && b.For == "" && f.byShard[b.shard] >= f.byShard[n.shard]+2
}

// betterDonor prefers the part with most, then what is sooner empty.
func (p *planning) betterDonor(a, b *bin, f *freeing) bool {
	if x, y := f.byShard[a.shard], f.byShard[b.shard]; x != y {
		return x > y
	}
	if x, y := a.Tasks == 0, b.Tasks == 0; x != y {
		return x
	}
	if a.TopRank != b.TopRank {
		return a.TopRank < b.TopRank
	}
	return a.Tasks < b.Tasks
}

// fullestZone is the zone in which a part needs fewest machines from others for so
// many; of those with the same, the one with most machines of all parts.
func (p *planning) fullestZone(part, machines int, f *freeing) string {
	best := ""
	for _, z := range p.cfg.Zones {
		if f.byZone[z] < machines {
			continue
		}
		x, y := f.byShardZone[shardZone{part, z}], f.byShardZone[shardZone{part, best}]
		if best == "" || x > y || (x == y && f.byZone[z] > f.byZone[best]) {
			best = z
		}
	}
	return best
}

// machinesNeeded is how many empty machines a need's tasks fill at least.
func (p *planning) machinesNeeded(n *demand) int {
	most := 1
	for i := range p.cfg.Types {
		t := &p.cfg.Types[i]
		b := p.newMachine(t, n.Zone, false)
		fits := 0
		for ; fits < n.Count && b.fits(&n.Need); fits++ {
			b.use(&n.Need)
		}
		most = max(most, fits)
	}
	return (n.Count + most - 1) / most
}
