package scheduler

import (
	"slices"
	"testing"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/fragment"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// submitAfter records a job that names others, as a controller does.
func (r *harness) submitAfter(ref string, roots ...string) wire.Spec {
	s := spec(ref, "b", wire.Array, "normal", 1, 0)
	s.CPUs, s.MemoryGB, s.DependsOn = 1, 1, roots
	r.putActiveJob(record.ActiveJob{Spec: s, AcceptedAt: r.clock.Now().UnixMilli(), AwaitsDependencies: len(roots) > 0})()
	return s
}

// reportDependencyEnds tells the shard which of the jobs that it waits for are over.
func (r *harness) reportDependencyEnds() {
	for _, ref := range r.shard.Dependencies() {
		if e := r.get(record.FinishedJobKey(ref)); e != nil {
			j, err := decode[record.FinishedJob](*e)
			if err != nil {
				r.t.Fatal(err)
			}
			r.shard.DependencyEnded(ref, j, r.clock.Now())
		}
	}
}

func TestJobWaitsForEveryDependency(t *testing.T) {
	r := newHarness(t)
	w := r.addMachine("m1", "z1", false)
	r.submitAfter(jobA)
	r.submitAfter(jobB)
	r.submitAfter(jobC, jobA, jobB)
	r.heartbeats(3)
	before := r.shard.arrivals.onDemand
	if summary := r.shard.Summary(r.clock.Now()); slices.ContainsFunc(summary.Needs, func(n fleet.Need) bool { return n.Job == jobC }) {
		t.Error("a job that waits for others asks for machines")
	}
	w.End(jobA+"/0", wire.Done)
	r.heartbeats(2)
	r.reportDependencyEnds()
	r.heartbeats(2)
	if got := startedJobs(w); slices.Contains(got, jobC) {
		t.Fatalf("started %v with a root left", got)
	}
	w.End(jobB+"/0", wire.Done)
	r.heartbeat()
	over := r.clock.Now()
	r.heartbeat()
	r.reportDependencyEnds()
	r.heartbeats(2)
	if got := startedJobs(w); !slices.Contains(got, jobC) {
		t.Fatalf("started %v, want the job after both", got)
	}
	if r.shard.arrivals.onDemand <= before {
		t.Error("its release is no arrival")
	}
	if j := r.shard.jobs[jobC]; j.accepted.Sub(over).Abs() > time.Second {
		t.Errorf("it counts as waiting since %v, want since its last root was done at %v", j.accepted, over)
	}
	if o, err := decode[record.ActiveJob](*r.get(record.ActiveJobKey(jobC))); err != nil || !o.AwaitsDependencies {
		t.Error("its record says that it is not held any more")
	}
}

func TestCancellationReachesAllDependents(t *testing.T) {
	r := newHarness(t)
	w := r.addMachine("m1", "z1", false)
	a := r.submitAfter(jobA)
	r.submitAfter(jobB, jobA)
	r.submitAfter(jobC, jobB)
	r.heartbeats(2)
	r.cancel(a)()
	for range 4 {
		r.heartbeat()
		r.reportDependencyEnds()
	}
	for _, ref := range []string{jobA, jobB, jobC} {
		if r.get(record.ActiveJobKey(ref)) != nil || r.jobState(ref) != wire.Cancelled {
			t.Errorf("%s is %q", ref, r.jobState(ref))
		}
	}
	// Who comes after the cascade has passed is caught as well.
	r.submitAfter(jobD, jobC)
	r.reportDependencyEnds()
	r.heartbeats(2)
	if r.jobState(jobD) != wire.Cancelled || len(r.shard.dependencies.dependents) > 0 {
		t.Errorf("a later one is %q, and %d are waited for", r.jobState(jobD), len(r.shard.dependencies.dependents))
	}
	if got := startedJobs(w); !slices.Equal(got, []string{jobA}) {
		t.Errorf("started %v", got)
	}
}

// A job that another controller has ended, since it found a root cancelled, is
// gone here, too, whether its own end was under way or not.
func TestWaitingJobEndedElsewhereIsRemoved(t *testing.T) {
	r := newHarness(t)
	r.submitAfter(jobA)
	r.submitAfter(jobB, jobA)
	e := r.get(record.ActiveJobKey(jobB))
	_, err := r.state.Txn(t.Context(), statestore.Urgent("test"), wire.Txn{
		If:   []wire.Condition{{Key: e.Key, Version: e.Version}},
		Then: []wire.Op{{Put: record.FinishedJobKey(jobB), Value: record.Encode(record.FinishedJob{State: wire.Cancelled})}, {Delete: e.Key}},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.shard.DependencyEnded(jobA, record.FinishedJob{State: wire.Cancelled}, r.clock.Now())
	r.heartbeats(2) // its own write conflicts
	if r.shard.HasJob(jobB) {
		t.Error("still held after its record was found gone")
	}
	r.submitAfter(jobC, jobA)
	r.shard.JobRecordGone(jobC, r.clock.Now())
	r.shard.JobRecordGone(jobA, r.clock.Now()) // runs, so only its owner ends it
	if r.shard.HasJob(jobC) || !r.shard.HasJob(jobA) {
		t.Error("a job that waited is still there, or one that runs is not")
	}
}

// A job that inherits a priority goes before others of its own, and takes the
// place of what is lower; without heirs it is as before.
func TestInheritedPriorityPreempts(t *testing.T) {
	r := newHarness(t)
	w := r.addMachine("m1", "z1", false)
	low := spec("run-000001", "b", wire.Array, "low", 2, 1)
	r.submit(low)
	r.heartbeats(2)
	step := spec("run-000002", "b", wire.Array, "low", 1, 1)
	r.submit(step)
	r.heartbeats(4)
	if got := startedJobs(w); slices.Contains(got, "run-000002") {
		t.Fatalf("started %v: work of one priority gave way to its equal", got)
	}
	due := r.clock.Now().Add(time.Minute)
	r.shard.SetInheritedUrgency("run-000002", fragment.Urgency{Rank: Rank("urgent"), Deadline: due})
	r.heartbeats(5)
	if got := startedJobs(w); !slices.Contains(got, "run-000002") {
		t.Fatalf("started %v: lower work did not give way", got)
	}
	j := r.shard.jobs["run-000002"]
	if d := j.deadline(); d == nil || *d != due.Sub(j.accepted).Seconds() {
		t.Errorf("its deadline is %v", d)
	}
	r.shard.SetInheritedUrgency("run-000002", fragment.Urgency{Rank: Rank("low"), HasDependents: true})
	for rank, ms := range r.shard.inventory.byRank {
		for m := range ms {
			n := 0
			for k := range m.tasks {
				if k.job.rank == rank {
					n++
				}
			}
			if m.entry.tasksByRank[rank] != n {
				t.Errorf("the index counts %d tasks of priority %d on %s, which has %d", m.entry.tasksByRank[rank], rank, m.ID, n)
			}
		}
	}
}

// The end that others wait for does not let other writes pass.
func TestEndWithDependentsIsNotRoutine(t *testing.T) {
	for _, needed := range []bool{false, true} {
		r := newHarness(t)
		w := r.addMachine("m1", "z1", false)
		r.submitAfter(jobA)
		r.heartbeats(2)
		r.shard.SetInheritedUrgency(jobA, fragment.Urgency{Rank: Rank("normal"), HasDependents: needed})
		w.End(jobA+"/0", wire.Done)
		rep := w.Report()
		r.shard.Heartbeat(&rep, false, r.clock.Now())
		eff := r.shard.Step(r.clock.Now())
		i := slices.IndexFunc(eff.Txns, func(t *Txn) bool { return t.Purpose == purposeJobEnd })
		if i < 0 || eff.Txns[i].Routine == needed {
			t.Errorf("needed %t: %d writes, the end routine or missing", needed, len(eff.Txns))
		}
	}
}
