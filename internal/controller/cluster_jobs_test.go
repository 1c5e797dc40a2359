package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// spec returns the specification of an array of one task, altered by change unless that is nil.
func spec(ref, team string, change func(*wire.Spec)) wire.Spec {
	s := wire.Spec{Ref: ref, Class: "class-" + team, Team: team, Kind: wire.Array, Priority: "normal", Tasks: 1, CPUs: 6, GPUs: 1, MemoryGB: 24,
		Image: "img-" + team, ImageGB: 4, EstimateS: 30, CheckpointS: 15, SaveS: 2}
	if change != nil {
		change(&s)
	}
	return s
}

// ref returns the reference of the n-th job of a test.
func ref(n int) string { return fmt.Sprintf("run-%06d", n) }

// shortRun and longRun are durations of jobs: the tasks of longRun outlive the faults of a test,
// and shortRun is for tests that need nothing else.
var (
	shortRun = testkit.JobDurations{Run: 20 * time.Second, Fetch: 2 * time.Second}
	longRun  = testkit.JobDurations{Run: 10 * time.Minute, Fetch: 2 * time.Second}
)

// submit submits a job, again until it is accepted, and follows it as its user does.
func (k *cluster) submit(spec wire.Spec, l testkit.JobDurations) {
	k.t.Helper()
	k.mu.Lock()
	k.refs = append(k.refs, spec.Ref)
	k.mu.Unlock()
	k.world.Submit(k.labels[0], spec, l)
	if _, ok := k.world.AskUntilAnswered(testkit.Submission, spec.Ref, encode(spec), time.Minute); !ok {
		k.t.Fatalf("%s was not accepted within a minute", spec.Ref)
	}
	k.world.Follow(spec.Ref)
}

func encode(spec wire.Spec) []byte {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return b
}

// cancel requests the cancellation of a job in the background until it is confirmed. The returned
// function reports whether it is.
func (k *cluster) cancel(ref string) (confirmed func() bool) {
	k.jobsCancelled.Store(true)
	var mu sync.Mutex
	var ok bool
	k.world.Go(func() {
		_, done := k.world.AskUntilAnswered(testkit.Cancellation, ref, nil, 5*time.Minute)
		mu.Lock()
		defer mu.Unlock()
		ok = done
	})
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return ok
	}
}

// awaitRunning waits until exactly n tasks of a job are on machines, and returns these machines.
func (k *cluster) awaitRunning(ref string, n int) []*testkit.Agent {
	k.t.Helper()
	k.await(2*time.Minute, ref+" running", func() bool {
		seen := 0
		for _, m := range k.world.MachinesOf(ref) {
			for _, task := range m.Tasks() {
				if strings.HasPrefix(task, ref+"/") {
					seen++
				}
			}
		}
		return seen == n
	})
	return k.world.MachinesOf(ref)
}

// Numbers of the jobs that load submits: an array, a gang and a service of long tasks, and an
// array of which only a part fits in the limit of its team.
const (
	arrayJob = iota + 1
	gangJob
	serviceJob
	limitJob
	firstFreeJob // the first number for a test's own jobs
)

// teamOf is the team of each job of load, by number.
var teamOf = map[int]string{arrayJob: "wide", gangJob: "wide", serviceJob: "other", limitJob: "tight"}

// load submits jobs of every kind and waits until they run, as far as the limits of their teams
// allow.
func (k *cluster) load() {
	k.t.Helper()
	k.loadWith(func(*wire.Spec) {})
}

// loadWith does the same with each specification altered by change.
func (k *cluster) loadWith(change func(*wire.Spec)) {
	k.t.Helper()
	submit := func(n int, kind func(*wire.Spec)) {
		s := spec(ref(n), teamOf[n], kind)
		change(&s)
		k.submit(s, longRun)
	}
	submit(arrayJob, func(s *wire.Spec) { s.Tasks = 4 })
	submit(gangJob, gang(2))
	submit(serviceJob, func(s *wire.Spec) {
		s.Kind, s.Tasks, s.Spread, s.Priority, s.CheckpointS = wire.Service, 2, true, "prod", 0
	})
	submit(limitJob, func(s *wire.Spec) { s.Tasks = teamLimit + 2 })
	k.awaitRunning(ref(arrayJob), 4)
	k.awaitRunning(ref(gangJob), 2)
	k.awaitRunning(ref(serviceJob), 2)
	fitting := teamLimit
	if len(k.params.Teams) == 0 {
		fitting += 2
	}
	k.awaitRunning(ref(limitJob), fitting)
}

// gang returns a change that makes a specification a gang of n tasks, each of which needs a whole
// machine, all in one zone.
func gang(n int) func(*wire.Spec) {
	return func(spec *wire.Spec) {
		spec.Kind, spec.Tasks, spec.CPUs, spec.GPUs, spec.MemoryGB, spec.OneZone, spec.Priority = wire.Gang, n, 14, 2, 51, true, "urgent"
	}
}

// cancelAll requests the cancellation of jobs, by number. The returned function reports whether
// all are confirmed.
func (k *cluster) cancelAll(numbers ...int) (confirmed func() bool) {
	var all []func() bool
	for _, n := range numbers {
		all = append(all, k.cancel(ref(n)))
	}
	return func() bool {
		return !slices.ContainsFunc(all, func(ok func() bool) bool { return !ok() })
	}
}

// submitInBackground submits a job in the background, again until it is accepted, and then follows
// it.
func (k *cluster) submitInBackground(spec wire.Spec, l testkit.JobDurations) {
	k.mu.Lock()
	k.refs = append(k.refs, spec.Ref)
	k.mu.Unlock()
	k.world.Register(spec, l)
	k.world.Go(func() {
		if _, ok := k.world.AskUntilAnswered(testkit.Submission, spec.Ref, encode(spec), 5*time.Minute); ok {
			k.world.Follow(spec.Ref)
		}
	})
}

// submitPipeline submits a pipeline of two jobs, of which the second depends on the first.
func (k *cluster) submitPipeline(name string, first, second wire.Spec, l testkit.JobDurations) {
	k.t.Helper()
	k.world.Register(first, l)
	after := second
	after.DependsOn = []string{first.Ref} // the link, as the checker expects it
	k.world.Register(after, l)
	p := wire.Pipeline{Ref: name, Jobs: []json.RawMessage{encode(first), encode(second)},
		Links: []wire.Link{{From: []string{first.Ref}, To: []string{second.Ref}}}, Choices: []wire.Choice{}}
	k.await(time.Minute, name+" accepted", func() bool {
		status, _, _ := k.process(k.labels[0]).Handle("POST", wire.PipelinesPath, record.Encode(p))
		return status == 200 || status == 201
	})
	k.refs = append(k.refs, first.Ref, second.Ref)
	k.world.Follow(first.Ref)
	k.world.Follow(second.Ref)
}

// cancelPipeline requests the cancellation of a pipeline in the background until it is confirmed.
// refs are its jobs. The returned function reports whether it is confirmed.
func (k *cluster) cancelPipeline(name string, refs ...string) (confirmed func() bool) {
	for _, r := range refs {
		k.checker.CancellationRequested(r)
	}
	var done atomic.Bool
	k.world.Go(func() {
		for i := 0; !done.Load(); i++ {
			if p := k.process(k.labels[i%len(k.labels)]); p != nil {
				asked := time.Now()
				if status, _, _ := p.Handle("POST", wire.PipelinesPath+"/"+name+"/"+wire.CancelAction, nil); status == 200 {
					for _, r := range refs {
						k.checker.Answered(testkit.Cancellation, r, asked, time.Now(), status, wire.Cancelled)
					}
					done.Store(true)
				}
			}
			if !k.world.Sleep(time.Second) {
				return
			}
		}
	})
	return done.Load
}
