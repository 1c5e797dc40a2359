package reconciliation

import (
	"time"

	"bramblespur/internal/ratelimit"
)

// ClusterRateLocked returns how many commands all controllers together may release per second, and
// false if the rate is not limited.
func (t *Tracker) ClusterRateLocked() (rate float64, limited bool) {
	if !t.enabled {
		return 0, false
	}
	return t.limiter.Settings().ClusterRate(t.machines.Len()), true
}

// equalRate returns an equal share of the commands of all controllers, in commands per second.
func (t *Tracker) equalRate() float64 {
	return t.limiter.Settings().ClusterRate(t.machines.Len()) / float64(t.cfg.Params.Count)
}

// SetShareLocked sets this controller's share of the commands of all controllers, in commands per
// second, as the leader granted it. A share of 0 is ignored.
func (t *Tracker) SetShareLocked(share float64, now time.Time) {
	if !t.enabled || share <= 0 {
		return
	}
	t.shareReceivedAt, t.aboveEqualShare = now, share > t.equalRate()
	t.limiter.SetShare(share, now)
}

// TakeDelayedLocked returns how many times a command was delayed since the last call.
func (t *Tracker) TakeDelayedLocked() int {
	if !t.enabled {
		return 0
	}
	return t.limiter.TakeDelayed()
}

// AllowCloudCallLocked reports whether the leader may provision or release machines now. Such calls
// count as commands.
func (t *Tracker) AllowCloudCallLocked(now time.Time) bool {
	return t.limiter.Allow(ratelimit.Routine, now)
}

// endLimitLocked ends the limit once reconciliation should be complete on all controllers, and no
// command has been delayed for quietPeriod.
func (t *Tracker) endLimitLocked(now time.Time) {
	if !t.limiter.Active() {
		return
	}
	delayed := t.limiter.TakeAnyDelayed()
	if delayed {
		t.lastPendingAt = now
	}
	if delayed || !t.limiter.Overdue(now) {
		t.quietSince = now // other controllers may still be reconciling
	}
	if now.Sub(t.quietSince) > quietPeriod {
		t.limiter.Stop()
		t.log.Info("rate limit of commands ends")
	}
}
