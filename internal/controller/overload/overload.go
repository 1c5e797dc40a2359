// Package overload detects that a process gets less CPU time than it needs, by how late its
// timers fire. The detector distinguishes three degrees. In each the controller omits more work
// than in the one before:
//
//   - strained: the controller parks no heartbeat responses (long polls) and renews its lease
//     without awaiting the replies;
//   - behind: leases, heartbeats and health checks come first. Only a few status queries are
//     served at a time, and the others are refused at once, to be repeated; the few are served
//     however long the process is behind, so that no job is forgotten. The leader plans less often, and a
//     machine that sends no heartbeats is not considered failed;
//   - overloaded: the process is still late after a while of being behind, and another
//     controller that has room acquires one of its shards.
package overload

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// BehindEndsAfter is how long timers must be in time before a process that was behind
	// resumes the work that it omitted: that work alone may have been too much.
	BehindEndsAfter = 20 * time.Second
	// StrainedEndsAfter is the corresponding time for a strained process. It is shorter, since
	// resuming too early costs little there.
	StrainedEndsAfter = 5 * time.Second
)

const (
	// strainedLag is the mean lag above which a process is strained. The timers of a process
	// that has room fire 1 to 3 ms late.
	strainedLag = 30 * time.Millisecond
	behindLag   = 300 * time.Millisecond // mean lag above which a process falls behind
	inTimeLag   = 100 * time.Millisecond // mean lag up to which timers are in time
	// maxLag bounds the lag that is counted for one timer: a process that stopped once for
	// a longer time may still get enough CPU time.
	maxLag = time.Second
	// roomLag is the mean lag, over longMeanWeight timers, up to which a process has room for
	// another controller's shard. maxRoomLag bounds the lag that is counted for one timer in
	// that mean, since a short burst of work does not matter.
	roomLag    = 5 * time.Millisecond
	maxRoomLag = 20 * time.Millisecond
	// meanWeight and longMeanWeight are about the numbers of timers over which the two
	// exponential moving averages of the lag extend.
	meanWeight     = 8
	longMeanWeight = 40
	// overloadedEndsAfter is how long a process must not have met the condition for overload
	// before it no longer counts as overloaded.
	overloadedEndsAfter = 5 * time.Second
	// MinRecovery is how long a process that was overloaded must keep up before its shards
	// are transferred back to it. The time doubles, up to maxRecovery, each time the process
	// is soon overloaded again: while it has no shards, its load does not show whether the cause has
	// passed.
	MinRecovery = 2 * time.Minute
	maxRecovery = 8 * time.Minute
)

// Detector concludes from the lag of timers whether a process keeps up. It is safe for concurrent
// use; its lock is a leaf.
type Detector struct {
	log             *slog.Logger
	cpuShare        float64       // the process's share of a processor, for the log
	overloadedAfter time.Duration // see NewDetector

	mu           sync.Mutex
	mean         time.Duration // of the lag, over about meanWeight timers
	longMean     time.Duration // of the lag up to maxRoomLag, over about longMeanWeight timers
	strained     bool
	strainedAt   time.Time // when mean was last above strainedLag
	behind       bool
	behindSince  time.Time     // when the process last fell behind
	lateAt       time.Time     // when mean was last above inTimeLag
	recovery     time.Duration // how long to keep up after the last overload; 0: there was none
	overloaded   bool
	overloadedAt time.Time // when the condition for overload was last met
}

// NewDetector returns a Detector for a process that keeps up and has cpuShare of a processor. The
// process counts as overloaded if it is still late after it has been behind for overloadedAfter.
func NewDetector(log *slog.Logger, cpuShare float64, overloadedAfter time.Duration) *Detector {
	return &Detector{log: log, cpuShare: cpuShare, overloadedAfter: overloadedAfter}
}

// Observe records that a timer fired late by lag, and logs if the process falls behind or catches
// up.
func (d *Detector) Observe(lag time.Duration, now time.Time) {
	if !d.observe(lag, now) {
		return
	}
	if d.Behind() {
		d.log.Info("the processor falls behind: params.resources.cpu_share is too small", "cpu_share", d.cpuShare, "lag", d.MeanLag())
	} else {
		d.log.Info("the processor keeps up again", "lag", d.MeanLag())
	}
}

// observe records that a timer fired late by lag, and reports whether the process fell behind or
// caught up.
func (d *Detector) observe(lag time.Duration, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lag = min(max(lag, 0), maxLag)
	d.mean += (lag - d.mean) / meanWeight
	d.longMean += (min(lag, maxRoomLag) - d.longMean) / longMeanWeight
	if d.mean > inTimeLag {
		d.lateAt = now
	}
	d.updateStrained(now)
	changed = d.updateBehind(now)
	d.updateOverloaded(now)
	return changed
}

// updateStrained updates strained after a change of the mean. The lock is held.
func (d *Detector) updateStrained(now time.Time) {
	switch {
	case d.mean > strainedLag:
		d.strained, d.strainedAt = true, now
	case now.Sub(d.strainedAt) >= StrainedEndsAfter:
		d.strained = false
	}
}

// updateBehind updates behind after a change of the mean, and reports whether it changed. The lock is
// held.
func (d *Detector) updateBehind(now time.Time) (changed bool) {
	switch {
	case !d.behind && d.mean > behindLag:
		d.behind, d.behindSince = true, now
		return true
	case d.behind && now.Sub(d.lateAt) >= BehindEndsAfter:
		d.behind = false
		return true
	}
	return false
}

// updateOverloaded updates overloaded and recovery after updateBehind. The lock is held.
func (d *Detector) updateOverloaded(now time.Time) {
	switch {
	case d.behind && d.mean > inTimeLag && now.Sub(d.behindSince) >= d.overloadedAfter:
		d.overloaded = true
		d.extendRecovery()
		d.overloadedAt = now
	case now.Sub(d.overloadedAt) >= overloadedEndsAfter:
		d.overloaded = false
	}
}

// extendRecovery sets how long an overloaded process must keep up before it is recovered. The time
// doubles if the process fell behind within twice that time after its last overload. The lock is
// held.
func (d *Detector) extendRecovery() {
	switch {
	case d.overloadedAt.After(d.behindSince):
		return // the recovery time was set earlier in this period of being behind
	case d.recovery > 0 && d.behindSince.Sub(d.overloadedAt) < 2*d.recovery:
		d.recovery = min(2*d.recovery, maxRecovery)
	default:
		d.recovery = MinRecovery
	}
}

// MeanLag returns the mean lag of the last timers.
func (d *Detector) MeanLag() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mean
}

// Strained reports whether the process gets a little less CPU time than it needs.
func (d *Detector) Strained() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.strained
}

// Behind reports whether the process is behind and has to omit work that can wait.
func (d *Detector) Behind() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.behind
}

// Overloaded reports whether the process is late although it omits work that can wait: another
// controller should own its shards.
func (d *Detector) Overloaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overloaded
}

// KeepsUp reports whether the process may own its shards: it is not behind and, if it was ever
// overloaded, its timers have been in time for the recovery time.
func (d *Detector) KeepsUp(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keepsUp(now)
}

// keepsUp is KeepsUp with the lock held.
func (d *Detector) keepsUp(now time.Time) bool {
	return !d.behind && (d.recovery == 0 || now.Sub(d.lateAt) >= d.recovery)
}

// HasRoom reports whether the process could own another controller's shard besides its own.
func (d *Detector) HasRoom(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keepsUp(now) && !d.strained && d.longMean <= roomLag
}
