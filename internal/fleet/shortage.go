package fleet

// Where the cloud has nothing more, the parts' machines are all there is, and a
// part's own work uses whatever comes free in it: a part whose work came later
// would wait for as long as the others have any. So parts with starving work get
// machines from those with more, until they have about as many as these.

// relieve orders machines to parts in which work starves, at most one to each in a
// plan: those of the part that has most, as their tasks end.
func (p *plan) relieve() []Order {
	var orders []Order
	relieved := map[int]bool{}
	var free freeing
	for _, n := range p.needs {
		if !n.Starved || n.Count == 0 || relieved[n.part] || len(p.offers(&n.Need)) > 0 {
			continue
		}
		if free.byPart == nil {
			free = p.freeing()
		}
		b := p.relief(n, &free)
		if b == nil {
			continue
		}
		relieved[n.part] = true
		b.taken = true
		free.move(b, n.part)
		orders = append(orders, Order{Part: b.part, Machine: b.ID, To: n.part, Emptied: true})
	}
	return orders
}

// partZone is the machines of one part in one zone.
type partZone struct {
	part int
	zone string
}

// freeing counts the machines that come free by and by: those without services.
// Machines on their way to another part count there.
type freeing struct {
	byPart map[int]int
	byZone map[partZone]int
	inZone map[string]int // of all parts
	all    int
}

func (p *plan) freeing() freeing {
	f := freeing{byPart: map[int]int{}, byZone: map[partZone]int{}, inZone: map[string]int{}}
	for _, summary := range p.sums {
		for i := range summary.Machines {
			m := &summary.Machines[i]
			switch {
			case m.Moving:
				f.add(partZone{m.To, m.Zone}, 1)
			case m.Leaving || m.Lasting || (m.Up && !m.Usable):
			default:
				f.add(partZone{summary.Part, m.Zone}, 1)
			}
		}
	}
	return f
}

func (f *freeing) add(at partZone, n int) {
	f.byPart[at.part] += n
	f.byZone[at] += n
	f.inZone[at.zone] += n
	f.all += n
}

func (f *freeing) move(b *bin, to int) {
	f.add(partZone{b.part, b.Zone}, -1)
	f.add(partZone{to, b.Zone}, 1)
}

// share is how many of the machines that come free each part would have if all
// parts that have such machines, or work that waits, had as many.
func (p *plan) share(f *freeing) int {
	parts := map[int]bool{}
	for part, n := range f.byPart {
		if n > 0 {
			parts[part] = true
		}
	}
	for _, n := range p.needs {
		parts[n.part] = true
	}
	return (f.all + len(parts) - 1) / max(1, len(parts))
}

// relief chooses the machine that goes to a starving need's part, nil if no part
// has enough more than that.
func (p *plan) relief(n *waiting, f *freeing) *bin {
	zone := n.Zone
	if n.Gang {
		machines := p.machinesFor(n)
		if machines > p.share(f) {
			return nil // a part can't have as many without taking others' share
		}
		if n.OneZone && zone == "" {
			if zone = p.fullestZone(n.part, machines, f); zone == "" {
				return nil // no zone has as many
			}
		}
	}
	var best *bin
	for _, e := range p.empties() {
		b := e.whole
		if !e.fits(&n.Need) || (zone != "" && b.Zone != zone) || !p.mayRelieve(b, n, f) {
			continue
		}
		if best == nil || p.betterRelief(b, best, f) {
			best = b
		}
	}
	return best
}

// mayRelieve reports whether a machine's part can do without it better than a need's.
func (p *plan) mayRelieve(b *bin, n *waiting, f *freeing) bool {
	return b.part != n.part && b.Up && b.Usable && !b.Lasting && b.For == "" && f.byPart[b.part] >= f.byPart[n.part]+2
}

// betterRelief prefers the part with most, then what is sooner empty.
func (p *plan) betterRelief(a, b *bin, f *freeing) bool {
	if x, y := f.byPart[a.part], f.byPart[b.part]; x != y {
		return x > y
	}
	if x, y := a.Tasks == 0, b.Tasks == 0; x != y {
		return x
	}
	if a.TopRank != b.TopRank {
		return a.TopRank < b.TopRank
	}
	return a.Tasks < b.Tasks
}

// fullestZone is the zone in which a part needs fewest machines from others for so
// many; of those with the same, the one with most machines of all parts.
func (p *plan) fullestZone(part, machines int, f *freeing) string {
	best := ""
	for _, z := range p.cfg.Zones {
		if f.inZone[z] < machines {
			continue
		}
		x, y := f.byZone[partZone{part, z}], f.byZone[partZone{part, best}]
		if best == "" || x > y || (x == y && f.inZone[z] > f.inZone[best]) {
			best = z
		}
	}
	return best
}

// machinesFor is how many empty machines a need's tasks fill at least.
func (p *plan) machinesFor(n *waiting) int {
	most := 1
	for i := range p.cfg.Types {
		t := &p.cfg.Types[i]
		b := p.empty(t, n.Zone, false)
		fits := 0
		for ; fits < n.Count && b.fits(&n.Need); fits++ {
			b.use(&n.Need)
		}
		most = max(most, fits)
	}
	return (n.Count + most - 1) / most
}
