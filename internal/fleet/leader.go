package fleet

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// Config is what the leader's choices depend on.
type Config struct {
	Types []wire.MachineType
	Zones []string
	// Interval is DESIGN's interval of demand-led balancing.
	Interval time.Duration
	// MoveAfter and TakeAfter are how long work waits before a free machine,
	// or one with lower work, is brought to it from another part at once.
	MoveAfter time.Duration
	TakeAfter time.Duration
	// Idle is how long an unused machine is kept.
	Idle func(t wire.MachineType, spot bool) time.Duration
	// Headroom is how many unused machines of a kind a part should have, given
	// what arrives there, in machines a second, and how long one boots.
	Headroom func(arriving float64, boot time.Duration, spot bool) float64
	// MaxRental is how many machines one request and its record may ask for.
	MaxRental int
	// Refused is the pause after the cloud had nothing of a kind.
	Refused time.Duration
}

// Rent is a wish for new machines of one kind, one for each of Parts. Parts
// share a request, since the cloud's calls are few.
type Rent struct {
	Type  string
	Zone  string
	Spot  bool
	Parts []int
}

// pool is what the cloud rents from.
type pool struct {
	typ, zone string
	spot      bool
}

// Leader holds what the leader remembers between plans. A new leader starts
// without memory and learns it again.
type Leader struct {
	cfg     Config
	refused map[pool]refusal
	balance time.Time
}

// NewLeader returns a leader's memory.
func NewLeader(cfg Config) *Leader {
	return &Leader{cfg: cfg, refused: map[pool]refusal{}}
}

// refusal is how long a pool is left alone, and the pause that led to it.
type refusal struct {
	until time.Time
	pause time.Duration
}

// Refused takes in that the cloud had no capacity: the pool is left alone for
// longer each time, as a call to it costs one that could succeed elsewhere.
func (l *Leader) Refused(r Rent, now time.Time) {
	p := pool{r.Type, r.Zone, r.Spot}
	pause := min(max(2*l.refused[p].pause, l.cfg.Refused), maxRefused*l.cfg.Refused)
	l.refused[p] = refusal{now.Add(pause), pause}
}

// Granted takes in that a pool had machines.
func (l *Leader) Granted(r Rent) { delete(l.refused, pool{r.Type, r.Zone, r.Spot}) }

// maxRefused bounds the pause, in first pauses.
const maxRefused = 4

// bin is a machine in the plan.
type bin struct {
	Machine
	part  int
	taken bool // promised to waiting work
	whole *bin // the machine that this one is, once emptied
}

func (b *bin) fits(n *Need) bool {
	const slack = 1e-6
	return (b.For == "" || b.For == n.Job) && !(n.Ahead && b.Avoided) && (!b.Spot || n.Spot) && (n.Zone == "" || n.Zone == b.Zone) && (n.Types == nil || slices.Contains(n.Types, b.Type)) &&
		n.CPUs <= b.CPUs+slack && n.GPUs <= b.GPUs+slack && n.MemoryGB <= b.MemoryGB+slack
}

func (b *bin) use(n *Need) {
	b.CPUs -= n.CPUs
	b.GPUs -= n.GPUs
	b.MemoryGB -= n.MemoryGB
	b.taken = true
}

func (b *bin) pool() pool { return pool{b.Type, b.Zone, b.Spot} }

type waiting struct {
	Need
	part int
}

// plan is one planning's state. There are thousands of machines and hundreds of
// needs, so that no need looks at all machines: those with room, and those that
// are unused, are kept apart.
type plan struct {
	*Leader
	now    time.Time
	sums   []Summary
	bins   []*bin
	needs  []*waiting
	roomy  map[int][]*bin // with room for the least need, by part
	unused []*bin
	// emptied is all machines as they are without their tasks, once it is asked for.
	emptied []*bin
	fresh   []*bin         // to be rented
	coming  map[int][]*bin // the same, by part
	have    map[string]int // machines by zone
	hungry  map[hunger]int // needs of a part that an unused machine of a pool would serve
}

type hunger struct {
	part int
	pool
}

// Plan decides from the parts' summaries. Machines already rented but not yet
// in a summary must have been added to it, so that nothing is rented twice.
func (l *Leader) Plan(sums []Summary, now time.Time) (orders []Order, rents []Rent) {
	p := &plan{Leader: l, now: now, sums: sums, roomy: map[int][]*bin{}, coming: map[int][]*bin{}, have: map[string]int{}, hungry: map[hunger]int{}}
	p.take()
	due := !now.Before(l.balance)
	if due {
		l.balance = now.Add(l.cfg.Interval)
	}
	for _, n := range p.needs {
		orders = append(orders, p.serve(n, due)...)
		if n.Count == 0 {
			p.hunger(n, -1)
		}
	}
	orders = append(orders, p.relieve()...)
	p.ahead(false)
	p.ahead(true)
	at := map[pool]int{}
	for _, b := range p.fresh {
		i, ok := at[b.pool()]
		if !ok || len(rents[i].Parts) == l.cfg.MaxRental {
			i = len(rents)
			at[b.pool()] = i
			rents = append(rents, Rent{Type: b.Type, Zone: b.Zone, Spot: b.Spot})
		}
		rents[i].Parts = append(rents[i].Parts, b.part)
	}
	return append(orders, p.returns()...), rents
}

// take reads the summaries.
func (p *plan) take() {
	for _, s := range p.sums {
		for _, n := range s.Needs {
			n.InZone = maps.Clone(n.InZone)
			if n.ZoneLimit > 0 && n.InZone == nil {
				n.InZone = map[string]int{}
			}
			w := &waiting{n, s.Part}
			p.needs = append(p.needs, w)
			p.hunger(w, 1)
		}
	}
	sort.SliceStable(p.needs, func(a, b int) bool {
		if p.needs[a].Rank != p.needs[b].Rank {
			return p.needs[a].Rank > p.needs[b].Rank
		}
		return p.needs[a].Waited > p.needs[b].Waited
	})
	least := Need{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1), Spot: true}
	for _, n := range p.needs {
		least.CPUs, least.GPUs, least.MemoryGB = min(least.CPUs, n.CPUs), min(least.GPUs, n.GPUs), min(least.MemoryGB, n.MemoryGB)
	}
	for _, s := range p.sums {
		for _, m := range s.Machines {
			if m.Leaving || (m.Up && !m.Usable) {
				continue
			}
			b := &bin{Machine: m, part: s.Part}
			p.bins = append(p.bins, b)
			p.have[b.Zone]++
			if b.Tasks == 0 {
				p.unused = append(p.unused, b)
			}
			least.Job = b.For
			if b.fits(&least) {
				p.roomy[s.Part] = append(p.roomy[s.Part], b)
			}
		}
	}
}

// hunger counts a need, or one less, for the pools whose machines would serve it.
func (p *plan) hunger(n *waiting, by int) {
	for i := range p.cfg.Types {
		t := &p.cfg.Types[i]
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				if b := p.empty(t, z, spot); b.fits(&n.Need) {
					p.hungry[hunger{n.part, b.pool()}] += by
				}
			}
		}
	}
}

// empty is a new machine.
func (p *plan) empty(t *wire.MachineType, zone string, spot bool) *bin {
	return &bin{Machine: Machine{Type: t.Name, Zone: zone, Spot: spot, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}}
}

// serve finds machines for a need: its part's own, others' free ones, others'
// with lower work, and new ones, in that order.
func (p *plan) serve(n *waiting, due bool) (orders []Order) {
	if p.cover(n, p.roomy[n.part]) {
		return nil
	}
	// Free machines of parts that have no use for them come first.
	if due || n.Waited >= p.cfg.MoveAfter {
		var spare []*bin
		for _, b := range p.unused {
			if p.movable(b, n) && p.hungry[hunger{b.part, b.pool()}] == 0 {
				spare = append(spare, b)
			}
		}
		// As in a part, a machine that caches the image is preferred.
		sort.SliceStable(spare, func(a, b int) bool {
			return slices.Contains(spare[a].Images, n.Image) && !slices.Contains(spare[b].Images, n.Image)
		})
		orders = append(orders, p.bring(n, spare, 0)...)
	}
	if n.Count == 0 {
		return orders
	}
	if n.Rank >= takingRank && n.Waited >= p.cfg.TakeAfter {
		orders = append(orders, p.bring(n, p.lower(n), n.Rank)...)
	}
	p.rent(n)
	return orders
}

// movable reports whether a machine of another part may be moved for a need.
func (p *plan) movable(b *bin, n *waiting) bool {
	return b.part != n.part && b.Up && b.Usable && b.For == "" && !b.taken
}

// lower returns other parts' machines of which all tasks are of lower priority
// than a need, as they are once emptied.
func (p *plan) lower(n *waiting) []*bin {
	var out []*bin
	for _, e := range p.empties() {
		if e.TopRank < n.Rank && p.movable(e.whole, n) {
			out = append(out, e)
		}
	}
	return out
}

// empties returns all machines as they are without their tasks, those with the
// fewest first.
func (p *plan) empties() []*bin {
	if p.emptied == nil {
		p.emptied = make([]*bin, 0, len(p.bins))
		for _, b := range p.bins {
			if t := p.typ(b.Type); t != nil {
				e := *b
				e.CPUs, e.GPUs, e.MemoryGB, e.whole = t.CPUs, t.GPUs, t.MemoryGB, b
				p.emptied = append(p.emptied, &e)
			}
		}
		sort.SliceStable(p.emptied, func(a, b int) bool { return p.emptied[a].Tasks < p.emptied[b].Tasks })
	}
	return p.emptied
}

const (
	// takingRank is the priority from which work of other parts gives way.
	takingRank = 2
)

// cover promises room on bins to a need and lowers its Count by what found
// some; for a gang it is all in one go. It reports whether nothing is left.
func (p *plan) cover(n *waiting, bins []*bin) bool {
	if got := p.assign(n, bins); got != nil {
		for _, b := range got {
			b.use(&n.Need)
			n.place(b.Zone)
		}
		n.Count -= len(got)
	}
	return n.Count == 0
}

// assign finds bins for as many of a need's tasks as possible, or for a gang
// for all of them or none; one bin is named once for each task.
func (p *plan) assign(n *waiting, bins []*bin) []*bin {
	zones := []string{""}
	if n.OneZone {
		zones = p.cfg.Zones
	}
	var best []*bin
	for _, z := range zones {
		var got []*bin
		trial := n.Need
		trial.InZone = maps.Clone(n.InZone)
		for _, b := range bins {
			if len(got) == n.Count {
				break
			}
			if (z != "" && b.Zone != z) || !b.fits(&n.Need) {
				continue
			}
			for c := *b; len(got) < n.Count && c.fits(&n.Need) && trial.open(b.Zone); c.use(&n.Need) {
				trial.place(b.Zone)
				got = append(got, b)
			}
		}
		if len(got) > len(best) {
			best = got
		}
	}
	if n.Gang && len(best) < n.Count {
		return nil
	}
	return best
}

// bring orders machines of other parts to a need's part. A gang may be served
// by its own part's machines and others' together.
func (p *plan) bring(n *waiting, others []*bin, below int) []Order {
	if len(others) == 0 {
		return nil
	}
	got := p.assign(n, append(slices.Clone(p.roomy[n.part]), others...))
	var orders []Order
	for _, b := range got {
		if b.whole != nil {
			m := b.whole
			if m.part != n.part {
				m.CPUs, m.GPUs, m.MemoryGB = b.CPUs, b.GPUs, b.MemoryGB
			}
			b = m
		}
		b.use(&n.Need)
		n.place(b.Zone)
		if b.part != n.part {
			orders = append(orders, Order{Part: b.part, Machine: b.ID, To: n.part, Below: below})
			b.part = n.part // what is left of it serves the same part
			p.roomy[n.part] = append(p.roomy[n.part], b)
		}
	}
	n.Count -= len(got)
	return orders
}

func (l *Leader) typ(name string) *wire.MachineType {
	for i := range l.cfg.Types {
		if l.cfg.Types[i].Name == name {
			return &l.cfg.Types[i]
		}
	}
	return nil
}

// offer is a pool that has room as far as is known.
type offer struct {
	pool
	t     *wire.MachineType
	price float64
	have  int // machines of ours in its zone
}

// offers returns the pools whose machines fit a need, cheapest first, then
// those in zones with fewer of our machines.
func (p *plan) offers(n *Need) []offer {
	var offers []offer
	for i := range p.cfg.Types {
		t := &p.cfg.Types[i]
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				b := p.empty(t, z, spot)
				if !b.fits(n) || p.now.Before(p.refused[b.pool()].until) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				offers = append(offers, offer{b.pool(), t, price, p.have[z]})
			}
		}
	}
	sort.SliceStable(offers, func(a, b int) bool {
		if offers[a].price != offers[b].price {
			return offers[a].price < offers[b].price
		}
		return offers[a].have < offers[b].have
	})
	return offers
}

// add notes a machine to be rented.
func (p *plan) add(o offer, part int) *bin {
	b := p.empty(o.t, o.zone, o.spot)
	b.part = part
	p.fresh = append(p.fresh, b)
	p.coming[part] = append(p.coming[part], b)
	p.have[o.zone]++
	return b
}

// rent adds new machines for what is left of a need, cheapest kind first.
func (p *plan) rent(n *waiting) {
	mine := p.coming[n.part]
	if p.cover(n, mine) {
		return
	}
	offers := p.offers(&n.Need)
	if n.Gang && n.OneZone {
		offers = p.gangZone(n, offers, mine)
	}
	for i := 0; n.Count > 0; i++ {
		offers = slices.DeleteFunc(offers, func(o offer) bool { return !n.open(o.zone) })
		if len(offers) == 0 {
			return // what may not go to the zones that are left waits
		}
		o := offers[0]
		if !n.OneZone {
			// Spread over the zones of the cheapest kind.
			same := 1
			for same < len(offers) && offers[same].price == o.price {
				same++
			}
			o = offers[i%same]
		}
		b := p.add(o, n.part)
		for n.Count > 0 && b.fits(&n.Need) && n.open(b.Zone) {
			b.use(&n.Need)
			n.place(b.Zone)
			n.Count--
		}
	}
}

// gangZone chooses the zone in which the fewest machines are missing for a gang
// of one zone, promises it those that are there or coming, and returns the
// offers of that zone for the rest.
func (p *plan) gangZone(n *waiting, offers []offer, mine []*bin) []offer {
	var got []*bin
	zone := ""
	for _, o := range offers { // the cheapest first
		there := &waiting{n.Need, n.part}
		there.Gang, there.Zone = false, o.zone
		if all := p.assign(there, append(slices.Clone(p.roomy[n.part]), mine...)); zone == "" || len(all) > len(got) {
			zone, got = o.zone, all
		}
	}
	for _, b := range got {
		b.use(&n.Need)
		n.place(b.Zone)
	}
	n.Count -= len(got)
	return slices.DeleteFunc(offers, func(o offer) bool { return o.zone != zone })
}

// headroom says how many unused machines of a kind each part should have, from
// what has lately arrived there and how long a new machine takes.
func (p *plan) headroom(spot bool) (want map[int]float64, total int) {
	boot := time.Duration(0)
	for _, t := range p.cfg.Types {
		boot = max(boot, time.Duration(t.BootS*float64(time.Second)))
	}
	want = map[int]float64{}
	sum := 0.0
	for _, s := range p.sums {
		arriving := s.Arriving
		if spot {
			arriving = s.ArrivingSpot
		}
		want[s.Part] = p.cfg.Headroom(arriving, boot, spot)
		sum += want[s.Part]
	}
	return want, int(sum + 0.5)
}

// ahead rents the headroom of a kind: machines with nothing to do, since a boot
// and an image take longer than most work may wait.
func (p *plan) ahead(spot bool) {
	want, target := p.headroom(spot)
	total := 0
	for _, bins := range [][]*bin{p.unused, p.fresh} {
		for _, b := range bins {
			if b.Spot == spot && b.Tasks == 0 && !b.taken {
				want[b.part]--
				total++
			}
		}
	}
	for ; total < target; total++ {
		best := -1
		for _, s := range p.sums {
			if best < 0 || want[s.Part] > want[best] {
				best = s.Part
			}
		}
		want[best]--
		offers := p.offers(&Need{Spot: spot})
		i := slices.IndexFunc(offers, func(o offer) bool { return o.spot == spot })
		if i < 0 {
			return
		}
		p.add(offers[i], best)
	}
}

// returns gives back machines unused for long, keeping the headroom.
func (p *plan) returns() []Order {
	_, ordinary := p.headroom(false)
	_, spots := p.headroom(true)
	headroom := map[bool]int{false: ordinary, true: spots}
	var idle []*bin
	for _, b := range p.unused {
		if b.Up && b.For == "" && !b.taken {
			idle = append(idle, b)
		}
	}
	// The machines kept are those with the most images: whatever comes next
	// starts sooner there.
	sort.SliceStable(idle, func(a, b int) bool {
		if x, y := len(idle[a].Images), len(idle[b].Images); x != y {
			return x > y
		}
		return idle[a].Idle < idle[b].Idle
	})
	var orders []Order
	for _, b := range idle {
		if headroom[b.Spot] > 0 {
			headroom[b.Spot]--
			continue
		}
		if t := p.typ(b.Type); t != nil && b.Idle > p.cfg.Idle(*t, b.Spot) {
			orders = append(orders, Order{Part: b.part, Machine: b.ID, To: Back})
		}
	}
	return orders
}

// Claimant says which live controller takes a part whose owner is gone: its
// home if that lives, else the one with the fewest parts.
func Claimant(live []string, owners map[int]string, home string) string {
	if slices.Contains(live, home) {
		return home
	}
	load := map[string]int{}
	for _, o := range owners {
		load[o]++
	}
	best := ""
	for _, l := range live {
		if best == "" || load[l] < load[best] || (load[l] == load[best] && l < best) {
			best = l
		}
	}
	return best
}
