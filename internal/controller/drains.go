package controller

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"bramblespur/internal/config"
	"bramblespur/internal/drain"
	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	drainEvery        = time.Second // the owners' turns
	drainWriteTimeout = 5 * time.Second
	// drainBurst is the changes of the largest of a drain's transactions, several times.
	drainBurst = 6
	// maxLosses bounds the losses that wait to be recorded.
	maxLosses = 4096
)

// drains is this process's part in the drains that operators ask for: what the records
// tell, and what waits to be recorded. The controller's lock guards it.
type drains struct {
	settings *drain.Settings // nil: off
	budgets  string          // the settings' fingerprint
	view     *drain.View
	limit    *rate.Limiter // of changes
	losses   []drain.Loss
	held     map[int]*heldMachines // by part
}

// heldMachines is how long a part's machines were held up since that was last recorded.
type heldMachines struct {
	since  time.Time
	waited map[string]map[drain.HoldReason]time.Duration // by drain
}

func newDrains() drains {
	return drains{view: drain.NewView(), held: map[int]*heldMachines{}}
}

// turnOn sets the operators' settings; nil leaves drains off. Budgets hold by everybody's
// clock: their windows are longer by what two clocks may differ.
func (d *drains) turnOn(s *drain.Settings, p *config.Params) {
	if s == nil {
		return
	}
	d.budgets = s.Fingerprint()
	d.settings = s.WithClockError(config.Seconds(p.ClockErrorMS / 1000))
	share := s.StoreShare * p.State.Tight().WriteRPS / float64(p.Count)
	d.limit = rate.NewLimiter(rate.Limit(share), drainBurst)
}

// ready reports whether all controllers take part. The lock is held.
func (c *Controller) drainsReady() bool {
	return c.drains.settings != nil && c.drains.view.Ready(c.cfg.Labels(), c.drains.budgets)
}

// resetDrains takes in all records of drains. The lock is held.
func (c *Controller) resetDrains(entries []wire.Entry, rev uint64) {
	var own []wire.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key, drain.Prefix) {
			own = append(own, e)
		}
	}
	if err := c.drains.view.Reset(own, rev); err != nil {
		c.log.Error("drain records", "err", err)
	}
}

// noteLosses takes in interruptions of running work. Those that a drain was granted are in
// its team's ledger already. The lock is held.
func (c *Controller) noteLosses(all []scheduler.Interruption, now time.Time) {
	d := &c.drains
	for _, i := range all {
		ledger := d.view.Ledger(i.Team).Rec
		if ledger.Find(i.UnitID) != nil || len(d.losses) >= maxLosses ||
			slices.ContainsFunc(d.losses, func(l drain.Loss) bool { return l.UnitID == i.UnitID }) {
			continue
		}
		i.At = now.UnixMilli()
		d.losses = append(d.losses, drain.Loss{Disruption: i.Disruption, Team: i.Team})
	}
}

// keepCordons tells a part which machines are cordoned, if that may have changed. The lock
// is held.
func (c *Controller) keepCordons(shard *scheduler.Shard) {
	if c.drains.settings != nil && shard.CordonsAsOf() != c.drains.view.Changes() {
		c.setCordons(shard)
	}
}

func (c *Controller) setCordons(shard *scheduler.Shard) {
	shard.WatchInterruptions(true)
	view, ready := c.drains.view, c.drainsReady()
	var active []drain.Plan
	for _, plan := range view.Plans() {
		if plan.Rec.State == drain.Active {
			active = append(active, plan.Rec)
		}
	}
	cordons := view.Cordons().Rec.Machines
	shard.SetCordons(view.Changes(), func(m *scheduler.Machine) (scheduler.Cordon, bool) {
		cordon, ok := cordons[m.ID]
		if plan, known := view.Plan(cordon.Drain); ok && known && !plan.Rec.State.Over() {
			if ready && plan.Rec.State == drain.Active {
				return scheduler.CordonedForReturn, false
			}
			return scheduler.Cordoned, false
		}
		return scheduler.NotCordoned, slices.ContainsFunc(active, func(p drain.Plan) bool {
			return p.Selects(m.ID, m.Type.Name, m.Zone, m.Rented())
		})
	})
}

// drainLoop drives the drains of the parts held here, one write at a time.
func (c *Controller) drainLoop(ctx context.Context) {
	for sleep(ctx, drainEvery) {
		c.announceDrains(ctx)
		c.mu.Lock()
		var parts []*scheduler.Shard
		if c.drains.view.InUse() {
			for _, shard := range c.shards {
				parts = append(parts, shard)
			}
		} else {
			c.forgetLosses(time.Now())
		}
		c.mu.Unlock()
		for _, shard := range parts {
			c.drainPart(ctx, shard)
		}
		c.concludeDrains(ctx)
	}
}

// announceDrains says that this controller takes part in drains, and by which budgets.
func (c *Controller) announceDrains(ctx context.Context) {
	c.mu.Lock()
	said, _ := c.drains.view.Said(c.cfg.Label)
	known := c.viewAt.IsZero() || said.Budgets == c.drains.budgets
	rec := drain.Aware{Budgets: c.drains.budgets}
	c.mu.Unlock()
	if !known {
		c.writeDrain(ctx, wire.Txn{Then: []wire.Op{{Put: drain.AwareKey(c.cfg.Label), Value: record.Encode(rec)}}})
	}
}

// retractDrains takes back that this controller takes part in drains, if it said so before
// they were turned off.
func (c *Controller) retractDrains(ctx context.Context) {
	c.mu.Lock()
	_, said := c.drains.view.Said(c.cfg.Label)
	on := c.drains.settings != nil
	c.mu.Unlock()
	if said && !on {
		c.writeDrain(ctx, wire.Txn{Then: []wire.Op{{Delete: drain.AwareKey(c.cfg.Label)}}})
	}
}

// forgetLosses drops the losses that no budget's window reaches: without a drain nobody
// records them. The lock is held.
func (c *Controller) forgetLosses(now time.Time) {
	longest := c.drains.settings.LongestWindow()
	c.drains.losses = slices.DeleteFunc(c.drains.losses, func(l drain.Loss) bool {
		return now.Sub(time.UnixMilli(l.At)) > longest
	})
}

// drainPart takes one turn of a part's drains: it carries out what was granted, and
// records what follows from how things stand.
func (c *Controller) drainPart(ctx context.Context, shard *scheduler.Shard) {
	c.mu.Lock()
	now := time.Now()
	if c.shards[shard.ID()] != shard || c.fleetAt.IsZero() || !c.sure(now) {
		c.mu.Unlock()
		return
	}
	c.setCordons(shard)
	for _, d := range c.drains.view.Orders(shard.ID()) {
		shard.Evict(d, now)
	}
	writes := c.drainWrites(shard, now)
	c.step(shard, now)
	c.mu.Unlock()
	for _, w := range writes {
		if c.drains.limit.AllowN(now, len(w.Txn.Then)) && c.writeDrain(ctx, w.Txn) {
			c.drainRecorded(shard.ID(), w, now)
		}
	}
}

// drainWrites plans a part's next steps and returns what is to be recorded for them. The
// lock is held.
func (c *Controller) drainWrites(shard *scheduler.Shard, now time.Time) []drain.Write {
	d := &c.drains
	ledgers := drain.NewLedgers(d.view)
	ledgers.Lose(slices.DeleteFunc(slices.Clone(d.losses), func(l drain.Loss) bool { return l.Part != shard.ID() }))
	ledgers.Settle(shard.ID(), shard.FateOf, now)
	a := &drain.Author{
		Input: drain.Input{Now: now, Settings: d.settings, View: d.view, Part: shard.ID(), Bytes: c.limits().Bytes()},
		Owner: wire.Cond{Key: record.ShardKey(shard.ID()), Version: shard.Token()},
		Gone: func(id string) bool {
			v, ok := c.fleet.Machine(id)
			return !ok || v.Phase == record.Gone
		},
	}
	var steps drain.Steps
	if c.drainsReady() {
		a.Machines = shard.DrainMachines(d.view.WantsMore(), now)
		a.Zones = c.machinesByZone()
		steps = drain.Next(&a.Input, ledgers)
	}
	shard.SetReplacements(steps.Replace)
	a.Waited = d.hold(shard.ID(), steps.Held, now)
	return a.Writes(steps, ledgers)
}

// machinesByZone counts the machines in service. The lock is held.
func (c *Controller) machinesByZone() map[string]int {
	zones := map[string]int{}
	c.fleet.Each(func(_ string, v record.View) {
		if v.Phase == record.InUse {
			zones[v.Zone]++
		}
	})
	return zones
}

// hold adds how long machines were held up, and returns what a part has not recorded yet.
func (d *drains) hold(part int, held []drain.Held, now time.Time) map[string]map[drain.HoldReason]time.Duration {
	h := d.held[part]
	if h == nil {
		h = &heldMachines{since: now, waited: map[string]map[drain.HoldReason]time.Duration{}}
		d.held[part] = h
	}
	passed := min(now.Sub(h.since), 2*drainEvery)
	h.since = now
	for _, x := range held {
		if h.waited[x.Drain] == nil {
			h.waited[x.Drain] = map[drain.HoldReason]time.Duration{}
		}
		h.waited[x.Drain][x.Reason] += passed
	}
	return h.waited
}

// drainRecorded takes in that a write of a part's turn at some time was carried out.
func (c *Controller) drainRecorded(part int, w drain.Write, turn time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.Course != "" {
		delete(c.drains.held[part].waited, w.Course)
	}
	c.drains.losses = slices.DeleteFunc(c.drains.losses, func(l drain.Loss) bool {
		return w.Team != "" && l.Team == w.Team && l.Part == part && l.At <= turn.UnixMilli()
	})
}

// writeDrain carries out a transaction and brings it to this controller's view. One without
// an answer may have been carried out, or may be later: then the watch tells, and whatever
// is written next has the versions of before as its condition.
func (c *Controller) writeDrain(ctx context.Context, t wire.Txn) bool {
	ctx, cancel := context.WithTimeout(ctx, drainWriteTimeout)
	defer cancel()
	rev, err := c.store.Txn(ctx, statestore.Routine("drain"), t)
	if err != nil {
		var conflict *statestore.ConflictError
		c.log.Debug("drain record", "conflict", errors.As(err, &conflict), "err", err)
		return false
	}
	now := time.Now()
	for _, op := range t.Then {
		c.changeCluster(wire.Change{Put: op.Put, Value: op.Value, Delete: op.Delete, Version: rev}, now)
	}
	return true
}

// concludeDrains lets the leader end drains that have no machine left.
func (c *Controller) concludeDrains(ctx context.Context) {
	c.mu.Lock()
	now := time.Now()
	var t wire.Txn
	due := false
	if c.isLeader(now) && c.drainsReady() && !c.fleetAt.IsZero() {
		t, due = drain.Conclude(c.drains.view, c.drainLeft, c.limits().TxnOps, now)
	}
	c.mu.Unlock()
	if due && c.drains.limit.AllowN(now, len(t.Then)) {
		c.writeDrain(ctx, t)
	}
}

// drainLeft reports whether a machine that a drain selects is not gone yet. The lock is held.
func (c *Controller) drainLeft(p *drain.Plan) bool {
	left := false
	c.fleet.Each(func(id string, v record.View) {
		left = left || (v.Phase != record.Gone && p.Selects(id, v.Type, v.Zone, time.UnixMilli(v.Born)))
	})
	return left
}
