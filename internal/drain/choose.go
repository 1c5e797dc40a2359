package drain

import (
	"cmp"
	"slices"
	"time"
)

// Choose returns up to most machines to drain together, so that few units are interrupted
// and little work is lost. room tells how many more machines of a zone may go.
//
// The choice is greedy: again and again it takes whatever adds least to the cost for each of
// its machines, be it one machine or all those of a gang that is on several. Where few are
// chosen it is then improved by exchanges. The problem, to hit the fewest units with a number
// of machines, is hard to solve exactly; docs/design-drains.md tells how far from the best
// this is.
func Choose(machines []*Machine, most int, room func(zone string) int) []string {
	c := newChooser(machines, room)
	var chosen []int
	for len(chosen) < most {
		group := c.cheapest(most - len(chosen))
		if len(group) == 0 {
			break
		}
		for _, i := range group {
			chosen = append(chosen, i)
			c.take(i)
		}
	}
	c.improve(chosen)
	var names []string
	for _, i := range chosen {
		names = append(names, c.machines[i].ID)
	}
	return names
}

// chooser holds what is left to choose from.
type chooser struct {
	machines []*Machine
	room     func(zone string) int
	left     map[string]int // machines that may go, by zone
	taken    []bool
	hit      map[UnitID]bool
	gangs    [][]int // machines of each gang that is on several
}

// unitCost is what interrupting a unit counts besides the work that is lost: its tasks have
// to be placed and their images fetched again.
const unitCost = 10 * time.Second

func newChooser(machines []*Machine, room func(zone string) int) *chooser {
	c := &chooser{machines: slices.Clone(machines), room: room, left: map[string]int{}, hit: map[UnitID]bool{}}
	slices.SortFunc(c.machines, func(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) })
	c.taken = make([]bool, len(c.machines))
	at := map[UnitID]int{}
	for i, m := range c.machines {
		for _, u := range m.Units {
			if u.Task != WholeGang {
				continue
			}
			n, ok := at[u.UnitID]
			if !ok {
				n = len(c.gangs)
				at[u.UnitID] = n
				c.gangs = append(c.gangs, nil)
			}
			c.gangs[n] = append(c.gangs[n], i)
		}
	}
	return c
}

func (u *Unit) cost() time.Duration { return u.Loss + unitCost*time.Duration(max(1, u.Tasks)) }

// cheapest returns the machine, or the gang's machines, of at most so many, that add least
// for each machine; nothing if none may go.
func (c *chooser) cheapest(most int) []int {
	var best []int
	var least time.Duration
	consider := func(group []int) {
		if cost := c.adds(group) / time.Duration(len(group)); best == nil || cost < least {
			best, least = group, cost
		}
	}
	for i := range c.machines {
		if c.mayGo(i) {
			consider([]int{i})
		}
	}
	for _, gang := range c.gangs {
		if group := c.group(gang, most); len(group) > 1 {
			consider(group)
		}
	}
	return best
}

// group returns those of a gang's machines that are left, if all of them may go together.
func (c *chooser) group(gang []int, most int) []int {
	var group []int
	zones := map[string]int{}
	for _, i := range gang {
		if c.taken[i] {
			continue
		}
		zone := c.machines[i].Zone
		if zones[zone]++; !c.mayGo(i) || zones[zone] > c.left[zone] {
			return nil
		}
		group = append(group, i)
	}
	if len(group) > most {
		return nil
	}
	return group
}

// mayGo reports whether a machine is left and its zone spares it.
func (c *chooser) mayGo(i int) bool {
	zone := c.machines[i].Zone
	if _, known := c.left[zone]; !known {
		c.left[zone] = c.room(zone)
	}
	return !c.taken[i] && c.left[zone] > 0
}

// adds is the cost of the units on some machines that are not hit already.
func (c *chooser) adds(group []int) time.Duration {
	if len(group) == 1 {
		return c.addsOne(c.machines[group[0]], nil)
	}
	cost := time.Duration(0)
	counted := map[UnitID]bool{}
	for _, i := range group {
		cost += c.addsOne(c.machines[i], counted)
	}
	return cost
}

func (c *chooser) addsOne(m *Machine, counted map[UnitID]bool) time.Duration {
	cost := time.Duration(0)
	for _, u := range m.Units {
		if c.hit[u.UnitID] || counted[u.UnitID] {
			continue
		}
		if counted != nil {
			counted[u.UnitID] = true
		}
		cost += u.cost()
	}
	return cost
}

// take takes a machine, with which all its units are hit.
func (c *chooser) take(i int) {
	c.taken[i] = true
	c.left[c.machines[i].Zone]--
	for _, u := range c.machines[i].Units {
		c.hit[u.UnitID] = true
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
