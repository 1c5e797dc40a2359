package drain

import "time"

// maxExchangeSize bounds the number of machines times the number of chosen machines up to which a
// choice is improved by exchanges. Above it the greedy choice is close to the best.
const maxExchangeSize = 4096

// improveByExchange exchanges one or two chosen machines for others of the same zones as long as that
// lowers the cost. In a small choice the machines that were chosen first may leave too little room
// for all machines of a gang.
func (s *selection) improveByExchange(chosen []int) {
	if len(chosen)*len(s.machines) > maxExchangeSize {
		return
	}
	cost := s.totalCost(chosen)
	for improved := true; improved; {
		improved = false
		for at := range chosen {
			if s.exchangeOne(chosen, at, &cost) {
				improved = true
			}
			for other := range at {
				if s.exchangePair(chosen, at, other, &cost) {
					improved = true
				}
			}
		}
	}
}

// exchangeOne exchanges the machine at an index of chosen for another one if that lowers the cost, and
// reports whether it did.
func (s *selection) exchangeOne(chosen []int, at int, cost *time.Duration) bool {
	old := chosen[at]
	for i := range s.machines {
		if s.taken[i] || s.machines[i].Zone != s.machines[old].Zone {
			continue
		}
		chosen[at] = i
		if newCost := s.totalCost(chosen); newCost < *cost {
			*cost = newCost
			s.taken[old], s.taken[i] = false, true
			return true
		}
	}
	chosen[at] = old
	return false
}

// exchangePair exchanges the machines at two indexes of chosen for two of one gang if that lowers the
// cost, and reports whether it did.
func (s *selection) exchangePair(chosen []int, first, second int, cost *time.Duration) bool {
	oldA, oldB := chosen[first], chosen[second]
	zoneA, zoneB := s.machines[oldA].Zone, s.machines[oldB].Zone
	for _, gang := range s.gangs {
		for n, i := range gang {
			for _, k := range gang[:n] {
				if s.taken[i] || s.taken[k] || s.machines[i].Zone != zoneA || s.machines[k].Zone != zoneB {
					continue
				}
				chosen[first], chosen[second] = i, k
				if newCost := s.totalCost(chosen); newCost < *cost {
					*cost = newCost
					s.taken[oldA], s.taken[oldB], s.taken[i], s.taken[k] = false, false, true, true
					return true
				}
			}
		}
	}
	chosen[first], chosen[second] = oldA, oldB
	return false
}

// totalCost returns the cost of the units on the chosen machines.
func (s *selection) totalCost(chosen []int) time.Duration {
	counted := make(map[UnitID]bool, len(chosen))
	cost := time.Duration(0)
	for _, i := range chosen {
		for _, u := range s.machines[i].Units {
			if !counted[u.UnitID] {
				counted[u.UnitID] = true
				cost += u.cost()
			}
		}
	}
	return cost
}
