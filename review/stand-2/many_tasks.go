package main

import (
	"fmt"
	"time"
)

// manyTasks submits three arrays of 500 small tasks at once, where usually one comes. All tasks fit on one machine, on which
// a service runs.
func manyTasks(record string, trouble bool) {
	o := smallDeployment()
	w := newWorld(o, record)
	for _, n := range w.nodes {
		w.start(n)
	}
	w.awaitReady(30 * time.Second)
	service := spec{Ref: "run-000001", Thicket: "ratiba-live", Keeper: "solver-desk-00", Habit: "standing", Rank: "prod", Berries: 1, Cores: 1, Cards: 0, RAM: 3,
		Seedling: "img-01", Pull: 0.4}
	w.submit(service, 0)
	w.await("the service runs", 45*time.Second, func() bool { return w.runsOn("run-000001/0") != nil })
	m := w.runsOn("run-000001/0")
	time.Sleep(2 * time.Second)
	tiny := service
	tiny.Ref, tiny.Thicket, tiny.Habit, tiny.Rank, tiny.Cores, tiny.RAM, tiny.Ripen = "run-000002", "roster-ingest", "batch", "low", 0.005, 0.02, 45
	tiny.Berries = 500
	count := 1
	if trouble {
		count = 3
	}
	runs := make([]time.Duration, tiny.Berries)
	for i := range runs {
		runs[i] = 45 * time.Second
	}
	var jobs []*job
	for i := range count {
		tiny.Ref = fmt.Sprintf("run-%06d", 2+i)
		jobs = append(jobs, w.submit(tiny, runs...))
	}
	left := count
	for end := time.Now().Add(85 * time.Second); left > 0 && time.Now().Before(end); time.Sleep(5 * time.Second) {
		left = 0
		for _, j := range jobs {
			if w.status(w.nodes[0], j.spec.Ref).bloom != "done" {
				left++
			}
		}
	}
	m.mu.Lock()
	season := m.season
	m.mu.Unlock()
	if season > 1 {
		w.breakRule("the service on %s was killed: no report of the machine was answered for longer than its lease", m.id)
	}
	if left > 0 {
		w.breakRule("%d of %d arrays, whose tasks run 45 s, are not done after 85 s", left, count)
	}
	w.finish()
}
