package main

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/restart"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// benchmarkLoopback returns the size of a cluster with so many machines. The rate limits of the state service
// grow with their number.
func benchmarkLoopback(machines int) loopbackSize {
	return loopbackSize{heartbeat: 4 * time.Second, rps: 300 + float64(machines)/4, writeRPS: 100 + float64(machines)/10,
		operations: "[restart]\nsettle_within_s = 30.0\n", cpuShare: 2}
}

// tasksPerJob is the size of the jobs that fill a fleet. There is one task for each machine, which has
// room for another.
const tasksPerJob = 10

// provisionFleet provisions machines for the shards in turn, and records them.
func (l *loopback) provisionFleet(machines int) {
	l.t.Helper()
	api := l.world.CloudClient(l.t.Context(), testkit.TestSender)
	const batch = 50
	for n := 0; n < machines; n += batch {
		r := record.Provision{Type: "big", Zone: []string{"a", "b"}[n/batch%2], CreatedAt: time.Now().UnixMilli()}
		count := min(batch, machines-n)
		ids, err := api.Provision(l.t.Context(), wire.ProvisionRequest{Request: fmt.Sprint("fleet-", n), Type: r.Type, Zone: r.Zone, Count: count})
		if err != nil {
			l.t.Fatal(err)
		}
		r.IDs = ids
		for i := range ids {
			r.Shards = append(r.Shards, i%shardsWithMachines) // only the shards of the teams' jobs
		}
		put := wire.Txn{Then: []wire.Op{{Put: record.ProvisionKey(fmt.Sprint("fleet-", n)), Value: record.Encode(r)}}}
		if err := l.world.State.Put(put); err != nil {
			l.t.Fatal(err)
		}
	}
}

// shardsWithMachines is the number of shards that have machines: those of the teams.
const shardsWithMachines = 2

// reconciliationTime reports whether the reconciliation of every shard with machines has completed since a
// time, and how long after it the last one did.
func (l *loopback) reconciliationTime(since time.Time) (longest time.Duration, ok bool) {
	shards := map[int]bool{}
	for _, label := range loopbackLabels {
		e, known := l.world.State.Entry(restart.Key(label))
		var h restart.History
		if !known || json.Unmarshal(e.Value, &h) != nil {
			continue
		}
		for _, episode := range h.Episodes {
			if episode.BeganAt < since.UnixMilli() {
				continue
			}
			if episode.CompletedAt == 0 {
				return 0, false
			}
			for _, shard := range episode.Shards {
				shards[shard] = true
			}
			longest = max(longest, time.UnixMilli(episode.CompletedAt).Sub(since))
		}
	}
	return longest, len(shards) >= shardsWithMachines
}

// BenchmarkRestartOverLoopback measures the restart of three real processes, which are all killed while half
// of the fleet is in use: the time until reconciliation completes, and the requests to the state
// service, the processor time and the memory that the processes use until then.
func BenchmarkRestartOverLoopback(b *testing.B) {
	for _, machines := range []int{30, 300, 4000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for range b.N {
				measureRestart(b, machines)
			}
		})
	}
}

func measureRestart(b *testing.B, machines int) {
	l := newLoopbackWithSize(b, 1, benchmarkLoopback(machines))
	l.provisionFleet(machines)
	jobs := machines / tasksPerJob
	for n := range jobs {
		spec := loopbackJob(n)
		spec.Tasks = tasksPerJob
		l.submitLater(spec, testkit.JobDurations{Run: time.Hour, Fetch: 200 * time.Millisecond})
	}
	running := func() int {
		n := 0
		for _, m := range l.world.Machines() {
			n += len(m.Tasks())
		}
		return n
	}
	l.waitFor("all tasks running", func() bool { return running() == machines })
	for _, label := range loopbackLabels {
		l.kill(label)
	}
	requestsBefore := map[string]int64{}
	for _, label := range loopbackLabels {
		requestsBefore[label] = l.requests[label].Load()
	}
	time.Sleep(2 * time.Second)
	restartedAt := time.Now()
	for _, label := range loopbackLabels {
		l.start(label)
	}
	var elapsed time.Duration
	l.waitFor("reconciliation complete", func() (ok bool) {
		elapsed, ok = l.reconciliationTime(restartedAt)
		return ok
	})
	if n := running(); n != machines {
		b.Errorf("%d tasks run after the restart, want %d", n, machines)
	}
	var requests int64
	var processor time.Duration
	var memory float64
	for _, label := range loopbackLabels {
		l.kill(label)
		requests += l.requests[label].Load() - requestsBefore[label]
		processor += l.usage[label].processor
		memory = max(memory, l.usage[label].memoryMB)
	}
	b.ReportMetric(elapsed.Seconds(), "s-settled")
	b.ReportMetric(float64(requests), "requests")
	b.ReportMetric(processor.Seconds(), "processor-s")
	b.ReportMetric(memory, "MB-peak")
}
