package fleet

import (
	"slices"
	"sort"
)

// scaleIn gives back machines unused for long, keeping the headroom.
func (p *planning) scaleIn() []Order {
	_, ordinary := p.headroom(false)
	_, spots := p.headroom(true)
	headroom := map[bool]int{false: ordinary, true: spots}
	var idle []*bin
	for _, b := range p.unused {
		if b.Up && b.For == "" && !b.promised {
			idle = append(idle, b)
		}
	}
	// The machines kept are those with the most images: whatever comes next
	// starts sooner there.
	sort.SliceStable(idle, func(a, b int) bool {
		if x, y := len(idle[a].Images), len(idle[b].Images); x != y {
			return x > y
		}
		return idle[a].Idle < idle[b].Idle
	})
	var orders []Order
	for _, b := range idle {
		if headroom[b.Spot] > 0 {
			headroom[b.Spot]--
			continue
		}
		if t := p.machineType(b.Type); t != nil && b.Idle > p.cfg.IdleTimeout(*t, b.Spot) {
			orders = append(orders, Order{Part: b.shard, Machine: b.ID, To: ReleaseToCloud})
		}
	}
	return orders
}

// ChooseOwner says which live controller takes a part whose owner is gone: its
// home if that lives, else the one with the fewest parts.
func ChooseOwner(live []string, owners map[int]string, home string) string {
	if slices.Contains(live, home) {
		return home
	}
	load := map[string]int{}
	for _, o := range owners {
		load[o]++
	}
	best := ""
	for _, l := range live {
		if best == "" || load[l] < load[best] || (load[l] == load[best] && l < best) {
			best = l
		}
	}
	return best
}
