package fragment

import "slices"

// Join is a job that depends on others, which were submitted before it and may have started or
// finished: the join of a split into them. Like any join, the job is part of one fragment. Its
// inputs are counted, since a job may depend on very many. It is not safe for concurrent use.
type Join struct {
	unfinished int  // dependencies that are not done
	aborted    bool // a dependency was cancelled
}

// NewJoin returns the join of a job's dependencies, none of which has finished. A dependency that is
// named twice counts once.
func NewJoin(dependencies []string) Join {
	sorted := slices.Sorted(slices.Values(dependencies))
	return Join{unfinished: len(slices.Compact(sorted))}
}

// Finish notes that a dependency is done. It must be called once for each.
func (j *Join) Finish() { j.unfinished-- }

// Abort notes that a dependency was cancelled.
func (j *Join) Abort() { j.aborted = true }

// Ready reports whether the job may run: all its dependencies are done.
func (j *Join) Ready() bool { return j.unfinished == 0 && !j.aborted }
