package scheduler

import (
	"time"

	"bramblespur/internal/wire"
)

// A gang's task that has its image waits for the others only for GangWait. On a machine
// that caches the image its wait begins at once, so that it gives up, and the attempt
// with it, while others still fetch; these give up their fetch too and begin it anew in
// the next attempt. So starts on machines that cache the image are delayed.

const (
	// slowestFetch is the slowest fetch that the protocol allows, in fetches at the
	// nominal rate.
	slowestFetch = 4.0 / 3
	// plannedWait is the share of GangWait that is planned for. The rest is for starts
	// that come later than planned and for fetches that share their rate.
	plannedWait = 2.0 / 3
)

// earliestStart returns when a recorded task may be started at the earliest.
func (c *Config) earliestStart(k taskKey, t *task) time.Time {
	if k.job.spec.Kind != wire.Gang || t.trace == nil || !t.trace.cached {
		return time.Time{}
	}
	var latest time.Time
	for i := range k.job.tasks {
		peer := &k.job.tasks[i]
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

// fetching reports whether a task of this owner has yet to fetch its image.
func (t *task) fetching() bool {
	return t.state == placed && t.trace != nil && !t.trace.cached && (t.phase == "" || t.phase == wire.Fetching)
}

// cachedStartDelay is how much later than a task that must fetch its image on a machine
// its peers on machines that cache it are started.
func (c *Config) cachedStartDelay(spec *wire.Spec, fetches *Machine) time.Duration {
	if fetches.Type.FetchGBps <= 0 {
		return 0
	}
	fetch := slowestFetch * spec.ImageGB / fetches.Type.FetchGBps * float64(time.Second)
	return max(0, time.Duration(fetch-plannedWait*float64(c.GangWait)))
}

// notifyDelayedStarts wakes the machines whose delayed starts are due.
func (s *Shard) notifyDelayedStarts(now time.Time) {
	for m, due := range s.delayedStarts {
		if now.Before(due) {
			continue
		}
		delete(s.delayedStarts, m)
		s.effects.StartsReady = append(s.effects.StartsReady, m.ID)
	}
}
