package fragment

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// The paper assumes acyclic, well-structured graphs. What users hand in is
// checked: a net is well structured if it can be folded, block by block, into a
// single job.

// ErrStructure says that a net is not well structured: it has a cycle, jobs that
// nothing leads to, or branches that do not meet as they parted.
var ErrStructure = errors.New("fragment: not well structured")

// NetFromLinks makes a net of links between jobs: the only job without a link to it
// begins, and those without a link from them end the pipeline.
func NetFromLinks(jobs []string, links []Place) (*Net, error) {
	known := map[string]bool{}
	for _, j := range jobs {
		if known[j] {
			return nil, fmt.Errorf("fragment: job %s is named twice", j)
		}
		known[j] = true
	}
	from, to := map[string]bool{}, map[string]bool{}
	for _, l := range links {
		if len(l.In) == 0 || len(l.Out) == 0 {
			return nil, fmt.Errorf("%w: a link lacks an end", ErrStructure)
		}
		for _, side := range []struct {
			jobs []string
			seen map[string]bool
		}{{l.In, from}, {l.Out, to}} {
			in := map[string]bool{}
			for _, j := range side.jobs {
				if !known[j] || in[j] {
					return nil, fmt.Errorf("fragment: a link names %s, which is unknown or named twice", j)
				}
				in[j], side.seen[j] = true, true
			}
		}
	}
	var first, last Place
	for _, j := range jobs {
		if !to[j] {
			first.Out = append(first.Out, j)
		}
		if !from[j] {
			last.In = append(last.In, j)
		}
	}
	if len(first.Out) != 1 || len(last.In) == 0 {
		return nil, fmt.Errorf("%w: %d jobs begin and %d end it", ErrStructure, len(first.Out), len(last.In))
	}
	n, err := NewNet(append([]Place{first}, append(slices.Clone(links), last)...))
	if err != nil {
		return nil, err
	}
	return n, n.foldable()
}

type set map[int]bool

// foldable folds blocks until nothing is left to fold: jobs in a row, places
// side by side (a split and its join), jobs side by side (a choice).
func (n *Net) foldable() error {
	f := newFolding(n)
	for f.foldRow() || f.foldBetween() || f.foldPlaces() || f.foldJobs() {
	}
	if len(f.in) != 1 || len(f.feeds) != 2 {
		return ErrStructure
	}
	return nil
}

// folding is a net while its blocks are folded.
type folding struct {
	in, out map[string]set          // by job, the places before and after it
	feeds   map[int]map[string]bool // by place, the jobs before it
	takes   map[int]map[string]bool // by place, the jobs after it
}

func newFolding(n *Net) *folding {
	f := &folding{
		in: map[string]set{}, out: map[string]set{},
		feeds: map[int]map[string]bool{}, takes: map[int]map[string]bool{},
	}
	for i, p := range n.places {
		f.feeds[i], f.takes[i] = map[string]bool{}, map[string]bool{}
		for _, t := range p.In {
			f.feeds[i][t] = true
		}
		for _, t := range p.Out {
			f.takes[i][t] = true
		}
	}
	for t := range n.in {
		f.in[t], f.out[t] = set{}, set{}
		for _, i := range n.in[t] {
			f.in[t][i] = true
		}
		for _, i := range n.out[t] {
			f.out[t][i] = true
		}
	}
	return f
}

func (f *folding) dropPlace(i int) {
	for t := range f.feeds[i] {
		delete(f.out[t], i)
	}
	for t := range f.takes[i] {
		delete(f.in[t], i)
	}
	delete(f.feeds, i)
	delete(f.takes, i)
}

func (f *folding) dropJob(t string) {
	for i := range f.in[t] {
		delete(f.takes[i], t)
	}
	for i := range f.out[t] {
		delete(f.feeds[i], t)
	}
	delete(f.in, t)
	delete(f.out, t)
}

// foldRow folds two jobs in a row that are linked by one place only.
func (f *folding) foldRow() bool {
	for i := range f.feeds {
		t, u := only(f.feeds[i]), only(f.takes[i])
		if t == "" || u == "" || t == u || len(f.out[t]) != 1 || len(f.in[u]) != 1 {
			continue
		}
		rest := maps.Clone(f.out[u])
		f.dropPlace(i)
		f.dropJob(u)
		for k := range rest {
			f.out[t][k], f.feeds[k][t] = true, true
		}
		return true
	}
	return false
}

// foldBetween folds a job between two places that serve nothing else.
func (f *folding) foldBetween() bool {
	for t := range f.in {
		if len(f.in[t]) != 1 || len(f.out[t]) != 1 {
			continue
		}
		p, q := one(f.in[t]), one(f.out[t])
		if p == q || len(f.takes[p]) != 1 || len(f.feeds[q]) != 1 || len(f.feeds[p]) == 0 || len(f.takes[q]) == 0 {
			continue
		}
		after := maps.Clone(f.takes[q])
		f.dropJob(t)
		f.dropPlace(q)
		for u := range after {
			f.in[u][p], f.takes[p][u] = true, true
		}
		return true
	}
	return false
}

// foldPlaces folds two places side by side.
func (f *folding) foldPlaces() bool {
	for i := range f.feeds {
		if len(f.feeds[i]) == 0 || len(f.takes[i]) == 0 {
			continue
		}
		for k := range f.feeds {
			if i != k && maps.Equal(f.feeds[i], f.feeds[k]) && maps.Equal(f.takes[i], f.takes[k]) {
				f.dropPlace(k)
				return true
			}
		}
	}
	return false
}

// foldJobs folds two jobs side by side.
func (f *folding) foldJobs() bool {
	for t := range f.in {
		if len(f.in[t]) != 1 || len(f.out[t]) != 1 {
			continue
		}
		for u := range f.in {
			if t != u && maps.Equal(f.in[t], f.in[u]) && maps.Equal(f.out[t], f.out[u]) {
				f.dropJob(u)
				return true
			}
		}
	}
	return false
}

func only(m map[string]bool) string {
	if len(m) == 1 {
		for t := range m {
			return t
		}
	}
	return ""
}

func one(s set) int {
	for i := range s {
		return i
	}
	return -1
}

// Choices returns, for each job after which only one of several goes on, those
// it may choose between.
func (n *Net) Choices() map[string][]string {
	out := map[string][]string{}
	for _, p := range n.places {
		if len(p.Out) > 1 {
			for _, t := range p.In {
				out[t] = append(out[t], p.Out...)
			}
		}
	}
	return out
}

// Clone returns an independent copy of a running pipeline.
func (p *Pipeline) Clone() *Pipeline {
	c := &Pipeline{net: p.net, marks: maps.Clone(p.marks)}
	for _, f := range p.pool {
		c.pool = append(c.pool, Fragment{Source: f.Source, Jobs: maps.Clone(f.Jobs)})
	}
	return c
}

// Abort tells that a job failed or was cancelled: all that could follow it
// can't run any more, in whichever fragment it travels.
func (p *Pipeline) Abort(job string) {
	all := Fragment{Jobs: map[string]bool{}}
	for t := range p.net.in {
		all.Jobs[t] = true
	}
	gone := p.net.reach(job, all, nil)
	var kept []Fragment
	for _, f := range p.pool {
		if gone[f.Source] {
			continue
		}
		maps.DeleteFunc(f.Jobs, func(t string, _ bool) bool { return gone[t] })
		kept = append(kept, f)
	}
	p.pool = kept
}

// Remaining returns the jobs that may still run, those that run now included.
func (p *Pipeline) Remaining() map[string]bool {
	out := map[string]bool{}
	for _, f := range p.pool {
		for t := range f.Jobs {
			out[t] = true
		}
	}
	return out
}
