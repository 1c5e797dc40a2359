package sched

import (
	"math"
	"time"

	"bramblespur/internal/wire"
)

const arrivalFade = 60 * time.Second

// arrive counts a job for the headroom if it is of the kind that must start
// soon: no spot machine will do, or its team is guaranteed. What may use spot
// machines is counted apart: they are what is kept ready for it.
func (p *Part) arrive(j *Job, now time.Time) {
	t := p.cfg.Teams[j.spec.Team]
	if j.spec.Spot && t.CPUs <= 0 && t.GPUs <= 0 {
		return
	}
	share := 1.0
	for _, typ := range p.cfg.Types {
		s := j.spec.CPUs / typ.CPUs
		if typ.GPUs > 0 {
			s = max(s, j.spec.GPUs/typ.GPUs)
		}
		share = min(share, s)
	}
	p.fade(now)
	n := float64(j.spec.Tasks)
	switch {
	case j.spec.Spot:
		p.arrivedSpot += n * share
	case j.spec.Kind == wire.Array:
		p.arrived += min(n, arrayAhead) * share
	default:
		p.arrived += n * share
	}
}

// arrayAhead bounds the tasks of an array that count as expected in ordinary
// machines, which cost more: the rest of it starts where there is room.
const arrayAhead = 2

func (p *Part) fade(now time.Time) {
	if !p.arriveAt.IsZero() {
		f := math.Exp(-now.Sub(p.arriveAt).Seconds() / arrivalFade.Seconds())
		p.arrived *= f
		p.arrivedSpot *= f
	}
	p.arriveAt = now
}
