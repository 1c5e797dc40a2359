package sched

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// Short names of a pipeline's jobs.
const (
	jobA = "run-00000a"
	jobB = "run-00000b"
	jobC = "run-00000c"
	jobD = "run-00000d"
)

func link(from, to string) wire.Link { return wire.Link{From: []string{from}, To: []string{to}} }

// diamond is a split after the first job and its join.
func diamond() record.Pipe {
	return record.Pipe{Jobs: []string{jobA, jobB, jobC, jobD}, Links: []wire.Link{link(jobA, jobB), link(jobA, jobC), link(jobB, jobD), link(jobC, jobD)}}
}

// fork is a choice after the first job: done goes on with B, cancelled with C.
func fork() record.Pipe {
	return record.Pipe{Jobs: []string{jobA, jobB, jobC, jobD},
		Links:   []wire.Link{{From: []string{jobA}, To: []string{jobB, jobC}}, {From: []string{jobB, jobC}, To: []string{jobD}}},
		Choices: []wire.Choice{{At: jobA, Done: jobB, Cancelled: jobC}}}
}

// pipeline submits a pipeline as a controller records it.
func (r *rig) pipeline(p record.Pipe) {
	r.state.Put(record.PipeKey("pipe-000001"), p)
	for i, ref := range p.Jobs {
		r.open(record.Open{Spec: spec(ref, "b", wire.Array, "normal", 1, 1), At: r.clock.Now().UnixMilli(), Pipe: "pipe-000001", Held: i > 0})()
	}
}

// endAll lets whatever runs complete.
func (r *rig) endAll() {
	for _, w := range r.workers {
		for name, t := range w.Tasks {
			if t.State == wire.Running {
				w.End(name, wire.Done)
			}
		}
	}
}

func started(w *testkit.Worker) []string {
	var out []string
	for _, s := range w.Started {
		ref, _, _ := strings.Cut(s, "/")
		out = append(out, ref)
	}
	return out
}

func (r *rig) pipeState() string {
	rec, err := decode[record.Pipe](*r.get(record.PipeKey("pipe-000001")))
	if err != nil {
		r.t.Fatal(err)
	}
	return rec.State
}

// Jobs are released step by step: the join waits for both branches, and each
// job runs once, also when the part is taken over after any number of reports.
func TestPipelineStepByStep(t *testing.T) {
	for crash := range 12 {
		r := newRig(t)
		w := r.machine("m1", "z1", false)
		r.pipeline(diamond())
		for beat := range 40 {
			if crash > 0 && beat%crash == crash-1 && beat < 24 {
				r.claim()
			}
			r.beat()
			got := started(w)
			if slices.Contains(got, jobD) && (r.jobState(jobB) != wire.Done || r.jobState(jobC) != wire.Done) {
				t.Fatalf("claims each %d reports: the join started before both branches were done: %v", crash, got)
			}
			r.endAll()
		}
		got := started(w)
		slices.Sort(got)
		if !slices.Equal(got, []string{jobA, jobB, jobC, jobD}) || r.pipeState() != wire.Done {
			t.Errorf("claims each %d reports: started %v, pipeline %q", crash, got, r.pipeState())
		}
		if len(r.part.lines) > 0 && crash == 0 {
			t.Errorf("%d pipelines kept after the end", len(r.part.lines))
		}
	}
}

// A cancelled job ends all that follows it, and nothing else.
func TestPipelineEndsSuccessors(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.pipeline(diamond())
	r.beats(2)
	r.endAll()
	r.beats(3)
	r.open(record.Open{Spec: spec(jobB, "b", wire.Array, "normal", 1, 1), Pipe: "pipe-000001", Cancelled: true})()
	r.beats(3)
	r.endAll()
	r.beats(5)
	for ref, want := range map[string]string{jobA: wire.Done, jobB: wire.Cancelled, jobC: wire.Done, jobD: wire.Cancelled} {
		if got := r.jobState(ref); got != want {
			t.Errorf("%s is %q, want %q", ref, got, want)
		}
	}
	if slices.Contains(started(w), jobD) || r.pipeState() != wire.Cancelled {
		t.Errorf("started %v, pipeline %q", started(w), r.pipeState())
	}
}

// At a choice only the branch of the job's outcome goes on.
func TestPipelineChoosesByOutcome(t *testing.T) {
	for _, x := range []struct {
		cancel     bool
		runs, dies string
	}{{false, jobB, jobC}, {true, jobC, jobB}} {
		r := newRig(t)
		w := r.machine("m1", "z1", false)
		r.pipeline(fork())
		r.beats(2)
		if x.cancel {
			r.open(record.Open{Spec: spec(jobA, "b", wire.Array, "normal", 1, 1), Pipe: "pipe-000001", Cancelled: true})()
		}
		for range 16 {
			r.endAll()
			r.beat()
		}
		got := started(w)
		if !slices.Contains(got, x.runs) || slices.Contains(got, x.dies) || !slices.Contains(got, jobD) {
			t.Errorf("cancelled %t: started %v", x.cancel, got)
		}
		if r.jobState(x.dies) != wire.Cancelled || r.jobState(jobD) != wire.Done {
			t.Errorf("cancelled %t: %s is %q, the last %q", x.cancel, x.dies, r.jobState(x.dies), r.jobState(jobD))
		}
	}
}

// A withdrawn pipeline releases nothing more, whatever its owner knew, and the
// answer of a step that got lost neither repeats nor loses it.
func TestPipelineWithdrawnAndLostAnswers(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.pipeline(diamond())
	r.beats(2)
	rec := diamond()
	rec.State = wire.Cancelled
	r.state.Put(record.PipeKey("pipe-000001"), rec) // not told to the owner
	r.endAll()
	r.beats(6)
	if got := started(w); !slices.Equal(got, []string{jobA}) {
		t.Fatalf("started %v after the withdrawal", got)
	}
	for lost := range 4 {
		r := newRig(t)
		w := r.machine("m1", "z1", false)
		r.pipeline(diamond())
		for beat := range 40 {
			if beat%4 == lost {
				r.state.LoseAnswers = 1
			}
			r.beat()
			r.endAll()
			for _, ref := range diamond().Jobs { // as the watch tells
				if e := r.get(record.OpenKey(ref)); e != nil {
					o, err := decode[record.Open](*e)
					if err != nil {
						t.Fatal(err)
					}
					r.part.SetJob(ref, o, e.Version, r.clock.Now())
				}
			}
		}
		got := started(w)
		slices.Sort(got)
		if fmt.Sprint(got) != fmt.Sprint([]string{jobA, jobB, jobC, jobD}) || r.pipeState() != wire.Done {
			t.Errorf("answer %d of 4 lost: started %v, pipeline %q", lost, got, r.pipeState())
		}
	}
}
