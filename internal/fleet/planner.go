package fleet

import (
	"time"

	"bramblespur/internal/wire"
)

// Config is what the leader's choices depend on.
type Config struct {
	Types []wire.MachineType
	Zones []string
	// BalanceInterval is how often free machines go to demand however short it has waited.
	BalanceInterval time.Duration
	// MoveAfter is how long demand waits before a free machine of another shard is moved
	// to it, and PreemptAfter before one with work of lower priority is.
	MoveAfter    time.Duration
	PreemptAfter time.Duration
	// IdleTimeout is how long an unused machine is kept.
	IdleTimeout func(t wire.MachineType, spot bool) time.Duration
	// Headroom is how many unused machines, spot or not, a shard should have, given
	// what arrives there, in machines a second, and how long one boots.
	Headroom func(arriving float64, boot time.Duration, spot bool) float64
	// MaxProvision is how many machines one request and its record may ask for.
	MaxProvision int
	// RefusalPause is the first pause after the cloud had no capacity in a pool.
	RefusalPause time.Duration
}

// maxRefusalPauses bounds the pause after refusals, in first pauses.
const maxRefusalPauses = 4

// ProvisionRequest asks the cloud for machines of one pool, one for each of Shards. Shards
// share a request, since the cloud's calls are few.
type ProvisionRequest struct {
	Type   string
	Zone   string
	Spot   bool
	Shards []int
}

// pool is what the cloud has capacity of, or not.
type pool struct {
	typ, zone string
	spot      bool
}

func (r *ProvisionRequest) pool() pool { return pool{r.Type, r.Zone, r.Spot} }

// Planner makes a leader's plans and holds what it remembers between them. A new leader
// starts without memory and learns it again. It is not safe for concurrent use.
type Planner struct {
	cfg           Config
	refusals      map[pool]refusal
	nextBalanceAt time.Time
}

// NewPlanner returns a planner without memory.
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
func (p *Planner) CapacityRefused(r ProvisionRequest, now time.Time) {
	pause := max(2*p.refusals[r.pool()].pause, p.cfg.RefusalPause)
	pause = min(pause, maxRefusalPauses*p.cfg.RefusalPause)
	p.refusals[r.pool()] = refusal{now.Add(pause), pause}
}

// CapacityGranted takes in that a pool had machines.
func (p *Planner) CapacityGranted(r ProvisionRequest) { delete(p.refusals, r.pool()) }

// Plan decides from the shards' summaries what the owners are to do with machines and
// what to ask the cloud for, the most urgent first. Machines provisioned but not yet in a
// summary must have been added to it, so that nothing is provisioned twice.
func (p *Planner) Plan(summaries []Summary, now time.Time) ([]Order, []ProvisionRequest) {
	balance := !now.Before(p.nextBalanceAt)
	if balance {
		p.nextBalanceAt = now.Add(p.cfg.BalanceInterval)
	}
	plan := newPlanning(p, summaries, now)
	var orders []Order
	for _, d := range plan.demands {
		orders = append(orders, plan.satisfy(d, balance)...)
		if d.Count == 0 {
			plan.countUnmet(d, -1)
		}
	}
	orders = append(orders, plan.rebalance()...)
	plan.provisionHeadroom(false)
	plan.provisionHeadroom(true)
	orders = append(orders, plan.scaleIn()...)
	return orders, plan.requests()
}

// machineType returns the type of a name, nil if there is none.
func (p *Planner) machineType(name string) *wire.MachineType {
	for i := range p.cfg.Types {
		if p.cfg.Types[i].Name == name {
			return &p.cfg.Types[i]
		}
	}
	return nil
}
