package scheduler

import (
	"time"

	"bramblespur/internal/wire"
)

// A gang's task that has its image waits for the others only for GangWait. On a machine
// that caches the image this wait begins at once. The task would give up, and the attempt
// with it, while other tasks still fetch the image; these would give up their fetch too and
// start it again in the next attempt. So starts on machines that cache the image are delayed.

const (
	// slowestFetchFactor is the longest time that the protocol allows a fetch to take, as a
	// multiple of the time at the nominal rate.
	slowestFetchFactor = 4.0 / 3
	// plannedWaitShare is the share of GangWait that the delay plans for. The rest is left
	// for starts that come later than planned and for fetches that share their rate.
	plannedWaitShare = 2.0 / 3
)

// earliestStart returns when a recorded task may be started at the earliest; zero if its start
// is not delayed.
func (c *Config) earliestStart(k taskKey, t *task) time.Time {
	if k.job.spec.Kind != wire.Gang || t.trace == nil || !t.trace.cached {
		return time.Time{}
	}
	var latest time.Time
	for _, peer := range k.job.tasks.placedTasks() {
		if !peer.fetching() {
			continue
		}
		at := peer.trace.recorded.Add(c.cachedStartDelay(k.job.spec, peer.machine))
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// fetching reports whether a task that this owner placed has yet to fetch its image, or still
// fetches it.
func (t *task) fetching() bool {
	return t.state == placed && t.trace != nil && !t.trace.cached && (t.phase == "" || t.phase == wire.Fetching)
}

// cachedStartDelay returns how long after a gang's task that has to fetch the image on
// fetchingMachine its peers on machines that cache the image are started.
func (c *Config) cachedStartDelay(spec *wire.Spec, fetchingMachine *Machine) time.Duration {
	if fetchingMachine.Type.FetchGBps <= 0 {
		return 0
	}
	fetch := slowestFetchFactor * spec.ImageGB / fetchingMachine.Type.FetchGBps * float64(time.Second)
	return max(0, time.Duration(fetch-plannedWaitShare*float64(c.GangWait)))
}

// notifyDelayedStarts adds the machines whose delayed starts are due to the effects, so that
// the starts are sent to them.
func (s *Shard) notifyDelayedStarts(now time.Time) {
	for m, due := range s.delayedStarts {
		if now.Before(due) {
			continue
		}
		delete(s.delayedStarts, m)
		s.effects.StartsReady = append(s.effects.StartsReady, m.ID)
	}
}
