package fleet

import (
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
}

func (b *bin) fits(n *Need) bool {
	const slack = 1e-6
	return (b.For == "" || b.For == n.Job) && (!b.Spot || n.Spot) && (n.Zone == "" || n.Zone == b.Zone) && (n.Types == nil || slices.Contains(n.Types, b.Type)) &&
		n.CPUs <= b.CPUs+slack && n.GPUs <= b.GPUs+slack && n.MemoryGB <= b.MemoryGB+slack
}

func (b *bin) use(n *Need) {
	b.CPUs -= n.CPUs
	b.GPUs -= n.GPUs
	b.MemoryGB -= n.MemoryGB
	b.taken = true
}

type waiting struct {
	Need
	part int
}

// Plan decides from the parts' summaries. Machines already rented but not yet
// in a summary must have been added to it, so that nothing is rented twice.
func (l *Leader) Plan(sums []Summary, now time.Time) (orders []Order, rents []Rent) {
	var bins []*bin
	var needs []*waiting
	for _, s := range sums {
		for _, m := range s.Machines {
			if !m.Leaving && (m.Usable || !m.Up) {
				bins = append(bins, &bin{Machine: m, part: s.Part})
			}
		}
		for _, n := range s.Needs {
			needs = append(needs, &waiting{n, s.Part})
		}
	}
	sort.SliceStable(needs, func(a, b int) bool {
		if needs[a].Rank != needs[b].Rank {
			return needs[a].Rank > needs[b].Rank
		}
		return needs[a].Waited > needs[b].Waited
	})
	due := !now.Before(l.balance)
	if due {
		l.balance = now.Add(l.cfg.Interval)
	}
	var fresh []*bin
	for _, n := range needs {
		own := filter(bins, func(b *bin) bool { return b.part == n.part })
		if l.cover(n, own) {
			continue
		}
		// Free machines of parts that have no use for them come first.
		if due || n.Waited >= l.cfg.MoveAfter {
			spare := filter(bins, func(b *bin) bool {
				return b.part != n.part && b.Up && b.Usable && b.Tasks == 0 && b.For == "" && !b.taken && !wanted(needs, b)
			})
			// As in a part, a machine that caches the image is preferred.
			sort.SliceStable(spare, func(a, b int) bool {
				return slices.Contains(spare[a].Images, n.Image) && !slices.Contains(spare[b].Images, n.Image)
			})
			orders = append(orders, l.bring(n, own, spare, 0)...)
		}
		if n.Count == 0 {
			continue
		}
		if n.Rank >= takingRank && n.Waited >= l.cfg.TakeAfter {
			lower := filter(bins, func(b *bin) bool {
				return b.part != n.part && b.Up && b.Usable && b.For == "" && !b.taken && b.TopRank < n.Rank
			})
			for _, b := range lower { // emptied, the whole machine is there
				if t := l.typ(b.Type); t != nil {
					b.CPUs, b.GPUs, b.MemoryGB = t.CPUs, t.GPUs, t.MemoryGB
				}
			}
			sort.SliceStable(lower, func(a, b int) bool { return lower[a].Tasks < lower[b].Tasks })
			orders = append(orders, l.bring(n, own, lower, n.Rank)...)
		}
		l.rent(n, bins, &fresh, now)
	}
	l.ahead(sums, bins, &fresh, false, now)
	l.ahead(sums, bins, &fresh, true, now)
	at := map[pool]int{}
	for _, b := range fresh {
		p := pool{b.Type, b.Zone, b.Spot}
		i, ok := at[p]
		if !ok || len(rents[i].Parts) == maxRental {
			i = len(rents)
			at[p] = i
			rents = append(rents, Rent{Type: b.Type, Zone: b.Zone, Spot: b.Spot})
		}
		rents[i].Parts = append(rents[i].Parts, b.part)
	}
	return append(orders, l.returns(sums, bins)...), rents
}

const (
	// maxRental is the protocol's bound of one rental request.
	maxRental = 50
	// takingRank is the priority from which work of other parts gives way.
	takingRank = 2
)

// wanted reports whether a machine's own part has work waiting that fits it.
func wanted(needs []*waiting, b *bin) bool {
	for _, n := range needs {
		if n.part == b.part && n.Count > 0 && b.fits(&n.Need) {
			return true
		}
	}
	return false
}

func filter(bins []*bin, keep func(*bin) bool) []*bin {
	var out []*bin
	for _, b := range bins {
		if keep(b) {
			out = append(out, b)
		}
	}
	return out
}

// cover promises room on bins to a need and lowers its Count by what found
// some; for a gang it is all in one go. It reports whether nothing is left.
func (l *Leader) cover(n *waiting, bins []*bin) bool {
	if got := l.assign(n, bins); got != nil {
		for _, b := range got {
			b.use(&n.Need)
		}
		n.Count -= len(got)
	}
	return n.Count == 0
}

// assign finds bins for as many of a need's tasks as possible, or for a gang
// for all of them or none; one bin is named once for each task.
func (l *Leader) assign(n *waiting, bins []*bin) []*bin {
	zones := []string{""}
	if n.OneZone {
		zones = l.cfg.Zones
	}
	var best []*bin
	for _, z := range zones {
		var got []*bin
		for _, b := range bins {
			if z != "" && b.Zone != z {
				continue
			}
			c := *b
			for len(got) < n.Count && c.fits(&n.Need) {
				got = append(got, b)
				c.use(&n.Need)
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
func (l *Leader) bring(n *waiting, own, others []*bin, below int) []Order {
	got := l.assign(n, append(slices.Clone(own), others...))
	var orders []Order
	for _, b := range got {
		b.use(&n.Need)
		if b.part != n.part {
			orders = append(orders, Order{Part: b.part, Machine: b.ID, To: n.part, Below: below})
			b.part = n.part // what is left of it serves the same part
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
// those in zones with fewer of the given machines.
func (l *Leader) offers(n *Need, bins, fresh []*bin, now time.Time) []offer {
	have := map[string]int{}
	for _, b := range append(slices.Clone(bins), fresh...) {
		have[b.Zone]++
	}
	var offers []offer
	for i := range l.cfg.Types {
		t := &l.cfg.Types[i]
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				p := pool{t.Name, z, spot}
				b := &bin{Machine: Machine{Type: t.Name, Zone: z, Spot: spot, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}}
				if !b.fits(n) || now.Before(l.refused[p].until) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				offers = append(offers, offer{p, t, price, have[z]})
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

// rent adds new machines for what is left of a need, cheapest kind first.
func (l *Leader) rent(n *waiting, bins []*bin, fresh *[]*bin, now time.Time) {
	mine := filter(*fresh, func(b *bin) bool { return b.part == n.part })
	if l.cover(n, mine) {
		return
	}
	offers := l.offers(&n.Need, bins, *fresh, now)
	if n.Gang && n.OneZone {
		offers = l.gangZone(n, offers, bins, mine)
	}
	for i := 0; n.Count > 0 && len(offers) > 0; i++ {
		o := offers[0]
		if !n.OneZone {
			// Spread over the zones of the cheapest kind.
			same := 1
			for same < len(offers) && offers[same].price == o.price {
				same++
			}
			o = offers[i%same]
		}
		b := &bin{Machine: Machine{Type: o.typ, Zone: o.zone, Spot: o.spot, CPUs: o.t.CPUs, GPUs: o.t.GPUs, MemoryGB: o.t.MemoryGB}, part: n.part}
		*fresh = append(*fresh, b)
		for n.Count > 0 && b.fits(&n.Need) {
			b.use(&n.Need)
			n.Count--
		}
	}
}

// gangZone chooses the zone in which the fewest machines are missing for a gang
// of one zone, promises it those that are there or coming, and returns the
// offers of that zone for the rest.
func (l *Leader) gangZone(n *waiting, offers []offer, bins, mine []*bin) []offer {
	var got []*bin
	zone := ""
	for _, o := range offers { // the cheapest first
		there := &waiting{n.Need, n.part}
		there.Gang, there.Zone = false, o.zone
		own := filter(bins, func(b *bin) bool { return b.part == n.part && b.Zone == o.zone })
		if all := l.assign(there, append(own, mine...)); zone == "" || len(all) > len(got) {
			zone, got = o.zone, all
		}
	}
	for _, b := range got {
		b.use(&n.Need)
	}
	n.Count -= len(got)
	return slices.DeleteFunc(offers, func(o offer) bool { return o.zone != zone })
}

// headroom says how many unused machines of a kind each part should have, from
// what has lately arrived there and how long a new machine takes.
func (l *Leader) headroom(sums []Summary, spot bool) (want map[int]float64, total int) {
	boot := time.Duration(0)
	for _, t := range l.cfg.Types {
		boot = max(boot, time.Duration(t.BootS*float64(time.Second)))
	}
	want = map[int]float64{}
	sum := 0.0
	for _, s := range sums {
		arriving := s.Arriving
		if spot {
			arriving = s.ArrivingSpot
		}
		want[s.Part] = l.cfg.Headroom(arriving, boot, spot)
		sum += want[s.Part]
	}
	return want, int(sum + 0.5)
}

// ahead rents the headroom of a kind: machines with nothing to do, since a boot
// and an image take longer than most work may wait.
func (l *Leader) ahead(sums []Summary, bins []*bin, fresh *[]*bin, spot bool, now time.Time) {
	want, target := l.headroom(sums, spot)
	total := 0
	for _, b := range append(slices.Clone(bins), *fresh...) {
		if b.Spot == spot && b.Tasks == 0 && !b.taken {
			want[b.part]--
			total++
		}
	}
	for ; total < target; total++ {
		best := -1
		for _, s := range sums {
			if best < 0 || want[s.Part] > want[best] {
				best = s.Part
			}
		}
		want[best]--
		var o *offer
		for _, c := range l.offers(&Need{Spot: spot}, bins, *fresh, now) {
			if c.spot == spot {
				o = &c
				break
			}
		}
		if o == nil {
			return
		}
		*fresh = append(*fresh, &bin{part: best, Machine: Machine{Type: o.typ, Zone: o.zone, Spot: spot, CPUs: o.t.CPUs, GPUs: o.t.GPUs, MemoryGB: o.t.MemoryGB}})
	}
}

// returns gives back machines unused for long, keeping the headroom.
func (l *Leader) returns(sums []Summary, bins []*bin) []Order {
	_, ordinary := l.headroom(sums, false)
	_, spots := l.headroom(sums, true)
	headroom := map[bool]int{false: ordinary, true: spots}
	var idle []*bin
	for _, b := range bins {
		if b.Up && b.Tasks == 0 && b.For == "" && !b.taken {
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
		if t := l.typ(b.Type); t != nil && b.Idle > l.cfg.Idle(*t, b.Spot) {
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
