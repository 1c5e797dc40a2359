package controller

import (
	"testing"
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// BenchmarkDrainTurn measures the turn of an owner for the largest fleet: idle is without a drain.
// In choosing and waiting a drain selects a third of the machines, of which 200 are cordoned:
// fewer than its limit, or as many.
func BenchmarkDrainTurn(b *testing.B) {
	for name, maxConcurrent := range map[string]int{"idle": 0, "choosing": 400, "waiting": 200} {
		b.Run(name, func(b *testing.B) {
			c, _, workers := fleetController(b, largestFleetMachines, largestFleetJobs)
			exchangeHeartbeats(b, c, workers)
			now := time.Now()
			c.drainer.Enable(drainSettings(drainBudget), &c.cfg.Params)
			budgets := drainSettings(drainBudget).Fingerprint()
			version := uint64(1 << 40)
			put := func(key string, v any) {
				version++
				c.applyClusterChange(wire.Change{Put: key, Value: record.Encode(v), Version: version}, now)
			}
			for _, label := range c.cfg.Labels() {
				put(drain.ParticipantKey(label), drain.Participant{Budgets: budgets})
			}
			shard := c.shards.GetLocked(0)
			if maxConcurrent > 0 {
				plan := drain.Plan{Name: "all", MaxConcurrent: maxConcurrent, State: drain.Active, Created: now.Add(time.Hour).UnixMilli()}
				cordons := drain.Cordons{Machines: map[string]drain.Cordon{}}
				for i := range largestFleetMachines / 3 {
					plan.Selector.Machines = append(plan.Selector.Machines, machineName(i))
					if i < 200 {
						cordons.Machines[machineName(i)] = drain.Cordon{Drain: "all", Since: now.UnixMilli(), Zone: "z"}
					}
				}
				put(drain.PlanKey("all"), plan)
				owned, _ := c.cluster.Shard(0)
				serving, _ := drain.Serving{}.Update(owned.Version, version, shard.ServingByZone(now))
				put(drain.ServingKey(0), serving)
				put(drain.CordonsKey, cordons)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.mu.Lock()
				if c.drainer.InUseLocked() {
					c.drainer.TurnLocked(shard, now)
				}
				c.mu.Unlock()
			}
		})
	}
}
