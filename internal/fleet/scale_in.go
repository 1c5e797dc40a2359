package fleet

import "sort"

// scaleIn returns orders that release the machines whose idle timeout has passed, beyond the headroom.
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

// idle returns the unused machines to which the plan assigns nothing, sorted by preference for
// keeping them: first the machines with the most images, since the next job starts sooner there,
// and then the most recently used ones.
func (p *planning) idle() []*bin {
	var idle []*bin
	for _, b := range p.unused {
		if b.Up && b.For == "" && !b.assigned {
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
