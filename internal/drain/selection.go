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
	c := newSelection(machines, room)
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
	c.improveByExchange(chosen)
	var names []string
	for _, i := range chosen {
		names = append(names, c.machines[i].ID)
	}
	return names
}

// selection holds what is left to choose from.
type selection struct {
	machines   []*Machine
	room       func(zone string) int
	roomByZone map[string]int // machines that may go, by zone
	taken      []bool
	unitsHit   map[UnitID]bool
	gangs      [][]int // machines of each gang that is on several
}

// unitCost is what interrupting a unit counts besides the work that is lost: its tasks have
// to be placed and their images fetched again.
const unitCost = 10 * time.Second

func newSelection(machines []*Machine, room func(zone string) int) *selection {
	c := &selection{machines: slices.Clone(machines), room: room, roomByZone: map[string]int{}, unitsHit: map[UnitID]bool{}}
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

func (u *Unit) cost() time.Duration { return u.LostWork + unitCost*time.Duration(max(1, u.Tasks)) }

// cheapest returns the machine, or the gang's machines, of at most so many, that add least
// for each machine; nothing if none may go.
func (s *selection) cheapest(most int) []int {
	var best []int
	var least time.Duration
	consider := func(group []int) {
		if cost := s.addedCost(group) / time.Duration(len(group)); best == nil || cost < least {
			best, least = group, cost
		}
	}
	for i := range s.machines {
		if s.eligible(i) {
			consider([]int{i})
		}
	}
	for _, gang := range s.gangs {
		if group := s.group(gang, most); len(group) > 1 {
			consider(group)
		}
	}
	return best
}

// group returns those of a gang's machines that are left, if all of them may go together.
func (s *selection) group(gang []int, most int) []int {
	var group []int
	zones := map[string]int{}
	for _, i := range gang {
		if s.taken[i] {
			continue
		}
		zone := s.machines[i].Zone
		if zones[zone]++; !s.eligible(i) || zones[zone] > s.roomByZone[zone] {
			return nil
		}
		group = append(group, i)
	}
	if len(group) > most {
		return nil
	}
	return group
}

// eligible reports whether a machine is left and its zone spares it.
func (s *selection) eligible(i int) bool {
	zone := s.machines[i].Zone
	if _, known := s.roomByZone[zone]; !known {
		s.roomByZone[zone] = s.room(zone)
	}
	return !s.taken[i] && s.roomByZone[zone] > 0
}

// addedCost is the cost of the units on some machines that are not hit already.
func (s *selection) addedCost(group []int) time.Duration {
	if len(group) == 1 {
		return s.addedCostOf(s.machines[group[0]], nil)
	}
	cost := time.Duration(0)
	counted := map[UnitID]bool{}
	for _, i := range group {
		cost += s.addedCostOf(s.machines[i], counted)
	}
	return cost
}

func (s *selection) addedCostOf(m *Machine, counted map[UnitID]bool) time.Duration {
	cost := time.Duration(0)
	for _, u := range m.Units {
		if s.unitsHit[u.UnitID] || counted[u.UnitID] {
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
func (s *selection) take(i int) {
	s.taken[i] = true
	s.roomByZone[s.machines[i].Zone]--
	for _, u := range s.machines[i].Units {
		s.unitsHit[u.UnitID] = true
	}
}

// Batches returns the order in which the machines of a drain would go if each step had to
// end before the next, as a dry run shows it. Of the machines in service, by zone, all are taken
// to do work.
func Batches(machines []*Machine, atOnce int, zones map[string]int, s *Settings) [][]string {
	left := slices.Clone(machines)
	var out [][]string
	for len(left) > 0 {
		step := Choose(left, atOnce, func(zone string) int { return s.zoneLimit(Zone{zones[zone], zones[zone]}) })
		if len(step) == 0 {
			break
		}
		left = slices.DeleteFunc(left, func(m *Machine) bool { return slices.Contains(step, m.ID) })
		out = append(out, step)
	}
	return out
}
