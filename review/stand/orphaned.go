package main

import (
	"fmt"
	"sync"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

func init() { cases["orphaned"] = orphaned }

// dependents is the number of jobs that name the cancelled job.
const dependents = 90

// orphaned cancels a job that others name. Right after its user was told, the state service is out for
// longer than cancel_s. Users then ask for the dependents.
func orphaned(rec *recorder, trouble bool) int {
	c, err := newCluster(rec, compressa, options{})
	if err != nil {
		rec.say("not started: %v", err)
		return invalid
	}
	defer c.stop()
	if !c.awaitReady(15 * time.Second) {
		rec.say("controllers not ready")
		return invalid
	}
	length := testkit.JobDurations{Run: time.Hour, Fetch: time.Second}
	teams := []string{"sizing-desk", "bench-lab", "cert-office"}
	root := array("run-000100", teams[0], 1)
	if !c.submit(root, length, 20*time.Second) {
		return invalid
	}
	var refs []string
	var wg sync.WaitGroup
	accepted := make([]bool, dependents)
	for i := range dependents {
		spec := array(fmt.Sprintf("run-%06d", 200+i), teams[i%3], 1)
		spec.DependsOn = []string{root.Ref}
		refs = append(refs, spec.Ref)
		wg.Go(func() { accepted[i] = c.submit(spec, length, 30*time.Second) })
	}
	wg.Wait()
	for _, ok := range accepted {
		if !ok {
			rec.say("a dependent was not accepted")
			return invalid
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(300 * time.Millisecond) {
		if _, state := c.poll(labels[0], root.Ref); state == wire.Running {
			break
		}
		if time.Now().After(end) {
			rec.say("the root does not run")
			return invalid
		}
	}
	time.Sleep(2 * time.Second)
	state, told := c.withdraw(root.Ref, 20*time.Second)
	if state != wire.Cancelled {
		rec.say("the cancellation was answered %q", state)
		return invalid
	}
	if trouble {
		c.world.State.Outage(true)
		rec.say("outage of the state service begins; %d active records", len(c.world.State.Entries("open/")))
	}
	outage := compressa.cancel + 8*time.Second

	var mu sync.Mutex
	wrong, answered := 0, 0
	end := told.Add(outage + 25*time.Second)
	for i, ref := range refs {
		wg.Go(func() { // a user: polls every 5 s until the job is over
			time.Sleep(time.Duration(i) * 5 * time.Second / dependents)
			for n := i; time.Now().Before(end); n++ {
				asked := time.Now()
				status, state := c.poll(labels[n%3], ref)
				late := asked.Sub(told) > compressa.cancel
				if status == 200 && state == wire.Cancelled {
					mu.Lock()
					answered++
					mu.Unlock()
					return
				}
				if status == 200 && late {
					mu.Lock()
					wrong++
					mu.Unlock()
					rec.say("orphaned: %s is called %s %.1f s after its user was told that %s is cancelled", ref, state, asked.Sub(told).Seconds(), root.Ref)
				}
				time.Sleep(5 * time.Second)
			}
		})
	}
	if trouble {
		time.Sleep(time.Until(told.Add(outage)))
		c.world.State.Outage(false)
		rec.say("outage of the state service ends")
	}
	wg.Wait()
	rec.say("%d of %d dependents were reported as cancelled, %d answers broke the rule", answered, dependents, wrong)
	if wrong > 0 {
		return broken
	}
	return held
}
