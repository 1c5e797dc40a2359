package fragment

import (
	"slices"
	"testing"
)

// figure2 is the paper's Fig. 2: t1, an AND-split t2 into t3 and t4, their join
// t5, and a choice between t6 and t7.
func figure2(t *testing.T) *Net {
	t.Helper()
	n, err := NewNet([]Place{
		{Out: []string{"t1"}},
		{In: []string{"t1"}, Out: []string{"t2"}},
		{In: []string{"t2"}, Out: []string{"t3"}},
		{In: []string{"t2"}, Out: []string{"t4"}},
		{In: []string{"t3"}, Out: []string{"t5"}},
		{In: []string{"t4"}, Out: []string{"t5"}},
		{In: []string{"t5"}, Out: []string{"t6", "t7"}},
		{In: []string{"t6", "t7"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// jobs returns the jobs of a fragment, sorted.
func jobs(f Fragment) []string {
	var out []string
	for j := range f.Jobs {
		out = append(out, j)
	}
	slices.Sort(out)
	return out
}

// Only the fragment of the first branch (F3) carries the join and the jobs that follow it; that of
// the other branch (F4) ends before the join.
func TestOneBranchCarriesTheJoin(t *testing.T) {
	p := Begin(figure2(t))
	for _, j := range []string{"t1", "t2"} {
		if !p.Finish(j, "") {
			t.Fatalf("%s was not ready", j)
		}
	}
	if len(p.fragments) != 2 {
		t.Fatalf("%d fragments after the split, want 2", len(p.fragments))
	}
	if got := jobs(p.fragments[0]); !slices.Equal(got, []string{"t3", "t5", "t6", "t7"}) {
		t.Errorf("F3 has the jobs %v, want t3, t5, t6 and t7", got)
	}
	if got := jobs(p.fragments[1]); !slices.Equal(got, []string{"t4"}) {
		t.Errorf("F4 has the jobs %v, want t4", got)
	}
}

func TestJoinWaitsForAllBranches(t *testing.T) {
	for _, order := range [][]string{{"t3", "t4"}, {"t4", "t3"}} {
		p := Begin(figure2(t))
		p.Finish("t1", "")
		p.Finish("t2", "")
		p.Finish(order[0], "")
		if got := p.Ready(); !slices.Equal(got, order[1:]) {
			t.Fatalf("ready %v after %s, want only %s", got, order[0], order[1])
		}
		if p.Finish("t5", "") {
			t.Fatal("the join could finish before both branches had")
		}
		p.Finish(order[1], "")
		if got := p.Ready(); !slices.Equal(got, []string{"t5"}) {
			t.Fatalf("ready %v after both branches, want t5", got)
		}
	}
}

func TestChoiceTakesOneBranch(t *testing.T) {
	p := Begin(figure2(t))
	for _, j := range []string{"t1", "t2", "t3", "t4"} {
		p.Finish(j, "")
	}
	p.Finish("t5", "t7")
	if got := p.Ready(); !slices.Equal(got, []string{"t7"}) {
		t.Fatalf("ready %v, want only t7, the chosen branch", got)
	}
	p.Finish("t7", "")
	if !p.Done() {
		t.Fatal("not done after t7")
	}
	if p.Finish("t7", "") {
		t.Fatal("a job finished twice")
	}
}

// Of a split into three branches, two meet before the join of all three. This partial join is
// carried by one fragment only.
func TestPartialJoinIsCarriedOnce(t *testing.T) {
	n, err := NewNet([]Place{
		{Out: []string{"s"}},
		{In: []string{"s"}, Out: []string{"a"}},
		{In: []string{"s"}, Out: []string{"b"}},
		{In: []string{"s"}, Out: []string{"c"}},
		{In: []string{"a"}, Out: []string{"ab"}},
		{In: []string{"b"}, Out: []string{"ab"}},
		{In: []string{"ab"}, Out: []string{"end"}},
		{In: []string{"c"}, Out: []string{"end"}},
		{In: []string{"end"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	p := Begin(n)
	ran := map[string]int{}
	for range 10 {
		for _, j := range p.Ready() {
			ran[j]++
			p.Finish(j, "")
		}
	}
	for _, j := range []string{"s", "a", "b", "c", "ab", "end"} {
		if ran[j] != 1 {
			t.Errorf("%s ran %d times, want once", j, ran[j])
		}
	}
	if !p.Done() {
		t.Error("not done although all jobs have finished")
	}
}

// A job without links is a pipeline of one job.
func TestSingleJob(t *testing.T) {
	n, err := NetFromLinks([]string{"j"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	p := Begin(n)
	if got := p.Ready(); !slices.Equal(got, []string{"j"}) {
		t.Fatalf("ready %v, want j", got)
	}
	if p.Finish("j", ""); !p.Done() {
		t.Fatal("not done after j")
	}
}

// A job that depends on others is the join of a split into them: it is ready once all of them are
// done, in any order, and never if one of them was cancelled.
func TestBeginAfter(t *testing.T) {
	dependencies := []string{"a", "b", "c"}
	for _, order := range [][]string{{"a", "b", "c"}, {"c", "a", "b"}, {"b", "c", "a"}} {
		p := beginAfter("job", dependencies)
		for i, r := range order {
			if slices.Contains(p.Ready(), "job") {
				t.Fatalf("the job is ready after %v only", order[:i])
			}
			if !p.Finish(r, "") {
				t.Fatalf("%s was not ready", r)
			}
		}
		if got := p.Ready(); len(got) != 1 || got[0] != "job" {
			t.Fatalf("ready %v, want only the job", got)
		}
		carried := 0
		for _, f := range p.fragments {
			if f.Jobs["job"] {
				carried++
			}
		}
		if carried != 1 {
			t.Errorf("%d fragments carry the job, want 1", carried)
		}
		if !p.Finish("job", "") || !p.Done() {
			t.Error("not done after the job")
		}
	}
	p := beginAfter("job", dependencies)
	p.Finish("a", "")
	p.Abort("b")
	p.Finish("c", "")
	if len(p.Ready()) > 0 || p.Remaining()["job"] {
		t.Errorf("ready %v, remaining %v though a dependency was cancelled", p.Ready(), p.Remaining())
	}
}
