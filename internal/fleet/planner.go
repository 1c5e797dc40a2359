package fleet

import (
	"time"

	"bramblespur/internal/wire"
)

// Config holds the settings of a Planner.
type Config struct {
	Types []wire.MachineType
	Zones []string
	// BalanceInterval is the interval at which free machines are transferred to demand
	// regardless of how long the demand has waited.
	BalanceInterval time.Duration
	// MoveAfter is how long demand waits before a free machine of another shard is transferred
	// to its shard, and PreemptAfter is how long it waits before a machine with tasks of lower
	// priority is.
	MoveAfter    time.Duration
	PreemptAfter time.Duration
	// IdleTimeout returns how long an unused machine is kept.
	IdleTimeout func(t wire.MachineType, spot bool) time.Duration
	// Headroom returns how many unused machines, spot or on demand, a shard should have.
	// Arriving is the arrival rate of work at the shard, in machines' worth per second, and
	// boot is how long a machine takes to boot.
	Headroom func(arriving float64, boot time.Duration, spot bool) float64
	// MaxProvision is the highest number of machines in one request and its record.
	MaxProvision int
	// MaxRequests is the highest number of requests that are made after a plan. A plan holds no more
	// machines of a pool than these requests have room for, however many tasks wait.
	MaxRequests int
	// RefusalPause is the first pause after the cloud had no capacity in a pool.
	RefusalPause time.Duration
}

// maxRefusalPauses bounds the pause after refusals, as a multiple of Config.RefusalPause.
const maxRefusalPauses = 4

// ProvisionRequest asks the cloud for machines of one pool, one for each entry of Shards.
// Several shards share a request, since the number of calls to the cloud is limited.
type ProvisionRequest struct {
	Type   string
	Zone   string
	Spot   bool
	Shards []int
}

// pool is a kind of machine for which the cloud's capacity is tracked.
type pool struct {
	typ, zone string
	spot      bool
}

func (r *ProvisionRequest) pool() pool { return pool{r.Type, r.Zone, r.Spot} }

// Planner makes a leader's plans. Between plans it keeps the pools without capacity and the
// time of the next balancing; a new leader starts without this state. A Planner is not safe for
// concurrent use.
type Planner struct {
	cfg           Config
	refusals      map[pool]refusal
	nextBalanceAt time.Time
}

// NewPlanner returns a Planner for which no pool has been refused yet.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, refusals: map[pool]refusal{}}
}

// refusal records that the cloud had no capacity in a pool.
type refusal struct {
	until time.Time     // no machines of the pool are requested before then
	pause time.Duration // the pause that ends then
}

// CapacityRefused records that the cloud had no capacity in a request's pool. No machines of
// the pool are requested for a pause that doubles with each refusal up to a bound, since each
// call for it replaces a call for another pool that could succeed.
func (p *Planner) CapacityRefused(r ProvisionRequest, now time.Time) {
	pause := max(2*p.refusals[r.pool()].pause, p.cfg.RefusalPause)
	pause = min(pause, maxRefusalPauses*p.cfg.RefusalPause)
	p.refusals[r.pool()] = refusal{now.Add(pause), pause}
}

// CapacityGranted records that the cloud had capacity in a request's pool.
func (p *Planner) CapacityGranted(r ProvisionRequest) { delete(p.refusals, r.pool()) }

// Plan returns the orders to the shards' owners and the requests to the cloud that follow from
// the shards' summaries, the most urgent first. The caller must have added machines that are
// provisioned but not yet in a summary to that summary, so that nothing is provisioned twice.
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

// machineType returns the machine type with a name, or nil if there is none.
func (p *Planner) machineType(name string) *wire.MachineType {
	for i := range p.cfg.Types {
		if p.cfg.Types[i].Name == name {
			return &p.cfg.Types[i]
		}
	}
	return nil
}
