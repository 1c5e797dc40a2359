package fragment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// builder makes random well-structured pipelines, block by block.
type builder struct {
	r     *rand.Rand
	jobs  []string
	links []Place
}

// job adds a job and returns its name.
func (b *builder) job() string {
	j := fmt.Sprintf("t%d", len(b.jobs))
	b.jobs = append(b.jobs, j)
	return j
}

// link adds a link.
func (b *builder) link(from, to []string) { b.links = append(b.links, Place{In: from, Out: to}) }

// block adds a random block with at most depth levels of blocks inside it and returns its first and
// last job.
func (b *builder) block(depth int) (first, last string) {
	switch kind := b.r.IntN(4); {
	case depth == 0 || kind == 0:
		j := b.job()
		return j, j
	case kind == 1:
		first, mid := b.block(depth - 1)
		next, last := b.block(depth - 1)
		b.link([]string{mid}, []string{next})
		return first, last
	case kind == 2: // a parallel split and its join
		first, last = b.job(), b.job()
		for range 2 + b.r.IntN(2) {
			x, y := b.block(depth - 1)
			b.link([]string{first}, []string{x})
			b.link([]string{y}, []string{last})
		}
		return first, last
	default: // a choice
		first, last = b.job(), b.job()
		var heads, tails []string
		for range 2 + b.r.IntN(2) {
			x, y := b.block(depth - 1)
			heads, tails = append(heads, x), append(tails, y)
		}
		b.link([]string{first}, heads)
		b.link(tails, []string{last})
		return first, last
	}
}

// The jobs that fragments make ready are those that the token game of the net enables, for random
// pipelines, orders in which jobs finish, and choices: each ready job is the source of exactly one
// fragment, no join is ready early and no job runs twice. This also holds after a change of owner at
// any point, when the finished jobs are replayed.
func TestFragmentsFollowTheTokenGame(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 7))
		b := &builder{r: r}
		b.block(3)
		n, err := NetFromLinks(b.jobs, b.links)
		if err != nil {
			t.Fatalf("seed %d: %v\n%v", seed, err, b.links)
		}
		choices := n.Choices()
		p := Begin(n)
		marks := map[int]bool{0: true}
		type step struct{ job, pick string }
		var done []step
		ran := map[string]bool{}
		picked := map[int]string{}
		for {
			var ready []string
			for _, j := range b.jobs {
				ok := !ran[j]
				for _, i := range n.in[j] {
					ok = ok && marks[i] && (picked[i] == "" || picked[i] == j)
				}
				if ok {
					ready = append(ready, j)
				}
			}
			slices.Sort(ready)
			if got := p.Ready(); !slices.Equal(got, ready) {
				t.Fatalf("seed %d after %v: ready %v, want %v\n%v", seed, done, got, ready, b.links)
			}
			for _, j := range ready {
				carriers := 0
				for _, f := range p.fragments {
					if f.Source == j {
						carriers++
					}
				}
				if carriers != 1 {
					t.Fatalf("seed %d: %s is the source of %d fragments, want 1", seed, j, carriers)
				}
			}
			if len(ready) == 0 {
				break
			}
			s := step{job: ready[r.IntN(len(ready))]}
			if c := choices[s.job]; len(c) > 0 {
				s.pick = c[r.IntN(len(c))]
			}
			if !p.Finish(s.job, s.pick) {
				t.Fatalf("seed %d: %s was not ready", seed, s.job)
			}
			ran[s.job] = true
			done = append(done, s)
			for _, i := range n.in[s.job] {
				delete(marks, i)
			}
			for _, i := range n.out[s.job] {
				marks[i], picked[i] = true, s.pick
			}
			if r.IntN(3) == 0 {
				p = Begin(n)
				for _, s := range done {
					p.Finish(s.job, s.pick)
				}
			}
		}
		if !p.Done() || len(p.Remaining()) != 0 {
			t.Fatalf("seed %d: no job is ready, but the pipeline is not done after %v", seed, done)
		}
	}
}

// When a job is cancelled, all jobs that follow it are aborted, including the join and its
// successors. The other branches go on.
func TestAbortEndsSuccessors(t *testing.T) {
	for _, failed := range []string{"b", "c"} {
		n, err := NetFromLinks([]string{"a", "b", "c", "d", "e"}, []Place{
			{In: []string{"a"}, Out: []string{"b"}}, {In: []string{"a"}, Out: []string{"c"}},
			{In: []string{"b"}, Out: []string{"d"}}, {In: []string{"c"}, Out: []string{"d"}},
			{In: []string{"d"}, Out: []string{"e"}},
		})
		if err != nil {
			t.Fatal(err)
		}
		p := Begin(n)
		p.Finish("a", "")
		p.Abort(failed)
		other := map[string]string{"b": "c", "c": "b"}[failed]
		if got := p.Ready(); !slices.Equal(got, []string{other}) || len(p.Remaining()) != 1 {
			t.Errorf("after %s was aborted: ready %v, remaining %v, want only %s", failed, got, p.Remaining(), other)
		}
		p.Finish(other, "")
		if !p.Done() {
			t.Errorf("after %s was aborted and %s finished: not done, remaining %v", failed, other, p.Remaining())
		}
	}
}

func TestStructureIsChecked(t *testing.T) {
	l := func(from, to string) Place { return Place{In: []string{from}, Out: []string{to}} }
	for name, test := range map[string]struct {
		jobs  []string
		links []Place
	}{
		"cycle":               {[]string{"a", "b", "c"}, []Place{l("a", "b"), l("b", "c"), l("c", "b")}},
		"two start jobs":      {[]string{"a", "b", "c"}, []Place{l("a", "c"), l("b", "c")}},
		"split without join":  {[]string{"a", "b", "c"}, []Place{l("a", "b"), l("a", "c")}},
		"join of a choice":    {[]string{"a", "b", "c", "d"}, []Place{{In: []string{"a"}, Out: []string{"b", "c"}}, l("b", "d"), l("c", "d")}},
		"crossing branches":   {[]string{"a", "b", "c", "d", "e"}, []Place{l("a", "b"), l("a", "c"), l("b", "d"), l("c", "d"), l("b", "e"), l("d", "e")}},
		"unknown job":         {[]string{"a"}, []Place{l("a", "x")}},
		"job named twice":     {[]string{"a", "a"}, nil},
		"link to itself":      {[]string{"a"}, []Place{l("a", "a")}},
		"no jobs":             {nil, nil},
		"link without an end": {[]string{"a", "b"}, []Place{{In: []string{"a"}}, l("a", "b")}},
	} {
		if _, err := NetFromLinks(test.jobs, test.links); err == nil {
			t.Errorf("%s: accepted, want an error", name)
		}
	}
}
