package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/restart"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// Real processes on real sockets are all killed twice, while they start many jobs, and start again. They
// adopt the running tasks, send workers no more commands per second than the rate limit, and record the
// end of every job once.
func TestRestartOverLoopback(t *testing.T) {
	const seed, jobs, tasks = 2, 12, 4
	l := newLoopback(t, seed)
	submit := func(n int) {
		spec := loopbackJob(n)
		spec.Tasks = tasks
		l.submitLater(spec, testkit.JobDurations{Run: time.Duration(8+n%7) * time.Second, Fetch: 200 * time.Millisecond})
	}
	for n := range jobs {
		submit(n)
	}
	l.waitFor("tasks running", func() bool { return len(l.world.MachinesOf(loopbackJob(0).Ref)) > 0 })
	r := rand.New(rand.NewPCG(seed, 1))
	var killedAt time.Time
	for round := range 2 {
		for n := range jobs {
			submit(jobs*(round+1) + n)
		}
		time.Sleep(time.Duration(1000+r.IntN(2000)) * time.Millisecond)
		for _, label := range loopbackLabels {
			l.kill(label)
		}
		if round == 0 {
			killedAt = time.Now()
		}
		time.Sleep(time.Duration(200+r.IntN(4000)) * time.Millisecond)
		for _, i := range r.Perm(len(loopbackLabels)) {
			l.start(loopbackLabels[i])
			time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
		}
	}
	restartedAt := time.Now()
	l.waitFor("all jobs done", func() bool {
		for n := range 3 * jobs {
			if l.world.LastState(loopbackJob(n).Ref) != wire.Done {
				return false
			}
		}
		return true
	})
	if n := l.world.CommandLog().MostWithin(loopbackCommandWindow, killedAt, restartedAt.Add(loopbackCommandLimitTime), true); n > loopbackMaxCommands {
		t.Errorf("%d commands in %v, want %d at most", n, loopbackCommandWindow, loopbackMaxCommands)
	}
	for n := range 3 * jobs {
		ref := loopbackJob(n).Ref
		if ends := l.countWrites(record.FinishedJobKey(ref)); ends != 1 {
			t.Errorf("the end of %s was recorded %d times, want once", ref, ends)
		}
	}
	if n := l.adopted(); n == 0 {
		t.Error("no restart record shows an adopted task")
	}
	for _, violation := range l.checker.Violations() {
		t.Error(violation)
	}
}

// adopted returns the number of tasks that controllers adopted according to their restart records.
func (l *loopback) adopted() int {
	n := 0
	for _, label := range loopbackLabels {
		e, ok := l.world.State.Entry(restart.Key(label))
		var h restart.History
		if !ok || json.Unmarshal(e.Value, &h) != nil {
			continue // its shards had no machines
		}
		for _, episode := range h.Episodes {
			n += episode.Outcomes[reconcile.Adopted.String()]
		}
	}
	return n
}

// loopbackJob returns the n-th job of a test.
func loopbackJob(n int) wire.Spec {
	return wire.Spec{Ref: fmt.Sprintf("run-%06d", n), Class: "c", Team: []string{"wide", "other"}[n%2], Kind: wire.Array, Priority: "normal",
		Tasks: 1, CPUs: 6, GPUs: 1, MemoryGB: 24, Image: "img", ImageGB: 1, EstimateS: 10, CheckpointS: 3, SaveS: 0.3}
}
