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
	for _, summary := range p.sums {
		for _, n := range summary.Needs {
			n.InZone = maps.Clone(n.InZone)
			if n.ZoneLimit > 0 && n.InZone == nil {
				n.InZone = map[string]int{}
			}
			w := &waiting{n, summary.Part}
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
	for _, summary := range p.sums {
		for _, m := range summary.Machines {
			if m.Leaving || (m.Up && !m.Usable) {
				continue
			}
			b := &bin{Machine: m, part: summary.Part}
			p.bins = append(p.bins, b)
			p.have[b.Zone]++
			if b.Tasks == 0 {
				p.unused = append(p.unused, b)
			}
			least.Job = b.For
			if b.fits(&least) {
				p.roomy[summary.Part] = append(p.roomy[summary.Part], b)
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
