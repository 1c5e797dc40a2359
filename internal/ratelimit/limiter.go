// Package ratelimit bounds the rate of commands to workers after a restart. All controllers
// together stay below one bound: the leader divides it into shares (ClusterShares), and each
// controller keeps to its share (Limiter), starting at a fraction that grows as workers acknowledge
// commands. The package does no I/O, reads no clock and takes no locks.
package ratelimit

import (
	"cmp"
	"math"
	"time"
)

// Priority is the priority of a command at a Limiter.
type Priority uint8

// Priorities of commands, the most urgent first.
const (
	// Exempt is the priority of stops that must be sent within a time limit. They are never
	// delayed, but count, so that fewer other commands are released.
	Exempt Priority = iota
	// Urgent is the priority of starts of services and of guaranteed work.
	Urgent
	// Routine is the priority of all other commands.
	Routine
)

// Settings are the operators' bounds on commands.
type Settings struct {
	// CommandsPerSecond is how many commands all controllers together may release in any second.
	// If it is 0, the bound depends on the size of the fleet.
	CommandsPerSecond float64
	// CommandsPerWorker is how many starts one response to a worker may carry.
	CommandsPerWorker int
	// LimitFor is how long the bound holds. Commands still delayed after that are released at a
	// rate that keeps growing.
	LimitFor time.Duration
}

// Defaults for settings that the operators leave out.
const (
	DefaultCommandsPerWorker = 16
	DefaultLimitFor          = 30 * time.Second
	// commandsPerMachine is the default number of commands per second and machine of the fleet, so
	// that the commands for the whole fleet take only a few seconds.
	commandsPerMachine = 0.5
	// minCommandsPerSecond is the lowest default, however small the fleet is.
	minCommandsPerSecond = 30.0
)

// ClusterRate returns how many commands all controllers together may release per second, given the
// number of machines in the fleet.
func (s *Settings) ClusterRate(machines int) float64 {
	return cmp.Or(s.CommandsPerSecond, max(minCommandsPerSecond, commandsPerMachine*float64(machines)))
}

const (
	// initialFactor is the fraction of its share that a controller may release at first.
	initialFactor = 0.25
	// acksToDouble is the number of acknowledgements after which a controller may release twice as
	// many commands.
	acksToDouble = 8
	// urgentReserve is the fraction of the token bucket's capacity that routine commands leave to
	// urgent ones.
	urgentReserve = 0.25
)

// Limiter is one controller's token bucket of commands to workers. It is active from a restart until
// reconciliation is complete. An inactive or nil Limiter releases every command at once. A Limiter is
// not safe for concurrent use.
type Limiter struct {
	settings   Settings
	active     bool
	share      float64 // commands per second that this controller may release at most
	factor     float64 // fraction of the share that may be released, given the acknowledgements so far
	acks       int     // acknowledgements since the factor was last raised
	commands   tokenBucket
	probes     tokenBucket // probes of workers, which are limited separately
	delayed    int         // number of times that a command was delayed since the last call of TakeDelayed
	anyDelayed bool        // whether a command was delayed since the last call of TakeAnyDelayed
	perSecond  []int       // commands released in each second since startedAt
	startedAt  time.Time
	extendedAt time.Time // when Start was last called
}

// New returns an inactive Limiter. Settings that are 0 get their defaults.
func New(s Settings) *Limiter {
	s.CommandsPerWorker = cmp.Or(s.CommandsPerWorker, DefaultCommandsPerWorker)
	s.LimitFor = cmp.Or(s.LimitFor, DefaultLimitFor)
	return &Limiter{settings: s}
}

// Settings returns the settings, with defaults in place of those that were 0. The caller must not change
// them.
func (l *Limiter) Settings() *Settings { return &l.settings }

// Start makes the limiter active, with an empty bucket for commands and a share in commands per
// second. If it is active already, Start only restarts the time for which the bound holds.
func (l *Limiter) Start(share float64, now time.Time) {
	if l.active {
		l.extendedAt = now
		return
	}
	*l = Limiter{settings: l.settings, active: true, share: share, factor: initialFactor, startedAt: now, extendedAt: now,
		commands: tokenBucket{filledAt: now}, probes: tokenBucket{tokens: share, filledAt: now}}
}

// Stop makes the limiter inactive.
func (l *Limiter) Stop() { l.active = false }

// Active reports whether commands are limited.
func (l *Limiter) Active() bool { return l != nil && l.active }

// SetShare sets this controller's share of the commands of all controllers, in commands per second.
func (l *Limiter) SetShare(share float64, now time.Time) {
	l.refillCommands(now)
	l.probes.refill(l.share, max(1, l.share), now)
	l.share = share
}

// Acknowledge records that a worker has carried out a command.
func (l *Limiter) Acknowledge() {
	if !l.Active() || l.factor >= 1 {
		return
	}
	if l.acks++; l.acks >= acksToDouble {
		l.acks, l.factor = 0, min(1, 2*l.factor)
	}
}

// burstFraction is the bucket's capacity, as a fraction of the commands per second. The bucket is
// refilled at the rate of the remaining fraction, so that no second has more commands than the share.
const burstFraction = 0.25

// tokenBucket is a token bucket. One token allows one command or probe.
type tokenBucket struct {
	tokens   float64
	filledAt time.Time // when tokens was last brought up to date
}

// refill adds the tokens since the last refill, given a rate in tokens per second and a capacity.
func (b *tokenBucket) refill(rate, capacity float64, now time.Time) {
	b.tokens = min(capacity, b.tokens+rate*max(0, now.Sub(b.filledAt).Seconds()))
	b.filledAt = now
}

// refillCommands refills the bucket for commands at the current rate.
func (l *Limiter) refillCommands(now time.Time) {
	l.commands.refill((1-burstFraction)*l.rate(now), l.capacity(now), now)
}

// AllowProbe reports whether a worker may be probed for its heartbeat now, and counts the probe if
// so. Probes are released at the full share from the beginning, since the answers of workers depend
// on them.
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

// rate returns how many commands may be released per second. Commands that are still delayed after
// LimitFor would be too late, so from then on the rate doubles each second.
func (l *Limiter) rate(now time.Time) float64 {
	late := (now.Sub(l.extendedAt) - l.settings.LimitFor).Seconds()
	return l.share * l.factor * math.Exp2(min(max(0, late), maxDoublings))
}

// maxDoublings bounds the exponent in rate. After so many doublings no command is delayed.
const maxDoublings = 20

// capacity returns the capacity of the bucket for commands. It is at least one command, since
// otherwise none would ever be released.
func (l *Limiter) capacity(now time.Time) float64 { return max(1, burstFraction*l.rate(now)) }

// Allow reports whether a command may be released now, and counts it if so.
func (l *Limiter) Allow(priority Priority, now time.Time) bool {
	if !l.Active() {
		return true
	}
	l.refillCommands(now)
	reserve := 0.0
	if capacity := l.capacity(now); priority == Routine && capacity >= 1/urgentReserve {
		reserve = urgentReserve * capacity
	}
	if priority != Exempt && l.commands.tokens-reserve < 1 {
		l.delayed++
		l.anyDelayed = true
		return false
	}
	l.commands.tokens--
	l.countReleased(now)
	return true
}

// maxCountedSeconds bounds the length of perSecond. Later commands count in its last second.
const maxCountedSeconds = 120

// countReleased counts a released command in perSecond.
func (l *Limiter) countReleased(now time.Time) {
	second := min(int(now.Sub(l.startedAt)/time.Second), maxCountedSeconds-1)
	for len(l.perSecond) <= second {
		l.perSecond = append(l.perSecond, 0)
	}
	l.perSecond[max(second, 0)]++
}

// ReleasedPerSecond returns how many commands were released in each second since the limiter became
// active, beginning with the second that contains from.
func (l *Limiter) ReleasedPerSecond(from time.Time) []int {
	first := max(0, int(from.Sub(l.startedAt)/time.Second))
	return l.perSecond[min(first, len(l.perSecond)):]
}

// TakeDelayed returns how many times a command was delayed since the last call.
func (l *Limiter) TakeDelayed() int {
	n := l.delayed
	l.delayed = 0
	return n
}

// Overdue reports whether LimitFor, within which reconciliation should have been completed, has
// passed since the last call of Start.
func (l *Limiter) Overdue(now time.Time) bool { return now.Sub(l.extendedAt) > l.settings.LimitFor }

// TakeAnyDelayed reports whether a command was delayed since the last call.
func (l *Limiter) TakeAnyDelayed() bool {
	delayed := l.anyDelayed
	l.anyDelayed = false
	return delayed
}

// minRate is the lowest rate, in commands per second, from which NextAllowedAt computes a wait, which
// keeps the wait finite.
const minRate = 0.1

// NextAllowedAt returns the earliest time at which the bucket has a token for the next command.
func (l *Limiter) NextAllowedAt(now time.Time) time.Time {
	wait := max(0, 1-l.commands.tokens) / max((1-burstFraction)*l.rate(now), minRate)
	return now.Add(time.Duration(wait * float64(time.Second)))
}
