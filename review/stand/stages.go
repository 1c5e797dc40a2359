package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

func init() { cases["stages"] = stages }

const (
	stageJobs  = 10 // jobs in each stage of the pipeline
	stageCount = 16 // stages
	// forgottenAfter is how long no question about a job may stay without an answer.
	forgottenAfter = 75 * time.Second
)

// estimates returns the estimates of the jobs of each stage, in seconds, in rising order. The jobs of a
// stage run twice as long as those of the stage before. The estimates are right or, if wrong is set, wrong
// by up to half. They are the same in every run.
func estimates(wrong bool) [][]float64 {
	rnd := rand.New(rand.NewPCG(1, 2))
	out := make([][]float64, stageCount)
	run := 0.01
	for stage := range out {
		for range stageJobs {
			estimate := run
			if wrong {
				estimate *= 0.5 + rnd.Float64()
			}
			out[stage] = append(out[stage], estimate)
		}
		slices.Sort(out[stage])
		run *= 2
	}
	return out
}

// stages submits a pipeline of stages, in which each job names all jobs of the stage before. The deadline
// stands on the last job. The trouble is that the estimates are wrong by up to half.
func stages(rec *recorder, trouble bool) int {
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
	limit := c.limitMemory()
	defer limit.stop()

	length := testkit.JobDurations{Run: time.Hour, Fetch: time.Second}
	plain := array("run-000001", "sizing-desk", 1)
	gate := array("run-000100", "bench-lab", 1)
	for _, spec := range []wire.Spec{plain, gate} {
		spec.Spot = false
		if !c.submit(spec, length, 20*time.Second) {
			return invalid
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(300 * time.Millisecond) {
		if _, state := c.poll(labels[0], plain.Ref); state == wire.Running {
			break
		}
		if time.Now().After(end) {
			rec.say("%s does not run", plain.Ref)
			return invalid
		}
	}

	before := []string{gate.Ref}
	for stage, estimate := range estimates(trouble) {
		refs := make([]string, stageJobs)
		accepted := make([]bool, stageJobs)
		var wg sync.WaitGroup
		for i := range stageJobs {
			spec := array(fmt.Sprintf("run-%06d", 1000+100*stage+i), "cert-office", 2)
			spec.CPUs, spec.GPUs, spec.MemoryGB, spec.Priority = 1, 0, 3.2, "low"
			spec.DependsOn = before
			spec.EstimateS = estimate[i]
			refs[i] = spec.Ref
			wg.Go(func() { accepted[i] = c.submit(spec, length, 20*time.Second) })
		}
		wg.Wait()
		for i, ok := range accepted {
			if !ok {
				rec.say("%s was not accepted", refs[i])
				return invalid
			}
		}
		before = refs
	}
	rec.say("%d jobs of %d stages are accepted", stageJobs*stageCount, stageCount)
	if time.Since(rec.start) > 38*time.Second {
		rec.say("this machine is too slow: the case would take longer than two minutes")
		return invalid
	}
	if status, state := c.poll(labels[1], plain.Ref); status != 200 || state != wire.Running {
		rec.say("%s is called %d %s before the last job", plain.Ref, status, state)
		return invalid
	}

	last := array("run-009000", "cert-office", 1)
	last.DependsOn, last.Priority = before, "urgent"
	deadline := 3600.0
	last.DeadlineS = &deadline
	begin := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		rec.say("the last job, with the deadline, is submitted")
		rec.say("the last job: accepted %t", c.submit(last, length, 60*time.Second))
	})
	time.Sleep(time.Second)
	lastAnswer := begin
	longest := time.Duration(0)
	asked, answered := 0, 0
	for n := 0; time.Since(begin) < forgottenAfter+5*time.Second; n++ {
		asked++
		if status, _ := c.poll(labels[n%3], plain.Ref); status == 200 {
			answered++
			lastAnswer = time.Now()
		}
		longest = max(longest, time.Since(lastAnswer))
		time.Sleep(time.Second)
	}
	wg.Wait()
	sessions := 0
	for _, m := range c.world.Machines() {
		if m.Session() > 1 {
			sessions++
		}
	}
	rec.say("%d of %d questions about %s were answered; the longest time without an answer was %.1f s", answered, asked, plain.Ref, longest.Seconds())
	rec.say("%d times a controller was over its memory; %d of %d machines lost their lease and their tasks", limit.kills(), sessions, len(c.world.Machines()))
	if longest > forgottenAfter {
		rec.say("forgotten: no question about %s was answered for %.1f s", plain.Ref, longest.Seconds())
		return broken
	}
	return held
}
