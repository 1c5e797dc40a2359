package drain

import "time"

// maxExchangeSize bounds the machines times the chosen ones for which a choice is improved by
// exchanges: with more of them the greedy choice is close to the best as it is.
const maxExchangeSize = 4096

// improveByExchange exchanges one or two chosen machines for others of the same zones as long as that
// lowers the cost. Where few are chosen, what the greedy choice took first may stand in the
// way of a gang's machines.
func (s *selection) improveByExchange(chosen []int) {
	if len(chosen)*len(s.machines) > maxExchangeSize {
		return
	}
	cost := s.totalCost(chosen)
	for better := true; better; {
		better = false
		for at := range chosen {
			if s.exchangeOne(chosen, at, &cost) {
				better = true
			}
			for second := range at {
				if s.exchangePair(chosen, at, second, &cost) {
					better = true
				}
			}
		}
	}
}

// exchangeOne exchanges the machine at a place of the choice if that lowers the cost.
func (s *selection) exchangeOne(chosen []int, at int, cost *time.Duration) bool {
	had := chosen[at]
	for i := range s.machines {
		if s.taken[i] || s.machines[i].Zone != s.machines[had].Zone {
			continue
		}
		chosen[at] = i
		if now := s.totalCost(chosen); now < *cost {
			*cost = now
			s.taken[had], s.taken[i] = false, true
			return true
		}
	}
	chosen[at] = had
	return false
}

// exchangePair exchanges two machines for two of one gang if that lowers the cost.
func (s *selection) exchangePair(chosen []int, a, b int, cost *time.Duration) bool {
	hadA, hadB := chosen[a], chosen[b]
	zoneA, zoneB := s.machines[hadA].Zone, s.machines[hadB].Zone
	for _, gang := range s.gangs {
		for n, i := range gang {
			for _, k := range gang[:n] {
				if s.taken[i] || s.taken[k] || s.machines[i].Zone != zoneA || s.machines[k].Zone != zoneB {
					continue
				}
				chosen[a], chosen[b] = i, k
				if now := s.totalCost(chosen); now < *cost {
					*cost = now
					s.taken[hadA], s.taken[hadB], s.taken[i], s.taken[k] = false, false, true, true
					return true
				}
			}
		}
	}
	chosen[a], chosen[b] = hadA, hadB
	return false
}

// totalCost is the cost of the units on some machines.
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
