package main

import (
	"sync/atomic"
	"time"
)

// lateStart holds up one direct start for 14 s. Meanwhile the same start reaches the worker with the answer to a
// report, the task completes, and the job is cancelled.
func lateStart(record string, trouble bool) {
	o := smallDeployment()
	o.capacity = 1
	w := newWorld(o, record)
	var held atomic.Bool
	w.hold = func(m *worker, calls []call) time.Duration {
		if trouble && len(calls) == 1 && calls[0].Call == "run" && calls[0].Berry == "run-000003/0" && held.CompareAndSwap(false, true) {
			return 14 * time.Second
		}
		return 0
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	w.awaitReady(30 * time.Second)
	base := spec{Thicket: "roster-ingest", Keeper: "solver-desk-00", Habit: "batch", Rank: "normal", Berries: 1, Seedling: "img-01", Pull: 0.4, Ripen: 100}
	fill := base
	fill.Ref, fill.Cores, fill.Cards, fill.RAM = "run-000001", 14, 2, 51
	w.submit(fill, 0)
	fill.Ref, fill.Cores, fill.Cards, fill.RAM = "run-000002", 1, 0, 3.2
	w.submit(fill, 0)
	w.await("the machine runs the first jobs", 45*time.Second, func() bool { return w.runsOn("run-000001/0") != nil && w.runsOn("run-000002/0") != nil })
	time.Sleep(5 * time.Second)

	array := base
	array.Ref, array.Berries, array.Cores, array.RAM = "run-000003", 2, 1, 3.2
	j := w.submit(array, 400*time.Millisecond, 0)
	w.await("the second task runs", 20*time.Second, func() bool { return w.runsOn("run-000003/1") != nil })
	m := w.runsOn("run-000003/1")
	// The user cancels once the first task is done and no longer reported.
	w.await("the first task is forgotten", 10*time.Second, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return j.isDone(0) && m.find("run-000003/0", 1) == nil
	})
	if state, ok := w.cancel(j, 20*time.Second); !ok || state != "aborted" {
		unable("the cancellation was answered %q", state)
	}
	time.Sleep(16 * time.Second)
	if trouble && !held.Load() {
		unable("no direct start was sent")
	}
	w.finish()
}
