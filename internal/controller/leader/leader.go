// Package leader performs the duties that one controller, the leader, has for all controllers:
// reassignment of shards, quotas of the state service, scale out and in, and the comparison of the
// cloud's list of machines with the records. It owns the state that a leader keeps between its
// turns (its term), which is dropped when the lease or the leadership is lost. A new leader starts
// without it.
//
// Run is the only loop. Each turn syncs with all peers, then plans and acts within one
// critical section of the shards' lock, since a plan is valid only for the views and shards that
// it was made from. The shards' lock guards the state of a term, too. Input and output are done by
// goroutines that end with the context.
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
	syncInterval = time.Second             // between turns
	syncTimeout  = 1500 * time.Millisecond // of one Sync call to a peer
	// planIntervalWhenBehind is the time between plans of a leader that is behind with its work.
	planIntervalWhenBehind = 3 * syncInterval
	// overloadedCampaignDelayTurns is the number of turns without a leader in which an overloaded
	// controller does not campaign, so that others can.
	overloadedCampaignDelayTurns = 4
)

// The shares of the cloud's rate limit that the leader and another controller may use. The leader
// provisions and releases machines; the others ask the cloud only for the machine types when they
// start.
const (
	leaderCloudShare   = 0.95
	FollowerCloudShare = 0.05
)

// Leader performs the leader's duties on one controller. While another controller leads, it plans
// provisions for this controller's own shards if the leader does not reach it.
type Leader struct {
	host   Host
	cfg    *config.Settings
	policy *policy.Policy
	log    *slog.Logger

	// Loads holds the loads that the peers last reported. It has a leaf lock of its own.
	Loads Loads
	// Grant is the last grant that this controller received, from itself or another leader.
	Grant ReceivedGrant

	// The shards' lock guards the fields below.
	term       *term // nil while this controller does not lead
	standalone standalone
	// provisionSequence numbers the provisions of this process. It outlives terms: a term ends
	// whenever the lease is not certain, and the next one may be under the same leadership.
	provisionSequence int
}

// New returns the Leader of a controller. Run starts it.
func New(host Host, cfg *config.Settings, pol *policy.Policy, log *slog.Logger) *Leader {
	l := &Leader{host: host, cfg: cfg, policy: pol, log: log}
	l.standalone.leaderContactAt = time.Now()
	return l
}

// term is the state that a leader keeps as long as it leads. The shards' lock guards it.
type term struct {
	started    time.Time // when this controller began to lead
	lastSyncAt time.Time
	lastPlanAt time.Time
	planner    *fleet.Planner
	quotas     quotas
	rebalancer rebalancer
	provisions provisions
	releases   releases
	inventory  inventory
}

// Run takes a turn every syncInterval until the context ends. In each turn this controller acts as
// the leader, campaigns if there is no leader and it may, or plans for its own shards if the leader
// does not reach it.
func (l *Leader) Run(ctx context.Context) {
	leaderless := 0 // turns without a leader in which this controller could campaign
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

// role reports whether this controller leads. If it does not and is to campaign, role returns the
// function that does so. It counts in leaderless the turns in a row in which this controller could
// campaign.
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
	// An overloaded controller campaigns only after the others had time to.
	if l.host.LoadLocked(now).Recovering && *leaderless <= overloadedCampaignDelayTurns {
		return false, nil
	}
	return false, campaign
}

// EndTermLocked drops the state that this controller kept as the leader.
func (l *Leader) EndTermLocked() { l.term = nil }

// ensureTerm returns the present term. It begins a new one if there is none, as when this
// controller has just become the leader.
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

// Turn takes one turn of the leader, or steps down if this controller may no longer lead. Only Run and
// tests call it. It takes the shards' lock.
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

// syncPeers syncs with all other controllers. It sends them the shards that they are to acquire or
// transfer back, and their grants. It returns the summaries of their shards and the demands of the
// controllers that answered, by label.
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

// sendOrders sends orders to the owners of their shards at once, without waiting for the leader's
// next turn. An order that is lost is planned again.
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
