package fleet

import "sort"

// scaleIn releases machines unused for long, keeping the headroom.
func (p *planning) scaleIn() []Order {
	_, onDemand := p.headroom(false)
	_, spot := p.headroom(true)
	headroom := map[bool]int{false: onDemand, true: spot}
	var orders []Order
	for _, b := range p.idle() {
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

// idle returns the machines that nothing is planned for, those to keep first: the ones with
// the most images, since whatever comes next starts sooner there, then those last used.
func (p *planning) idle() []*bin {
	var idle []*bin
	for _, b := range p.unused {
		if b.Up && b.For == "" && !b.promised {
			idle = append(idle, b)
		}
	}
	sort.SliceStable(idle, func(i, j int) bool {
		a, b := idle[i], idle[j]
		if len(a.Images) != len(b.Images) {
			return len(a.Images) > len(b.Images)
		}
		return a.Idle < b.Idle
	})
	return idle
}
