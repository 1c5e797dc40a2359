package main

import (
	"time"
)

// sickMachine lets a machine fail every task that it starts, for some seconds. A job that failed there once must
// run once the trouble is over: the machine has room for it all the time.
func sickMachine(record string, trouble bool) {
	o := smallDeployment()
	w := newWorld(o, record)
	for _, n := range w.nodes {
		w.start(n)
	}
	w.awaitReady(30 * time.Second)
	base := spec{Thicket: "ratiba-live", Keeper: "solver-desk-00", Habit: "standing", Rank: "prod", Berries: 1, Cores: 5, Cards: 1, RAM: 19,
		Seedling: "img-01", Pull: 0.4}
	service := base
	service.Ref = "run-000001"
	w.submit(service, 0)
	w.await("the service runs", 45*time.Second, func() bool { return w.runsOn("run-000001/0") != nil })
	m := w.runsOn("run-000001/0")
	time.Sleep(2 * time.Second)
	if trouble {
		m.setSick(true)
	}
	batch := base
	batch.Ref, batch.Thicket, batch.Habit, batch.Rank, batch.Cores, batch.RAM, batch.Ripen = "run-000002", "term-rebuild", "batch", "normal", 6, 24, 10
	j := w.submit(batch, 2*time.Second)
	if trouble {
		w.await("the task fails", 20*time.Second, func() bool { return m.failures() > 0 })
		m.setSick(false)
	}
	over := time.Now()
	for !j.isDone(0) && time.Since(over) < 91*time.Second {
		time.Sleep(100 * time.Millisecond)
	}
	if !j.isDone(0) {
		w.breakRule("run-000002 has waited for %.0f s since the trouble was over, although %s has room for it", time.Since(over).Seconds(), m.id)
	}
	w.status(w.nodes[0], "run-000002")
	w.finish()
}
