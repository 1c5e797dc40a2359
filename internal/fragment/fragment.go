// Package fragment is the algorithm of "Dynamic workflow model fragmentation
// for distributed execution" (Tan and Fan, 2007), sections 2 and 3: after each
// finished job the remainder of its fragment is cut into fragments, one for
// each successor; of the branches of a parallel split only the first carries
// what follows the join.
package fragment

import (
	"fmt"
	"sort"
)

// Place links jobs: it is marked when one of In has finished, and one of Out
// uses the mark up. Several Out make a choice.
type Place struct {
	In, Out []string
}

// Net is a pipeline as a workflow net: jobs are its transitions. The place
// without In is its start.
type Net struct {
	places []Place
	in     map[string][]int // a job's input places
	out    map[string][]int // a job's output places
}

// NewNet makes a net of places.
func NewNet(places []Place) (*Net, error) {
	n := &Net{places: places, in: map[string][]int{}, out: map[string][]int{}}
	starts := 0
	for i, p := range places {
		if len(p.In) == 0 {
			starts++
		}
		for _, t := range p.In {
			n.out[t] = append(n.out[t], i)
		}
		for _, t := range p.Out {
			n.in[t] = append(n.in[t], i)
		}
	}
	if starts != 1 {
		return nil, fmt.Errorf("fragment: %d start places, want one", starts)
	}
	for t := range n.out {
		if len(n.in[t]) == 0 {
			return nil, fmt.Errorf("fragment: job %s has no input", t)
		}
	}
	return n, nil
}

// BeginAfter begins the pipeline of a job that waits for others, which were submitted
// before it and are under way or over: a split into these and their join. The
// job travels, as what follows any join, in one fragment.
func BeginAfter(job string, roots []string) *Pipeline {
	const split = "" // is no job
	places := []Place{{Out: []string{split}}, {In: []string{job}}}
	for _, r := range roots {
		places = append(places, Place{In: []string{split}, Out: []string{r}}, Place{In: []string{r}, Out: []string{job}})
	}
	n, err := NewNet(places)
	if err != nil {
		panic(err) // one split and one join are always sound
	}
	p := Begin(n)
	p.Finish(split, "")
	return p
}

// Fragment is a part of a net, run from its source job on.
type Fragment struct {
	Source string
	Jobs   map[string]bool
}

// reach is the paper's R and, with restricted jobs, its Algorithm 2: all jobs
// of f reachable from t without entering a restricted one.
func (n *Net) reach(t string, f Fragment, restricted map[string]bool) map[string]bool {
	seen := map[string]bool{}
	var visit func(string)
	visit = func(t string) {
		if seen[t] || !f.Jobs[t] || restricted[t] {
			return
		}
		seen[t] = true
		for _, p := range n.out[t] {
			for _, u := range n.places[p].Out {
				visit(u)
			}
		}
	}
	visit(t)
	return seen
}

// joinOf is Algorithm 4: the job at which all branches of a split meet.
func (n *Net) joinOf(split string, f Fragment) (string, bool) {
	outs := n.out[split]
	queue := append([]string(nil), n.places[outs[0]].Out...)
	seen := map[string]bool{}
	for len(queue) > 0 {
		t := queue[0]
		queue = queue[1:]
		if seen[t] || !f.Jobs[t] {
			continue
		}
		seen[t] = true
		all := true
		for _, p := range outs[1:] {
			found := false
			for _, u := range n.places[p].Out {
				if n.reach(u, f, nil)[t] {
					found = true
					break
				}
			}
			if !found {
				all = false
				break
			}
		}
		if all {
			return t, true
		}
		for _, p := range n.out[t] {
			queue = append(queue, n.places[p].Out...)
		}
	}
	return "", false
}

// next is Algorithm 3: the fragments that follow f's source. An added
// restriction (Algorithm 6) is every job already carried by an earlier branch
// that has several inputs: a partial join, carried once.
func (n *Net) next(f Fragment) []Fragment {
	var list []Fragment
	outs := n.out[f.Source]
	restricted := map[string]bool{}
	if len(outs) > 1 {
		if j, ok := n.joinOf(f.Source, f); ok {
			restricted[j] = true
		}
	}
	for i, p := range outs {
		var carried []map[string]bool
		for _, t := range n.places[p].Out {
			r := restricted
			if i == 0 {
				r = nil
			}
			jobs := n.reach(t, f, r)
			if len(jobs) == 0 {
				continue
			}
			list = append(list, Fragment{Source: t, Jobs: jobs})
			carried = append(carried, jobs)
		}
		for _, jobs := range carried {
			for t := range jobs {
				if len(n.in[t]) > 1 {
					restricted[t] = true
				}
			}
		}
	}
	return list
}

// Pipeline is a running net: its marking and its fragments.
type Pipeline struct {
	net   *Net
	marks map[int]bool
	pool  []Fragment
}

// Begin starts a pipeline. Its first fragments wait in Ready.
func Begin(n *Net) *Pipeline {
	p := &Pipeline{net: n, marks: map[int]bool{}}
	all := Fragment{Jobs: map[string]bool{}}
	for t := range n.in {
		all.Jobs[t] = true
	}
	for i, pl := range n.places {
		if len(pl.In) == 0 {
			p.marks[i] = true
			for _, t := range pl.Out {
				p.pool = append(p.pool, Fragment{Source: t, Jobs: n.reach(t, all, nil)})
			}
		}
	}
	return p
}

// Ready returns the jobs that may run now: sources of fragments whose every
// input place is marked.
func (p *Pipeline) Ready() []string {
	var jobs []string
	for _, f := range p.pool {
		if p.enabled(f.Source) {
			jobs = append(jobs, f.Source)
		}
	}
	sort.Strings(jobs)
	return jobs
}

func (p *Pipeline) enabled(t string) bool {
	for _, i := range p.net.in[t] {
		if !p.marks[i] {
			return false
		}
	}
	return true
}

// Finish tells that a ready job is done. At a choice, pick names the job that
// goes on. It reports whether the job was ready.
func (p *Pipeline) Finish(job, pick string) bool {
	at := -1
	for i, f := range p.pool {
		if f.Source == job && p.enabled(job) {
			at = i
		}
	}
	if at < 0 {
		return false
	}
	f := p.pool[at]
	for _, i := range p.net.in[job] {
		delete(p.marks, i)
	}
	// Whatever shared a choice with this job can't run any more.
	kept := p.pool[:0]
	for _, g := range p.pool {
		if g.Source != job && !p.rival(g.Source, job) {
			kept = append(kept, g)
		}
	}
	p.pool = kept
	for _, g := range p.net.next(f) {
		if pick != "" && g.Source != pick && p.rival(g.Source, pick) {
			continue
		}
		p.pool = append(p.pool, g)
	}
	for _, i := range p.net.out[job] {
		p.marks[i] = true
	}
	return true
}

// rival reports whether two jobs are branches of one choice.
func (p *Pipeline) rival(a, b string) bool {
	for _, i := range p.net.in[a] {
		for _, j := range p.net.in[b] {
			if i == j && a != b {
				return true
			}
		}
	}
	return false
}

// Done reports whether nothing is left to run.
func (p *Pipeline) Done() bool { return len(p.pool) == 0 }
