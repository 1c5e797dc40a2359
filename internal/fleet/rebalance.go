package fleet

// Where the cloud has no more capacity, the shards' machines are all there is, and a
// shard's own work uses whatever comes free in it: a shard whose work came later
// would wait for as long as the others have any. So shards with starving work get
// machines from those with more, until they have about as many as these.

// rebalance orders machines to shards in which work starves, at most one to each in a
// plan: those of the shard that has most, as their tasks end.
func (p *planning) rebalance() []Order {
	var orders []Order
	served := map[int]bool{}
	var free freeing
	for _, d := range p.demands {
		if !d.Starved || d.Count == 0 || served[d.shard] || len(p.offers(&d.Need)) > 0 {
			continue
		}
		if free.byShard == nil {
			free = p.countFreeing()
		}
		b := p.chooseDonation(d, &free)
		if b == nil {
			continue
		}
		served[d.shard] = true
		b.promised = true
		free.move(b, d.shard)
		orders = append(orders, Order{Part: b.shard, Machine: b.ID, To: d.shard, Emptied: true})
	}
	return orders
}

// shardZone is the machines of one shard in one zone.
type shardZone struct {
	shard int
	zone  string
}

// freeing counts the machines that come free by and by: those without services.
// Machines on their way to another shard count there.
type freeing struct {
	byShard     map[int]int
	byShardZone map[shardZone]int
	byZone      map[string]int
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

// fairShare is how many of the machines that come free each shard would have if all
// shards that have such machines, or demand, had as many.
func (p *planning) fairShare(f *freeing) int {
	shards := map[int]bool{}
	for shard, n := range f.byShard {
		if n > 0 {
			shards[shard] = true
		}
	}
	for _, d := range p.demands {
		shards[d.shard] = true
	}
	return (f.total + len(shards) - 1) / max(1, len(shards))
}

// chooseDonation chooses the machine that goes to a starving demand's shard, nil if no shard
// has enough more than that.
func (p *planning) chooseDonation(d *demand, f *freeing) *bin {
	zone, ok := p.donationZone(d, f)
	if !ok {
		return nil
	}
	var best *bin
	for _, e := range p.emptiedMachines() {
		b := e.original
		if !e.fits(&d.Need) || (zone != "" && b.Zone != zone) || !mayDonate(b, d, f) {
			continue
		}
		if best == nil || betterDonation(b, best, f) {
			best = b
		}
	}
	return best
}

// donationZone returns the zone from which a demand is to get machines, empty for any. It
// returns false for a gang that could not have enough: a shard can't have more than its
// share, and for a gang of one zone there must be one with as many.
func (p *planning) donationZone(d *demand, f *freeing) (zone string, ok bool) {
	if !d.Gang {
		return d.Zone, true
	}
	machines := p.machinesNeeded(d)
	if machines > p.fairShare(f) {
		return "", false
	}
	if !d.OneZone || d.Zone != "" {
		return d.Zone, true
	}
	zone = p.fullestZone(d.shard, machines, f)
	return zone, zone != ""
}

// mayDonate reports whether a machine's shard can do without it better than a demand's.
func mayDonate(b *bin, d *demand, f *freeing) bool {
	return b.shard != d.shard && b.Up && b.Usable && !b.Lasting && b.For == "" && f.byShard[b.shard] >= f.byShard[d.shard]+2
}

// betterDonation prefers a machine of the shard with most, then one that is sooner empty.
func betterDonation(a, b *bin, f *freeing) bool {
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

// fullestZone is the zone in which a shard needs fewest machines from others for so
// many; of those with the same, the one with most machines of all shards.
func (p *planning) fullestZone(shard, machines int, f *freeing) string {
	best := ""
	for _, zone := range p.cfg.Zones {
		if f.byZone[zone] < machines {
			continue
		}
		own, ownBest := f.byShardZone[shardZone{shard, zone}], f.byShardZone[shardZone{shard, best}]
		if best == "" || own > ownBest || (own == ownBest && f.byZone[zone] > f.byZone[best]) {
			best = zone
		}
	}
	return best
}

// machinesNeeded is how many empty machines a demand's tasks fill at least.
func (p *planning) machinesNeeded(d *demand) int {
	mostPerMachine := 1
	for i := range p.cfg.Types {
		b := newBin(&p.cfg.Types[i], d.Zone, false)
		fit := 0
		for fit < d.Count && b.fits(&d.Need) {
			b.use(&d.Need)
			fit++
		}
		mostPerMachine = max(mostPerMachine, fit)
	}
	return (d.Count + mostPerMachine - 1) / mostPerMachine
}
