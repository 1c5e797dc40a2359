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

// submitAfter records a job that depends on the given jobs, as a controller does.
func (r *harness) submitAfter(ref string, dependencies ...string) wire.Spec {
	s := spec(ref, "b", wire.Array, "normal", 1, 0)
	s.CPUs, s.MemoryGB, s.DependsOn = 1, 1, dependencies
	r.putActiveJob(record.ActiveJob{Spec: s, AcceptedAt: r.clock.Now().UnixMilli(), AwaitsDependencies: len(dependencies) > 0})()
	return s
}

// reportDependencyEnds reports the ends of the jobs that the shard waits for.
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
	w.ExitTask(jobA+"/0", wire.Done)
	r.heartbeats(2)
	r.reportDependencyEnds()
	r.heartbeats(2)
	if got := startedJobs(w); slices.Contains(got, jobC) {
		t.Fatalf("started %v while a dependency had not ended", got)
	}
	w.ExitTask(jobB+"/0", wire.Done)
	r.heartbeat()
	endedAt := r.clock.Now()
	r.heartbeat()
	r.reportDependencyEnds()
	r.heartbeats(2)
	if got := startedJobs(w); !slices.Contains(got, jobC) {
		t.Fatalf("started %v, want the dependent job as well", got)
	}
	if r.shard.arrivals.onDemand <= before {
		t.Error("the release of the dependent job does not count as an arrival")
	}
	if j := r.shard.jobs[jobC]; j.accepted.Sub(endedAt).Abs() > time.Second {
		t.Errorf("the dependent job counts as waiting since %v, want since its last dependency was done at %v", j.accepted, endedAt)
	}
	if o, err := decode[record.ActiveJob](*r.get(record.ActiveJobKey(jobC))); err != nil || !o.AwaitsDependencies {
		t.Error("the record of the dependent job says that it no longer awaits dependencies, want it unchanged")
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
			t.Errorf("%s is %q, want cancelled without an active record", ref, r.jobState(ref))
		}
	}
	// A dependent that is submitted after the others were cancelled is cancelled as well.
	r.submitAfter(jobD, jobC)
	r.reportDependencyEnds()
	r.heartbeats(2)
	if r.jobState(jobD) != wire.Cancelled || len(r.shard.dependencies.dependents) > 0 {
		t.Errorf("a dependent submitted later is %q, want cancelled; %d jobs are waited for, want none", r.jobState(jobD), len(r.shard.dependencies.dependents))
	}
	if got := startedJobs(w); !slices.Equal(got, []string{jobA}) {
		t.Errorf("started %v, want only the first job", got)
	}
}

// If another controller found a dependency of a waiting job cancelled and has ended the job, the
// shard removes the job, whether its own write of the end was under way or not.
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
	r.heartbeats(2) // the shard's own write of the end conflicts
	if r.shard.HasJob(jobB) {
		t.Error("the shard still holds the job after its record was found deleted")
	}
	r.submitAfter(jobC, jobA)
	r.shard.JobRecordGone(jobC, r.clock.Now())
	r.shard.JobRecordGone(jobA, r.clock.Now()) // awaits no dependency, so only its owner ends it
	if r.shard.HasJob(jobC) || !r.shard.HasJob(jobA) {
		t.Error("the shard still holds the job that awaited dependencies, or no longer holds the other")
	}
}

// A job that inherits a higher priority from its dependents preempts tasks of a lower priority.
// Once it inherits none, its tasks are indexed under its own priority again.
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
		t.Fatalf("started %v: a task was preempted for a job of its own priority", got)
	}
	due := r.clock.Now().Add(time.Minute)
	r.shard.SetInheritedUrgency("run-000002", fragment.Urgency{Rank: Rank("urgent"), Deadline: due})
	r.heartbeats(5)
	if got := startedJobs(w); !slices.Contains(got, "run-000002") {
		t.Fatalf("started %v: no task of a lower priority was preempted", got)
	}
	j := r.shard.jobs["run-000002"]
	if d := j.deadline(); d == nil || *d != due.Sub(j.accepted).Seconds() {
		t.Errorf("the deadline is %v, want the inherited one", d)
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

// The write of a job's end is routine, so that other writes may go before it, unless other jobs
// wait for that end.
func TestEndWithDependentsIsNotRoutine(t *testing.T) {
	for _, needed := range []bool{false, true} {
		r := newHarness(t)
		w := r.addMachine("m1", "z1", false)
		r.submitAfter(jobA)
		r.heartbeats(2)
		r.shard.SetInheritedUrgency(jobA, fragment.Urgency{Rank: Rank("normal"), HasDependents: needed})
		w.ExitTask(jobA+"/0", wire.Done)
		rep := w.NextHeartbeat()
		r.shard.Heartbeat(&rep, false, r.clock.Now())
		eff := r.shard.Step(r.clock.Now())
		i := slices.IndexFunc(eff.Txns, func(t *Txn) bool { return t.Purpose == purposeJobEnd })
		if i < 0 || eff.Txns[i].Routine == needed {
			t.Errorf("has dependents %t: want among %d writes a job end whose Routine is the opposite", needed, len(eff.Txns))
		}
	}
}
