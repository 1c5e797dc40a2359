package main

import (
	"time"
)

// manyTasks submits an array of 1,500 small tasks, which all fit on one machine. A service of another team runs there.
func manyTasks(record string, trouble bool) {
	o := smallDeployment()
	o.teams += "[[params.teams]]\nname = \"solver-desk-03\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 8.0\ngpus_max = 32.0\n"
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
	tiny.Berries = 300
	if trouble {
		tiny.Berries = 1500
	}
	runs := make([]time.Duration, tiny.Berries)
	for i := range runs {
		runs[i] = 45 * time.Second
	}
	j := w.submit(tiny, runs...)
	done := false
	for end := time.Now().Add(85 * time.Second); !done && time.Now().Before(end); time.Sleep(5 * time.Second) {
		done = w.status(w.nodes[0], j.spec.Ref).bloom == "done"
	}
	m.mu.Lock()
	season := m.season
	m.mu.Unlock()
	if season > 1 {
		w.breakRule("the service on %s was killed: no report of the machine was answered for longer than its lease", m.id)
	}
	if !done {
		w.breakRule("%s is not done after 85 s", j.spec.Ref)
	}
	w.finish()
}
