// Package overload detects that a process gets less of a processor than it needs: its timers
// fire late. The detector knows three degrees, and the controller leaves work undone in steps:
//
//   - strained: it parks no heartbeat responses (long polls) and renews its lease without
//     awaiting the answers;
//   - behind: leases, heartbeats and health checks come first; only a few status queries are
//     served at a time and the others are refused at once, to be repeated; the leader plans
//     less often, and silence of machines proves nothing. A few status queries are served
//     however long it lasts, so that no job is forgotten;
//   - overloaded: it falls behind all the same, and another controller that has room acquires
//     one of its shards.
package overload

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// BehindEndsAfter is how long timers must be in time before what was left undone is resumed:
	// that alone may be what was too much.
	BehindEndsAfter = 20 * time.Second
	// StrainedEndsAfter is the same for what a strained process leaves undone, which costs little
	// if that is wrong.
	StrainedEndsAfter = 5 * time.Second
)

const (
	// strainedLag is the mean lag of some timers where little of a processor is missing.
	// Timers of a process that has room are late by 1 to 3 ms.
	strainedLag = 30 * time.Millisecond
	behindLag   = 300 * time.Millisecond // mean lag from which a process is behind
	inTimeLag   = 100 * time.Millisecond // and up to which its timers are in time
	// maxLag is what one late timer counts at most: a process that stood still for once
	// has enough of a processor all the same.
	maxLag = time.Second
	// roomLag is the mean lag of many timers up to which a process has room for another's
	// shard, and maxRoomLag what one late timer counts at most for it: a wave of work passes.
	roomLag    = 5 * time.Millisecond
	maxRoomLag = 20 * time.Millisecond
	// meanWeight and longMeanWeight are over about how many timers the means are.
	meanWeight     = 8
	longMeanWeight = 40
	// overloadedEndsAfter is how long a process must not be overloaded for that to end.
	overloadedEndsAfter = 5 * time.Second
	// A process that was overloaded must keep up for MinRecovery before its shards are
	// transferred back to it, and twice as long each time it soon is overloaded again: without shards
	// it can't tell whether the cause has passed.
	MinRecovery = 2 * time.Minute
	maxRecovery = 8 * time.Minute
)

// Detector tells from the lag of timers whether a process keeps up. It is safe for concurrent
// use; its lock is a leaf.
type Detector struct {
	log             *slog.Logger
	cpuShare        float64
	overloadedAfter time.Duration

	mu           sync.Mutex
	mean         time.Duration // of the timers' lag
	longMean     time.Duration
	strained     bool
	strainedAt   time.Time // when the mean last was above strainedLag
	behind       bool
	behindSince  time.Time
	lateAt       time.Time     // when the mean last was above inTimeLag
	recovery     time.Duration // how long to keep up after the last overload; 0: there was none
	overloaded   bool
	overloadedAt time.Time // when it last was
}

// NewDetector returns a detector for a process that keeps up, which has a share of a
// processor. A process that has been behind for overloadedAfter and still is late counts as
// overloaded.
func NewDetector(log *slog.Logger, cpuShare float64, overloadedAfter time.Duration) *Detector {
	return &Detector{log: log, cpuShare: cpuShare, overloadedAfter: overloadedAfter}
}

// Observe records how late a timer fired, and logs if the process falls behind or catches up.
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

// observe records how late a timer fired and returns whether the process fell behind or
// catches up by that.
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

func (d *Detector) updateStrained(now time.Time) {
	switch {
	case d.mean > strainedLag:
		d.strained, d.strainedAt = true, now
	case now.Sub(d.strainedAt) >= StrainedEndsAfter:
		d.strained = false
	}
}

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

// extendRecovery sets how long the process must keep up from now on. It doubles when the
// process falls behind anew within twice the time it had to keep up before.
func (d *Detector) extendRecovery() {
	switch {
	case d.overloadedAt.After(d.behindSince):
		return // overloaded all along
	case d.recovery > 0 && d.behindSince.Sub(d.overloadedAt) < 2*d.recovery:
		d.recovery = min(2*d.recovery, maxRecovery)
	default:
		d.recovery = MinRecovery
	}
}

// MeanLag returns how late timers were, in the mean of the last ones.
func (d *Detector) MeanLag() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mean
}

// Strained reports whether a little of a processor is missing.
func (d *Detector) Strained() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.strained
}

// Behind reports whether the process leaves undone what can wait.
func (d *Detector) Behind() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.behind
}

// Overloaded reports whether the process falls behind although it leaves undone what can
// wait: another controller should own its shards.
func (d *Detector) Overloaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overloaded
}

// KeepsUp reports whether the process may own its shards again: it is not behind, and after
// it was overloaded it has kept up for a while.
func (d *Detector) KeepsUp(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keepsUp(now)
}

func (d *Detector) keepsUp(now time.Time) bool {
	return !d.behind && (d.recovery == 0 || now.Sub(d.lateAt) >= d.recovery)
}

// HasRoom reports whether the process could carry another's shard besides its own.
func (d *Detector) HasRoom(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keepsUp(now) && !d.strained && d.longMean <= roomLag
}
