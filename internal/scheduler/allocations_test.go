package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// Each bound is about one and a half times the usual figure, so that twice the work fails.
const (
	heartbeatAllocs        = 1    // usual figure: 0
	bytesPerMachine        = 2300 // usual figure: 1500
	summaryBytesPerMachine = 270  // usual figure: 180
)

// startAllocs bounds the allocations for one start, by the number of machines of the shard. The
// usual figures are 506, 1073 and 1577, nearly all for encoding the placement record.
var startAllocs = map[int]float64{40: 760, 400: 1600, 1600: 2400}

// fleetHarness returns a harness whose shard has a number of machines, with a number of tasks
// running on every 40 of them.
func fleetHarness(t testing.TB, machines, tasks int) *harness {
	r := newHarness(t)
	r.cfg.PlacementsPerRecord, r.cfg.ValueBytes, r.cfg.TxnOps = PlacementsPerRecord(16), 16<<10, 24
	r.failOver()
	for at := 0; at < machines; at += 50 {
		provision := record.Provision{Type: "big", Zone: "z1", CreatedAt: r.clock.Now().UnixMilli()}
		for i := at; i < min(at+50, machines); i++ {
			id := fmt.Sprintf("i-%06d", i)
			provision.IDs, provision.Shards = append(provision.IDs, id), append(provision.Shards, 0)
			r.workers[id] = testkit.NewWorker(id, "big", "z1", false)
		}
		r.applyRecord(r.state.Put(record.ProvisionKey(fmt.Sprint("r", at)), provision))
	}
	r.heartbeat()
	for i := range machines / 40 {
		r.submit(spec(fmt.Sprintf("run-%06d", i), "b", wire.Array, "normal", tasks, 1))
	}
	r.carryOutEffects()
	r.heartbeats(3)
	return r
}

// A heartbeat that reports no change costs the same few allocations whatever the size of the
// fleet: those of its response and of its comparison with the ledger.
func TestHeartbeatAllocationsDoNotGrowWithTheFleet(t *testing.T) {
	for _, machines := range []int{40, 400} {
		r := fleetHarness(t, machines, 80)
		const id = "i-000000"
		rep := r.workers[id].NextHeartbeat()
		if len(rep.Tasks) != 2 {
			t.Fatalf("%d tasks on the machine, want 2", len(rep.Tasks))
		}
		now := r.clock.Now()
		r.shard.Step(now)
		got := testing.AllocsPerRun(200, func() {
			rep.Seq++
			if _, v := r.shard.Heartbeat(&rep, false, now); v != Answered {
				t.Fatal("the heartbeat was not answered")
			}
			r.shard.Step(now)
		})
		if m := r.shard.inventory.byID[id]; m.contact.seq != rep.Seq || !m.contact.fenced {
			t.Fatal("the heartbeat was not applied")
		}
		if got > heartbeatAllocs {
			t.Errorf("%d machines: %.0f allocations for a heartbeat, want %d at most", machines, got, heartbeatAllocs)
		}
	}
}

// In the largest fleet a heartbeat, the summary for the leader and the memory for a machine
// with its tasks cost no more than in small fleets.
func TestLargestFleetCostsWhatSmallOnesDo(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := fleetHarness(t, maxMachinesPerShard, 80)
	r.workers, r.state, r.fleet = map[string]*testkit.Worker{"i-003999": r.workers["i-003999"]}, nil, nil // so that the memory that only the test uses is not counted
	runtime.GC()
	runtime.ReadMemStats(&after)
	if got := (after.HeapAlloc - before.HeapAlloc) / maxMachinesPerShard; got > bytesPerMachine {
		t.Errorf("%d bytes of memory for each machine, want %d at most", got, bytesPerMachine)
	}
	now := r.clock.Now()
	r.shard.Step(now)
	rep := r.workers["i-003999"].NextHeartbeat()
	got := testing.AllocsPerRun(200, func() {
		rep.Seq++
		if _, v := r.shard.Heartbeat(&rep, false, now); v != Answered {
			t.Fatal("the heartbeat was not answered")
		}
		r.shard.Step(now)
	})
	if len(rep.Tasks) != 2 || got > heartbeatAllocs {
		t.Errorf("%.0f allocations for a heartbeat with %d tasks, want 2 tasks and %d allocations at most", got, len(rep.Tasks), heartbeatAllocs)
	}
	runtime.ReadMemStats(&before)
	summary := r.shard.Summary(now)
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / maxMachinesPerShard; got > summaryBytesPerMachine || len(summary.Machines) != maxMachinesPerShard {
		t.Errorf("%d bytes allocated for each machine in a summary, want %d at most; %d machines in it", got, summaryBytesPerMachine, len(summary.Machines))
	}
}

// A machine with its two tasks takes little memory.
func TestBytesPerMachine(t *testing.T) {
	measureHeap := func(machines int) (*harness, uint64) {
		r := fleetHarness(t, machines, 80)
		r.workers, r.state, r.fleet = nil, nil, nil // so that the memory that only the test uses is not counted
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return r, m.HeapAlloc
	}
	small, a := measureHeap(200)
	large, b := measureHeap(1800)
	runtime.KeepAlive(small)
	runtime.KeepAlive(large)
	got := int64(b-a) / 1800
	if got > bytesPerMachine {
		t.Errorf("%d bytes of memory for each machine, want %d at most", got, bytesPerMachine)
	}
}

// A summary, which the leader gets each second, allocates little more than its own size.
func TestSummaryBytes(t *testing.T) {
	const machines, summaries = 400, 10
	r := fleetHarness(t, machines, 80)
	now := r.clock.Now()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range summaries {
		r.shard.Summary(now)
	}
	runtime.ReadMemStats(&after)
	got := (after.TotalAlloc - before.TotalAlloc) / (summaries * machines)
	if got > summaryBytesPerMachine {
		t.Errorf("%d bytes allocated for each machine in a summary, want %d at most", got, summaryBytesPerMachine)
	}
}

// The allocations for a job of one task until its start is recorded depend on the number of
// tasks that share its placement record, not on the number of machines or of all tasks.
func TestStartAllocations(t *testing.T) {
	for machines, most := range startAllocs {
		r := fleetHarness(t, machines, 60)
		n, writes := 0, 0
		got := testing.AllocsPerRun(10, func() {
			n++
			s := spec(fmt.Sprintf("run-8%05d", n), "b", wire.Array, "normal", 1, 1)
			r.shard.SetJob(s.Ref, record.ActiveJob{Spec: s}, uint64(1000+n), r.clock.Now().Add(time.Duration(n)*200*time.Millisecond))
			now := r.clock.Now().Add(time.Duration(n) * 200 * time.Millisecond)
			eff := r.shard.Step(now)
			for _, txn := range eff.Txns {
				r.shard.Applied(txn, uint64(2000+n), now)
				writes++
			}
			if j := r.shard.jobs[s.Ref]; j == nil || !j.tasks.at(0).recorded {
				t.Fatal("the job's start was not recorded")
			}
		})
		if writes != n {
			t.Errorf("%d machines: %d starts took %d writes, want one each", machines, n, writes)
		}
		if got > most {
			t.Errorf("%d machines: %.0f allocations for a job and its start, want %g at most", machines, got, most)
		}
	}
}
