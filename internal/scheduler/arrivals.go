package scheduler

import (
	"math"
	"time"

	"bramblespur/internal/wire"
)

// arrivalDecay is the time constant with which past arrivals decay.
const arrivalDecay = 60 * time.Second

// arrivalRate measures how much work has arrived lately, in machines: a task counts as the
// part of a machine that it needs. The sums decay exponentially. Work that may use spot
// machines is counted apart.
type arrivalRate struct {
	onDemand, spot float64   // decayed sums, in machines
	asOf           time.Time // up to when the sums have decayed
}

// record counts a job for the headroom if it has to start soon, because it must not run on
// spot machines or its team has a guarantee. Work that may use spot machines is counted
// apart, since spot machines are kept ready for it.
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

// maxArrayArrivals bounds how many tasks of an array count as arrivals for on-demand machines,
// which cost more than spot machines: the other tasks start where there is room.
const maxArrayArrivals = 2

// decay applies the decay up to now.
func (a *arrivalRate) decay(now time.Time) {
	if !a.asOf.IsZero() {
		f := math.Exp(-now.Sub(a.asOf).Seconds() / arrivalDecay.Seconds())
		a.onDemand *= f
		a.spot *= f
	}
	a.asOf = now
}
