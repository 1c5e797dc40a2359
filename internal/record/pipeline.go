package record

import (
	"slices"

	"bramblespur/internal/fragment"
	"bramblespur/internal/wire"
)

// Pipeline is a pipeline of several jobs. Which jobs were released follows from those that have
// ended, by the algorithm of package fragment.
type Pipeline struct {
	Shard   int              `json:"part"`
	Jobs    []string         `json:"jobs"`
	Links   []wire.Link      `json:"links,omitempty"`
	Choices []wire.Choice    `json:"choices,omitempty"`
	Ended   []PipelineJobEnd `json:"ended,omitempty"` // in the order of their ends
	State   string           `json:"state,omitempty"` // once it is terminal
}

// PipelineJobEnd is a job of a pipeline that has ended.
type PipelineJobEnd struct {
	Ref   string `json:"ref"`
	State string `json:"state"`
}

// Net returns the pipeline as a Petri net of its jobs.
func (p *Pipeline) Net() (*fragment.Net, error) {
	var links []fragment.Place
	for _, l := range p.Links {
		links = append(links, fragment.Place{In: l.From, Out: l.To})
	}
	return fragment.NetFromLinks(p.Jobs, links)
}

// Replay applies to a running pipeline the ends that its record has, and then others that are
// known from the jobs' own terminal records, in whatever order: a step that was too large for one
// transaction left them there alone.
func (p *Pipeline) Replay(run *fragment.Pipeline, others []PipelineJobEnd) {
	for _, e := range p.Ended {
		p.ApplyEnd(run, e)
	}
	left := slices.Clone(others)
	take := func(want func(PipelineJobEnd) bool) bool {
		i := slices.IndexFunc(left, want)
		if i >= 0 {
			p.ApplyEnd(run, left[i])
			left = slices.Delete(left, i, i+1)
		}
		return i >= 0
	}
	for {
		ready, may := run.Ready(), run.Remaining()
		if !take(func(e PipelineJobEnd) bool { return slices.Contains(ready, e.Ref) }) &&
			!take(func(e PipelineJobEnd) bool { return may[e.Ref] && e.State == wire.Cancelled }) {
			return // the rest belongs to branches that were not taken
		}
	}
}

// NeedsSplitCommits reports whether steps of a pipeline may be too large for one transaction: its
// record grows by each job's end, and a step takes two writes for the job, one for the pipeline,
// and one for each job that it releases.
func (p *Pipeline) NeedsSplitCommits(bytes, ops int) bool {
	whole := *p
	whole.Ended = nil
	widest := 0
	for _, j := range p.Jobs {
		whole.Ended = append(whole.Ended, PipelineJobEnd{Ref: j, State: wire.Cancelled})
		n := 0
		for _, l := range p.Links {
			if slices.Contains(l.From, j) {
				n++
			}
		}
		widest = max(widest, n)
	}
	whole.State = wire.Cancelled
	const endOps = 3
	return len(Encode(whole)) > bytes || widest+endOps > ops
}

// MissingEnds returns the jobs whose ends the record does not have.
func (p *Pipeline) MissingEnds() []string {
	return slices.DeleteFunc(slices.Clone(p.Jobs), func(ref string) bool {
		return slices.ContainsFunc(p.Ended, func(e PipelineJobEnd) bool { return e.Ref == ref })
	})
}

// Compacted returns the record of a terminal pipeline: all of it if that has at most so many bytes,
// else without what nobody needs any more.
func (p Pipeline) Compacted(bytes int) Pipeline {
	if len(Encode(p)) > bytes {
		p.Links, p.Choices = nil, nil
	}
	if len(Encode(p)) > bytes {
		p.Ended = nil // each job's own record has it
	}
	return p
}

// ApplyEnd applies a job's end to a running pipeline.
func (p *Pipeline) ApplyEnd(run *fragment.Pipeline, e PipelineJobEnd) {
	pick, cancelled := "", ""
	for _, c := range p.Choices {
		if c.At == e.Ref {
			pick, cancelled = c.Done, c.Cancelled
		}
	}
	switch {
	case e.State == wire.Done:
		run.Finish(e.Ref, pick)
	case cancelled == "" || !run.Finish(e.Ref, cancelled):
		run.Abort(e.Ref) // also a job that was cancelled before it was released
	}
}
