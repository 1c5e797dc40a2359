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
	// BalanceInterval is DESIGN's interval of demand-led balancing.
	BalanceInterval time.Duration
	// MoveAfter and TakeAfter are how long work waits before a free machine,
	// or one with lower work, is brought to it from another part at once.
	MoveAfter    time.Duration
	PreemptAfter time.Duration
	// IdleTimeout is how long an unused machine is kept.
	IdleTimeout func(t wire.MachineType, spot bool) time.Duration
	// Headroom is how many unused machines of a kind a part should have, given
	// what arrives there, in machines a second, and how long one boots.
	Headroom func(arriving float64, boot time.Duration, spot bool) float64
	// MaxProvision is how many machines one request and its record may ask for.
	MaxProvision int
	// RefusalPause is the pause after the cloud had nothing of a kind.
	RefusalPause time.Duration
}

// ProvisionRequest is a wish for new machines of one kind, one for each of Parts. Parts
// share a request, since the cloud's calls are few.
type ProvisionRequest struct {
	Type   string
	Zone   string
	Spot   bool
	Shards []int
}

// pool is what the cloud rents from.
type pool struct {
	typ, zone string
	spot      bool
}

// Planner holds what the leader remembers between plans. A new leader starts
// without memory and learns it again.
type Planner struct {
	cfg           Config
	refusals      map[pool]refusal
	nextBalanceAt time.Time
}

// NewPlanner returns a leader's memory.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, refusals: map[pool]refusal{}}
}

// refusal is how long a pool is left alone, and the pause that led to it.
type refusal struct {
	until time.Time
	pause time.Duration
}

// CapacityRefused takes in that the cloud had no capacity: the pool is left alone for
// longer each time, as a call to it costs one that could succeed elsewhere.
func (l *Planner) CapacityRefused(r ProvisionRequest, now time.Time) {
	p := pool{r.Type, r.Zone, r.Spot}
	pause := min(max(2*l.refusals[p].pause, l.cfg.RefusalPause), maxRefusalPauses*l.cfg.RefusalPause)
	l.refusals[p] = refusal{now.Add(pause), pause}
}

// CapacityGranted takes in that a pool had machines.
func (l *Planner) CapacityGranted(r ProvisionRequest) {
	delete(l.refusals, pool{r.Type, r.Zone, r.Spot})
}

// maxRefusalPauses bounds the pause, in first pauses.
const maxRefusalPauses = 4

// bin is a machine in the plan.
type bin struct {
	Machine
	shard    int
	promised bool // promised to waiting work
	original *bin // the machine that this one is, once emptied
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
	b.promised = true
}

func (b *bin) pool() pool { return pool{b.Type, b.Zone, b.Spot} }

type demand struct {
	Need
	shard int
}

// planning is one planning's state. There are thousands of machines and hundreds of
// needs, so that no need looks at all machines: those with room, and those that
// are unused, are kept apart.
type planning struct {
	*Planner
	now       time.Time
	summaries []Summary
	bins      []*bin
	demands   []*demand
	withRoom  map[int][]*bin // with room for the least need, by part
	unused    []*bin
	// emptied is all machines as they are without their tasks, once it is asked for.
	emptied        []*bin
	toProvision    []*bin            // to be rented
	toProvisionFor map[int][]*bin    // the same, by part
	machinesInZone map[string]int    // machines by zone
	unmet          map[shardPool]int // needs of a part that an unused machine of a pool would serve
}

type shardPool struct {
	shard int
	pool
}

// Plan decides from the parts' summaries. Machines already rented but not yet
// in a summary must have been added to it, so that nothing is rented twice.
func (l *Planner) Plan(sums []Summary, now time.Time) (orders []Order, rents []ProvisionRequest) {
	p := &planning{Planner: l, now: now, summaries: sums, withRoom: map[int][]*bin{}, toProvisionFor: map[int][]*bin{}, machinesInZone: map[string]int{}, unmet: map[shardPool]int{}}
	p.load()
	due := !now.Before(l.nextBalanceAt)
	if due {
		l.nextBalanceAt = now.Add(l.cfg.BalanceInterval)
	}
	for _, n := range p.demands {
		orders = append(orders, p.satisfy(n, due)...)
		if n.Count == 0 {
			p.countUnmet(n, -1)
		}
	}
	orders = append(orders, p.rebalance()...)
	p.provisionHeadroom(false)
	p.provisionHeadroom(true)
	at := map[pool]int{}
	for _, b := range p.toProvision {
		i, ok := at[b.pool()]
		if !ok || len(rents[i].Shards) == l.cfg.MaxProvision {
			i = len(rents)
			at[b.pool()] = i
			rents = append(rents, ProvisionRequest{Type: b.Type, Zone: b.Zone, Spot: b.Spot})
		}
		rents[i].Shards = append(rents[i].Shards, b.shard)
	}
	return append(orders, p.scaleIn()...), rents
}

// load reads the summaries.
func (p *planning) load() {
	for _, summary := range p.summaries {
		for _, n := range summary.Needs {
			n.InZone = maps.Clone(n.InZone)
			if n.ZoneLimit > 0 && n.InZone == nil {
				n.InZone = map[string]int{}
			}
			w := &demand{n, summary.Part}
			p.demands = append(p.demands, w)
			p.countUnmet(w, 1)
		}
	}
	sort.SliceStable(p.demands, func(a, b int) bool {
		if p.demands[a].Rank != p.demands[b].Rank {
			return p.demands[a].Rank > p.demands[b].Rank
		}
		return p.demands[a].Waited > p.demands[b].Waited
	})
	least := Need{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1), Spot: true}
	for _, n := range p.demands {
		least.CPUs, least.GPUs, least.MemoryGB = min(least.CPUs, n.CPUs), min(least.GPUs, n.GPUs), min(least.MemoryGB, n.MemoryGB)
	}
	for _, summary := range p.summaries {
		for _, m := range summary.Machines {
			if m.Leaving || (m.Up && !m.Usable) {
				continue
			}
			b := &bin{Machine: m, shard: summary.Part}
			p.bins = append(p.bins, b)
			p.machinesInZone[b.Zone]++
			if b.Tasks == 0 {
				p.unused = append(p.unused, b)
			}
			least.Job = b.For
			if b.fits(&least) {
				p.withRoom[summary.Part] = append(p.withRoom[summary.Part], b)
			}
		}
	}
}

// countUnmet counts a need, or one less, for the pools whose machines would serve it.
func (p *planning) countUnmet(n *demand, by int) {
	for i := range p.cfg.Types {
		t := &p.cfg.Types[i]
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				if b := p.newMachine(t, z, spot); b.fits(&n.Need) {
					p.unmet[shardPool{n.shard, b.pool()}] += by
				}
			}
		}
	}
}

// newMachine is a new machine.
func (p *planning) newMachine(t *wire.MachineType, zone string, spot bool) *bin {
	return &bin{Machine: Machine{Type: t.Name, Zone: zone, Spot: spot, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}}
}
