package scheduler

import (
	"math"
	"time"

	"bramblespur/internal/wire"
)

const arrivalDecay = 60 * time.Second

// arrivalRate is how much work arrived lately, in machines' worth, decaying; what may use
// spot machines is counted apart.
type arrivalRate struct {
	onDemand, spot float64
	asOf           time.Time
}

// record counts a job for the headroom if it is of the kind that must start
// soon: no spot machine will do, or its team is guaranteed. What may use spot
// machines is counted apart: they are what is kept ready for it.
func (a *arrivalRate) record(j *Job, cfg *Config, now time.Time) {
	t := cfg.Teams[j.spec.Team]
	if j.spec.Spot && t.CPUs <= 0 && t.GPUs <= 0 {
		return
	}
	share := 1.0
	for _, typ := range cfg.Types {
		size := j.spec.CPUs / typ.CPUs
		if typ.GPUs > 0 {
			size = max(size, j.spec.GPUs/typ.GPUs)
		}
		share = min(share, size)
	}
	a.decay(now)
	n := float64(j.spec.Tasks)
	switch {
	case j.spec.Spot:
		a.spot += n * share
	case j.spec.Kind == wire.Array:
		a.onDemand += min(n, maxArrayArrivals) * share
	default:
		a.onDemand += n * share
	}
}

// maxArrayArrivals bounds the tasks of an array that count as expected in ordinary
// machines, which cost more: the rest of it starts where there is room.
const maxArrayArrivals = 2

// decay brings the rate up to now.
func (a *arrivalRate) decay(now time.Time) {
	if !a.asOf.IsZero() {
		f := math.Exp(-now.Sub(a.asOf).Seconds() / arrivalDecay.Seconds())
		a.onDemand *= f
		a.spot *= f
	}
	a.asOf = now
}
