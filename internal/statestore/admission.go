package statestore

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// routineFloor is the share of a burst that routine work leaves free.
	routineFloor = 0.3
	// routinePatience is how long routine work leaves that free.
	routinePatience = time.Second
	// fairTurn is how many units (changes or requests) others take before the request
	// that waits longest has its turn, whatever it is for: so no class starves. Ends of
	// jobs, of two changes, get a third so, which is what they need where all jobs
	// are of one task.
	fairTurn = 4
	// fairAfter is how long a request has waited before it may have that turn.
	fairAfter = routinePatience
	// longestQueue bounds the requests that wait in a lane.
	longestQueue = 200
	// answerTime is left of a caller's deadline for the service's answer.
	answerTime = 100 * time.Millisecond
	// lendPause is how long no changes are asked for after they were denied.
	lendPause = 200 * time.Millisecond
	// shortestTimer keeps rounding from waking the process twice.
	shortestTimer = time.Millisecond
)

// admission keeps requests to this controller's part of the service's limits. The
// limiters hold the tokens; what finds none waits here, ordered by class. No timer
// runs and nothing is woken while nothing waits.
type admission struct {
	reqs    *rate.Limiter
	changes *rate.Limiter

	mu     sync.Mutex
	reads  lane // need a request each
	writes lane // need changes as well
	timer  *time.Timer
	passed [2]int // requests and changes let through since last asked

	lender   Lender
	asking   bool      // it is being asked
	askAfter time.Time // it denied changes, and is not asked again before
}

// Lender lets a controller make changes beyond its own part of the limit, if there
// are any left. Where it asks modestly, some must be left to those that need more.
type Lender func(changes int, modest bool) bool

// The kinds of budget.
const (
	requests = iota
	changes
)

// lane returns the lane of requests that make so many changes.
func (a *admission) lane(changed int) *lane {
	if changed > 0 {
		return &a.writes
	}
	return &a.reads
}

// admit waits until the limits let a request with so many changes through. It
// reports false, with nothing used, as soon as it can't be let through in time.
func (a *admission) admit(ctx context.Context, changed int, u Use) bool {
	if ctx.Err() != nil {
		return false
	}
	w := a.enter(ctx, changed, u)
	if w == nil {
		return false
	}
	select {
	case v := <-w.answer:
		return v.admitted && sleep(ctx, v.delay)
	case <-ctx.Done():
		a.abandon(w)
		return false
	}
}

// enter queues a request up, unless it could not be let through in time.
func (a *admission) enter(ctx context.Context, changed int, u Use) *waiter {
	now := time.Now()
	c := u.class()
	w := &waiter{class: c, routine: u.Routine, changes: changed, since: now, until: now.Add(longestWaits[c]),
		answer: make(chan verdict, 1)}
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-answerTime).Before(w.until) {
		w.until = deadline.Add(-answerTime)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.lane(changed)
	if len(l.waiting) >= longestQueue {
		return nil
	}
	ahead := l.enter(w)
	if !a.mayBorrow(w, now) && now.Add(a.estimate(w, ahead, now)).After(w.until) {
		l.leave(w)
		return nil
	}
	a.dispatch(now)
	return w
}

// estimate is how long a waiter waits behind so many units if nothing comes that
// goes before it.
func (a *admission) estimate(w *waiter, ahead int, now time.Time) time.Duration {
	if w.changes > 0 {
		return max(until(a.changes, float64(ahead+w.changes), now), until(a.reqs, 1, now))
	}
	return until(a.reqs, float64(ahead+1), now)
}

// abandon takes a request out whose caller waits no more.
func (a *admission) abandon(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lane(w.changes).leave(w) {
		a.dispatch(time.Now())
	}
}

// dispatch lets through what the limits allow, refuses what is too late, and sets
// the timer for the next of either. The lock is held.
func (a *admission) dispatch(now time.Time) {
	a.reads.expire(now)
	a.writes.expire(now)
	for {
		w := a.first(now)
		if w == nil || a.delay(w, now) > 0 {
			break
		}
		a.pass(w, now)
	}
	a.borrow(now)
	a.setTimer(now)
}

// first returns the waiter to be let through next: of the two lanes' the one of the
// smaller class. A write that lacks changes keeps no read waiting.
func (a *admission) first(now time.Time) *waiter {
	write, read := a.writes.next(now), a.reads.next(now)
	if write == nil || (read != nil && (read.class < write.class || a.changesDelay(write, now) > 0)) {
		return read
	}
	return write
}

// delay is how long a waiter must wait for the limits if it is its turn.
func (a *admission) delay(w *waiter, now time.Time) time.Duration {
	requests := 1.0
	if w.restrained(now) {
		requests += routineFloor * float64(a.reqs.Burst())
	}
	return max(a.restraint(w, a.reqs, requests, 1, now), a.changesDelay(w, now))
}

// changesDelay is the same for its changes alone. Of more than a burst the rest is
// taken in advance, and the request sent when that has come.
func (a *admission) changesDelay(w *waiter, now time.Time) time.Duration {
	switch {
	case w.changes == 0:
		return 0
	case a.awaitsLoan(w, now):
		return w.until.Sub(now)
	}
	burst := a.changes.Burst()
	least := float64(min(w.changes, burst))
	tokens := least
	if w.restrained(now) {
		tokens = max(least, routineFloor*float64(burst)+float64(min(w.changes, burst/2)))
	}
	return a.restraint(w, a.changes, tokens, least, now)
}

// restraint is how long it takes until a limiter holds so many tokens, or until the
// waiter's patience ends and it holds the least that is needed.
func (a *admission) restraint(w *waiter, l *rate.Limiter, tokens, least float64, now time.Time) time.Duration {
	d := until(l, tokens, now)
	if tokens <= least {
		return d
	}
	patience := w.since.Add(routinePatience).Sub(now)
	return min(d, max(patience, until(l, least, now)))
}

// until is how long it takes a limiter to hold so many tokens.
func until(l *rate.Limiter, tokens float64, now time.Time) time.Duration {
	const roundingError = 1e-6
	lacks := tokens - l.TokensAt(now)
	if lacks <= roundingError {
		return 0
	}
	if l.Limit() <= 0 {
		return time.Hour
	}
	return time.Duration(lacks / float64(l.Limit()) * float64(time.Second))
}

// pass lets a waiter through.
func (a *admission) pass(w *waiter, now time.Time) {
	a.lane(w.changes).grant(w)
	taken := []*rate.Reservation{a.reqs.ReserveN(now, 1)}
	for left := w.changes; left > 0; {
		n := min(left, a.changes.Burst())
		taken = append(taken, a.changes.ReserveN(now, n))
		left -= n
	}
	a.send(w, taken, now)
}

// send lets a waiter through once what was taken for it has come, unless that is too
// late.
func (a *admission) send(w *waiter, taken []*rate.Reservation, now time.Time) {
	var delay time.Duration
	for _, r := range taken {
		delay = max(delay, r.DelayFrom(now))
	}
	if delay > shortestTimer && now.Add(delay).After(w.until) {
		for _, r := range slices.Backward(taken) {
			r.CancelAt(now)
		}
		w.answer <- verdict{}
		return
	}
	a.passed[requests]++
	a.passed[changes] += w.changes
	w.answer <- verdict{admitted: true, delay: delay}
}

// setTimer sets the timer for the next moment at which something may be let through
// or is too late.
func (a *admission) setTimer(now time.Time) {
	var next time.Time
	earliest := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, l := range []*lane{&a.reads, &a.writes} {
		for _, w := range l.waiting {
			earliest(w.until)
		}
		if w := l.next(now); w != nil {
			earliest(now.Add(a.delay(w, now)))
		}
	}
	if len(a.writes.waiting) > 0 && a.lender != nil && !a.asking && now.Before(a.askAfter) {
		earliest(a.askAfter)
	}
	switch d := max(next.Sub(now), shortestTimer); {
	case next.IsZero() && a.timer != nil:
		a.timer.Stop()
	case next.IsZero():
	case a.timer == nil:
		a.timer = time.AfterFunc(d, a.wake)
	default:
		a.timer.Reset(d)
	}
}

// wake is the timer's turn.
func (a *admission) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatch(time.Now())
}

// needed returns what was let through since the last call and what waits.
func (a *admission) needed() (reqs, changed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reqs = a.passed[requests] + len(a.reads.waiting) + len(a.writes.waiting)
	changed = a.passed[changes] + a.writes.units()
	a.passed = [2]int{}
	return reqs, changed
}

// backlog is how long the changes that wait now will take.
func (a *admission) backlog() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(float64(a.writes.units()) / float64(a.changes.Limit()) * float64(time.Second))
}

// limit sets the limits. The lock is taken, as what waits may go on at once.
func (a *admission) limit(l *rate.Limiter, r float64, burst int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.Limit() == rate.Limit(r) && l.Burst() == burst {
		return
	}
	now := time.Now()
	l.SetLimitAt(now, rate.Limit(r))
	l.SetBurstAt(now, burst)
	if len(a.reads.waiting)+len(a.writes.waiting) > 0 {
		a.dispatch(now)
	}
}

// sleep reports whether the time passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
