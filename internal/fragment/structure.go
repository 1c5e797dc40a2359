package fragment

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// The paper assumes acyclic, well-structured graphs, so the graphs that users submit are checked.
// A net is well structured if it can be folded, block by block, into a single job.

// ErrStructure is the error for a net that is not well structured: it has a cycle, unreachable jobs,
// or branches that do not meet in the same way as they split.
var ErrStructure = errors.New("fragment: not well structured")

// NetFromLinks returns the net of a pipeline that is given by its jobs and the links between them.
// The only job without a link to it starts the pipeline, and the jobs without a link from them end
// it. The error wraps ErrStructure if the net is not well structured; jobs named twice and links
// that name unknown jobs are errors too.
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
					return nil, fmt.Errorf("fragment: a link names job %s, which is unknown or named twice", j)
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
		return nil, fmt.Errorf("%w: %d jobs without a link to them, want 1, and %d without a link from them, want at least 1", ErrStructure, len(first.Out), len(last.In))
	}
	n, err := NewNet(append([]Place{first}, append(slices.Clone(links), last)...))
	if err != nil {
		return nil, err
	}
	return n, n.foldable()
}

// placeSet is a set of places, by index.
type placeSet map[int]bool

// foldable returns nil if the net is well structured, and ErrStructure otherwise. It folds blocks
// as long as possible: jobs in series, parallel places (a split and its join) and parallel jobs (a
// choice).
func (n *Net) foldable() error {
	f := newFolding(n)
	for f.foldSeriesJobs() || f.foldSeriesPlaces() || f.foldParallelPlaces() || f.foldParallelJobs() {
	}
	if len(f.in) != 1 || len(f.producers) != 2 {
		return ErrStructure
	}
	return nil
}

// folding is a net whose blocks are being folded. Places are identified by their indexes.
type folding struct {
	in, out   map[string]placeSet     // by job: its input and output places
	producers map[int]map[string]bool // by place: the jobs that mark it
	consumers map[int]map[string]bool // by place: the jobs that consume its mark
}

func newFolding(n *Net) *folding {
	f := &folding{
		in: map[string]placeSet{}, out: map[string]placeSet{},
		producers: map[int]map[string]bool{}, consumers: map[int]map[string]bool{},
	}
	for i, p := range n.places {
		f.producers[i], f.consumers[i] = map[string]bool{}, map[string]bool{}
		for _, t := range p.In {
			f.producers[i][t] = true
		}
		for _, t := range p.Out {
			f.consumers[i][t] = true
		}
	}
	for t := range n.in {
		f.in[t], f.out[t] = placeSet{}, placeSet{}
		for _, i := range n.in[t] {
			f.in[t][i] = true
		}
		for _, i := range n.out[t] {
			f.out[t][i] = true
		}
	}
	return f
}

// dropPlace removes a place and its links.
func (f *folding) dropPlace(i int) {
	for t := range f.producers[i] {
		delete(f.out[t], i)
	}
	for t := range f.consumers[i] {
		delete(f.in[t], i)
	}
	delete(f.producers, i)
	delete(f.consumers, i)
}

// dropJob removes a job and its links.
func (f *folding) dropJob(t string) {
	for i := range f.in[t] {
		delete(f.consumers[i], t)
	}
	for i := range f.out[t] {
		delete(f.producers[i], t)
	}
	delete(f.in, t)
	delete(f.out, t)
}

// foldSeriesJobs folds two jobs in series, linked by a single place, into one. It reports whether
// there were any; so do the other fold methods.
func (f *folding) foldSeriesJobs() bool {
	for i := range f.producers {
		t, u := onlyJob(f.producers[i]), onlyJob(f.consumers[i])
		if t == "" || u == "" || t == u || len(f.out[t]) != 1 || len(f.in[u]) != 1 {
			continue
		}
		rest := maps.Clone(f.out[u])
		f.dropPlace(i)
		f.dropJob(u)
		for k := range rest {
			f.out[t][k], f.producers[k][t] = true, true
		}
		return true
	}
	return false
}

// foldSeriesPlaces folds two places that are linked by a single job only into one.
func (f *folding) foldSeriesPlaces() bool {
	for t := range f.in {
		if len(f.in[t]) != 1 || len(f.out[t]) != 1 {
			continue
		}
		p, q := anyPlace(f.in[t]), anyPlace(f.out[t])
		if p == q || len(f.consumers[p]) != 1 || len(f.producers[q]) != 1 || len(f.producers[p]) == 0 || len(f.consumers[q]) == 0 {
			continue
		}
		after := maps.Clone(f.consumers[q])
		f.dropJob(t)
		f.dropPlace(q)
		for u := range after {
			f.in[u][p], f.consumers[p][u] = true, true
		}
		return true
	}
	return false
}

// foldParallelPlaces folds two places between the same jobs into one.
func (f *folding) foldParallelPlaces() bool {
	for i := range f.producers {
		if len(f.producers[i]) == 0 || len(f.consumers[i]) == 0 {
			continue
		}
		for k := range f.producers {
			if i != k && maps.Equal(f.producers[i], f.producers[k]) && maps.Equal(f.consumers[i], f.consumers[k]) {
				f.dropPlace(k)
				return true
			}
		}
	}
	return false
}

// foldParallelJobs folds two jobs between the same two places into one.
func (f *folding) foldParallelJobs() bool {
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

// onlyJob returns the only member of a set of jobs, or "" if there is not exactly one.
func onlyJob(m map[string]bool) string {
	if len(m) == 1 {
		for t := range m {
			return t
		}
	}
	return ""
}

// anyPlace returns any member of a set of places, or -1 if the set is empty.
func anyPlace(s placeSet) int {
	for i := range s {
		return i
	}
	return -1
}

// Choices returns the jobs that a choice follows, each with the jobs that may be chosen.
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

// Clone returns an independent copy of a pipeline.
func (p *Pipeline) Clone() *Pipeline {
	c := &Pipeline{net: p.net, marks: maps.Clone(p.marks)}
	for _, f := range p.fragments {
		c.fragments = append(c.fragments, Fragment{Source: f.Source, Jobs: maps.Clone(f.Jobs)})
	}
	return c
}

// Abort records that a job failed or was cancelled: neither the job nor any job that follows it can
// run any more, whichever fragment carries it.
func (p *Pipeline) Abort(job string) {
	all := Fragment{Jobs: map[string]bool{}}
	for t := range p.net.in {
		all.Jobs[t] = true
	}
	aborted := p.net.reach(job, all, nil)
	var kept []Fragment
	for _, f := range p.fragments {
		if aborted[f.Source] {
			continue
		}
		maps.DeleteFunc(f.Jobs, func(t string, _ bool) bool { return aborted[t] })
		kept = append(kept, f)
	}
	p.fragments = kept
}

// Remaining returns the jobs that may still run, including those that are running.
func (p *Pipeline) Remaining() map[string]bool {
	out := map[string]bool{}
	for _, f := range p.fragments {
		for t := range f.Jobs {
			out[t] = true
		}
	}
	return out
}
