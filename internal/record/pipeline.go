package record

import (
	"slices"

	"bramblespur/internal/fragment"
	"bramblespur/internal/wire"
)

// Pipeline is a pipeline of several jobs. The jobs that were released are not recorded: they follow
// from the jobs that have ended, by the algorithm of package fragment.
type Pipeline struct {
	Shard   int              `json:"part"`
	Jobs    []string         `json:"jobs"`
	Links   []wire.Link      `json:"links,omitempty"`
	Choices []wire.Choice    `json:"choices,omitempty"`
	Ended   []PipelineJobEnd `json:"ended,omitempty"` // in the order in which they ended
	State   string           `json:"state,omitempty"` // the terminal state, empty until the pipeline has one
}

// PipelineJobEnd is the reference and the terminal state of a job of a pipeline.
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

// Replay applies to a running pipeline the ends of jobs in its record and then, in an order that the
// pipeline allows, other ends known from the jobs' own terminal records. A step that was too large
// for one transaction is recorded only there.
func (p *Pipeline) Replay(run *fragment.Pipeline, others []PipelineJobEnd) {
	for _, e := range p.Ended {
		p.ApplyEnd(run, e)
	}
	pending := slices.Clone(others)
	applyFirst := func(matches func(PipelineJobEnd) bool) bool {
		i := slices.IndexFunc(pending, matches)
		if i >= 0 {
			p.ApplyEnd(run, pending[i])
			pending = slices.Delete(pending, i, i+1)
		}
		return i >= 0
	}
	for {
		ready, remaining := run.Ready(), run.Remaining()
		if !applyFirst(func(e PipelineJobEnd) bool { return slices.Contains(ready, e.Ref) }) &&
			!applyFirst(func(e PipelineJobEnd) bool { return remaining[e.Ref] && e.State == wire.Cancelled }) {
			return // the other ends belong to branches that were not chosen
		}
	}
}

// NeedsSplitCommits reports whether a step of a pipeline may be too large for one transaction, with
// limits for the bytes of a value and for the operations. The pipeline's record grows by the end of
// each job, and a step takes two writes for the job, one for the pipeline, and one for each job that
// it releases.
func (p *Pipeline) NeedsSplitCommits(bytes, ops int) bool {
	complete := *p
	complete.Ended = nil
	mostLinks := 0
	for _, job := range p.Jobs {
		complete.Ended = append(complete.Ended, PipelineJobEnd{Ref: job, State: wire.Cancelled})
		links := 0
		for _, link := range p.Links {
			if slices.Contains(link.From, job) {
				links++
			}
		}
		mostLinks = max(mostLinks, links)
	}
	complete.State = wire.Cancelled
	const endOps = 3
	return len(Encode(complete)) > bytes || mostLinks+endOps > ops
}

// MissingEnds returns the jobs whose ends are not in the record.
func (p *Pipeline) MissingEnds() []string {
	return slices.DeleteFunc(slices.Clone(p.Jobs), func(ref string) bool {
		return slices.ContainsFunc(p.Ended, func(e PipelineJobEnd) bool { return e.Ref == ref })
	})
}

// Compacted returns the record of a terminal pipeline in at most a number of bytes if possible: it
// leaves out the links and choices, and then the ends, if the record is larger. They are no longer
// needed.
func (p Pipeline) Compacted(bytes int) Pipeline {
	if len(Encode(p)) > bytes {
		p.Links, p.Choices = nil, nil
	}
	if len(Encode(p)) > bytes {
		p.Ended = nil // the jobs' own records have their terminal states
	}
	return p
}

// ApplyEnd applies the end of a job to a running pipeline, with the choice that follows the job, if
// there is one.
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
		run.Abort(e.Ref) // also for a job that was cancelled before it was released
	}
}
