package leader

import (
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/fleet"
	"bramblespur/internal/peer"
	"bramblespur/internal/ratelimit"
	"bramblespur/internal/statestore"
)

// The state service's limits hold for all controllers together. Each controller may use an equal
// share. The leader asks each controller for its demand, grants it what the others leave unused, and
// lends changes to controllers that need several at once.

const (
	// GrantLifetime is how long a grant of the leader is valid.
	GrantLifetime = 4 * time.Second
	// grantedShare is the share of the limits that is granted. The rest is for requests that are in
	// flight when grants change, so that the limits are not exceeded.
	grantedShare = 0.95
	// loanTimeout bounds a request for a loan. Changes wait for the loan, and if there is no answer,
	// for this controller's own share of the limit.
	loanTimeout = 400 * time.Millisecond
)

// Demand is a controller's demand since the leader last asked for it.
type Demand struct {
	Requests, Changes int // requests to and changes in the state service
	DelayedCommands   int // commands to workers that the rate limit delayed
}

// Grants holds the rates per second that the leader last granted, by the label of the controller:
// requests to the state service, changes in it, and commands to workers.
type Grants struct{ Requests, Changes, Commands map[string]float64 }

// quotas holds the leader's grants and loans. The shards' lock guards it.
type quotas struct {
	lender   *statestore.LoanPool // lends changes
	grants   Grants
	commands *ratelimit.ClusterShares // shares of the command rate; nil until it is shared out
}

func newQuotas() quotas { return quotas{lender: statestore.NewLoanPool()} }

// controllers describes all controllers, which share the quotas.
type controllers struct {
	count  int
	labels []string
	alive  func(label string) bool // by its member record
}

// shareRates divides the state service's limits by the demands of the last turn, which took the
// given time. It returns the requests and changes per second granted to each controller that
// answered. A controller that is alive but did not answer may be using its equal share, so this
// share is not granted to others.
func (c controllers) shareRates(limits config.State, demands map[string]Demand, turn time.Duration) (requests, changes map[string]float64) {
	rps, writes := limits.RPS*grantedShare, limits.WriteRPS*(grantedShare-statestore.LoanShare)
	requests, changes = map[string]float64{}, map[string]float64{}
	for _, label := range c.labels {
		demand, answered := demands[label]
		switch {
		case answered:
			requests[label] = float64(demand.Requests) / turn.Seconds()
			changes[label] = float64(demand.Changes) / turn.Seconds()
		case c.alive(label):
			rps -= limits.RPS / float64(c.count)
			writes -= limits.WriteRPS / float64(c.count)
		}
	}
	return fleet.FairShare(rps, requests), fleet.FairShare(writes, changes)
}

// shareCommands divides the total rate of commands to workers, per second, by the number of commands
// that were delayed at each controller that answered. It returns the rate for each of these.
func (q *quotas) shareCommands(total float64, all controllers, demands map[string]Demand) map[string]float64 {
	if q.commands == nil {
		q.commands = ratelimit.NewClusterShares(total, all.labels)
	}
	q.commands.SetTotal(total)
	waiting := map[string]float64{}
	for _, label := range all.labels {
		demand, answered := demands[label]
		if !answered {
			q.commands.MarkSilent(label)
			continue
		}
		waiting[label] = float64(demand.DelayedCommands)
		if share, granted := q.grants.Commands[label]; granted {
			q.commands.Confirm(label, share)
		}
	}
	left := total * float64(len(waiting)) / float64(all.count)
	return q.commands.Next(fleet.FairShare(left, waiting))
}

// grantQuotasLocked computes the grants of all controllers from their demands since the last turn,
// and applies this controller's own. syncPeers sends the others theirs in the next turn.
func (l *Leader) grantQuotasLocked(t *term, demands map[string]Demand, now time.Time) {
	turn := syncInterval
	if !t.lastSyncAt.IsZero() {
		turn = max(turn, now.Sub(t.lastSyncAt))
	}
	t.lastSyncAt = now
	demands[l.cfg.Label] = l.demandLocked()
	l.host.SetCommandRateShareLocked(t.quotas.grants.Commands[l.cfg.Label], now) // from the grants that the others received in this turn
	t.quotas.grants = l.computeGrantsLocked(&t.quotas, demands, turn)
	l.Grant.SetLocked(l.host.Store(), t.quotas.grants.Requests[l.cfg.Label], t.quotas.grants.Changes[l.cfg.Label], now)
}

// demandLocked returns this controller's own demand since the last call.
func (l *Leader) demandLocked() Demand {
	d := Demand{DelayedCommands: l.host.TakeDelayedCommandsLocked()}
	d.Requests, d.Changes = l.host.Store().TakeDemand()
	return d
}

func (l *Leader) computeGrantsLocked(q *quotas, demands map[string]Demand, turn time.Duration) Grants {
	limits := l.host.StateServiceLimitsLocked()
	all := controllers{l.cfg.Params.Count, l.cfg.Labels(), l.host.IsLiveMemberLocked}
	q.lender.SetLimit(l.cfg.Params.Count, limits.WriteRPS, time.Now())
	requests, changes := all.shareRates(limits, demands, turn)
	grants := Grants{Requests: requests, Changes: changes}
	if total, limited := l.host.CommandRateLocked(); limited {
		grants.Commands = q.shareCommands(total, all, demands)
	}
	return grants
}

// Lend reports whether a controller may make changes beyond its grant. It returns false if this
// controller does not lead. It takes the shards' lock.
func (l *Leader) Lend(a peer.LoanArgs) bool {
	l.host.Lock()
	defer l.host.Unlock()
	now := time.Now()
	return l.host.IsLeaderLocked(now) && l.term != nil && l.term.quotas.lender.Lend(a.Changes, a.Modest, now)
}

// Borrow asks the leader for changes beyond this controller's grant, and reports whether it lent
// them. A modest request leaves part of the loans to controllers that need many changes at once.
// Borrow must be called without the shards' lock.
func (l *Leader) Borrow(changes int, modest bool) bool {
	a := peer.LoanArgs{From: l.cfg.Label, Changes: changes, Modest: modest}
	l.host.Lock()
	leader, _ := l.host.LeaderLocked()
	l.host.Unlock()
	if leader == l.cfg.Label {
		return l.Lend(a)
	}
	p := l.host.Peers()[leader]
	if p == nil {
		return false
	}
	var lent bool
	if err := p.Call("Lend", a, &lent, loanTimeout); err != nil {
		l.log.Debug("loan not answered", "leader", leader, "err", err)
		return false
	}
	return lent
}

// ReceivedGrant records when this controller last received a grant for the state service. The
// shards' lock guards it.
type ReceivedGrant struct{ at time.Time }

// SetLocked applies a grant of requests and changes per second. It does nothing if either is 0,
// which means that no grant was made.
func (g *ReceivedGrant) SetLocked(store statestore.Store, requests, changes float64, now time.Time) {
	if requests > 0 && changes > 0 {
		g.at = now
		store.SetLimits(requests, changes)
	}
}

// ExpireLocked falls back to an equal share of the limits once the last grant is older than
// GrantLifetime.
func (g *ReceivedGrant) ExpireLocked(store statestore.Store, limits config.State, controllers int, now time.Time) {
	if now.Sub(g.at) > GrantLifetime {
		store.SetLimits(limits.RPS/float64(controllers), limits.WriteRPS/float64(controllers))
	}
}
