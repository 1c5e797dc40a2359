package scheduler

import (
	"math"
	"time"

	"bramblespur/internal/wire"
)

const arrivalDecay = 60 * time.Second

// recordArrival counts a job for the headroom if it is of the kind that must start
// soon: no spot machine will do, or its team is guaranteed. What may use spot
// machines is counted apart: they are what is kept ready for it.
func (s *Shard) recordArrival(j *Job, now time.Time) {
	t := s.cfg.Teams[j.spec.Team]
	if j.spec.Spot && t.CPUs <= 0 && t.GPUs <= 0 {
		return
	}
	share := 1.0
	for _, typ := range s.cfg.Types {
		size := j.spec.CPUs / typ.CPUs
		if typ.GPUs > 0 {
			size = max(size, j.spec.GPUs/typ.GPUs)
		}
		share = min(share, size)
	}
	s.decayArrivals(now)
	n := float64(j.spec.Tasks)
	switch {
	case j.spec.Spot:
		s.spotArrivals += n * share
	case j.spec.Kind == wire.Array:
		s.arrivals += min(n, maxArrayArrivals) * share
	default:
		s.arrivals += n * share
	}
}

// maxArrayArrivals bounds the tasks of an array that count as expected in ordinary
// machines, which cost more: the rest of it starts where there is room.
const maxArrayArrivals = 2

func (s *Shard) decayArrivals(now time.Time) {
	if !s.arrivalsAt.IsZero() {
		f := math.Exp(-now.Sub(s.arrivalsAt).Seconds() / arrivalDecay.Seconds())
		s.arrivals *= f
		s.spotArrivals *= f
	}
	s.arrivalsAt = now
}
