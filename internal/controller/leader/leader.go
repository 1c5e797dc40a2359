// Package leader holds the duties that one controller has for all: the reassignment of
// shards, the quotas of the state service, scale out and in, and the comparison with the
// cloud's list of machines. It owns what a leader remembers from turn to turn (its term),
// which is dropped when the lease or the leadership is lost; a successor learns it again.
//
// Run is the only loop. Each turn syncs with all peers, then plans and acts within one
// critical section of the shards' lock, since a plan is only true of the views and
// shards that it was made from. A term's state is guarded by that lock, too. Whatever does
// I/O goes on in goroutines that end with the context.
package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/fleet"
	"bramblespur/internal/peer"
	"bramblespur/internal/policy"
	"bramblespur/internal/retry"
)

const (
	syncInterval = time.Second // between turns
	syncTimeout  = 1500 * time.Millisecond
	// planIntervalWhenBehind is how long a leader that is behind with its work waits between
	// plans.
	planIntervalWhenBehind = 3 * syncInterval
	// overloadedCampaignDelayTurns is how many turns without a leader a controller that does not
	// keep up leaves to others.
	overloadedCampaignDelayTurns = 4
)

// The leader provisions and releases; the others ask the cloud only for the machine types
// when they start. These are their parts of the cloud's calls.
const (
	leaderCloudShare   = 0.95
	FollowerCloudShare = 0.05
)

// Leader runs the duties on one controller, and what stands in for them while another
// leads.
type Leader struct {
	host   Host
	cfg    *config.Settings
	policy *policy.Policy
	log    *slog.Logger

	// Loads is what the peers last said of their load. It has a leaf lock of its own.
	Loads Loads
	// Grant is what this controller was last granted, by itself or another leader.
	Grant ReceivedGrant

	// The shards' lock guards these.
	term       *term // nil while another controller leads
	standalone standalone
	// provisionSequence numbers the provisions of this process. It outlives terms: one ends
	// whenever the lease is not certain, and the next may be under the same leadership.
	provisionSequence int
}

// New returns the duties of a controller.
func New(host Host, cfg *config.Settings, pol *policy.Policy, log *slog.Logger) *Leader {
	l := &Leader{host: host, cfg: cfg, policy: pol, log: log}
	l.standalone.leaderContactAt = time.Now()
	return l
}

// term is what a leader remembers as long as it leads. The shards' lock guards it.
type term struct {
	started    time.Time
	lastSyncAt time.Time
	lastPlanAt time.Time
	planner    *fleet.Planner
	quotas     quotas
	rebalancer rebalancer
	provisions provisions
	releases   releases
	inventory  inventory
}

// Run takes a turn a second until the context ends: as the leader, or as one who would
// campaign if there were none.
func (l *Leader) Run(ctx context.Context) {
	leaderless := 0 // turns
	for retry.Sleep(ctx, syncInterval) {
		leads, campaign := l.role(time.Now(), &leaderless)
		switch {
		case leads:
			l.Turn(ctx)
		case campaign != nil:
			campaign(ctx)
		}
		share := leaderCloudShare
		if !leads {
			share = FollowerCloudShare
			l.host.PingPeers()
			l.PlanStandalone(ctx, time.Now())
		}
		l.host.Cloud().SetRate(l.cfg.Params.Cloud.RPS * share)
		l.host.AfterTurn(ctx)
	}
}

// role tells whether this controller leads, or else how it is to campaign, if at all. It
// counts the turns without a leader.
func (l *Leader) role(now time.Time, leaderless *int) (leads bool, campaign func(context.Context)) {
	l.host.Lock()
	defer l.host.Unlock()
	safeMode := l.host.SafeModeLocked()
	leads = l.host.IsLeaderLocked(now) && !safeMode
	if !leads {
		l.EndTermLocked()
		if !safeMode {
			campaign = l.host.CandidacyLocked(now)
		}
	}
	if campaign == nil {
		*leaderless = 0
		return leads, nil
	}
	*leaderless++
	// One that is overloaded leads only if nobody else wants to.
	if l.host.LoadLocked(now).Recovering && *leaderless <= overloadedCampaignDelayTurns {
		return false, nil
	}
	return false, campaign
}

// EndTermLocked forgets what this controller remembered as the leader.
func (l *Leader) EndTermLocked() { l.term = nil }

// ensureTerm returns the present term, a new one if this controller has just come to lead.
func (l *Leader) ensureTerm(now time.Time) *term {
	l.host.Lock()
	defer l.host.Unlock()
	if l.term == nil {
		l.term = l.newTermLocked(now)
	}
	return l.term
}

func (l *Leader) newTermLocked(now time.Time) *term {
	return &term{
		started:    now,
		planner:    fleet.NewPlanner(l.plannerConfigLocked()),
		quotas:     newQuotas(),
		provisions: newProvisions(),
		releases:   releases{pending: map[string]bool{}},
		inventory:  newInventory(),
	}
}

// Turn is one turn of the leader. Run takes them; nobody else does but tests.
func (l *Leader) Turn(ctx context.Context) {
	now := time.Now()
	t := l.ensureTerm(now)
	transfers, mayLead := l.reassignShards(ctx, t, now)
	if !mayLead {
		l.host.StepDown(ctx)
		return
	}
	summaries, demands := l.syncPeers(transfers, t.quotas.grants)

	l.host.Lock()
	now = time.Now()
	l.grantQuotasLocked(t, demands, now)
	if l.host.BehindLocked() && now.Sub(t.lastPlanAt) < planIntervalWhenBehind {
		l.host.Unlock()
		return
	}
	t.lastPlanAt = now
	orders := l.planLocked(ctx, t, append(summaries, l.host.SummariesLocked(now)...), now)
	provisioning := len(t.provisions.underWay) > 0
	l.host.Unlock()

	l.sendOrders(orders)
	if l.releaseDue(t, provisioning, now) {
		l.releaseMachines(ctx, t, now)
	}
	l.clearOldRecords(ctx, t, now)
	if now.After(t.inventory.nextListAt) {
		t.inventory.nextListAt = now.Add(l.listInterval())
		go l.compareCloudList(ctx, t)
	}
}

// syncPeers asks every other controller for its shards and for what it needs of the state
// service, and hands over what is to be acquired and transferred back and what is granted.
func (l *Leader) syncPeers(transfers transfers, grants Grants) ([]fleet.Summary, map[string]Demand) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var summaries []fleet.Summary
	demands := map[string]Demand{}
	for label, p := range l.host.Peers() {
		wg.Go(func() {
			var r peer.SyncReply
			args := peer.SyncArgs{From: l.cfg.Label, Claim: transfers.acquire[label], HandHome: transfers.back[label],
				Requests: grants.Requests[label], Changes: grants.Changes[label], OrderRate: grants.Commands[label]}
			err := p.Call("Sync", args, &r, syncTimeout)
			if l.host.CheckSync(label, &r, err) != nil {
				return
			}
			l.Loads.Record(label, Load{At: time.Now(), Recovering: r.Recovering, HasRoom: r.HasRoom})
			mu.Lock()
			defer mu.Unlock()
			summaries = append(summaries, r.Summaries...)
			demands[label] = Demand{Requests: r.Requests, Changes: r.Changes, DelayedCommands: r.OrdersWaiting}
		})
	}
	wg.Wait()
	return summaries, demands
}

// sendOrders brings orders to the owners of their shards, which need not wait for the
// leader's next turn. One that is lost is planned again.
func (l *Leader) sendOrders(byOwner map[string][]fleet.Order) {
	for owner, orders := range byOwner {
		p := l.host.Peers()[owner]
		if p == nil {
			continue
		}
		go func() {
			args := peer.SyncArgs{From: l.cfg.Label, Orders: orders}
			if err := p.Call("Sync", args, new(peer.SyncReply), syncTimeout); err != nil {
				l.log.Debug("orders not sent", "owner", owner, "err", err)
			}
		}()
	}
}
