package drain

import (
	"cmp"
	"slices"
	"time"
)

// Choose returns the IDs of at most limit machines to drain together, such that few units are
// interrupted and little work is lost. room returns how many more machines of a zone may be drained.
//
// The choice is greedy: it repeatedly adds the group of machines with the least added cost per
// machine. A group is a single machine or all machines of a gang that runs on several. A small choice
// is then improved by exchanges. Finding the machines that hit the fewest units is hard to solve
// exactly; docs/design-drains.md compares this choice with the best one.
func Choose(machines []*Machine, limit int, room func(zone string) int) []string {
	s := newSelection(machines, room)
	var chosen []int
	for len(chosen) < limit {
		group := s.cheapest(limit - len(chosen))
		if len(group) == 0 {
			break
		}
		for _, i := range group {
			chosen = append(chosen, i)
			s.take(i)
		}
	}
	s.improveByExchange(chosen)
	var ids []string
	for _, i := range chosen {
		ids = append(ids, s.machines[i].ID)
	}
	return ids
}

// selection is the state of a choice of machines. Machines are identified by their index in machines.
type selection struct {
	machines   []*Machine
	room       func(zone string) int // see Choose
	roomByZone map[string]int        // how many more machines of a zone may be drained, once it was asked for
	taken      []bool                // whether a machine is chosen, by index
	unitsHit   map[UnitID]bool       // units on the chosen machines
	gangs      [][]int               // the machines of each gang
}

// taskRestartCost is the cost of interrupting one task besides the lost work: the task has to be placed
// again and its image fetched again.
const taskRestartCost = 10 * time.Second

// newSelection returns a selection without chosen machines.
func newSelection(machines []*Machine, room func(zone string) int) *selection {
	s := &selection{machines: slices.Clone(machines), room: room, roomByZone: map[string]int{}, unitsHit: map[UnitID]bool{}}
	slices.SortFunc(s.machines, func(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) })
	s.taken = make([]bool, len(s.machines))
	gangIndex := map[UnitID]int{}
	for i, m := range s.machines {
		for _, u := range m.Units {
			if u.Task != WholeGang {
				continue
			}
			n, ok := gangIndex[u.UnitID]
			if !ok {
				n = len(s.gangs)
				gangIndex[u.UnitID] = n
				s.gangs = append(s.gangs, nil)
			}
			s.gangs[n] = append(s.gangs[n], i)
		}
	}
	return s
}

// cost returns the cost of interrupting a unit.
func (u *Unit) cost() time.Duration {
	return u.LostWork + taskRestartCost*time.Duration(max(1, u.Tasks))
}

// cheapest returns the group of at most limit machines that adds the least cost per machine, or nil
// if no machine may be drained.
func (s *selection) cheapest(limit int) []int {
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
		if group := s.group(gang, limit); len(group) > 1 {
			consider(group)
		}
	}
	return best
}

// group returns the machines of a gang that are not chosen yet, or nil if they are more than limit or
// may not all be drained together.
func (s *selection) group(gang []int, limit int) []int {
	var group []int
	byZone := map[string]int{}
	for _, i := range gang {
		if s.taken[i] {
			continue
		}
		zone := s.machines[i].Zone
		if byZone[zone]++; !s.eligible(i) || byZone[zone] > s.roomByZone[zone] {
			return nil
		}
		group = append(group, i)
	}
	if len(group) > limit {
		return nil
	}
	return group
}

// eligible reports whether a machine is not chosen yet and its zone allows another one.
func (s *selection) eligible(i int) bool {
	zone := s.machines[i].Zone
	if _, known := s.roomByZone[zone]; !known {
		s.roomByZone[zone] = s.room(zone)
	}
	return !s.taken[i] && s.roomByZone[zone] > 0
}

// addedCost returns the cost of the units on some machines, without the units that are hit already.
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

// addedCostOf is addedCost of one machine. It skips the units in counted and, unless counted is nil,
// adds the machine's units to it.
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

// take chooses a machine, which hits all units on it.
func (s *selection) take(i int) {
	s.taken[i] = true
	s.roomByZone[s.machines[i].Zone]--
	for _, u := range s.machines[i].Units {
		s.unitsHit[u.UnitID] = true
	}
}

// Batches returns, for a dry run, the IDs of the machines of a drain in batches of at most
// maxConcurrent, as if each batch had to be empty before the next is cordoned. inService counts the
// machines in service by zone; all of them are assumed to take work.
func Batches(machines []*Machine, maxConcurrent int, inService map[string]int, s *Settings) [][]string {
	remaining := slices.Clone(machines)
	var out [][]string
	for len(remaining) > 0 {
		batch := Choose(remaining, maxConcurrent, func(zone string) int { return s.zoneLimit(Zone{inService[zone], inService[zone]}) })
		if len(batch) == 0 {
			break
		}
		remaining = slices.DeleteFunc(remaining, func(m *Machine) bool { return slices.Contains(batch, m.ID) })
		out = append(out, batch)
	}
	return out
}
