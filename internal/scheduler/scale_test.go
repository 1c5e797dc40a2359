package scheduler

import (
	"fmt"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// maxMachinesPerShard is the most machines that one shard may have, when one controller has acquired
// all shards of the largest deployment.
const maxMachinesPerShard = 4000

// newBusyShard returns a shard of many machines in two zones, all of them busy, and so many jobs that
// wait for room.
func newBusyShard(t testing.TB, machines, waiting int) *harness {
	r := newHarness(t)
	r.cfg.PlacementsPerRecord, r.cfg.ValueBytes, r.cfg.TxnOps = PlacementsPerRecord(16), 16<<10, 24
	r.failOver()
	r.cfg.PreemptAfter = time.Second
	delete(r.cfg.Teams, "a")
	for first := 0; first < machines; first += 50 {
		zone := []string{"z1", "z2"}[first/50%2]
		provision := record.Provision{Type: "big", Zone: zone, CreatedAt: r.clock.Now().UnixMilli()}
		for i := first; i < min(first+50, machines); i++ {
			id := fmt.Sprintf("i-%06d", i)
			provision.IDs, provision.Shards = append(provision.IDs, id), append(provision.Shards, 0)
			r.workers[id] = testkit.NewWorker(id, "big", zone, false)
		}
		r.applyRecord(r.state.Put(record.ProvisionKey(fmt.Sprint("r", first)), provision))
	}
	r.heartbeat()
	for i := range machines / 40 {
		s := spec(fmt.Sprintf("run-%06d", i), "b", wire.Array, "normal", 80, 1)
		s.Image = fmt.Sprint("img-", i%16)
		r.submit(s)
	}
	r.carryOutEffects()
	r.heartbeats(2)
	for i := range waiting {
		kind, priority, tasks, gpus := wire.Array, "normal", 20, 1.0
		switch i % 4 {
		case 0:
			kind, priority, tasks, gpus = wire.Gang, "normal", 8, 2
		case 1:
			kind, priority, tasks = wire.Service, "normal", 4
		}
		s := spec(fmt.Sprintf("run-9%05d", i), "b", kind, priority, tasks, gpus)
		s.Image = fmt.Sprint("img-", i%16)
		s.OneZone, s.Spread = kind == wire.Gang, kind == wire.Service
		r.submit(s)
	}
	r.carryOutEffects()
	return r
}

// Placement after a heartbeat or the end of a task examines the waiting jobs and the machines that
// may run them, not all machines.
func TestPlacementExaminesFewMachines(t *testing.T) {
	const machines, waiting = 600, 60
	r := newBusyShard(t, machines, waiting)
	r.clock.Advance(preemptionRetry)
	r.carryOutEffects() // preemption for the waiting jobs has just been tried and has freed no room
	r.shard.inventory.candidatesExamined = 0
	w := r.workers["i-000007"]
	for name := range w.Tasks {
		w.ExitTask(name, wire.Done)
		break
	}
	rep := w.NextHeartbeat()
	r.shard.Heartbeat(&rep, false, r.clock.Now())
	if eff := r.shard.Step(r.clock.Now()); len(eff.Txns) == 0 {
		t.Fatal("no task placed where another one ended")
	}
	if r.shard.inventory.candidatesExamined > 2*waiting {
		t.Errorf("examined %d machines and jobs with %d waiting jobs and %d machines, want two per waiting job at most", r.shard.inventory.candidatesExamined, waiting, machines)
	}
}

// BenchmarkHeartbeat measures a heartbeat in which nothing has changed.
func BenchmarkHeartbeat(b *testing.B) {
	r := newBusyShard(b, maxMachinesPerShard, 100)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w := r.workers[fmt.Sprintf("i-%06d", i%maxMachinesPerShard)]
		rep := w.NextHeartbeat()
		r.clock.Advance(r.cfg.HeartbeatInterval / maxMachinesPerShard)
		r.shard.Heartbeat(&rep, false, r.clock.Now())
		r.shard.Step(r.clock.Now())
	}
}

// BenchmarkTaskEnds measures a heartbeat that reports the end of a task, after which another one is
// placed.
func BenchmarkTaskEnds(b *testing.B) {
	r := newBusyShard(b, maxMachinesPerShard, 100)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w := r.workers[fmt.Sprintf("i-%06d", i%maxMachinesPerShard)]
		for name, t := range w.Tasks {
			if t.State == wire.Running {
				w.ExitTask(name, wire.Done)
				break
			}
		}
		rep := w.NextHeartbeat()
		r.clock.Advance(10 * time.Millisecond)
		now := r.clock.Now()
		if o, v := r.shard.Heartbeat(&rep, false, now); v == Answered {
			w.Execute(o)
		}
		for _, t := range r.shard.Step(now).Txns {
			r.shard.Applied(t, r.state.Put("x", 1).Version, now)
		}
	}
}

// BenchmarkHealth measures a step in which nothing is due but the check of each machine, as four
// times a second.
func BenchmarkHealth(b *testing.B) {
	r := newBusyShard(b, maxMachinesPerShard, 0)
	now := r.clock.Now()
	b.ReportAllocs()
	for b.Loop() {
		r.shard.health.checkedAt = time.Time{}
		r.shard.Step(now)
	}
}

// BenchmarkSummary measures the summary that the leader gets each second.
func BenchmarkSummary(b *testing.B) {
	r := newBusyShard(b, maxMachinesPerShard, 100)
	b.ReportAllocs()
	for b.Loop() {
		r.shard.Summary(r.clock.Now())
	}
}
