package scheduler

import (
	"math"
)

// Score penalties of a machine with GPUs for a task that needs none. unusedGPUsPenalty
// applies while no GPU of the machine is in use. preemptibleGPUsPenalty applies while all
// tasks on the machine can be preempted for a gang: a task without GPUs that has inherited
// a priority cannot, and would then keep the gang from using the whole machine.
const (
	unusedGPUsPenalty      = 150
	preemptibleGPUsPenalty = 110
)

// cordonedLaterPenalty is the score penalty of a machine that a drain is to cordon later. It
// is larger than the bonus for a cached image, since a task that starts there may be evicted
// soon.
const cordonedLaterPenalty = 250

// score rates a machine for a task of the job; higher is better. It prefers
//   - a machine that caches the task's image (DESIGN's stand-in for sending fragments to
//     the data),
//   - then a spot machine, if the job may use one,
//   - then the fullest machine, so that whole machines stay free,
//   - then the machine with the fewest images, so that caches stay for the jobs that use them.
//
// A task without GPUs goes beside tasks with GPUs, even where its image, which is small,
// has to be fetched first: a gang that needs a whole machine cannot use one on which a
// task takes a few CPUs.
func (j *Job) score(m *Machine) float64 {
	v := 0.0
	if m.hasImage(j.spec.Image) {
		v += 100
	}
	if j.spec.GPUs <= 0 && m.Type.GPUs > 0 {
		switch {
		case m.used.gpus <= 0:
			v -= unusedGPUsPenalty
		case m.entry.tasksByRank[highestRank]+m.entry.tasksByRank[highestRank-1] == 0:
			v -= preemptibleGPUsPenalty
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
