package sched

import (
	"time"

	"bramblespur/internal/wire"
)

// Objective is a time within which a class's jobs should start or finish.
type Objective struct {
	AtStart bool
	Within  time.Duration
}

// Urgency returns the order of a team's jobs of one priority, smaller first: the
// one with the least time to spare until its deadline or its class's next
// objective. What has missed them all goes last, the longest waiting first,
// since it keeps others from theirs. Estimates order work; no rule rests on them.
func Urgency(classes map[string][]Objective) func(*wire.Spec, time.Duration) float64 {
	return func(s *wire.Spec, waited time.Duration) float64 {
		spare := func(within time.Duration, atStart bool) float64 {
			v := (within - waited).Seconds()
			if !atStart {
				v -= s.EstimateS
			}
			return v
		}
		if s.DeadlineS != nil {
			if v := spare(time.Duration(*s.DeadlineS*float64(time.Second)), false); v > 0 {
				return v
			}
		}
		for _, o := range classes[s.Class] {
			if v := spare(o.Within, o.AtStart); v > 0 {
				return v
			}
		}
		if s.DeadlineS == nil && len(classes[s.Class]) == 0 {
			return noObjective - waited.Seconds()
		}
		return missedAll - waited.Seconds()
	}
}

// Where jobs without objectives, and those that missed theirs, come in the order.
const (
	noObjective = 600
	missedAll   = 1e6
)
