package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// secondAttempt holds up one of the direct commands that start a job's tasks for 12 s; a second copy of it is carried
// out at once. Meanwhile the tasks are stopped for a more urgent job, start again on the same machine, and move to
// another one for a second urgent job.
func secondAttempt(record string, trouble bool) {
	o := smallDeployment()
	o.capacity = 2
	w := newWorld(o, record)
	var held atomic.Bool
	w.hold = func(m *worker, calls []call) time.Duration {
		if !trouble {
			return 0
		}
		for _, c := range calls {
			if c.Call == "run" && c.Berry == "run-000003/0" && held.CompareAndSwap(false, true) {
				return 12 * time.Second
			}
		}
		return 0
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	w.awaitReady(30 * time.Second)
	here, there := o.zones[0], o.zones[1]
	base := spec{Thicket: "roster-ingest", Keeper: "solver-desk-00", Seedling: "img-01", Pull: 0.4, Ripen: 60, Berries: 1}
	service := base
	service.Ref, service.Habit, service.Rank, service.Patch, service.Cores, service.Cards, service.RAM = "run-000001", "standing", "prod", &here, 10, 2, 20
	w.submit(service, 0)
	full := service
	full.Ref, full.Patch, full.Cores, full.RAM = "run-000002", &there, 16, 60
	filler := w.submit(full, 0)
	w.await("the services run", 60*time.Second, func() bool { return w.runsOn("run-000001/0") != nil && w.runsOn("run-000002/0") != nil })
	time.Sleep(4 * time.Second)
	m := w.runsOn("run-000001/0")

	low := base
	low.Ref, low.Habit, low.Rank, low.Berries, low.Cores, low.RAM = "run-000003", "batch", "low", 2, 3, 5
	w.submit(low, 0, 0)
	running := func(on string) func() bool {
		return func() bool {
			a, b := w.runsOn("run-000003/0"), w.runsOn("run-000003/1")
			return a != nil && b != nil && (a.id == m.id) == (on == "same") && (b.id == m.id) == (on == "same")
		}
	}
	w.await("the tasks run", 10*time.Second, running("same"))
	begin := time.Now()
	urgent := base
	urgent.Habit, urgent.Rank, urgent.Patch, urgent.Cores, urgent.RAM, urgent.Ripen = "batch", "urgent", &here, 6, 10, 1
	for i := range 2 {
		if i == 1 { // the other machine gets room
			if state, ok := w.cancel(filler, 10*time.Second); !ok || state != "aborted" {
				unable("the filler was not cancelled")
			}
		}
		urgent.Ref = fmt.Sprintf("run-%06d", 10+i)
		j := w.submit(urgent, 500*time.Millisecond)
		w.await(urgent.Ref+" done", 15*time.Second, func() bool { return j.isDone(0) })
		w.await("the tasks run again", 10*time.Second, running([]string{"same", "other"}[i]))
	}
	w.rec.note("%.1f s after the first start the tasks run on the other machine", time.Since(begin).Seconds())
	time.Sleep(time.Until(begin.Add(15 * time.Second)))
	if trouble && !held.Load() {
		unable("no direct start was sent")
	}
	w.finish()
}
