package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// Bounds of the random graphs: how many are generated, over how many shards, and in which rounds
// jobs are submitted, owners and writes are disturbed, and all tasks end at once.
const (
	graphSeeds              = 25
	graphShards             = 3
	graphMachines           = 2 // of each shard
	graphRounds             = 120
	graphSubmitRounds       = 60
	graphDisturbRounds      = 80
	graphEndingRounds       = 90
	graphSettleRoundsPerJob = 12 // rounds per job after which all jobs must have ended
)

// dependencyGraph is the model of the test: the jobs that were submitted, their dependencies, and
// which of the jobs users cancelled.
type dependencyGraph struct {
	refs         []string // each after its dependencies
	dependencies map[string][]string
	cancelled    map[string]bool
}

// generate adds a job with random dependencies on earlier jobs. It reports false if the name is taken.
func (g *dependencyGraph) generate(rnd *rand.Rand) (ref string, ok bool) {
	ref = fmt.Sprintf("run-%06d", rnd.IntN(1e6))
	if g.dependencies[ref] != nil {
		return "", false
	}
	dependencies := []string{}
	for range rnd.IntN(4) {
		if len(g.refs) > 0 {
			dependencies = append(dependencies, g.refs[rnd.IntN(len(g.refs))])
		}
	}
	slices.Sort(dependencies)
	g.dependencies[ref] = slices.Compact(dependencies)
	g.refs = append(g.refs, ref)
	return ref, true
}

// wantedStates returns the final state that each job must have: the jobs whose cancellation came in
// time and all their dependents are cancelled, the others are done.
func (g *dependencyGraph) wantedStates(final func(ref string) string) map[string]string {
	want := map[string]string{}
	for _, ref := range g.refs {
		want[ref] = wire.Done
		dependencyCancelled := slices.ContainsFunc(g.dependencies[ref], func(d string) bool { return want[d] == wire.Cancelled })
		if dependencyCancelled || g.cancelled[ref] && final(ref) == wire.Cancelled {
			want[ref] = wire.Cancelled
		}
	}
	return want
}

// graphTest runs a random graph over several shards.
type graphTest struct {
	t       *testing.T
	seed    uint64
	rnd     *rand.Rand
	state   *testkit.State
	shards  []*harness
	graph   dependencyGraph
	checked map[*testkit.Worker]int // how many of a worker's starts were checked
}

func newGraphTest(t *testing.T, seed uint64) *graphTest {
	t.Helper()
	p := &graphTest{
		t: t, seed: seed, rnd: rand.New(rand.NewPCG(seed, 4)), state: testkit.NewState(), checked: map[*testkit.Worker]int{},
		graph: dependencyGraph{dependencies: map[string][]string{}, cancelled: map[string]bool{}},
	}
	clock := testkit.NewClock()
	for id := range graphShards {
		r := newShardHarness(t, id, clock, p.state)
		r.cfg.SilentAfter, r.cfg.BootFactor = time.Hour, 1e3 // a shard sends no heartbeats while others have their turns
		for m := range graphMachines {
			r.addMachine(fmt.Sprintf("m%d-%d", id, m), "z1", false)
		}
		p.shards = append(p.shards, r)
	}
	return p
}

// ownerOf returns the shard of a job.
func (p *graphTest) ownerOf(ref string) *harness {
	return p.shards[int(record.Hash(ref))%len(p.shards)]
}

// finalState returns a job's final state, empty if it has none yet.
func (p *graphTest) finalState(ref string) string {
	if p.shards[0].get(record.FinishedJobKey(ref)) == nil {
		return ""
	}
	return p.shards[0].jobState(ref)
}

// round may submit a job and disturb the shards; then one of the shards has a turn.
func (p *graphTest) round(n int) {
	if n < graphSubmitRounds && p.rnd.IntN(2) == 0 {
		ref, ok := p.graph.generate(p.rnd)
		if !ok {
			return
		}
		p.ownerOf(ref).submitAfter(ref, p.graph.dependencies[ref]...)
	}
	if n < graphDisturbRounds && len(p.graph.refs) > 0 {
		p.disturb()
	}
	turn := p.shards[p.rnd.IntN(len(p.shards))]
	if p.rnd.IntN(2) == 0 || n > graphEndingRounds {
		for _, r := range p.shards {
			r.endRunningTasks()
		}
	}
	turn.reportDependencyEnds()
	turn.heartbeat()
	p.check()
}

// disturb cancels a job, fails a shard over, or loses, delays or releases writes.
func (p *graphTest) disturb() {
	switch ref := p.graph.refs[p.rnd.IntN(len(p.graph.refs))]; p.rnd.IntN(8) {
	case 0:
		p.cancel(ref)
	case 1:
		p.shards[p.rnd.IntN(len(p.shards))].failOver()
	case 2:
		p.state.LoseAnswers = 1
	case 3:
		p.state.HoldTxns = 1
	case 4:
		p.state.Release()
	}
}

// cancel cancels a job that has not ended.
func (p *graphTest) cancel(ref string) {
	p.t.Helper()
	e := p.shards[0].get(record.ActiveJobKey(ref))
	if e == nil {
		return
	}
	o, err := decode[record.ActiveJob](*e)
	if err != nil {
		p.t.Fatal(err)
	}
	p.graph.cancelled[ref] = true
	applyToShard := p.ownerOf(ref).cancel(o.Spec)
	applyToShard()
}

// settle runs all shards undisturbed for as many rounds as all jobs may need to end.
func (p *graphTest) settle() {
	p.state.Release()
	for range graphSettleRoundsPerJob * len(p.graph.refs) {
		for _, r := range p.shards {
			r.endRunningTasks()
			r.reportDependencyEnds()
			r.heartbeat()
		}
		p.check()
	}
}

// check asserts that the shards are consistent and that all dependencies of each job started since
// the last check are done.
func (p *graphTest) check() {
	p.t.Helper()
	for _, r := range p.shards {
		if err := checkInvariants(r.shard); err != nil {
			p.t.Fatalf("seed %d: shard %d: %v", p.seed, r.id, err)
		}
		for _, w := range r.workers {
			for _, ref := range startedJobs(w)[p.checked[w]:] {
				p.checkDependenciesDone(ref)
			}
			p.checked[w] = len(w.Started)
		}
	}
}

func (p *graphTest) checkDependenciesDone(ref string) {
	p.t.Helper()
	for _, dependency := range p.graph.dependencies[ref] {
		if state := p.finalState(dependency); state != wire.Done {
			p.t.Fatalf("seed %d: job %s was started while its dependency %s is %q, want done", p.seed, ref, dependency, state)
		}
	}
}

// checkEnd asserts that each job has the final state that the model wants, and that the shards hold
// no jobs or dependents any more.
func (p *graphTest) checkEnd() {
	p.t.Helper()
	want := p.graph.wantedStates(p.finalState)
	for _, ref := range p.graph.refs {
		if got := p.finalState(ref); got != want[ref] {
			p.t.Errorf("seed %d: job %s with dependencies %v is %q, want %q", p.seed, ref, p.graph.dependencies[ref], got, want[ref])
		}
	}
	for _, r := range p.shards {
		if jobs, dependents := len(r.shard.jobs), len(r.shard.dependencies.dependents); jobs+dependents > 0 {
			p.t.Errorf("seed %d: shard %d still has %d jobs and %d dependencies that jobs wait for, want none", p.seed, r.id, jobs, dependents)
		}
	}
}

// Random graphs over three shards, with failovers, cancellations, and lost and late writes: no job
// starts before all its dependencies are done, a cancellation reaches all dependents and no other
// job, and all jobs end.
func TestDependenciesHoldInRandomGraphsAcrossShards(t *testing.T) {
	for seed := range uint64(graphSeeds) {
		p := newGraphTest(t, seed)
		for n := range graphRounds {
			p.round(n)
		}
		p.settle()
		p.checkEnd()
	}
}
