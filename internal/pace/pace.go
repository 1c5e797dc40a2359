// Package pace is pure: it releases orders to workers after a restart no faster than a
// bound that all controllers share, slowly at first and faster as answers arrive.
package pace

import (
	"cmp"
	"math"
	"time"
)

// Class orders what waits for the pace.
type Class uint8

// Classes of orders, the most urgent first.
const (
	// Limited are stops that a rule has a time limit for. They are never held back; what
	// they take, the others lack.
	Limited Class = iota
	// Urgent are starts of services and of guaranteed work.
	Urgent
	// Routine is everything else.
	Routine
)

// Settings bound the pace.
type Settings struct {
	// OrdersPerS is how many orders all controllers together may release in any second; 0:
	// by the fleet's size.
	OrdersPerS float64
	// PerWorker is how many starts one answer to a worker may carry.
	PerWorker int
	// SettleWithin is how long the bound holds: what waits then is released faster and
	// faster.
	SettleWithin time.Duration
}

// Defaults of what the operators leave out.
const (
	DefaultPerWorker    = 16
	DefaultSettleWithin = 30 * time.Second
	// A fleet may be told all that it has to do in a few seconds: one order for each two
	// machines a second, and no fewer than so many.
	ordersPerMachine = 0.5
	leastOrders      = 30.0
)

// Total is how many orders all controllers may release in a second.
func (s *Settings) Total(machines int) float64 {
	return cmp.Or(s.OrdersPerS, max(leastOrders, ordersPerMachine*float64(machines)))
}

const (
	// initialShare is the part of its rate with which a controller begins.
	initialShare = 0.25
	// answersToDouble is how many answers in a row let it release twice as much.
	answersToDouble = 8
	// urgentReserve is the part of what has been saved up that is left to urgent orders.
	urgentReserve = 0.25
)

// Pace is one controller's. It holds from a restart until that has settled; before and
// after, everything is released, and so it is by a nil one. It is not safe for concurrent use.
type Pace struct {
	settings Settings
	on       bool
	share    float64 // of the orders of all controllers, a second
	factor   float64 // of that, by the answers so far
	answers  int
	orders   bucket
	calls    bucket // questions to workers, which count apart
	denied   int    // orders that waited since the last call of Waiting
	held     bool   // one waited since the last call of Held
	seconds  []int
	began    time.Time // when the first of seconds did
	since    time.Time // when it was last begun
}

// New returns a pace that releases everything.
func New(s Settings) *Pace {
	s.PerWorker = cmp.Or(s.PerWorker, DefaultPerWorker)
	s.SettleWithin = cmp.Or(s.SettleWithin, DefaultSettleWithin)
	return &Pace{settings: s}
}

// Settings returns the bounds.
func (p *Pace) Settings() *Settings { return &p.settings }

// Begin starts to hold orders back, with nothing saved up, or goes on doing so for as long
// again.
func (p *Pace) Begin(share float64, now time.Time) {
	if p.on {
		p.since = now
		return
	}
	*p = Pace{settings: p.settings, on: true, share: share, factor: initialShare, began: now, since: now,
		orders: bucket{at: now}, calls: bucket{saved: share, at: now}}
}

// End releases everything from now on.
func (p *Pace) End() { p.on = false }

// On reports whether orders are held back.
func (p *Pace) On() bool { return p != nil && p.on }

// SetShare sets this controller's part of the orders of all.
func (p *Pace) SetShare(share float64, now time.Time) {
	p.fillOrders(now)
	p.calls.fill(p.share, max(1, p.share), now)
	p.share = share
}

// Answered takes in that a worker has carried out an order.
func (p *Pace) Answered() {
	if !p.On() || p.factor >= 1 {
		return
	}
	if p.answers++; p.answers >= answersToDouble {
		p.answers, p.factor = 0, min(1, 2*p.factor)
	}
}

// burstShare is the part of a second's orders that may be saved up; the rest comes within a
// second, so that no second has more than the share.
const burstShare = 0.25

// bucket is what has been saved up.
type bucket struct {
	saved float64
	at    time.Time // as of when
}

// fill saves up at a rate, up to a capacity.
func (b *bucket) fill(rate, capacity float64, now time.Time) {
	b.saved = min(capacity, b.saved+rate*max(0, now.Sub(b.at).Seconds()))
	b.at = now
}

// fillOrders saves up orders with time.
func (p *Pace) fillOrders(now time.Time) {
	p.orders.fill((1-burstShare)*p.rate(now), p.capacity(now), now)
}

// AllowCall reports whether a worker may be asked for its report now, and counts it if so.
// Calls go at the full share from the beginning: they are what answers come from.
func (p *Pace) AllowCall(now time.Time) bool {
	if !p.On() {
		return true
	}
	p.calls.fill(p.share, max(1, p.share), now)
	if p.calls.saved < 1 {
		return false
	}
	p.calls.saved--
	return true
}

// rate is how many orders may be released in a second. What still waits after SettleWithin
// would come too late by the rules: from then on the rate doubles each second.
func (p *Pace) rate(now time.Time) float64 {
	late := (now.Sub(p.since) - p.settings.SettleWithin).Seconds()
	return p.share * p.factor * math.Exp2(min(max(0, late), maxDoublings))
}

// maxDoublings bounds the exponent; by then nothing waits.
const maxDoublings = 20

// capacity is what may be saved up: one order at least, else none would ever be released.
func (p *Pace) capacity(now time.Time) float64 { return max(1, burstShare*p.rate(now)) }

// Allow reports whether an order may be released now, and counts it if so.
func (p *Pace) Allow(c Class, now time.Time) bool {
	if !p.On() {
		return true
	}
	p.fillOrders(now)
	reserve := 0.0
	if most := p.capacity(now); c == Routine && most >= 1/urgentReserve {
		reserve = urgentReserve * most
	}
	if c != Limited && p.orders.saved-reserve < 1 {
		p.denied++
		p.held = true
		return false
	}
	p.orders.saved--
	p.count(now)
	return true
}

// maxSeconds bounds the seconds of which orders are counted.
const maxSeconds = 120

func (p *Pace) count(now time.Time) {
	n := min(int(now.Sub(p.began)/time.Second), maxSeconds-1)
	for len(p.seconds) <= n {
		p.seconds = append(p.seconds, 0)
	}
	p.seconds[max(n, 0)]++
}

// Seconds returns the orders that were released in each second from some moment on.
func (p *Pace) Seconds(from time.Time) []int {
	first := max(0, int(from.Sub(p.began)/time.Second))
	return p.seconds[min(first, len(p.seconds)):]
}

// Waiting returns how many times an order had to wait since the last call.
func (p *Pace) Waiting() int {
	n := p.denied
	p.denied = 0
	return n
}

// Late reports whether the time is over within which all should have settled.
func (p *Pace) Late(now time.Time) bool { return now.Sub(p.since) > p.settings.SettleWithin }

// Held reports whether an order had to wait since the last call.
func (p *Pace) Held() bool {
	held := p.held
	p.held = false
	return held
}

// leastRate keeps waits finite.
const leastRate = 0.1

// NextAt returns when the next order may be released.
func (p *Pace) NextAt(now time.Time) time.Time {
	wait := max(0, 1-p.orders.saved) / max((1-burstShare)*p.rate(now), leastRate)
	return now.Add(time.Duration(wait * float64(time.Second)))
}
