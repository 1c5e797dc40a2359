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

// Linked makes a net of links between jobs: the only job without a link to it
// begins, and those without a link from them end the pipeline.
func Linked(jobs []string, links []Place) (*Net, error) {
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
	in, out := map[string]set{}, map[string]set{}
	feeds, takes := map[int]map[string]bool{}, map[int]map[string]bool{} // of places
	for i, p := range n.places {
		feeds[i], takes[i] = map[string]bool{}, map[string]bool{}
		for _, t := range p.In {
			feeds[i][t] = true
		}
		for _, t := range p.Out {
			takes[i][t] = true
		}
	}
	for t := range n.in {
		in[t], out[t] = set{}, set{}
		for _, i := range n.in[t] {
			in[t][i] = true
		}
		for _, i := range n.out[t] {
			out[t][i] = true
		}
	}
	dropPlace := func(i int) {
		for t := range feeds[i] {
			delete(out[t], i)
		}
		for t := range takes[i] {
			delete(in[t], i)
		}
		delete(feeds, i)
		delete(takes, i)
	}
	dropJob := func(t string) {
		for i := range in[t] {
			delete(takes[i], t)
		}
		for i := range out[t] {
			delete(feeds[i], t)
		}
		delete(in, t)
		delete(out, t)
	}
	fold := func() bool {
		// Jobs in a row, linked by one place only.
		for i := range feeds {
			t, u := only(feeds[i]), only(takes[i])
			if t == "" || u == "" || t == u || len(out[t]) != 1 || len(in[u]) != 1 {
				continue
			}
			rest := maps.Clone(out[u])
			dropPlace(i)
			dropJob(u)
			for k := range rest {
				out[t][k], feeds[k][t] = true, true
			}
			return true
		}
		// A job between two places that serve nothing else.
		for t := range in {
			if len(in[t]) != 1 || len(out[t]) != 1 {
				continue
			}
			p, q := one(in[t]), one(out[t])
			if p == q || len(takes[p]) != 1 || len(feeds[q]) != 1 || len(feeds[p]) == 0 || len(takes[q]) == 0 {
				continue
			}
			after := maps.Clone(takes[q])
			dropJob(t)
			dropPlace(q)
			for u := range after {
				in[u][p], takes[p][u] = true, true
			}
			return true
		}
		for i := range feeds {
			for k := range feeds {
				if i != k && len(feeds[i]) > 0 && len(takes[i]) > 0 && maps.Equal(feeds[i], feeds[k]) && maps.Equal(takes[i], takes[k]) {
					dropPlace(k)
					return true
				}
			}
		}
		for t := range in {
			for u := range in {
				if t != u && len(in[t]) == 1 && len(out[t]) == 1 && maps.Equal(in[t], in[u]) && maps.Equal(out[t], out[u]) {
					dropJob(u)
					return true
				}
			}
		}
		return false
	}
	for fold() {
	}
	if len(in) != 1 || len(feeds) != 2 {
		return ErrStructure
	}
	return nil
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

// Left returns the jobs that may still run, those that run now included.
func (p *Pipeline) Left() map[string]bool {
	out := map[string]bool{}
	for _, f := range p.pool {
		for t := range f.Jobs {
			out[t] = true
		}
	}
	return out
}
