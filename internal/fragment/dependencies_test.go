package fragment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// wantUrgency computes the urgency of a job recursively by its definition.
func wantUrgency(active map[string]Job, ref string) Urgency {
	urgency := active[ref].Urgency
	for dependentRef, job := range active {
		for _, r := range job.DependsOn {
			if r != ref {
				continue
			}
			urgency.HasDependents = true
			dependent := wantUrgency(active, dependentRef)
			urgency.Rank = max(urgency.Rank, dependent.Rank)
			if start := dependent.Deadline.Add(-job.Estimate); !dependent.Deadline.IsZero() && (urgency.Deadline.IsZero() || start.Before(urgency.Deadline)) {
				urgency.Deadline = start
			}
		}
	}
	return urgency
}

// Jobs are added in any order, changed and removed. At each step every active job has the highest
// priority and the earliest deadline that follow from its dependents, and each job whose urgency
// changed is returned.
func TestNeeds(t *testing.T) {
	start := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		dependencies, active, urgencies := NewDependencies(), map[string]Job{}, map[string]Urgency{}
		all := map[string]Job{} // the dependencies of a job never change
		for range 150 {
			i := rnd.IntN(20)
			ref := fmt.Sprint("j", i)
			var changed []string
			if _, exists := active[ref]; exists && rnd.IntN(2) == 0 {
				delete(active, ref)
				delete(urgencies, ref)
				changed = dependencies.Remove(ref)
			} else {
				job, known := all[ref]
				if !known {
					job = Job{Estimate: time.Duration(rnd.IntN(60)) * time.Second}
					for r := range i { // only jobs that were accepted before
						if rnd.IntN(6) == 0 {
							job.DependsOn = append(job.DependsOn, fmt.Sprint("j", r))
						}
					}
				}
				if rnd.IntN(4) == 0 {
					job.Estimate = time.Duration(rnd.IntN(60)) * time.Second
				}
				job.Urgency = Urgency{Rank: rnd.IntN(4)}
				if rnd.IntN(3) == 0 {
					job.Deadline = start.Add(time.Duration(rnd.IntN(600)) * time.Second)
				}
				all[ref], active[ref] = job, job
				changed = dependencies.Set(ref, job)
			}
			for _, r := range changed {
				urgencies[r] = dependencies.Urgency(r)
			}
			checkOrder(t, dependencies)
			for ref := range active {
				if want := wantUrgency(active, ref); urgencies[ref] != want {
					t.Fatalf("seed %d: last returned urgency of %s is %+v, want %+v", seed, ref, urgencies[ref], want)
				}
			}
		}
		for ref := range active {
			dependencies.Remove(ref)
		}
		if len(dependencies.nodes) > 0 {
			t.Errorf("seed %d: entries are left after all jobs were removed", seed)
		}
	}
}

// checkOrder verifies that every job comes before its dependents in the topological order.
func checkOrder(t *testing.T, d *Dependencies) {
	t.Helper()
	for ref, n := range d.nodes {
		for dependent := range n.dependents {
			if n.order >= dependent.order {
				t.Fatalf("%s has order %d, its dependent %s %d", ref, n.order, dependent.ref, dependent.order)
			}
		}
	}
}

// A cycle, which only damaged records have, must not keep a change going round for ever.
func TestCycleEnds(t *testing.T) {
	d := NewDependencies()
	urgent := Urgency{Rank: 2, Deadline: time.Unix(1e9, 0)}
	d.Set("a", Job{Urgency: urgent, Estimate: time.Second, DependsOn: []string{"b", "a"}})
	d.Set("b", Job{Estimate: time.Second, DependsOn: []string{"c"}})
	d.Set("c", Job{Estimate: time.Second, DependsOn: []string{"a"}})
	d.Set("a", Job{Estimate: time.Second, DependsOn: []string{"b", "a"}})
	for _, ref := range []string{"a", "b", "c"} {
		d.Remove(ref)
	}
	if len(d.nodes) > 0 {
		t.Errorf("%d entries are left after all jobs were removed", len(d.nodes))
	}
}

// Unsettled returns what a job depends on, directly or through active jobs, that is neither active nor
// known to be done.
func TestUnsettled(t *testing.T) {
	d := NewDependencies()
	d.Set("c", Job{DependsOn: []string{"b", "done"}})
	d.Set("b", Job{DependsOn: []string{"a", "other"}})
	check := func(ref string, want ...string) {
		t.Helper()
		got := d.Unsettled(ref)
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Errorf("%s has unsettled dependencies %v, want %v", ref, got, want)
		}
	}
	check("c", "a", "done", "other")
	d.SetDone("done")
	check("c", "a", "other")
	d.Set("a", Job{})
	check("c", "other")
	d.SetDone("a") // ignored: it is active
	d.Remove("a")
	check("b", "a", "other")
	d.Set("a", Job{}) // a job that is active is not done
	d.SetDone("other")
	check("c")
	d.Remove("b")
	check("c", "b")
	check("unknown")
	for _, ref := range []string{"a", "c"} {
		d.Remove(ref)
	}
	if len(d.nodes)+len(d.ended)+len(d.unsettled) > 0 {
		t.Errorf("%d entries are left, with %d ended and %d unsettled jobs", len(d.nodes), len(d.ended), len(d.unsettled))
	}
}
