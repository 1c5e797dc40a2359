package fleet

// While the cloud has no capacity, the fleet cannot grow, and each shard uses a machine that
// becomes free for its own work first. A shard whose work arrived later would wait for as long as
// the other shards have work. So shards with starving work get machines from shards with more,
// until they have about as many.

// rebalance returns orders that transfer machines to shards with starving work, at most one to each
// shard in a plan. The machines come from the shards that have the most, and are transferred once
// their tasks have ended.
func (p *planning) rebalance() []Order {
	var orders []Order
	served := map[int]bool{}
	var free freeableMachines
	for _, d := range p.demands {
		if !d.Starved || d.Count == 0 || served[d.shard] || len(p.offers(&d.Need)) > 0 {
			continue
		}
		if free.byShard == nil {
			free = p.countFreeable()
		}
		b := p.chooseDonation(d, &free)
		if b == nil {
			continue
		}
		served[d.shard] = true
		b.assigned = true
		free.move(b, d.shard)
		orders = append(orders, Order{Part: b.shard, Machine: b.ID, To: d.shard, Emptied: true})
	}
	return orders
}

// shardZone identifies the machines of one shard in one zone.
type shardZone struct {
	shard int
	zone  string
}

// freeableMachines counts the machines that become free once their tasks have ended: those that run no
// services. Machines that are being transferred count for the shard that gets them.
type freeableMachines struct {
	byShard     map[int]int
	byShardZone map[shardZone]int
	byZone      map[string]int
	total       int
}

// countFreeable counts the freeable machines in the summaries.
func (p *planning) countFreeable() freeableMachines {
	f := freeableMachines{byShard: map[int]int{}, byShardZone: map[shardZone]int{}, byZone: map[string]int{}}
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

// add adds n to the counts of a shard's machines in a zone.
func (f *freeableMachines) add(at shardZone, n int) {
	f.byShard[at.shard] += n
	f.byShardZone[at] += n
	f.byZone[at.zone] += n
	f.total += n
}

// move counts a machine for the shard to which it is transferred.
func (f *freeableMachines) move(b *bin, to int) {
	f.add(shardZone{b.shard, b.Zone}, -1)
	f.add(shardZone{to, b.Zone}, 1)
}

// fairShare returns how many freeable machines a shard has, rounded up, if they are divided equally
// among the shards with freeable machines or demand.
func (p *planning) fairShare(f *freeableMachines) int {
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

// chooseDonation returns the machine that is transferred to a starving demand's shard, or nil if no
// shard has enough more machines than that one.
func (p *planning) chooseDonation(d *demand, f *freeableMachines) *bin {
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

// donationZone returns the zone from which a demand gets machines, empty for any. It returns false
// for a gang that could not get enough machines: a shard cannot have more than its fair share, and
// a gang that needs a single zone needs one with enough machines.
func (p *planning) donationZone(d *demand, f *freeableMachines) (zone string, ok bool) {
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
	zone = p.gangZone(d.shard, machines, f)
	return zone, zone != ""
}

// mayDonate reports whether a machine can be transferred and its shard still has at least as many
// freeable machines as the demand's shard afterwards.
func mayDonate(b *bin, d *demand, f *freeableMachines) bool {
	return b.shard != d.shard && b.Up && b.Usable && !b.Lasting && b.For == "" && f.byShard[b.shard] >= f.byShard[d.shard]+2
}

// betterDonation reports whether a is preferred to b: it is in the shard with more freeable machines,
// or it is likely to be empty sooner.
func betterDonation(a, b *bin, f *freeableMachines) bool {
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

// gangZone returns the zone in which a shard needs the fewest machines of other shards to have a
// number of them; among equals, the zone with the most freeable machines of all shards. It
// returns "" if no zone has that many.
func (p *planning) gangZone(shard, machines int, f *freeableMachines) string {
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

// machinesNeeded returns the lowest number of empty machines that hold all of a demand's tasks.
func (p *planning) machinesNeeded(d *demand) int {
	maxTasksPerMachine := 1
	for i := range p.cfg.Types {
		b := newBin(&p.cfg.Types[i], d.Zone, false)
		tasks := 0
		for tasks < d.Count && b.fits(&d.Need) {
			b.use(&d.Need)
			tasks++
		}
		maxTasksPerMachine = max(maxTasksPerMachine, tasks)
	}
	return (d.Count + maxTasksPerMachine - 1) / maxTasksPerMachine
}
