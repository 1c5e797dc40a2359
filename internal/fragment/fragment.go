// Package fragment decides which jobs of a pipeline may run. It implements the algorithm of
// "Dynamic workflow model fragmentation for distributed execution" (Tan and Fan, 2007), sections 2
// and 3: after each finished job the remainder of its fragment is cut into fragments, one for each
// successor. Of the branches of a parallel split, only the first one's fragment contains the join and
// the jobs that follow it.
//
// The package also checks that a pipeline is well structured (NetFromLinks), and computes the
// urgency that jobs inherit from the jobs that depend on them (Dependencies).
package fragment

import (
	"fmt"
	"sort"
)

// Place links jobs. It is marked when one of the jobs In has finished, and one of the jobs Out
// consumes the mark. Several jobs in Out make a choice.
type Place struct {
	In, Out []string
}

// Net is a pipeline as a workflow net, whose transitions are the jobs. The place without In is the
// start place.
type Net struct {
	places []Place
	in     map[string][]int // by job: the indexes of its input places
	out    map[string][]int // by job: the indexes of its output places
}

// NewNet returns the net of the given places. It returns an error unless there is exactly one start place and
// each job has an input place.
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
		return nil, fmt.Errorf("fragment: %d start places, want 1", starts)
	}
	for t := range n.out {
		if len(n.in[t]) == 0 {
			return nil, fmt.Errorf("fragment: job %s has no input place", t)
		}
	}
	return n, nil
}

// Fragment is a part of a net. Source is the one of its jobs that runs first.
type Fragment struct {
	Source string
	Jobs   map[string]bool
}

// reach returns all jobs of f that are reachable from t without entering a restricted job. It is
// the paper's R and, with restricted jobs, its Algorithm 2.
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

// joinOf returns the job at which all branches of a split meet, and whether there is one. It is
// Algorithm 4.
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

// next returns the fragments that follow f's source. It is Algorithm 3 with an added restriction
// (Algorithm 6): a partial join, which is a job with several inputs that is in the fragment of an
// earlier branch, is left out of the later fragments.
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

// Pipeline is the state of a net that runs: its marking and its fragments. The zero value is a
// pipeline with nothing left to run. It is not safe for concurrent use.
type Pipeline struct {
	net       *Net
	marks     map[int]bool // by index of the place
	fragments []Fragment
}

// Begin returns a new pipeline with the net's first jobs ready.
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
				p.fragments = append(p.fragments, Fragment{Source: t, Jobs: n.reach(t, all, nil)})
			}
		}
	}
	return p
}

// Ready returns the jobs that may run now, sorted: the sources of fragments whose input places are
// all marked.
func (p *Pipeline) Ready() []string {
	var jobs []string
	for _, f := range p.fragments {
		if p.enabled(f.Source) {
			jobs = append(jobs, f.Source)
		}
	}
	sort.Strings(jobs)
	return jobs
}

// enabled reports whether all input places of a job are marked.
func (p *Pipeline) enabled(t string) bool {
	for _, i := range p.net.in[t] {
		if !p.marks[i] {
			return false
		}
	}
	return true
}

// Finish records that a ready job is done. If a choice follows the job, pick is the job that is
// chosen; otherwise it is empty. Finish reports whether the job was ready, and changes nothing if it
// was not.
func (p *Pipeline) Finish(job, pick string) bool {
	at := -1
	for i, f := range p.fragments {
		if f.Source == job && p.enabled(job) {
			at = i
		}
	}
	if at < 0 {
		return false
	}
	f := p.fragments[at]
	for _, i := range p.net.in[job] {
		delete(p.marks, i)
	}
	// The other branches of a choice to which this job belongs can no longer run.
	kept := p.fragments[:0]
	for _, g := range p.fragments {
		if g.Source != job && !p.alternatives(g.Source, job) {
			kept = append(kept, g)
		}
	}
	p.fragments = kept
	for _, g := range p.net.next(f) {
		if pick != "" && g.Source != pick && p.alternatives(g.Source, pick) {
			continue
		}
		p.fragments = append(p.fragments, g)
	}
	for _, i := range p.net.out[job] {
		p.marks[i] = true
	}
	return true
}

// alternatives reports whether two jobs are branches of the same choice.
func (p *Pipeline) alternatives(a, b string) bool {
	for _, i := range p.net.in[a] {
		for _, j := range p.net.in[b] {
			if i == j && a != b {
				return true
			}
		}
	}
	return false
}

// Done reports whether no job is left to run.
func (p *Pipeline) Done() bool { return len(p.fragments) == 0 }
