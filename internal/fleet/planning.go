package fleet

import (
	"maps"
	"math"
	"sort"
	"time"
)

// planning is the state of a plan in progress. Since there are thousands of machines and
// hundreds of needs, a need is not compared with every machine: machines with room and unused
// machines are listed separately.
type planning struct {
	*Planner
	now       time.Time
	summaries []Summary
	demands   []*demand // the most urgent first
	// unmet is the number of a shard's unmet demands that an unused machine of a pool could serve.
	unmet map[shardPool]int

	bins           []*bin
	unused         []*bin
	withRoom       map[int][]*bin // by shard: the machines on which the smallest demand fits
	emptied        []*bin         // the result of emptiedMachines, computed on first use
	machinesInZone map[string]int

	toProvision     []*bin
	toProvisionFor  map[int][]*bin // the bins of toProvision by shard
	toProvisionFrom map[pool]int   // the number of bins of toProvision by pool
}

// demand is a need in the plan. Its Count is the number of tasks without a machine so far.
type demand struct {
	Need
	shard int
}

// shardPool identifies the machines of one pool in one shard.
type shardPool struct {
	shard int
	pool
}

func newPlanning(p *Planner, summaries []Summary, now time.Time) *planning {
	plan := &planning{Planner: p, now: now, summaries: summaries, unmet: map[shardPool]int{},
		withRoom: map[int][]*bin{}, machinesInZone: map[string]int{}, toProvisionFor: map[int][]*bin{}, toProvisionFrom: map[pool]int{}}
	plan.loadDemands()
	plan.loadMachines()
	return plan
}

// loadDemands copies the needs from the summaries, sorted by priority, highest first, and then by
// waiting time, longest first. It counts all of them as unmet.
func (p *planning) loadDemands() {
	for _, summary := range p.summaries {
		for _, n := range summary.Needs {
			n.InZone = maps.Clone(n.InZone)
			if n.ZoneLimit > 0 && n.InZone == nil {
				n.InZone = map[string]int{}
			}
			d := &demand{n, summary.Part}
			p.demands = append(p.demands, d)
			p.countUnmet(d, 1)
		}
	}
	sort.SliceStable(p.demands, func(i, j int) bool {
		a, b := p.demands[i], p.demands[j]
		if a.Rank != b.Rank {
			return a.Rank > b.Rank
		}
		return a.Waited > b.Waited
	})
}

// loadMachines copies the machines from the summaries, except those that may not get new tasks.
func (p *planning) loadMachines() {
	smallest := p.smallestNeed()
	for _, summary := range p.summaries {
		for _, m := range summary.Machines {
			if m.Leaving || (m.Up && !m.Usable) {
				continue
			}
			b := &bin{Machine: m, shard: summary.Part}
			p.bins = append(p.bins, b)
			p.machinesInZone[b.Zone]++
			if b.Tasks == 0 {
				p.unused = append(p.unused, b)
			}
			smallest.Job = b.For
			if b.fits(&smallest) {
				p.withRoom[b.shard] = append(p.withRoom[b.shard], b)
			}
		}
	}
}

// smallestNeed returns a need that fits on every machine on which any of the demands fits.
func (p *planning) smallestNeed() Need {
	n := Need{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1), Spot: true}
	for _, d := range p.demands {
		n.CPUs, n.GPUs, n.MemoryGB = min(n.CPUs, d.CPUs), min(n.GPUs, d.GPUs), min(n.MemoryGB, d.MemoryGB)
	}
	return n
}

// countUnmet adds by to the count of unmet demands of each pool whose machines could serve d.
func (p *planning) countUnmet(d *demand, by int) {
	for i := range p.cfg.Types {
		t := &p.cfg.Types[i]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if b := newBin(t, zone, spot); b.fits(&d.Need) {
					p.unmet[shardPool{d.shard, b.pool()}] += by
				}
			}
		}
	}
}

// requests returns the requests to the cloud. Machines of the same pool share a request, up to
// MaxProvision machines.
func (p *planning) requests() []ProvisionRequest {
	var requests []ProvisionRequest
	open := map[pool]int{} // by pool: the index of the request to which machines are added
	for _, b := range p.toProvision {
		i, ok := open[b.pool()]
		if !ok || len(requests[i].Shards) == p.cfg.MaxProvision {
			i = len(requests)
			open[b.pool()] = i
			requests = append(requests, ProvisionRequest{Type: b.Type, Zone: b.Zone, Spot: b.Spot})
		}
		requests[i].Shards = append(requests[i].Shards, b.shard)
	}
	return requests
}
