package drainer

import (
	"context"
	"slices"
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// shardHoldTimes is how long a shard's machines were held since that was last recorded.
type shardHoldTimes struct {
	updatedAt time.Time // of the last turn
	byDrain   map[string]map[drain.HoldReason]time.Duration
}

// drainShard plans a shard for one turn and commits the writes that the rate limit allows.
func (d *Drainer) drainShard(ctx context.Context, shard *scheduler.Shard) {
	writes, now := d.planShard(shard)
	for _, w := range writes {
		if d.writeLimiter.AllowN(now, len(w.Txn.Then)) && d.commit(ctx, w.Txn) {
			d.writeApplied(shard.ID(), w, now)
		}
	}
}

// planShard plans a shard, if this controller still owns it, and returns the writes and the time of the
// turn. All of it is one critical section, because the plan is valid only for the machines and records
// that it is based on.
func (d *Drainer) planShard(shard *scheduler.Shard) ([]drain.Write, time.Time) {
	d.host.Lock()
	defer d.host.Unlock()
	now := time.Now()
	owned := d.host.OwnedShardsLocked()[shard.ID()] == shard
	if !owned || !d.machines.Loaded() || !d.host.HoldsLease(now) {
		return nil, now
	}
	writes := d.TurnLocked(shard, now)
	d.host.StepLocked(shard, now)
	return writes, now
}

// TurnLocked hands the granted evictions to a shard, plans its next steps and returns the writes that
// record them.
func (d *Drainer) TurnLocked(shard *scheduler.Shard, now time.Time) []drain.Write {
	d.setCordonsLocked(shard)
	for _, eviction := range d.view.PendingEvictions(shard.ID()) {
		shard.Evict(eviction, now)
	}
	return d.planWritesLocked(shard, now)
}

// RefreshCordonsLocked sets the cordons of a shard's machines, if the drain records have changed since
// they were last set.
func (d *Drainer) RefreshCordonsLocked(shard *scheduler.Shard) {
	if d.Enabled() && shard.CordonsGeneration() != d.view.Generation() {
		d.setCordonsLocked(shard)
	}
}

// setCordonsLocked sets the cordons of a shard's machines from the view, and makes the shard report
// interruptions.
func (d *Drainer) setCordonsLocked(shard *scheduler.Shard) {
	shard.WatchInterruptions(true)
	ready := d.readyLocked()
	active := d.activePlansLocked()
	cordons := d.view.Cordons().Rec.Machines
	shard.SetCordons(d.view.Generation(), func(m *scheduler.Machine) (scheduler.Cordon, bool) {
		cordon, cordoned := cordons[m.ID]
		plan, known := d.view.Plan(cordon.Drain)
		if cordoned && known && !plan.Rec.State.Terminal() {
			if ready && plan.Rec.State == drain.Active {
				return scheduler.CordonedForRelease, false
			}
			return scheduler.Cordoned, false
		}
		return scheduler.NotCordoned, slices.ContainsFunc(active, func(p drain.Plan) bool {
			return p.Selects(m.ID, m.Type.Name, m.Zone, m.ProvisionedAt())
		})
	})
}

// activePlansLocked returns the plans of the active drains.
func (d *Drainer) activePlansLocked() []drain.Plan {
	var active []drain.Plan
	for _, plan := range d.view.Plans() {
		if plan.Rec.State == drain.Active {
			active = append(active, plan.Rec)
		}
	}
	return active
}

// planWritesLocked plans a shard's next steps and returns the writes that record them.
func (d *Drainer) planWritesLocked(shard *scheduler.Shard, now time.Time) []drain.Write {
	ledgers := d.currentLedgersLocked(shard, now)
	builder := &drain.TxnBuilder{
		Input: drain.Input{Now: now, Settings: d.settings, View: d.view, Shard: shard.ID(), MaxRecordBytes: d.cfg.Params.State.LowestLimits().MaxValueBytes()},
		Owner: wire.Condition{Key: record.ShardKey(shard.ID()), Version: shard.Token()},
		MachineGone: func(id string) bool {
			v, ok := d.machines.Machine(id)
			return !ok || v.Phase == record.Released
		},
	}
	var steps drain.Steps
	if d.readyLocked() {
		builder.Machines = shard.DrainMachines(d.view.MayCordonMore(), now)
		builder.Tokens, builder.Serving = d.ownerTokensLocked(), shard.ServingByZone(now)
		builder.Zones = builder.KnownZones(d.machines.InUseByZone())
		steps = drain.PlanSteps(&builder.Input, ledgers)
	}
	shard.SetReplacements(steps.NeedCapacity)
	builder.HoldTimes = d.addHoldTimesLocked(shard.ID(), steps.Held, now)
	return builder.Writes(steps, ledgers)
}

// currentLedgersLocked returns the teams' ledgers with a shard's losses that are not recorded yet, and
// with its recovered disruptions closed.
func (d *Drainer) currentLedgersLocked(shard *scheduler.Shard, now time.Time) *drain.Ledgers {
	var losses []drain.Loss
	for _, l := range d.losses {
		if l.Shard == shard.ID() {
			losses = append(losses, l)
		}
	}
	ledgers := drain.NewLedgers(d.view)
	ledgers.AddLosses(losses)
	ledgers.CloseRecovered(shard.ID(), shard.OutcomeOf, now)
	return ledgers
}

// ownerTokensLocked returns the fencing tokens of all shards' owners, by shard. For a shard without an
// owner the token is one that no owner ever had.
func (d *Drainer) ownerTokensLocked() map[int]uint64 {
	tokens := map[int]uint64{}
	for shard := range d.cfg.Params.Count {
		ownership, _ := d.cluster.Shard(shard)
		tokens[shard] = ownership.Version
	}
	return tokens
}

// addHoldTimesLocked adds the time since the last turn to the hold times of the machines in held. It
// returns the shard's hold times that are not recorded yet, by drain and reason.
func (d *Drainer) addHoldTimesLocked(shard int, held []drain.HeldMachine, now time.Time) map[string]map[drain.HoldReason]time.Duration {
	times := d.holdTimes[shard]
	if times == nil {
		times = &shardHoldTimes{updatedAt: now, byDrain: map[string]map[drain.HoldReason]time.Duration{}}
		d.holdTimes[shard] = times
	}
	elapsed := min(now.Sub(times.updatedAt), 2*turnInterval)
	times.updatedAt = now
	for _, h := range held {
		if times.byDrain[h.Drain] == nil {
			times.byDrain[h.Drain] = map[drain.HoldReason]time.Duration{}
		}
		times.byDrain[h.Drain][h.Reason] += elapsed
	}
	return times.byDrain
}

// writeApplied drops the hold times and losses that a committed write has recorded; turn is the time of
// the turn that planned it.
func (d *Drainer) writeApplied(shard int, w drain.Write, turn time.Time) {
	d.host.Lock()
	defer d.host.Unlock()
	if w.Progress != "" {
		delete(d.holdTimes[shard].byDrain, w.Progress)
	}
	d.losses = slices.DeleteFunc(d.losses, func(l drain.Loss) bool {
		return w.Team != "" && l.Team == w.Team && l.Shard == shard && l.At <= turn.UnixMilli()
	})
}
