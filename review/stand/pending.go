package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

func init() { cases["pending"] = pending }

// allowedLag is by how much the state in an answer may lag.
const allowedLag = 3 * time.Second

// pending ends one controller while jobs run, and starts it again after the time of the brief. Users go on
// asking for their jobs, each every 5 s.
func pending(rec *recorder, trouble bool) int {
	c, err := newCluster(rec, options{})
	if err != nil {
		rec.say("not started: %v", err)
		return invalid
	}
	defer c.stop()
	if !c.awaitReady(15 * time.Second) {
		rec.say("controllers not ready")
		return invalid
	}
	teams := []string{"sizing-desk", "bench-lab", "cert-office"}
	var refs []string
	for i := range 30 {
		spec := array(fmt.Sprintf("run-%06d", 300+i), teams[i%3], 1)
		spec.CPUs, spec.GPUs, spec.MemoryGB, spec.Spot = 1, 0, 2, false
		refs = append(refs, spec.Ref)
		if !c.submit(spec, testkit.JobDurations{Run: time.Hour, Fetch: time.Second}, 20*time.Second) {
			rec.say("%s not accepted", spec.Ref)
			return invalid
		}
	}
	running := func(ref string) bool { // as the workers see it
		return slices.ContainsFunc(c.world.Machines(), func(m *testkit.Agent) bool {
			h := m.RecentHeartbeats()
			return len(h) > 0 && slices.ContainsFunc(h[len(h)-1].Tasks, func(t wire.HeartbeatTask) bool {
				return t.Task == ref+"/0" && t.State == wire.Running
			}) && slices.Contains(m.Tasks(), ref+"/0")
		})
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(300 * time.Millisecond) {
		n := 0
		for _, ref := range refs {
			if _, state := c.poll(labels[n%3], ref); state == wire.Running && running(ref) {
				n++
			}
		}
		if n == len(refs) {
			break
		}
		if time.Now().After(end) {
			rec.say("%d of %d jobs run", n, len(refs))
			return invalid
		}
	}
	time.Sleep(allowedLag + time.Second)
	const killed = 2
	rec.say("all jobs are running and were told to be")
	up := []string{labels[0], labels[1]}
	if trouble {
		c.kill(labels[killed])
	}
	begin := time.Now()
	var mu sync.Mutex
	wrong, asked := 0, 0
	var wg sync.WaitGroup
	for i, ref := range refs {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Second / time.Duration(len(refs)))
			for n := i; time.Since(begin) < 20*time.Second; n++ {
				before := running(ref)
				at := time.Since(begin)
				status, state := c.poll(up[n%2], ref)
				mu.Lock()
				asked++
				mu.Unlock()
				if status == 200 && state == wire.Pending && before && running(ref) {
					mu.Lock()
					wrong++
					mu.Unlock()
					rec.say("%s is called pending %.1f s after the end of a controller; its task runs on its machine all the time", ref, at.Seconds())
				}
				time.Sleep(5 * time.Second)
			}
		})
	}
	if trouble {
		time.Sleep(4 * time.Second)
		if c.start(labels[killed]) != nil {
			return invalid
		}
	}
	wg.Wait()
	rec.say("%d answers, %d broke the rule", asked, wrong)
	if wrong > 0 {
		return broken
	}
	return held
}
