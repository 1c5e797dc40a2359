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

// largeLoopback is a fleet of any size; its state service grows with it.
func largeLoopback(machines int) loopbackSize {
	return loopbackSize{report: 4 * time.Second, rps: 300 + float64(machines)/4, writeRPS: 100 + float64(machines)/10,
		operations: "[restart]\nsettle_within_s = 30.0\n", processorSeconds: 2}
}

// tasksOfJob is the size of the jobs that fill a fleet: one task for each machine, with room
// for as many more.
const tasksOfJob = 10

// addFleet rents machines for all parts in turn, and records them.
func (l *loopback) addFleet(machines int) {
	l.t.Helper()
	api := l.world.Rentals(l.t.Context(), testkit.TestEnd)
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
			r.Shards = append(r.Shards, i%partsWithMachines) // where the teams' jobs are
		}
		put := wire.Txn{Then: []wire.Op{{Put: record.ProvisionKey(fmt.Sprint("fleet-", n)), Value: record.Encode(r)}}}
		if err := l.world.State.Put(put); err != nil {
			l.t.Fatal(err)
		}
	}
}

// partsWithMachines is how many parts have machines: those of the teams.
const partsWithMachines = 2

// settled reports whether every part with machines has settled since a time, and how long
// after it the last one had.
func (l *loopback) settled(since time.Time) (longest time.Duration, ok bool) {
	parts := map[int]bool{}
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
			for _, part := range episode.Shards {
				parts[part] = true
			}
			longest = max(longest, time.UnixMilli(episode.CompletedAt).Sub(since))
		}
	}
	return longest, len(parts) >= partsWithMachines
}

// BenchmarkRestartOverLoopback measures three real processes that all end, while half of the
// fleet's room is in use, and start again: the time until all has settled, and what the
// processes needed of the state service, of processors and of memory until then.
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
	l := newLoopbackOf(b, 1, largeLoopback(machines))
	l.addFleet(machines)
	jobs := machines / tasksOfJob
	for n := range jobs {
		spec := loopbackJob(n)
		spec.Tasks = tasksOfJob
		l.submitLater(spec, testkit.Length{Run: time.Hour, Fetch: 200 * time.Millisecond})
	}
	running := func() int {
		n := 0
		for _, m := range l.world.Machines() {
			n += len(m.Tasks())
		}
		return n
	}
	l.await("all tasks running", func() bool { return running() == machines })
	for _, label := range loopbackLabels {
		l.kill(label)
	}
	before := map[string]int64{}
	for _, label := range loopbackLabels {
		before[label] = l.served[label].Load()
	}
	time.Sleep(2 * time.Second)
	back := time.Now()
	for _, label := range loopbackLabels {
		l.start(label)
	}
	var took time.Duration
	l.await("settled", func() (ok bool) {
		took, ok = l.settled(back)
		return ok
	})
	if n := running(); n != machines {
		b.Errorf("%d tasks run after the restart, of %d", n, machines)
	}
	var requests int64
	var processor time.Duration
	var memory float64
	for _, label := range loopbackLabels {
		l.kill(label)
		requests += l.served[label].Load() - before[label]
		processor += l.used[label].processor
		memory = max(memory, l.used[label].memoryMB)
	}
	b.ReportMetric(took.Seconds(), "s-settled")
	b.ReportMetric(float64(requests), "requests")
	b.ReportMetric(processor.Seconds(), "processor-s")
	b.ReportMetric(memory, "MB-peak")
}
