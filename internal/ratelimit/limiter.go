// Package ratelimit is pure: it releases commands to workers after a restart no faster than a
// bound that all controllers share, slowly at first and faster as answers arrive.
package ratelimit

import (
	"cmp"
	"math"
	"time"
)

// Priority ranks what waits for the limiter.
type Priority uint8

// Priorities of commands, the most urgent first.
const (
	// Exempt are stops that a rule has a time limit for. They are never held back; what
	// they take, the others lack.
	Exempt Priority = iota
	// Urgent are starts of services and of guaranteed work.
	Urgent
	// Routine is everything else.
	Routine
)

// Settings bound the rate.
type Settings struct {
	// CommandsPerSecond is how many commands all controllers together may release in any second; 0:
	// by the fleet's size.
	CommandsPerSecond float64
	// CommandsPerWorker is how many starts one answer to a worker may carry.
	CommandsPerWorker int
	// LimitFor is how long the bound holds: what waits then is released faster and
	// faster.
	LimitFor time.Duration
}

// Defaults of what the operators leave out.
const (
	DefaultCommandsPerWorker = 16
	DefaultLimitFor          = 30 * time.Second
	// A fleet may be told all that it has to do in a few seconds: one command for each two
	// machines a second, and no fewer than so many.
	commandsPerMachine   = 0.5
	minCommandsPerSecond = 30.0
)

// ClusterRate is how many commands all controllers may release in a second.
func (s *Settings) ClusterRate(machines int) float64 {
	return cmp.Or(s.CommandsPerSecond, max(minCommandsPerSecond, commandsPerMachine*float64(machines)))
}

const (
	// initialFactor is the part of its rate with which a controller begins.
	initialFactor = 0.25
	// acksToDouble is how many answers in a row let it release twice as much.
	acksToDouble = 8
	// urgentReserve is the part of what has been saved up that is left to urgent commands.
	urgentReserve = 0.25
)

// Limiter is one controller's token bucket of commands to workers. It holds from a restart until reconciliation is over; before and
// after, everything is released, and so it is by a nil one. It is not safe for concurrent use.
type Limiter struct {
	settings   Settings
	active     bool
	share      float64 // of the commands of all controllers, a second
	factor     float64 // of that, by the answers so far
	acks       int
	commands   tokenBucket
	probes     tokenBucket // questions to workers, which count apart
	delayed    int         // commands that waited since the last call of TakeDelayed
	anyDelayed bool        // one waited since the last call of TakeAnyDelayed
	perSecond  []int
	startedAt  time.Time // when the first second of perSecond began
	extendedAt time.Time // when it was last started or extended
}

// New returns a limiter that releases everything.
func New(s Settings) *Limiter {
	s.CommandsPerWorker = cmp.Or(s.CommandsPerWorker, DefaultCommandsPerWorker)
	s.LimitFor = cmp.Or(s.LimitFor, DefaultLimitFor)
	return &Limiter{settings: s}
}

// Settings returns the bounds.
func (l *Limiter) Settings() *Settings { return &l.settings }

// Start starts to hold commands back, with nothing saved up, or goes on doing so for as long
// again.
func (l *Limiter) Start(share float64, now time.Time) {
	if l.active {
		l.extendedAt = now
		return
	}
	*l = Limiter{settings: l.settings, active: true, share: share, factor: initialFactor, startedAt: now, extendedAt: now,
		commands: tokenBucket{filledAt: now}, probes: tokenBucket{tokens: share, filledAt: now}}
}

// Stop releases everything from now on.
func (l *Limiter) Stop() { l.active = false }

// Active reports whether commands are held back.
func (l *Limiter) Active() bool { return l != nil && l.active }

// SetShare sets this controller's part of the commands of all.
func (l *Limiter) SetShare(share float64, now time.Time) {
	l.refillCommands(now)
	l.probes.refill(l.share, max(1, l.share), now)
	l.share = share
}

// Acknowledge counts that a worker has carried out a command.
func (l *Limiter) Acknowledge() {
	if !l.Active() || l.factor >= 1 {
		return
	}
	if l.acks++; l.acks >= acksToDouble {
		l.acks, l.factor = 0, min(1, 2*l.factor)
	}
}

// burstFraction is the part of a second's commands that may be saved up; the rest comes within a
// second, so that no second has more than the share.
const burstFraction = 0.25

// tokenBucket is what has been saved up.
type tokenBucket struct {
	tokens   float64
	filledAt time.Time // as of when
}

// refill saves up at a rate, up to a capacity.
func (b *tokenBucket) refill(rate, capacity float64, now time.Time) {
	b.tokens = min(capacity, b.tokens+rate*max(0, now.Sub(b.filledAt).Seconds()))
	b.filledAt = now
}

// refillCommands saves up commands with time.
func (l *Limiter) refillCommands(now time.Time) {
	l.commands.refill((1-burstFraction)*l.rate(now), l.capacity(now), now)
}

// AllowProbe reports whether a worker may be asked for its heartbeat now, and counts it if so.
// Calls go at the full share from the beginning: they are what answers come from.
func (l *Limiter) AllowProbe(now time.Time) bool {
	if !l.Active() {
		return true
	}
	l.probes.refill(l.share, max(1, l.share), now)
	if l.probes.tokens < 1 {
		return false
	}
	l.probes.tokens--
	return true
}

// rate is how many commands may be released in a second. What still waits after LimitFor
// would come too late by the rules: from then on the rate doubles each second.
func (l *Limiter) rate(now time.Time) float64 {
	late := (now.Sub(l.extendedAt) - l.settings.LimitFor).Seconds()
	return l.share * l.factor * math.Exp2(min(max(0, late), maxDoublings))
}

// maxDoublings bounds the exponent; by then nothing waits.
const maxDoublings = 20

// capacity is what may be saved up: one command at least, else none would ever be released.
func (l *Limiter) capacity(now time.Time) float64 { return max(1, burstFraction*l.rate(now)) }

// Allow reports whether a command may be released now, and counts it if so.
func (l *Limiter) Allow(c Priority, now time.Time) bool {
	if !l.Active() {
		return true
	}
	l.refillCommands(now)
	reserve := 0.0
	if most := l.capacity(now); c == Routine && most >= 1/urgentReserve {
		reserve = urgentReserve * most
	}
	if c != Exempt && l.commands.tokens-reserve < 1 {
		l.delayed++
		l.anyDelayed = true
		return false
	}
	l.commands.tokens--
	l.countReleased(now)
	return true
}

// maxCountedSeconds bounds the seconds of which commands are counted.
const maxCountedSeconds = 120

func (l *Limiter) countReleased(now time.Time) {
	n := min(int(now.Sub(l.startedAt)/time.Second), maxCountedSeconds-1)
	for len(l.perSecond) <= n {
		l.perSecond = append(l.perSecond, 0)
	}
	l.perSecond[max(n, 0)]++
}

// ReleasedPerSecond returns the commands that were released in each second from some moment on.
func (l *Limiter) ReleasedPerSecond(from time.Time) []int {
	first := max(0, int(from.Sub(l.startedAt)/time.Second))
	return l.perSecond[min(first, len(l.perSecond)):]
}

// TakeDelayed returns how many times a command had to wait since the last call.
func (l *Limiter) TakeDelayed() int {
	n := l.delayed
	l.delayed = 0
	return n
}

// Overdue reports whether the time is over within which all should have been reconciled.
func (l *Limiter) Overdue(now time.Time) bool { return now.Sub(l.extendedAt) > l.settings.LimitFor }

// TakeAnyDelayed reports whether a command had to wait since the last call.
func (l *Limiter) TakeAnyDelayed() bool {
	held := l.anyDelayed
	l.anyDelayed = false
	return held
}

// minRate keeps waits finite.
const minRate = 0.1

// NextAllowedAt returns when the next command may be released.
func (l *Limiter) NextAllowedAt(now time.Time) time.Time {
	wait := max(0, 1-l.commands.tokens) / max((1-burstFraction)*l.rate(now), minRate)
	return now.Add(time.Duration(wait * float64(time.Second)))
}
