package leader

import (
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/fleet"
	"bramblespur/internal/peer"
	"bramblespur/internal/ratelimit"
	"bramblespur/internal/statestore"
)

// The state service's limits hold for all controllers together. Every one may
// use an equal share; the leader, which asks each what it needs, grants it what the
// others leave, and lends changes to those that need several at once.

const (
	// GrantLifetime is how long a grant of the leader counts.
	GrantLifetime = 4 * time.Second
	// grantedShare is the part of the limits that is granted: what is in flight
	// when grants change must not exceed them.
	grantedShare = 0.95
	// loanTimeout bounds a request for a loan. Changes wait for it, and without an answer
	// for their own part of the limit.
	loanTimeout = 400 * time.Millisecond
)

// Demand is what a controller needed since the leader last asked.
type Demand struct {
	Requests, Changes int // of the state service
	DelayedCommands   int // direct commands that had to wait
}

// Grants is what the leader last granted, a second, by controller.
type Grants struct{ Requests, Changes, Commands map[string]float64 }

// quotas is the leader's account of what it grants and lends. The shards' lock guards it.
type quotas struct {
	lender   *statestore.LoanPool // lends changes
	grants   Grants
	commands *ratelimit.ClusterShares // of the direct commands; nil until they are shared out
}

func newQuotas() quotas { return quotas{lender: statestore.NewLoanPool()} }

// controllers is all that share a quota.
type controllers struct {
	count  int
	labels []string
	alive  func(label string) bool // by its member record
}

// shareRates shares out the state service's limits by what each controller needed in the last
// turn. One that is alive but did not answer may be using its equal share, so that is left
// to it.
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

// shareCommands shares out the direct commands of all by what waited at each controller that
// answered.
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

// grantQuotasLocked shares out what all controllers may use, by what each needed since
// the last turn.
func (l *Leader) grantQuotasLocked(t *term, demands map[string]Demand, now time.Time) {
	turn := syncInterval
	if !t.lastSyncAt.IsZero() {
		turn = max(turn, now.Sub(t.lastSyncAt))
	}
	t.lastSyncAt = now
	demands[l.cfg.Label] = l.demandLocked()
	l.host.SetCommandRateShareLocked(t.quotas.grants.Commands[l.cfg.Label], now) // as the others were told in this turn
	t.quotas.grants = l.computeGrantsLocked(&t.quotas, demands, turn)
	l.Grant.SetLocked(l.host.Store(), t.quotas.grants.Requests[l.cfg.Label], t.quotas.grants.Changes[l.cfg.Label], now)
}

// demandLocked is what this controller itself needed.
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

// Lend reports whether another controller may make changes beyond its grant.
func (l *Leader) Lend(a peer.LoanArgs) bool {
	l.host.Lock()
	defer l.host.Unlock()
	now := time.Now()
	return l.host.IsLeaderLocked(now) && l.term != nil && l.term.quotas.lender.Lend(a.Changes, a.Modest, now)
}

// Borrow asks the leader for changes beyond this controller's grant.
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

// ReceivedGrant is what this controller was last granted of the state service. The
// shards' lock guards it.
type ReceivedGrant struct{ at time.Time }

// SetLocked takes in a grant; 0 means that none was made.
func (g *ReceivedGrant) SetLocked(store statestore.Store, requests, changes float64, now time.Time) {
	if requests > 0 && changes > 0 {
		g.at = now
		store.SetLimits(requests, changes)
	}
}

// ExpireLocked falls back to an equal share once no leader makes a grant.
func (g *ReceivedGrant) ExpireLocked(store statestore.Store, limits config.State, controllers int, now time.Time) {
	if now.Sub(g.at) > GrantLifetime {
		store.SetLimits(limits.RPS/float64(controllers), limits.WriteRPS/float64(controllers))
	}
}
