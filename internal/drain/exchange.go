package drain

import "time"

// mostExchanges bounds the machines times the chosen ones for which a choice is improved by
// exchanges: with more of them the greedy choice is close to the best as it is.
const mostExchanges = 4096

// improve exchanges one or two chosen machines for others of the same zones as long as that
// lowers the cost. Where few are chosen, what the greedy choice took first may stand in the
// way of a gang's machines.
func (c *chooser) improve(chosen []int) {
	if len(chosen)*len(c.machines) > mostExchanges {
		return
	}
	cost := c.costOf(chosen)
	for better := true; better; {
		better = false
		for at := range chosen {
			if c.exchangeOne(chosen, at, &cost) {
				better = true
			}
			for second := range at {
				if c.exchangeTwo(chosen, at, second, &cost) {
					better = true
				}
			}
		}
	}
}

// exchangeOne exchanges the machine at a place of the choice if that lowers the cost.
func (c *chooser) exchangeOne(chosen []int, at int, cost *time.Duration) bool {
	had := chosen[at]
	for i := range c.machines {
		if c.taken[i] || c.machines[i].Zone != c.machines[had].Zone {
			continue
		}
		chosen[at] = i
		if now := c.costOf(chosen); now < *cost {
			*cost = now
			c.taken[had], c.taken[i] = false, true
			return true
		}
	}
	chosen[at] = had
	return false
}

// exchangeTwo exchanges two machines for two of one gang if that lowers the cost.
func (c *chooser) exchangeTwo(chosen []int, a, b int, cost *time.Duration) bool {
	hadA, hadB := chosen[a], chosen[b]
	zoneA, zoneB := c.machines[hadA].Zone, c.machines[hadB].Zone
	for _, gang := range c.gangs {
		for n, i := range gang {
			for _, k := range gang[:n] {
				if c.taken[i] || c.taken[k] || c.machines[i].Zone != zoneA || c.machines[k].Zone != zoneB {
					continue
				}
				chosen[a], chosen[b] = i, k
				if now := c.costOf(chosen); now < *cost {
					*cost = now
					c.taken[hadA], c.taken[hadB], c.taken[i], c.taken[k] = false, false, true, true
					return true
				}
			}
		}
	}
	chosen[a], chosen[b] = hadA, hadB
	return false
}

// costOf is the cost of the units on some machines.
func (c *chooser) costOf(chosen []int) time.Duration {
	counted := make(map[UnitID]bool, len(chosen))
	cost := time.Duration(0)
	for _, i := range chosen {
		for _, u := range c.machines[i].Units {
			if !counted[u.UnitID] {
				counted[u.UnitID] = true
				cost += u.cost()
			}
		}
	}
	return cost
}
