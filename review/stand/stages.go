package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

func init() { cases["stages"] = stages }

const (
	stageJobs  = 10 // jobs in each stage of the pipeline
	stageCount = 16 // stages
	memoryMB   = 70 // of each controller, by the settings
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
	stopPlatform := make(chan struct{})
	var platform sync.WaitGroup
	defer func() { close(stopPlatform); platform.Wait() }()
	killed := 0
	for _, label := range labels {
		platform.Go(func() { c.limitMemory(label, stopPlatform, &killed) })
	}

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
	rec.say("%d times a controller was over its memory; %d of %d machines lost their lease and their tasks", killed, sessions, len(c.world.Machines()))
	if longest > forgottenAfter {
		rec.say("forgotten: no question about %s was answered for %.1f s", plain.Ref, longest.Seconds())
		return broken
	}
	return held
}

// limitMemory is the platform: it kills a controller that holds more memory than its settings allow, and
// starts it again after the time of the brief.
func (c *cluster) limitMemory(label string, stop <-chan struct{}, killed *int) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		c.mu.Lock()
		cmd := c.procs[label]
		c.mu.Unlock()
		if cmd == nil {
			continue
		}
		rss := residentMB(cmd.Process.Pid)
		if rss <= memoryMB {
			continue
		}
		c.rec.say("controller %s holds %.0f MB of %d: killed", label, rss, memoryMB)
		c.signal(label, syscall.SIGKILL)
		c.kill(label)
		c.mu.Lock()
		*killed++
		c.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(c.site.restart):
		}
		c.start(label)
	}
}

// residentMB returns the resident memory of a process in MB, 0 if that cannot be read.
func residentMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}
