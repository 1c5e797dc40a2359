package drain

import (
	"cmp"
	"slices"
	"time"
)

// Choose returns up to most machines to drain together, so that few units are interrupted
// and little work is lost: one after the other the machine that adds least to what is hit
// already, so that machines which share gangs go together. room tells how many more
// machines of a zone may go.
//
// This is the greedy choice for a problem (to hit the fewest units with a number of
// machines) that is hard to solve exactly; docs/design-drains.md tells how far from the
// best it is.
func Choose(machines []*Machine, most int, room func(zone string) int) []string {
	c := newChooser(machines)
	left := map[string]int{}
	var chosen []string
	for len(chosen) < most {
		i := c.cheapest(func(m *Machine) bool {
			n, known := left[m.Zone]
			if !known {
				n = room(m.Zone)
				left[m.Zone] = n
			}
			return n > 0
		})
		if i < 0 {
			break
		}
		left[c.machines[i].Zone]--
		chosen = append(chosen, c.machines[i].ID)
		c.take(i)
	}
	return chosen
}

// chooser holds what each machine that is left would add to the cost.
type chooser struct {
	machines []*Machine
	cost     []time.Duration
	taken    []bool
	hit      map[UnitID]bool
	on       map[UnitID][]int // machines of units that are on several
}

// unitCost is what interrupting a unit counts besides the work that is lost: its tasks have
// to be placed and their images fetched again.
const unitCost = 10 * time.Second

func newChooser(machines []*Machine) *chooser {
	c := &chooser{machines: slices.Clone(machines), hit: map[UnitID]bool{}, on: map[UnitID][]int{}}
	slices.SortFunc(c.machines, func(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) })
	c.cost = make([]time.Duration, len(c.machines))
	c.taken = make([]bool, len(c.machines))
	for i, m := range c.machines {
		for _, u := range m.Units {
			c.cost[i] += u.cost()
			if u.Task == WholeGang {
				c.on[u.UnitID] = append(c.on[u.UnitID], i)
			}
		}
	}
	return c
}

func (u *Unit) cost() time.Duration { return u.Loss + unitCost*time.Duration(max(1, u.Tasks)) }

// cheapest returns the machine that adds least of those that may go, -1 if there is none.
func (c *chooser) cheapest(may func(*Machine) bool) int {
	best := -1
	for i, m := range c.machines {
		if !c.taken[i] && (best < 0 || c.cost[i] < c.cost[best]) && may(m) {
			best = i
		}
	}
	return best
}

// take takes a machine; the others on which its gangs are cost less from now on.
func (c *chooser) take(i int) {
	c.taken[i] = true
	for _, u := range c.machines[i].Units {
		if c.hit[u.UnitID] {
			continue
		}
		c.hit[u.UnitID] = true
		for _, k := range c.on[u.UnitID] {
			c.cost[k] -= u.cost()
		}
	}
}

// Batches returns the order in which the machines of a drain would go if each step had to
// end before the next, as a dry run shows it. zones are all machines in service.
func Batches(machines []*Machine, atOnce int, zones map[string]int, s *Settings) [][]string {
	left := slices.Clone(machines)
	var out [][]string
	for len(left) > 0 {
		step := Choose(left, atOnce, func(zone string) int { return s.zoneLimit(zones[zone]) })
		if len(step) == 0 {
			break
		}
		left = slices.DeleteFunc(left, func(m *Machine) bool { return slices.Contains(step, m.ID) })
		out = append(out, step)
	}
	return out
}
