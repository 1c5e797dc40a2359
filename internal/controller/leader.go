package controller

import (
	"context"
	"sync"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/config"
	"bramblespur/internal/fleet"
	"bramblespur/internal/peer"
	"bramblespur/internal/policy"
	"bramblespur/internal/ratelimit"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Defaults of the leader's choices.
const (
	balanceInterval       = 30 * time.Second // DESIGN's starting value
	moveAfter             = 0 * time.Second  // work that fits nowhere gets a free machine at once
	preemptForDemandAfter = 3 * time.Second  // or one with lower work after this
	refusalPause          = 8 * time.Second
	// reluctantTurns is how many turns without a leader a controller that does not
	// keep up leaves to others.
	reluctantTurns = 4
	// The leader rents and gives back; the others only ask for the machine
	// types when they start: their parts of the cloud's calls.
	leaderShare          = 0.95
	followerShare        = 0.05
	concurrentProvisions = 3
	listCallShare        = 0.1 // of the cloud's calls may read its list
	releasePauseCalls    = 3.0 // while machines are rented, every third call returns some
	releaseTimeout       = 15 * time.Second
	clearInterval        = 5 * time.Second // records of machines long gone are cleared;
	clearOpsPerInterval  = 16              // more often where a transaction holds less
)

// leadership is what a leader holds.
type leadership struct {
	plan           *fleet.Planner
	provisions     map[string]record.Provision // under way
	unrecognized   map[string]int              // listed, but unknown to us, so many times
	recentMachines map[string]time.Time        // machines known at this time
	started        time.Time
	seq            int
	nextListAt     time.Time
	nextClearAt    time.Time
	clearRunning   bool // records are being cleared
	// recordingAddresses are the rentals whose addresses are being recorded.
	recordingAddresses map[string]bool
	releasing          map[string]bool // batches being given back
	grants             quotaGrants
	orderLimits        *ratelimit.ClusterShares // of the orders to workers; nil until they are shared out
	lender             *statestore.LoanPool     // changes that it lends
	lastSyncAt         time.Time
	lastPlanAt         time.Time
	addresses          map[string]string // of machines, as their owners tell
	lastReleaseAt      time.Time         // when machines were last given back
	lastRebalance      shardRebalance
}

// runLeaderDuties leads when this controller is the leader, and otherwise stands for
// it when there is none.
func (c *Controller) runLeaderDuties(ctx context.Context) {
	leaderless := 0 // turns
	for sleep(ctx, syncEvery) {
		now := time.Now()
		c.mu.Lock()
		safe := c.safeMode.state.Active()
		leads, sure, types := c.isLeader(now) && !safe, c.sure(now) && !safe, c.machineTypes
		cur := c.leader
		stand := !leads && sure && types != nil && now.After(c.quietUntil) && !c.viewAt.IsZero() &&
			(cur.version == 0 || cur.rec.Label == c.cfg.Label)
		if !leads {
			c.leadership = nil
		}
		if leaderless++; !stand {
			leaderless = 0
		}
		// One that was overloaded leads only if nobody else wants to.
		stand = stand && (c.pressure.keepsUp(now) || leaderless > reluctantTurns)
		c.mu.Unlock()
		switch {
		case leads:
			c.leaderTurn(ctx)
		case stand:
			c.campaign(ctx, cur)
		}
		share := leaderShare
		if !leads {
			share = followerShare
			c.pingPeers()
			c.planWithoutLeader(ctx, time.Now())
		}
		c.cloud.Budget(c.cfg.Params.Cloud.RPS * share)
		c.publishStatus(ctx)
		c.askFormats(ctx)
		c.retractDrainSupport(ctx)
	}
}

// syncPeers asks every other controller for its parts and for what it needs of
// the state service, handing over claims, hand-overs and budgets by label.
func (c *Controller) syncPeers(claims, hand map[string][]int, grants quotaGrants) ([]fleet.Summary, map[string]quotaDemand) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sums []fleet.Summary
	needs := map[string]quotaDemand{}
	for label, p := range c.peers {
		wg.Go(func() {
			var r peer.SyncReply
			a := peer.SyncArgs{From: c.cfg.Label, Claim: claims[label], HandHome: hand[label],
				Requests: grants.requests[label], Changes: grants.changes[label], OrderRate: grants.orders[label]}
			err := p.Call("Sync", a, &r, syncTimeout)
			err = c.sensible("controller's word on its parts", label, err, func() error { return c.checkSyncReply(&r) })
			c.peerHealth.RecordCall(label, err, r.StateOK, time.Now())
			if err == nil {
				c.mu.Lock()
				c.recordPeerLoad(label, &r)
				c.mu.Unlock()
			}
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sums = append(sums, r.Summaries...)
			needs[label] = quotaDemand{fleet.Usage{Requests: r.Requests, Changes: r.Changes}, r.OrdersWaiting}
		})
	}
	wg.Wait()
	return sums, needs
}

// Sync implements peer.Handler.
func (c *Controller) Sync(a peer.SyncArgs) peer.SyncReply {
	ctx := c.life
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, o := range a.Orders {
		if shard := c.shards[o.Part]; shard != nil {
			shard.ApplyFleetOrder(o, now)
		}
	}
	for _, id := range a.Claim {
		if c.shards[id] == nil && !c.acquiring[id] && c.schedulerConfig != nil && c.sure(now) {
			c.acquire(ctx, id)
		}
	}
	for _, id := range a.HandHome {
		c.transferBack(ctx, id)
	}
	c.leaderAskedAt = now
	c.applyGrant(a.Requests, a.Changes, now)
	c.setCommandRate(a.OrderRate, now)
	load := c.ownLoad(now)
	r := peer.SyncReply{Summaries: c.summaries(now), StateOK: c.sure(now),
		Recovering: load.recovering, HasRoom: load.hasRoom}
	if len(a.Orders) == 0 { // orders alone come between the leader's turns
		r.Requests, r.Changes = c.store.TakeDemand()
		r.OrdersWaiting = c.delayedCommands()
	}
	return r
}

func (c *Controller) summaries(now time.Time) []fleet.Summary {
	var out []fleet.Summary
	for _, shard := range c.shards {
		c.step(shard, now)
	}
	for _, shard := range c.shards {
		out = append(out, shard.Summary(now))
	}
	return out
}

// fleetConfig is what the choices of rentals, moves and returns depend on.
func (c *Controller) fleetConfig() fleet.Config {
	return fleet.Config{
		Types: c.machineTypes, Zones: c.cfg.Params.Zones, BalanceInterval: balanceInterval, MoveAfter: moveAfter, PreemptAfter: preemptForDemandAfter,
		IdleTimeout: func(t wire.MachineType, spot bool) time.Duration {
			m := policy.Machine{Type: t.Name, Spot: spot, Price: t.Price, BootS: t.BootS}
			if spot {
				m.Price = t.SpotPrice
			}
			return config.Seconds(c.policy.IdleS(m))
		},
		Headroom: func(arriving float64, boot time.Duration, spot bool) float64 {
			return c.policy.Headroom(policy.Arrivals{Arriving: arriving, BootS: boot.Seconds(), Spot: spot})
		},
		RefusalPause: refusalPause,
		MaxProvision: c.maxProvision(),
	}
}

// leaderTurn is one turn of the leader: it asks every controller for its parts, shares out
// the budget of the state service, plans rentals, moves and returns, and hands them out.
func (c *Controller) leaderTurn(ctx context.Context) {
	now := time.Now()
	l := c.ensureLeadership(now)
	claims, hand, alone := c.reassignShards(ctx, now)
	if alone {
		c.stepDown(ctx)
		return
	}
	sums, needs := c.syncPeers(claims, hand, l.grants)

	c.mu.Lock()
	now = time.Now()
	c.grantQuotas(l, needs, now)
	if c.pressure.behind && now.Sub(l.lastPlanAt) < planBehind {
		c.mu.Unlock()
		return
	}
	l.lastPlanAt = now
	orders := c.planFleet(ctx, l, append(sums, c.summaries(now)...), now)
	busy := len(l.provisions) > 0
	c.mu.Unlock()

	c.sendOrders(orders)
	// While machines are to be rented, returns leave most of the cloud's calls to
	// that: each takes more machines the longer it waits.
	if pause := config.Seconds(releasePauseCalls / c.cfg.Params.Cloud.RPS); !busy || now.Sub(l.lastReleaseAt) >= pause {
		c.releaseMachines(ctx, l, now)
	}
	c.clearOldRecords(ctx, l, now)
	if now.After(l.nextListAt) {
		l.nextListAt = now.Add(c.listInterval())
		go c.compareCloudList(ctx, l)
	}
}

// listInterval is how long after the cloud's list was read it is read again: the larger the
// fleet, the more calls that takes, of which rentals and returns need most.
func (c *Controller) listInterval() time.Duration {
	c.mu.Lock()
	pages := 1 + c.fleet.Len()/cloud.ListPage
	c.mu.Unlock()
	byLag := listFactor * c.cfg.Params.Cloud.ListLagS
	byCalls := float64(pages) / (listCallShare * c.cfg.Params.Cloud.RPS)
	return config.Seconds(max(byLag, byCalls))
}

// leadership returns what this controller holds as the leader, anew if it has just come
// to lead.
func (c *Controller) ensureLeadership(now time.Time) *leadership {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadership == nil {
		c.leadership = &leadership{
			plan:       fleet.NewPlanner(c.fleetConfig()),
			provisions: map[string]record.Provision{}, unrecognized: map[string]int{}, recentMachines: map[string]time.Time{}, started: now,
			releasing: map[string]bool{}, addresses: map[string]string{}, recordingAddresses: map[string]bool{},
			lender: statestore.NewLoanPool(),
		}
	}
	return c.leadership
}

// grantQuotas shares out what all controllers may use of the state service, by what each
// needed since the last turn. The lock is held.
func (c *Controller) grantQuotas(l *leadership, needs map[string]quotaDemand, now time.Time) {
	turn := syncEvery
	if !l.lastSyncAt.IsZero() {
		turn = max(turn, now.Sub(l.lastSyncAt))
	}
	l.lastSyncAt = now
	own := quotaDemand{ordersWaiting: c.delayedCommands()}
	own.Requests, own.Changes = c.store.TakeDemand()
	needs[c.cfg.Label] = own
	c.setCommandRate(l.grants.orders[c.cfg.Label], now) // as the others were told in this turn
	l.grants = c.computeGrants(needs, turn)
	c.applyGrant(l.grants.requests[c.cfg.Label], l.grants.changes[c.cfg.Label], now)
}

// planFleet plans with the summaries of all parts, carries out what concerns the parts
// held here, begins rentals, and returns the orders for others, by owner. The lock is held.
func (c *Controller) planFleet(ctx context.Context, l *leadership, sums []fleet.Summary, now time.Time) map[string][]fleet.Order {
	c.adoptProvisions(ctx, l)
	c.trackKnownMachines(l, now)
	c.recordAddresses(ctx, l, sums)
	c.addPendingMachines(sums, l.provisions)
	orders, rents := l.plan.Plan(sums, now)
	c.logPlan(sums, orders, rents, len(l.provisions))
	byOwner := map[string][]fleet.Order{}
	for _, o := range orders {
		if shard := c.shards[o.Part]; shard != nil {
			shard.ApplyFleetOrder(o, now)
			c.step(shard, now)
			continue
		}
		owner := c.shardRecords[o.Part].rec.Owner
		byOwner[owner] = append(byOwner[owner], o)
	}
	// A queue of requests would go stale before the cloud's few calls got to
	// it: what is not asked for now is planned anew, with what came since.
	for _, r := range selectRequests(rents, concurrentProvisions-len(l.provisions)) {
		if c.allowCloudCall(now) {
			c.startProvision(ctx, l, r)
		}
	}
	return byOwner
}

// logPlan logs what was planned, and from what.
func (c *Controller) logPlan(sums []fleet.Summary, orders []fleet.Order, rents []fleet.ProvisionRequest, rentals int) {
	for _, summary := range sums {
		c.log.Debug("plan", "shard", summary.Part, "state", summary, "rentals", rentals)
	}
	if len(orders) > 0 {
		c.log.Debug("orders", "orders", orders)
	}
	for _, r := range rents {
		c.log.Debug("wanted", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "machines", len(r.Shards))
	}
}

// sendOrders brings orders to the owners of their parts, which need not wait for the
// leader's next turn. One that is lost is planned again.
func (c *Controller) sendOrders(byOwner map[string][]fleet.Order) {
	for owner, orders := range byOwner {
		p := c.peers[owner]
		if p == nil {
			continue
		}
		go func() {
			args := peer.SyncArgs{From: c.cfg.Label, Orders: orders}
			if err := p.Call("Sync", args, new(peer.SyncReply), syncTimeout); err != nil {
				c.log.Debug("orders", "to", owner, "err", err)
			}
		}()
	}
}
