package leader

import (
	"context"
	"slices"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/fleet"
	"bramblespur/internal/policy"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Fixed settings of the leader's planner. The fields of fleet.Config describe the intervals.
const (
	balanceInterval = 30 * time.Second
	moveAfter       = 0 * time.Second // work that fits nowhere gets a free machine of another shard at once
	preemptAfter    = 3 * time.Second // work that fits nowhere then gets a machine with work of lower priority
	refusalPause    = 8 * time.Second // the first pause after the cloud had no capacity in a pool
	// concurrentProvisions bounds the provisions that are under way.
	concurrentProvisions = 3
)

// plannerConfigLocked returns the settings of the planner from the controller's settings, the policy
// and the machine types.
func (l *Leader) plannerConfigLocked() fleet.Config {
	return fleet.Config{
		Types: l.host.MachineTypesLocked(), Zones: l.cfg.Params.Zones,
		BalanceInterval: balanceInterval, MoveAfter: moveAfter, PreemptAfter: preemptAfter,
		IdleTimeout: func(t wire.MachineType, spot bool) time.Duration {
			m := policy.Machine{Type: t.Name, Spot: spot, Price: t.Price, BootS: t.BootS}
			if spot {
				m.Price = t.SpotPrice
			}
			return config.Seconds(l.policy.IdleS(m))
		},
		Headroom: func(arriving float64, boot time.Duration, spot bool) float64 {
			return l.policy.Headroom(policy.Arrivals{Arriving: arriving, BootS: boot.Seconds(), Spot: spot})
		},
		RefusalPause: refusalPause,
		MaxProvision: MaxProvision(l.writeLimits().MaxValueBytes()),
		MaxRequests:  concurrentProvisions,
	}
}

// writeLimits returns the limits that the leader's writes must keep, such as the size of a record and
// of a transaction. Each is the lower of its present and its next value.
func (l *Leader) writeLimits() config.State { return l.cfg.Params.State.LowestLimits() }

// planLocked plans with the summaries of all shards, carries out the orders for shards hosted here,
// begins provisions, and returns the orders for other shards by the label of their owner.
func (l *Leader) planLocked(ctx context.Context, t *term, summaries []fleet.Summary, now time.Time) map[string][]fleet.Order {
	l.adoptProvisionsLocked(ctx, t)
	t.inventory.track(l.host.FleetLocked(), l.cfg.Params.Cloud, now, t.provisions.addresses)
	l.recordAddressesLocked(ctx, t, summaries)
	l.addPendingMachinesLocked(summaries, t.provisions.underWay)
	orders, requests := t.planner.Plan(summaries, now)
	l.logPlan(summaries, orders, requests, len(t.provisions.underWay))
	byOwner := map[string][]fleet.Order{}
	for _, o := range orders {
		if !l.host.OrderLocked(o, now) {
			owner := l.host.OwnerLocked(o.Part)
			byOwner[owner] = append(byOwner[owner], o)
		}
	}
	// Requests are not queued, since a queue would be outdated before the rate limit of the cloud
	// let its requests through. If a request is not made now, a later turn plans again what it needs.
	for _, r := range selectRequests(requests, concurrentProvisions-len(t.provisions.underWay)) {
		if l.host.AllowCloudCallLocked(now) {
			l.startProvisionLocked(ctx, t, r)
		}
	}
	return byOwner
}

// logPlan logs a plan and the summaries that it was made from.
func (l *Leader) logPlan(summaries []fleet.Summary, orders []fleet.Order, requests []fleet.ProvisionRequest, underWay int) {
	for _, summary := range summaries {
		l.log.Debug("plan", "shard", summary.Part, "state", summary, "provisions", underWay)
	}
	if len(orders) > 0 {
		l.log.Debug("orders planned", "orders", orders)
	}
	for _, r := range requests {
		l.log.Debug("machines wanted", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "machines", len(r.Shards))
	}
}

// selectRequests returns at most n of the requests, which are ordered by urgency, the most urgent
// first: the n-1 most urgent and the largest of the others, which yields the most machines for one
// call. If only urgency counted, small urgent requests would take every place as long as many machines
// are missing, and the largest would never be made.
func selectRequests(requests []fleet.ProvisionRequest, n int) []fleet.ProvisionRequest {
	if n <= 0 || len(requests) <= n {
		return requests[:min(len(requests), max(n, 0))]
	}
	last := requests[n-1]
	for _, r := range requests[n-1:] {
		if len(r.Shards) > len(last.Shards) {
			last = r
		}
	}
	return append(slices.Clone(requests[:n-1]), last)
}

// addPendingMachinesLocked adds to the summaries the machines that are provisioned but that the
// owners have not reported yet, so that nothing is provisioned twice. The machines of provisions
// under way without an answer are added without an id.
func (l *Leader) addPendingMachinesLocked(summaries []fleet.Summary, underWay map[string]record.Provision) {
	p := newPendingMachines(summaries, l.host.MachineTypesLocked())
	machines := l.host.FleetLocked()
	machines.ForEach(func(id string, v record.MachineView) {
		if !p.reported[id] && v.Phase == record.InUse {
			p.add(id, v.Type, v.Zone, v.Spot, v.Shard)
		}
	})
	unanswered := map[string]record.Provision{}
	for name, r := range machines.UnfulfilledProvisions() {
		unanswered[name] = r.Rec
	}
	for name, r := range underWay {
		if rec, ok := machines.Provision(name); !ok || len(rec.IDs) == 0 {
			unanswered[name] = r // machines of the other provisions were added above
		}
	}
	for _, r := range unanswered {
		for _, shard := range r.Shards {
			p.add("", r.Type, r.Zone, r.Spot, shard)
		}
	}
}

// pendingMachines adds machines to the summaries of their shards.
type pendingMachines struct {
	summaries []fleet.Summary
	byShard   map[int]int     // index of each shard's summary
	reported  map[string]bool // ids of the machines that the owners reported
	types     []wire.MachineType
}

func newPendingMachines(summaries []fleet.Summary, types []wire.MachineType) *pendingMachines {
	p := &pendingMachines{summaries: summaries, byShard: map[int]int{}, reported: map[string]bool{}, types: types}
	for i, summary := range summaries {
		p.byShard[summary.Part] = i
		for _, m := range summary.Machines {
			p.reported[m.ID] = true
		}
	}
	return p
}

// add adds a machine to the summary of its shard. It does nothing if there is no summary of the
// shard or the machine type is unknown.
func (p *pendingMachines) add(id, typ, zone string, spot bool, shard int) {
	i, ok := p.byShard[shard]
	if !ok {
		return
	}
	for _, t := range p.types {
		if t.Name == typ {
			p.summaries[i].Machines = append(p.summaries[i].Machines, fleet.Machine{
				ID: id, Type: typ, Zone: zone, Spot: spot, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB,
			})
		}
	}
}
