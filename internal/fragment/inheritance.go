package fragment

import (
	"math"
	"time"
)

// inheritance is what a job passes on to the jobs on which it depends.
type inheritance struct {
	rank  int
	start time.Time // when the job has to start; zero: it has no deadline
}

// nothing is what a job passes on that is not active.
var nothing = inheritance{rank: math.MinInt}

// equal reports whether two jobs pass on the same.
func (i inheritance) equal(other inheritance) bool {
	return i.rank == other.rank && i.start.Equal(other.start)
}

// inheritance returns what the job passes on.
func (n *node) inheritance() inheritance {
	if !n.active {
		return nothing
	}
	passed := inheritance{rank: n.urgency.Rank}
	if !n.urgency.Deadline.IsZero() {
		passed.start = n.urgency.Deadline.Add(-n.job.Estimate)
	}
	return passed
}

// inherit raises the job's urgency to what a dependent passes on: the highest priority of the job and
// its dependents, and as its deadline the earliest of the job's own and the times by which its
// dependents must start.
func (n *node) inherit(passed inheritance) {
	n.urgency.HasDependents = true
	n.urgency.Rank = max(n.urgency.Rank, passed.rank)
	if !passed.start.IsZero() && (n.urgency.Deadline.IsZero() || passed.start.Before(n.urgency.Deadline)) {
		n.urgency.Deadline = passed.start
	}
}

// mayLose reports whether the job's urgency may have to be lowered now that a dependent passes on
// something else than before.
func (n *node) mayLose(before, passed inheritance) bool {
	rankLost := passed.rank < before.rank && before.rank >= n.urgency.Rank && before.rank > n.job.Rank
	if rankLost || before.start.IsZero() {
		return rankLost
	}
	startLost := passed.start.IsZero() || passed.start.After(before.start)
	ownIsLater := n.job.Deadline.IsZero() || n.job.Deadline.After(before.start)
	return startLost && ownIsLater && !before.start.After(n.urgency.Deadline)
}
