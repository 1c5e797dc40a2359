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

// waiter is a request that waits.
type waiter struct {
	class   class
	routine bool
	changes int
	since   time.Time
	until   time.Time // it is of no use after this
	answer  chan verdict
}

// verdict tells a waiter whether it may be sent, and after which further delay.
type verdict struct {
	admitted bool
	delay    time.Duration
}

// units is what a waiter counts in its lane.
func (w *waiter) units() int { return max(1, w.changes) }

// restrained reports whether a waiter still leaves a part of the budget free.
func (w *waiter) restrained(now time.Time) bool {
	return w.routine && now.Sub(w.since) < routinePatience
}

// lane holds waiters by class, and by arrival within one.
type lane struct {
	waiting []*waiter
	passed  int // units since the longest waiting had its turn
}

// enter puts a waiter at its place and returns the units that go before it.
func (l *lane) enter(w *waiter) (ahead int) {
	at := len(l.waiting)
	for at > 0 && l.waiting[at-1].class > w.class {
		at--
	}
	for _, earlier := range l.waiting[:at] {
		ahead += earlier.units()
	}
	l.waiting = slices.Insert(l.waiting, at, w)
	return ahead
}

// leave takes a waiter out and reports whether it was there.
func (l *lane) leave(w *waiter) bool {
	at := slices.Index(l.waiting, w)
	if at < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, at, at+1)
	return true
}

// oldest returns the waiter that came first.
func (l *lane) oldest() *waiter {
	return slices.MinFunc(l.waiting, func(a, b *waiter) int { return a.since.Compare(b.since) })
}

// next returns the waiter whose turn it is, nil if there is none.
func (l *lane) next(now time.Time) *waiter {
	if len(l.waiting) == 0 {
		return nil
	}
	first := l.waiting[0]
	if l.passed < fairTurn || first.class == officeClass {
		return first
	}
	if w := l.oldest(); now.Sub(w.since) >= fairAfter {
		return w
	}
	return first
}

// grant takes a waiter out that is let through.
func (l *lane) grant(w *waiter) {
	if l.oldest() == w {
		l.passed = 0
	} else {
		l.passed += w.units()
	}
	l.leave(w)
}

// units is what all that wait count.
func (l *lane) units() (sum int) {
	for _, w := range l.waiting {
		sum += w.units()
	}
	return sum
}

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

// mayBorrow reports whether a waiter's changes may come from the lender, so that its
// place does not tell how long it waits.
func (a *admission) mayBorrow(w *waiter, now time.Time) bool {
	return a.lender != nil && w.changes > 0 && !now.Before(a.askAfter)
}

// awaitsLoan reports whether a waiter needs more than can be saved up here, and the
// lender's answer may spare it the time that taking the rest in advance costs.
func (a *admission) awaitsLoan(w *waiter, now time.Time) bool {
	return !w.routine && w.changes > a.changes.Burst() && (a.asking || a.mayBorrow(w, now))
}

// borrow asks the lender for the changes of the next write, if these are what it
// waits for. The lock is held.
func (a *admission) borrow(now time.Time) {
	w := a.writes.next(now)
	if w == nil || a.asking || w.restrained(now) || !a.mayBorrow(w, now) || a.changesDelay(w, now) <= shortestTimer {
		return
	}
	a.asking = true
	modest := w.routine
	go func() {
		ok := a.lender(w.changes, modest)
		a.mu.Lock()
		defer a.mu.Unlock()
		now := time.Now()
		a.asking = false
		if ok {
			a.lent(w.changes, now)
		} else {
			a.askAfter = now.Add(lendPause)
			a.shed(now)
		}
		a.dispatch(now)
	}()
}

// lent lets the first write through that needs no more than the changes lent.
func (a *admission) lent(changed int, now time.Time) {
	w := a.writes.next(now)
	if w == nil || w.changes > changed { // which were for one that has left since
		return
	}
	a.writes.grant(w)
	a.send(w, []*rate.Reservation{a.reqs.ReserveN(now, 1)}, now)
}

// shed refuses the writes that can't be in time at their places.
func (a *admission) shed(now time.Time) {
	ahead := 0
	a.writes.waiting = slices.DeleteFunc(a.writes.waiting, func(w *waiter) bool {
		if now.Add(a.estimate(w, ahead, now)).After(w.until) {
			w.answer <- verdict{}
			return true
		}
		ahead += w.units()
		return false
	})
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

// expire refuses what is too late.
func (l *lane) expire(now time.Time) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waiter) bool {
		late := now.After(w.until)
		if late {
			w.answer <- verdict{}
		}
		return late
	})
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
