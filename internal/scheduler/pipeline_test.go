package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// The references of a pipeline's jobs.
const (
	jobA = "run-00000a"
	jobB = "run-00000b"
	jobC = "run-00000c"
	jobD = "run-00000d"
)

func link(from, to string) wire.Link { return wire.Link{From: []string{from}, To: []string{to}} }

// diamond returns a pipeline that splits after the first job into two branches and joins them
// in the last job.
func diamond() record.Pipeline {
	return record.Pipeline{Jobs: []string{jobA, jobB, jobC, jobD}, Links: []wire.Link{link(jobA, jobB), link(jobA, jobC), link(jobB, jobD), link(jobC, jobD)}}
}

// fork returns a pipeline with a choice after the first job: jobB is next if that job is
// done, and jobC if it is cancelled.
func fork() record.Pipeline {
	return record.Pipeline{Jobs: []string{jobA, jobB, jobC, jobD},
		Links:   []wire.Link{{From: []string{jobA}, To: []string{jobB, jobC}}, {From: []string{jobB, jobC}, To: []string{jobD}}},
		Choices: []wire.Choice{{At: jobA, Done: jobB, Cancelled: jobC}}}
}

// submitPipeline records a pipeline and its jobs, as a controller does.
func (r *harness) submitPipeline(p record.Pipeline) {
	r.state.Put(record.PipelineKey("pipe-000001"), p)
	for i, ref := range p.Jobs {
		r.putActiveJob(record.ActiveJob{Spec: spec(ref, "b", wire.Array, "normal", 1, 1), AcceptedAt: r.clock.Now().UnixMilli(), Pipeline: "pipe-000001", AwaitsDependencies: i > 0})()
	}
}

// endRunningTasks completes all running tasks.
func (r *harness) endRunningTasks() {
	for _, w := range r.workers {
		for name, t := range w.Tasks {
			if t.State == wire.Running {
				w.ExitTask(name, wire.Done)
			}
		}
	}
}

// startedJobs returns the job of each task that a worker has started, in the order of the starts.
func startedJobs(w *testkit.Worker) []string {
	var out []string
	for _, s := range w.Started {
		ref, _, _ := strings.Cut(s, "/")
		out = append(out, ref)
	}
	return out
}

func (r *harness) pipelineState() string {
	rec, err := decode[record.Pipeline](*r.get(record.PipelineKey("pipe-000001")))
	if err != nil {
		r.t.Fatal(err)
	}
	return rec.State
}

// Jobs are released step by step: the join waits for both branches, and each job runs once,
// even if the shard fails over after every few heartbeats.
func TestPipelineStepByStep(t *testing.T) {
	for failoverEvery := range 12 {
		r := newHarness(t)
		w := r.addMachine("m1", "z1", false)
		r.submitPipeline(diamond())
		for beat := range 40 {
			if failoverEvery > 0 && beat%failoverEvery == failoverEvery-1 && beat < 24 {
				r.failOver()
			}
			r.heartbeat()
			got := startedJobs(w)
			if slices.Contains(got, jobD) && (r.jobState(jobB) != wire.Done || r.jobState(jobC) != wire.Done) {
				t.Fatalf("failover every %d heartbeats: the join started before both branches were done: %v", failoverEvery, got)
			}
			r.endRunningTasks()
		}
		got := startedJobs(w)
		slices.Sort(got)
		if !slices.Equal(got, []string{jobA, jobB, jobC, jobD}) || r.pipelineState() != wire.Done {
			t.Errorf("failover every %d heartbeats: started %v, pipeline %q, want each job once and done", failoverEvery, got, r.pipelineState())
		}
		if len(r.shard.dependencies.pipelines) > 0 && failoverEvery == 0 {
			t.Errorf("the shard still holds %d pipelines after their end, want none", len(r.shard.dependencies.pipelines))
		}
	}
}

// If a job is cancelled, all jobs that follow it are cancelled, and no others.
func TestPipelineEndsSuccessors(t *testing.T) {
	r := newHarness(t)
	w := r.addMachine("m1", "z1", false)
	r.submitPipeline(diamond())
	r.heartbeats(2)
	r.endRunningTasks()
	r.heartbeats(3)
	r.putActiveJob(record.ActiveJob{Spec: spec(jobB, "b", wire.Array, "normal", 1, 1), Pipeline: "pipe-000001", Cancelled: true})()
	r.heartbeats(3)
	r.endRunningTasks()
	r.heartbeats(5)
	for ref, want := range map[string]string{jobA: wire.Done, jobB: wire.Cancelled, jobC: wire.Done, jobD: wire.Cancelled} {
		if got := r.jobState(ref); got != want {
			t.Errorf("%s is %q, want %q", ref, got, want)
		}
	}
	if slices.Contains(startedJobs(w), jobD) || r.pipelineState() != wire.Cancelled {
		t.Errorf("started %v, pipeline %q, want it cancelled and its last job not started", startedJobs(w), r.pipelineState())
	}
}

// At a choice only the branch chosen by the job's outcome runs; the other is cancelled.
func TestPipelineChoosesByOutcome(t *testing.T) {
	for _, x := range []struct {
		cancel        bool
		runs, skipped string
	}{{false, jobB, jobC}, {true, jobC, jobB}} {
		r := newHarness(t)
		w := r.addMachine("m1", "z1", false)
		r.submitPipeline(fork())
		r.heartbeats(2)
		if x.cancel {
			r.putActiveJob(record.ActiveJob{Spec: spec(jobA, "b", wire.Array, "normal", 1, 1), Pipeline: "pipe-000001", Cancelled: true})()
		}
		for range 16 {
			r.endRunningTasks()
			r.heartbeat()
		}
		got := startedJobs(w)
		if !slices.Contains(got, x.runs) || slices.Contains(got, x.skipped) || !slices.Contains(got, jobD) {
			t.Errorf("first job cancelled %t: started %v, want the chosen branch and the last job", x.cancel, got)
		}
		if r.jobState(x.skipped) != wire.Cancelled || r.jobState(jobD) != wire.Done {
			t.Errorf("first job cancelled %t: %s is %q, want cancelled; the last job is %q, want done", x.cancel, x.skipped, r.jobState(x.skipped), r.jobState(jobD))
		}
	}
}

// A withdrawn pipeline releases no more jobs, even if its owner has not seen the withdrawal. If
// the answer to a step's transaction is lost, the step is neither repeated nor lost.
func TestPipelineWithdrawnAndLostAnswers(t *testing.T) {
	r := newHarness(t)
	w := r.addMachine("m1", "z1", false)
	r.submitPipeline(diamond())
	r.heartbeats(2)
	rec := diamond()
	rec.State = wire.Cancelled
	r.state.Put(record.PipelineKey("pipe-000001"), rec) // the owner does not see this change
	r.endRunningTasks()
	r.heartbeats(6)
	if got := startedJobs(w); !slices.Equal(got, []string{jobA}) {
		t.Fatalf("started %v after the withdrawal, want only the first job", got)
	}
	for lost := range 4 {
		r := newHarness(t)
		w := r.addMachine("m1", "z1", false)
		r.submitPipeline(diamond())
		for beat := range 40 {
			if beat%4 == lost {
				r.state.LoseAnswers = 1
			}
			r.heartbeat()
			r.endRunningTasks()
			for _, ref := range diamond().Jobs { // as the watch reports them
				if e := r.get(record.ActiveJobKey(ref)); e != nil {
					o, err := decode[record.ActiveJob](*e)
					if err != nil {
						t.Fatal(err)
					}
					r.shard.SetJob(ref, o, e.Version, r.clock.Now())
				}
			}
		}
		got := startedJobs(w)
		slices.Sort(got)
		if fmt.Sprint(got) != fmt.Sprint([]string{jobA, jobB, jobC, jobD}) || r.pipelineState() != wire.Done {
			t.Errorf("answer %d of 4 lost: started %v, pipeline %q, want each job once and done", lost, got, r.pipelineState())
		}
	}
}

// splitAndJoin returns a pipeline that splits after the first job into n jobs and joins them
// in the last job.
func splitAndJoin(n int) record.Pipeline {
	p := record.Pipeline{Jobs: []string{"run-000000"}}
	last := fmt.Sprintf("run-%06d", n+1)
	for i := range n {
		ref := fmt.Sprintf("run-%06d", i+1)
		p.Jobs = append(p.Jobs, ref)
		p.Links = append(p.Links, link("run-000000", ref), link(ref, last))
	}
	p.Jobs = append(p.Jobs, last)
	return p
}

// A pipeline that the first version accepted under wider limits comes to its end under the
// tighter ones, although neither its record nor its steps fit. Each job runs once and
// the join last, even if the shard fails over and answers are lost.
func TestOversizedPipeline(t *testing.T) {
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		r := newHarness(t)
		r.cfg.PlacementsPerRecord, r.cfg.TxnOps, r.cfg.ValueBytes = PlacementsPerRecord(16), 5, 1024
		r.failOver()
		r.shard.UseSizedRanges()
		w := r.addMachine("m1", "z1", false)
		p := splitAndJoin(13)
		if size := len(record.Encode(p)); size < 1024 || !p.NeedsSplitCommits(1024, 5) {
			t.Fatalf("the pipeline's record of %d bytes fits the limits, want one too large", size)
		}
		r.submitPipeline(p)
		r.state.Limit(1024, 5)
		last := p.Jobs[len(p.Jobs)-1]
		for beat := range 120 {
			if beat < 60 {
				switch rnd.IntN(4) {
				case 0:
					r.failOver()
					r.shard.UseSizedRanges()
				case 1:
					r.state.LoseAnswers = 1
				case 2:
					r.state.HoldTxns = 1
				}
			} else {
				r.state.Release()
			}
			r.heartbeat()
			if slices.Contains(startedJobs(w), last) {
				for _, ref := range p.Jobs[:len(p.Jobs)-1] {
					if r.jobState(ref) != wire.Done {
						t.Fatalf("seed %d: the join started while %s is %q", seed, ref, r.jobState(ref))
					}
				}
			}
			r.endRunningTasks()
		}
		for _, ref := range p.Jobs {
			if got := r.jobState(ref); got != wire.Done {
				t.Errorf("seed %d: %s is %q, want done", seed, ref, got)
			}
		}
		if r.pipelineState() != wire.Done || r.invalid > 0 {
			t.Errorf("seed %d: the pipeline is %q, want done; %d writes were too large, want none", seed, r.pipelineState(), r.invalid)
		}
	}
}

// If a job of an oversized pipeline is cancelled, the jobs that follow it are cancelled. If the
// pipeline is withdrawn, all its jobs are cancelled, even if the withdrawal wrote only the
// pipeline's own record.
func TestOversizedPipelineIsCancelled(t *testing.T) {
	for _, withdrawn := range []bool{false, true} {
		r := newHarness(t)
		r.cfg.PlacementsPerRecord, r.cfg.TxnOps, r.cfg.ValueBytes = PlacementsPerRecord(16), 5, 1024
		r.failOver()
		r.shard.UseSizedRanges()
		r.addMachine("m1", "z1", false)
		p := splitAndJoin(13)
		r.submitPipeline(p)
		r.state.Limit(1024, 5)
		r.heartbeats(2)
		r.endRunningTasks()
		r.heartbeats(3)
		if withdrawn {
			over := p
			over.State = wire.Cancelled
			r.state.Put(record.PipelineKey("pipe-000001"), over.Compacted(1024))
		} else {
			r.putActiveJob(record.ActiveJob{Spec: spec(p.Jobs[3], "b", wire.Array, "normal", 1, 1), Pipeline: "pipe-000001", AwaitsDependencies: true, Cancelled: true})()
		}
		r.heartbeats(2)
		r.failOver()
		r.shard.UseSizedRanges()
		for range 20 {
			r.heartbeat()
			if !withdrawn {
				r.endRunningTasks()
			}
		}
		for i, ref := range p.Jobs {
			want := wire.Done
			if i == 3 || i == len(p.Jobs)-1 || (withdrawn && i > 0) {
				want = wire.Cancelled
			}
			if got := r.jobState(ref); got != want || r.get(record.ActiveJobKey(ref)) != nil {
				t.Errorf("withdrawn %t: %s is %q, want %q", withdrawn, ref, got, want)
			}
		}
		if r.pipelineState() != wire.Cancelled || len(r.shard.jobs) > 0 {
			t.Errorf("withdrawn %t: the pipeline is %q, want cancelled; %d jobs are left, want none", withdrawn, r.pipelineState(), len(r.shard.jobs))
		}
	}
}
