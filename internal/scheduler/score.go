package scheduler

import (
	"math"
)

// breaksUp is what it counts against a machine that none of its cards is in use, and
// holdsUp that all its work is such as may be preempted for a gang: a task that
// has inherited a priority would not.
const (
	breaksUpPenalty    = 150
	holdsUpGangPenalty = 110
)

// cordonedLaterPenalty is what it counts against a machine that is to be drained: more than its
// image is worth, as what starts there may be evicted soon.
const cordonedLaterPenalty = 250

// score ranks a machine for a task: one that caches its image first (DESIGN's
// stand-in for sending fragments to the data), then a spot machine where the
// job may use one, then the fullest, so that whole machines stay free, and of
// these the one with the fewest images, so that caches stay for whom they serve.
// Work without cards goes beside work with cards, even where its image, which is
// small, must be fetched first: a machine of which it takes a few cores is lost to
// a gang that needs all of it.
func (j *Job) score(m *Machine) float64 {
	v := 0.0
	if m.hasImage(j.spec.Image) {
		v += 100
	}
	if j.spec.GPUs <= 0 && m.Type.GPUs > 0 {
		switch {
		case m.used.gpus <= 0:
			v -= breaksUpPenalty
		case m.entry.tasksByRank[highestRank]+m.entry.tasksByRank[highestRank-1] == 0:
			v -= holdsUpGangPenalty
		}
	}
	if m.cordonedLater {
		v -= cordonedLaterPenalty
	}
	if m.Spot {
		v += 30
	}
	if j.spec.Spread {
		v -= 10 * float64(j.progress.placedByZone[m.Zone])
	}
	used := 0.0
	if m.Type.GPUs > 0 {
		used = m.used.gpus / m.Type.GPUs
	}
	if m.Type.CPUs > 0 {
		used = math.Max(used, m.used.cpus/m.Type.CPUs)
	}
	return v + 20*used - float64(len(m.images))/2
}
