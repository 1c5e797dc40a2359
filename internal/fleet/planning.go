package fleet

import (
	"maps"
	"math"
	"sort"
	"time"
)

// planning is the state of making one plan. There are thousands of machines and hundreds of
// needs, so that no need looks at all machines: those with room, and those that
// are unused, are kept apart.
type planning struct {
	*Planner
	now       time.Time
	summaries []Summary
	demands   []*demand // the most urgent first
	// unmet counts the demands of a shard that an unused machine of a pool would serve.
	unmet map[shardPool]int

	bins           []*bin
	unused         []*bin
	withRoom       map[int][]*bin // by shard: those that the smallest demand fits on
	emptied        []*bin         // as emptiedMachines returns them, once asked for
	machinesInZone map[string]int

	toProvision    []*bin
	toProvisionFor map[int][]*bin // the same, by shard
}

// demand is a need in the plan. Its Count falls as room is found.
type demand struct {
	Need
	shard int
}

// shardPool is the machines of one pool in one shard.
type shardPool struct {
	shard int
	pool
}

func newPlanning(p *Planner, summaries []Summary, now time.Time) *planning {
	plan := &planning{Planner: p, now: now, summaries: summaries, unmet: map[shardPool]int{},
		withRoom: map[int][]*bin{}, machinesInZone: map[string]int{}, toProvisionFor: map[int][]*bin{}}
	plan.loadDemands()
	plan.loadMachines()
	return plan
}

// loadDemands reads the summaries' needs: those of higher priority first, then those that
// have waited longer.
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

// loadMachines reads the summaries' machines, but for those that no work may go to.
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

// smallestNeed returns one that fits wherever any of the demands does.
func (p *planning) smallestNeed() Need {
	n := Need{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1), Spot: true}
	for _, d := range p.demands {
		n.CPUs, n.GPUs, n.MemoryGB = min(n.CPUs, d.CPUs), min(n.GPUs, d.GPUs), min(n.MemoryGB, d.MemoryGB)
	}
	return n
}

// countUnmet counts a demand, or one less, for the pools whose machines would serve it.
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

// requests returns what to ask the cloud for, machines of one pool together.
func (p *planning) requests() []ProvisionRequest {
	var requests []ProvisionRequest
	open := map[pool]int{} // index of the request that has room
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
