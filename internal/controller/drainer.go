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
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	drainInterval     = time.Second // the owners' turns
	drainWriteTimeout = 5 * time.Second
	// drainWriteBurst is the changes of the largest of a drain's transactions, several times.
	drainWriteBurst = 6
	// maxUnrecordedLosses bounds the losses that wait to be recorded.
	maxUnrecordedLosses = 4096
)

// drains is this process's part in the drains that operators ask for: what the records
// tell, and what waits to be recorded. The controller's lock guards it.
type drains struct {
	settings          *drain.Settings // nil: off
	budgetFingerprint string          // the settings' fingerprint
	view              *drain.View
	writeLimiter      *rate.Limiter // of changes
	losses            []drain.Loss
	holdTimes         map[int]*shardHoldTimes // by part
}

// shardHoldTimes is how long a part's machines were held up since that was last recorded.
type shardHoldTimes struct {
	updatedAt time.Time
	byDrain   map[string]map[drain.HoldReason]time.Duration // by drain
}

func newDrains() drains {
	return drains{view: drain.NewView(), holdTimes: map[int]*shardHoldTimes{}}
}

// enable sets the operators' settings; nil leaves drains off. Budgets hold by everybody's
// clock: their windows are longer by what two clocks may differ.
func (d *drains) enable(s *drain.Settings, p *config.Params) {
	if s == nil {
		return
	}
	d.budgetFingerprint = s.Fingerprint()
	d.settings = s.WithClockError(config.Seconds(p.ClockErrorMS / 1000))
	share := s.StoreShare * p.State.Tight().WriteRPS / float64(p.Count)
	d.writeLimiter = rate.NewLimiter(rate.Limit(share), drainWriteBurst)
}

// ready reports whether all controllers take part. The lock is held.
func (c *Controller) drainsReady() bool {
	return c.drains.settings != nil && c.drains.view.AllParticipate(c.cfg.Labels(), c.drains.budgetFingerprint)
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

// recordInterruptions takes in interruptions of running work. Those that a drain was granted are in
// its team's ledger already. The lock is held.
func (c *Controller) recordInterruptions(all []scheduler.Interruption, now time.Time) {
	d := &c.drains
	for _, i := range all {
		ledger := d.view.Ledger(i.Team).Rec
		if ledger.OpenDisruption(i.UnitID) != nil || len(d.losses) >= maxUnrecordedLosses ||
			slices.ContainsFunc(d.losses, func(l drain.Loss) bool { return l.UnitID == i.UnitID }) {
			continue
		}
		i.At = now.UnixMilli()
		d.losses = append(d.losses, drain.Loss{Disruption: i.Disruption, Team: i.Team})
	}
}

// refreshCordons tells a part which machines are cordoned, if that may have changed. The lock
// is held.
func (c *Controller) refreshCordons(shard *scheduler.Shard) {
	if c.drains.settings != nil && shard.CordonsAsOf() != c.drains.view.Generation() {
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
	shard.SetCordons(view.Generation(), func(m *scheduler.Machine) (scheduler.Cordon, bool) {
		cordon, ok := cordons[m.ID]
		if plan, known := view.Plan(cordon.Drain); ok && known && !plan.Rec.State.Terminal() {
			if ready && plan.Rec.State == drain.Active {
				return scheduler.CordonedForReturn, false
			}
			return scheduler.Cordoned, false
		}
		return scheduler.NotCordoned, slices.ContainsFunc(active, func(p drain.Plan) bool {
			return p.Selects(m.ID, m.Type.Name, m.Zone, m.ProvisionedAt())
		})
	})
}

// drainLoop drives the drains of the parts held here, one write at a time.
func (c *Controller) drainLoop(ctx context.Context) {
	for retry.Sleep(ctx, drainInterval) {
		c.announceDrainSupport(ctx)
		c.mu.Lock()
		var parts []*scheduler.Shard
		if c.drains.view.InUse() {
			for _, shard := range c.shards {
				parts = append(parts, shard)
			}
		} else {
			c.expireLosses(time.Now())
		}
		c.mu.Unlock()
		for _, shard := range parts {
			c.drainShard(ctx, shard)
		}
		c.finishDrains(ctx)
	}
}

// announceDrainSupport says that this controller takes part in drains, and by which budgets.
func (c *Controller) announceDrainSupport(ctx context.Context) {
	c.mu.Lock()
	said, _ := c.drains.view.Participant(c.cfg.Label)
	known := !c.cluster.Loaded() || said.Budgets == c.drains.budgetFingerprint
	rec := drain.Participant{Budgets: c.drains.budgetFingerprint}
	c.mu.Unlock()
	if !known {
		c.commitDrainTxn(ctx, wire.Txn{Then: []wire.Op{{Put: drain.ParticipantKey(c.cfg.Label), Value: record.Encode(rec)}}})
	}
}

// retractDrainSupport takes back that this controller takes part in drains, if it said so before
// they were turned off.
func (c *Controller) retractDrainSupport(ctx context.Context) {
	c.mu.Lock()
	_, said := c.drains.view.Participant(c.cfg.Label)
	on := c.drains.settings != nil
	c.mu.Unlock()
	if said && !on {
		c.commitDrainTxn(ctx, wire.Txn{Then: []wire.Op{{Delete: drain.ParticipantKey(c.cfg.Label)}}})
	}
}

// expireLosses drops the losses that no budget's window reaches: without a drain nobody
// records them. The lock is held.
func (c *Controller) expireLosses(now time.Time) {
	longest := c.drains.settings.LongestWindow()
	c.drains.losses = slices.DeleteFunc(c.drains.losses, func(l drain.Loss) bool {
		return now.Sub(time.UnixMilli(l.At)) > longest
	})
}

// drainShard takes one turn of a part's drains: it carries out what was granted, and
// records what follows from how things stand.
func (c *Controller) drainShard(ctx context.Context, shard *scheduler.Shard) {
	c.mu.Lock()
	now := time.Now()
	if c.shards[shard.ID()] != shard || !c.machines.Loaded() || !c.sure(now) {
		c.mu.Unlock()
		return
	}
	c.setCordons(shard)
	for _, d := range c.drains.view.PendingEvictions(shard.ID()) {
		shard.Evict(d, now)
	}
	writes := c.planDrainWrites(shard, now)
	c.step(shard, now)
	c.mu.Unlock()
	for _, w := range writes {
		if c.drains.writeLimiter.AllowN(now, len(w.Txn.Then)) && c.commitDrainTxn(ctx, w.Txn) {
			c.drainWriteApplied(shard.ID(), w, now)
		}
	}
}

// planDrainWrites plans a part's next steps and returns what is to be recorded for them. The
// lock is held.
func (c *Controller) planDrainWrites(shard *scheduler.Shard, now time.Time) []drain.Write {
	d := &c.drains
	ledgers := drain.NewLedgers(d.view)
	ledgers.AddLosses(slices.DeleteFunc(slices.Clone(d.losses), func(l drain.Loss) bool { return l.Shard != shard.ID() }))
	ledgers.CloseRecovered(shard.ID(), shard.FateOf, now)
	a := &drain.TxnBuilder{
		Input: drain.Input{Now: now, Settings: d.settings, View: d.view, Shard: shard.ID(), Bytes: c.limits().Bytes()},
		Owner: wire.Condition{Key: record.ShardKey(shard.ID()), Version: shard.Token()},
		MachineGone: func(id string) bool {
			v, ok := c.machines.Machine(id)
			return !ok || v.Phase == record.Released
		},
	}
	var steps drain.Steps
	if c.drainsReady() {
		a.Machines = shard.DrainMachines(d.view.MayCordonMore(), now)
		a.Zones = c.machinesByZone()
		steps = drain.PlanSteps(&a.Input, ledgers)
	}
	shard.SetReplacements(steps.NeedCapacity)
	a.HoldTimes = d.addHoldTimes(shard.ID(), steps.Held, now)
	return a.Writes(steps, ledgers)
}

// machinesByZone counts the machines in service. The lock is held.
func (c *Controller) machinesByZone() map[string]int {
	zones := map[string]int{}
	c.machines.Each(func(_ string, v record.MachineView) {
		if v.Phase == record.InUse {
			zones[v.Zone]++
		}
	})
	return zones
}

// addHoldTimes adds how long machines were held up, and returns what a part has not recorded yet.
func (d *drains) addHoldTimes(part int, held []drain.HeldMachine, now time.Time) map[string]map[drain.HoldReason]time.Duration {
	h := d.holdTimes[part]
	if h == nil {
		h = &shardHoldTimes{updatedAt: now, byDrain: map[string]map[drain.HoldReason]time.Duration{}}
		d.holdTimes[part] = h
	}
	passed := min(now.Sub(h.updatedAt), 2*drainInterval)
	h.updatedAt = now
	for _, x := range held {
		if h.byDrain[x.Drain] == nil {
			h.byDrain[x.Drain] = map[drain.HoldReason]time.Duration{}
		}
		h.byDrain[x.Drain][x.Reason] += passed
	}
	return h.byDrain
}

// drainWriteApplied takes in that a write of a part's turn at some time was carried out.
func (c *Controller) drainWriteApplied(part int, w drain.Write, turn time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.Progress != "" {
		delete(c.drains.holdTimes[part].byDrain, w.Progress)
	}
	c.drains.losses = slices.DeleteFunc(c.drains.losses, func(l drain.Loss) bool {
		return w.Team != "" && l.Team == w.Team && l.Shard == part && l.At <= turn.UnixMilli()
	})
}

// commitDrainTxn carries out a transaction and brings it to this controller's view. One without
// an answer may have been carried out, or may be later: then the watch tells, and whatever
// is written next has the versions of before as its condition.
func (c *Controller) commitDrainTxn(ctx context.Context, t wire.Txn) bool {
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
		c.applyClusterChange(wire.Change{Put: op.Put, Value: op.Value, Delete: op.Delete, Version: rev}, now)
	}
	return true
}

// finishDrains lets the leader end drains that have no machine left.
func (c *Controller) finishDrains(ctx context.Context) {
	c.mu.Lock()
	now := time.Now()
	var t wire.Txn
	due := false
	if c.isLeader(now) && c.drainsReady() && c.machines.Loaded() {
		t, due = drain.FinishOrPurge(c.drains.view, c.drainHasMachines, c.limits().TxnOps, now)
	}
	c.mu.Unlock()
	if due && c.drains.writeLimiter.AllowN(now, len(t.Then)) {
		c.commitDrainTxn(ctx, t)
	}
}

// drainHasMachines reports whether a machine that a drain selects is not gone yet. The lock is held.
func (c *Controller) drainHasMachines(p *drain.Plan) bool {
	left := false
	c.machines.Each(func(id string, v record.MachineView) {
		left = left || (v.Phase != record.Released && p.Selects(id, v.Type, v.Zone, time.UnixMilli(v.CreatedAt)))
	})
	return left
}
