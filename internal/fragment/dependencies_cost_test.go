package fragment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// graph is a shape of dependencies: its jobs, with dependencies before their dependents. A change
// of the last job concerns all of them.
type graph struct {
	refs []string
	jobs map[string]Job
}

// add adds a job to the graph.
func (g *graph) add(ref string, estimate time.Duration, dependsOn ...string) {
	if g.jobs == nil {
		g.jobs = map[string]Job{}
	}
	g.refs = append(g.refs, ref)
	g.jobs[ref] = Job{DependsOn: dependsOn, Estimate: estimate}
}

// edges returns how many dependencies the graph has.
func (g *graph) edges() int {
	n := 0
	for _, job := range g.jobs {
		n += len(job.DependsOn)
	}
	return n
}

// size returns the number of jobs and dependencies.
func (g *graph) size() int { return len(g.refs) + g.edges() }

// last returns the ref of the last job.
func (g *graph) last() string { return g.refs[len(g.refs)-1] }

// stageGraph has stages of jobs that depend on all jobs of the stage before. Each stage is estimated to
// run twice as long as the one before, and the estimates are wrong by up to half. The last job depends
// on the last stage.
func stageGraph(stages, width int) *graph {
	rnd := rand.New(rand.NewPCG(1, 2))
	g := &graph{}
	var before []string
	run := 0.01
	for stage := range stages {
		estimates := make([]float64, width)
		for i := range estimates {
			estimates[i] = run * (0.5 + rnd.Float64())
		}
		slices.Sort(estimates)
		refs := make([]string, width)
		for i, estimate := range estimates {
			refs[i] = fmt.Sprintf("run-%06d", 1000*stage+i)
			g.add(refs[i], time.Duration(estimate*float64(time.Second)), before...)
		}
		before = refs
		run *= 2
		if run > 1e5 {
			run = 0.01
		}
	}
	g.add("last", time.Second, before...)
	return g
}

// chainGraph has jobs in a chain.
func chainGraph(jobs int) *graph {
	g := &graph{}
	g.add("run-000000", time.Second)
	for i := 1; i < jobs; i++ {
		g.add(fmt.Sprintf("run-%06d", i), time.Second, g.last())
	}
	return g
}

// fanGraph has one job, many that depend on it, and one that depends on these.
func fanGraph(width int) *graph {
	g := &graph{}
	g.add("first", time.Second)
	var all []string
	for i := range width {
		ref := fmt.Sprintf("run-%06d", i)
		g.add(ref, time.Duration(i)*time.Second, "first")
		all = append(all, ref)
	}
	g.add("last", time.Second, all...)
	return g
}

// randomGraph has jobs that each depend on up to 20 of the 40 before, with estimates in no order.
func randomGraph(jobs int) *graph {
	rnd := rand.New(rand.NewPCG(3, 4))
	g := &graph{}
	for i := range jobs {
		var dependsOn []string
		for _, back := range rnd.Perm(40)[:rnd.IntN(21)] {
			if back < i {
				dependsOn = append(dependsOn, g.refs[i-1-back])
			}
		}
		if i > 0 && len(dependsOn) == 0 {
			dependsOn = []string{g.last()}
		}
		g.add(fmt.Sprintf("run-%06d", i), time.Duration(1+rnd.IntN(1100))*time.Second, dependsOn...)
	}
	return g
}

var graphs = map[string]func() *graph{
	"review":       func() *graph { return stageGraph(16, 10) },
	"deep stages":  func() *graph { return stageGraph(400, 10) },
	"wide stages":  func() *graph { return stageGraph(20, 100) },
	"pairs":        func() *graph { return stageGraph(1000, 2) },
	"chain":        func() *graph { return chainGraph(20000) },
	"fan":          func() *graph { return fanGraph(20000) },
	"no order":     func() *graph { return randomGraph(300) },
	"no order, 10": func() *graph { return randomGraph(3000) },
}

// Guards against a cost that grows with the number of paths: a pipeline of 161 jobs stopped all
// controllers when its last job was given a deadline. A change examines each job once and each
// dependency twice at most, whatever the shape, and reports each job once.
func TestChangeExaminesEachDependencyTwiceAtMost(t *testing.T) {
	for name, build := range graphs {
		t.Run(name, func(t *testing.T) {
			g := build()
			limit := len(g.refs) + 2*g.edges()
			d := NewDependencies()
			change := func(what string, apply func() []string) {
				t.Helper()
				before := d.examined
				changed := apply()
				if cost := d.examined - before; cost > limit {
					t.Errorf("%s examined %d jobs and dependencies, want %d at most", what, cost, limit)
				}
				slices.Sort(changed)
				if distinct := len(slices.Compact(changed)); distinct != len(changed) {
					t.Errorf("%s reports %d jobs, of which %d are distinct", what, len(changed), distinct)
				}
			}
			for _, ref := range g.refs {
				change("a submission", func() []string { return d.Set(ref, g.jobs[ref]) })
			}
			last := g.jobs[g.last()]
			for _, deadline := range []time.Time{time.Unix(2e9, 0), time.Unix(1e9, 0), time.Unix(3e9, 0), {}} {
				last.Urgency = Urgency{Rank: deadline.Second(), Deadline: deadline}
				change("a deadline", func() []string { return d.Set(g.last(), last) })
			}
			last.Urgency = Urgency{Rank: 3, Deadline: time.Unix(2e9, 0)}
			change("a deadline", func() []string { return d.Set(g.last(), last) })
			for _, ref := range slices.Backward(g.refs) {
				change("an end", func() []string { return d.Remove(ref) })
			}
		})
	}
}

// All jobs of a graph together cost a few times its size, when they are submitted and end in turn and
// when a restarted controller reads them with dependents first.
func TestWholeGraphCostsItsSize(t *testing.T) {
	const factor = 4
	for name, build := range graphs {
		t.Run(name, func(t *testing.T) {
			g := build()
			last := g.jobs[g.last()]
			last.Urgency = Urgency{Rank: 3, Deadline: time.Unix(2e9, 0)}
			g.jobs[g.last()] = last
			check := func(d *Dependencies, what string) {
				t.Helper()
				if d.examined > factor*g.size() {
					t.Errorf("%s: %d jobs and dependencies examined, want %d at most", what, d.examined, factor*g.size())
				}
			}
			submitted := NewDependencies()
			for _, ref := range g.refs {
				submitted.Set(ref, g.jobs[ref])
			}
			check(submitted, "submissions")
			loaded := NewDependencies()
			for _, ref := range slices.Backward(g.refs) {
				loaded.Set(ref, g.jobs[ref])
			}
			check(loaded, "the records")
			for _, ref := range g.refs {
				if got, want := loaded.Urgency(ref), submitted.Urgency(ref); !got.equal(want) {
					t.Fatalf("%s has %+v when read with dependents first, %+v when submitted in turn", ref, got, want)
				}
			}
			loaded.examined = 0
			for _, ref := range g.refs {
				loaded.Remove(ref)
			}
			check(loaded, "ends")
		})
	}
}

// BenchmarkDeadlineOfLastJob shows the cost of one change that concerns all jobs, by the graph's size.
func BenchmarkDeadlineOfLastJob(b *testing.B) {
	for _, stages := range []int{8, 16, 32, 64} {
		g := stageGraph(stages, 10)
		b.Run(fmt.Sprintf("stages=%d", stages), func(b *testing.B) {
			d := NewDependencies()
			for _, ref := range g.refs {
				d.Set(ref, g.jobs[ref])
			}
			last := g.jobs[g.last()]
			d.examined = 0
			for i := range b.N {
				last.Deadline = time.Unix(2e9+int64(i), 0)
				d.Set(g.last(), last)
			}
			b.ReportMetric(float64(d.examined)/float64(b.N), "examined/op")
			b.ReportMetric(float64(g.size()), "size")
		})
	}
}
