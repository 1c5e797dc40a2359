package statestore

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// reservedShare is the share of a burst that routine work leaves free.
	reservedShare = 0.3
	// reserveTimeout is how long routine work leaves that free.
	reserveTimeout = time.Second
	// agingUnits is how many units (changes or requests) others take before the request
	// that waits longest has its turn, whatever it is for: so no class starves. Ends of
	// jobs, of two changes, get a third so, which is what they need where all jobs
	// are of one task.
	agingUnits = 4
	// agingDelay is how long a request has waited before it may have that turn.
	agingDelay = reserveTimeout
	// maxQueueLength bounds the requests that wait in a lane.
	maxQueueLength = 200
	// responseTime is left of a caller's deadline for the service's answer.
	responseTime = 100 * time.Millisecond
	// loanRetryDelay is how long no changes are asked for after they were denied.
	loanRetryDelay = 200 * time.Millisecond
	// minTimer keeps rounding from waking the process twice.
	minTimer = time.Millisecond
)

// requestScheduler keeps requests to this controller's part of the service's limits. The
// limiters hold the tokens; what finds none waits here, ordered by class. No timer
// runs and nothing is woken while nothing waits.
type requestScheduler struct {
	requestTokens *rate.Limiter
	writeTokens   *rate.Limiter

	mu       sync.Mutex
	reads    queue // need a request each
	writes   queue // need changes as well
	timer    *time.Timer
	admitted [2]int // requests and changes let through since last asked

	lender        Lender
	loanRequested bool      // it is being asked
	nextLoanAt    time.Time // it denied changes, and is not asked again before
}

// Lender lets a controller make changes beyond its own part of the limit, if there
// are any left. Where it asks modestly, some must be left to those that need more.
type Lender func(changes int, modest bool) bool

// The kinds of budget.
const (
	requestUnits = iota
	writeUnits
)

// queueFor returns the lane of requests that make so many changes.
func (s *requestScheduler) queueFor(writes int) *queue {
	if writes > 0 {
		return &s.writes
	}
	return &s.reads
}

// admit waits until the limits let a request with so many changes through. It
// reports false, with nothing used, as soon as it can't be let through in time.
func (s *requestScheduler) admit(ctx context.Context, writes int, purpose Purpose) bool {
	if ctx.Err() != nil {
		return false
	}
	w := s.enqueue(ctx, writes, purpose)
	if w == nil {
		return false
	}
	select {
	case v := <-w.decided:
		return v.admitted && sleep(ctx, v.delay)
	case <-ctx.Done():
		s.abandon(w)
		return false
	}
}

// enqueue queues a request up, unless it could not be let through in time.
func (s *requestScheduler) enqueue(ctx context.Context, writes int, purpose Purpose) *waitingRequest {
	now := time.Now()
	c := purpose.priority()
	w := &waitingRequest{priority: c, routine: purpose.Routine, writes: writes, enqueued: now, deadline: now.Add(maxWaits[c]),
		decided: make(chan decision, 1)}
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-responseTime).Before(w.deadline) {
		w.deadline = deadline.Add(-responseTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.queueFor(writes)
	if len(l.waiting) >= maxQueueLength {
		return nil
	}
	unitsAhead := l.insert(w)
	if !s.canBorrow(w, now) && now.Add(s.estimate(w, unitsAhead, now)).After(w.deadline) {
		l.remove(w)
		return nil
	}
	s.dispatch(now)
	return w
}

// estimate is how long a waiter waits behind so many units if nothing comes that
// goes before it.
func (s *requestScheduler) estimate(w *waitingRequest, unitsAhead int, now time.Time) time.Duration {
	if w.writes > 0 {
		return max(timeUntilTokens(s.writeTokens, float64(unitsAhead+w.writes), now), timeUntilTokens(s.requestTokens, 1, now))
	}
	return timeUntilTokens(s.requestTokens, float64(unitsAhead+1), now)
}

// abandon takes a request out whose caller waits no more.
func (s *requestScheduler) abandon(w *waitingRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queueFor(w.writes).remove(w) {
		s.dispatch(time.Now())
	}
}

// dispatch lets through what the limits allow, refuses what is too late, and sets
// the timer for the next of either. The lock is held.
func (s *requestScheduler) dispatch(now time.Time) {
	s.reads.rejectExpired(now)
	s.writes.rejectExpired(now)
	for {
		w := s.next(now)
		if w == nil || s.delay(w, now) > 0 {
			break
		}
		s.reserveAndSend(w, now)
	}
	s.borrow(now)
	s.setTimer(now)
}

// next returns the waiter to be let through next: of the two lanes' the one of the
// smaller class. A write that lacks changes keeps no read waiting.
func (s *requestScheduler) next(now time.Time) *waitingRequest {
	write, read := s.writes.next(now), s.reads.next(now)
	if write == nil || (read != nil && (read.priority < write.priority || s.writeDelay(write, now) > 0)) {
		return read
	}
	return write
}

// delay is how long a waiter must wait for the limits if it is its turn.
func (s *requestScheduler) delay(w *waitingRequest, now time.Time) time.Duration {
	requests := 1.0
	if w.keepsReserve(now) {
		requests += reservedShare * float64(s.requestTokens.Burst())
	}
	return max(s.tokenDelay(w, s.requestTokens, requests, 1, now), s.writeDelay(w, now))
}

// writeDelay is the same for its changes alone. Of more than a burst the rest is
// taken in advance, and the request sent when that has come.
func (s *requestScheduler) writeDelay(w *waitingRequest, now time.Time) time.Duration {
	switch {
	case w.writes == 0:
		return 0
	case s.awaitsLoan(w, now):
		return w.deadline.Sub(now)
	}
	burst := s.writeTokens.Burst()
	least := float64(min(w.writes, burst))
	tokens := least
	if w.keepsReserve(now) {
		tokens = max(least, reservedShare*float64(burst)+float64(min(w.writes, burst/2)))
	}
	return s.tokenDelay(w, s.writeTokens, tokens, least, now)
}

// tokenDelay is how long it takes until a limiter holds so many tokens, or until the
// waiter's patience ends and it holds the least that is needed.
func (s *requestScheduler) tokenDelay(w *waitingRequest, l *rate.Limiter, tokens, least float64, now time.Time) time.Duration {
	d := timeUntilTokens(l, tokens, now)
	if tokens <= least {
		return d
	}
	patience := w.enqueued.Add(reserveTimeout).Sub(now)
	return min(d, max(patience, timeUntilTokens(l, least, now)))
}

// timeUntilTokens is how long it takes a limiter to hold so many tokens.
func timeUntilTokens(limiter *rate.Limiter, tokens float64, now time.Time) time.Duration {
	const roundingError = 1e-6
	missing := tokens - limiter.TokensAt(now)
	if missing <= roundingError {
		return 0
	}
	if limiter.Limit() <= 0 {
		return time.Hour
	}
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

// reserveAndSend lets a waiter through.
func (s *requestScheduler) reserveAndSend(w *waitingRequest, now time.Time) {
	s.queueFor(w.writes).admit(w)
	taken := []*rate.Reservation{s.requestTokens.ReserveN(now, 1)}
	for left := w.writes; left > 0; {
		n := min(left, s.writeTokens.Burst())
		taken = append(taken, s.writeTokens.ReserveN(now, n))
		left -= n
	}
	s.send(w, taken, now)
}

// send lets a waiter through once what was taken for it has come, unless that is too
// late.
func (s *requestScheduler) send(w *waitingRequest, taken []*rate.Reservation, now time.Time) {
	var delay time.Duration
	for _, r := range taken {
		delay = max(delay, r.DelayFrom(now))
	}
	if delay > minTimer && now.Add(delay).After(w.deadline) {
		for _, r := range slices.Backward(taken) {
			r.CancelAt(now)
		}
		w.decided <- decision{}
		return
	}
	s.admitted[requestUnits]++
	s.admitted[writeUnits] += w.writes
	w.decided <- decision{admitted: true, delay: delay}
}

// setTimer sets the timer for the next moment at which something may be let through
// or is too late.
func (s *requestScheduler) setTimer(now time.Time) {
	var next time.Time
	earliest := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, l := range []*queue{&s.reads, &s.writes} {
		for _, w := range l.waiting {
			earliest(w.deadline)
		}
		if w := l.next(now); w != nil {
			earliest(now.Add(s.delay(w, now)))
		}
	}
	if len(s.writes.waiting) > 0 && s.lender != nil && !s.loanRequested && now.Before(s.nextLoanAt) {
		earliest(s.nextLoanAt)
	}
	switch d := max(next.Sub(now), minTimer); {
	case next.IsZero() && s.timer != nil:
		s.timer.Stop()
	case next.IsZero():
	case s.timer == nil:
		s.timer = time.AfterFunc(d, s.wake)
	default:
		s.timer.Reset(d)
	}
}

// wake is the timer's turn.
func (s *requestScheduler) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch(time.Now())
}

// takeDemand returns what was let through since the last call and what waits.
func (s *requestScheduler) takeDemand() (reqs, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reqs = s.admitted[requestUnits] + len(s.reads.waiting) + len(s.writes.waiting)
	writes = s.admitted[writeUnits] + s.writes.units()
	s.admitted = [2]int{}
	return reqs, writes
}

// backlog is how long the changes that wait now will take.
func (s *requestScheduler) backlog() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(s.writes.units()) / float64(s.writeTokens.Limit()) * float64(time.Second))
}

// setLimit sets the limits. The lock is taken, as what waits may go on at once.
func (s *requestScheduler) setLimit(l *rate.Limiter, r float64, burst int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Limit() == rate.Limit(r) && l.Burst() == burst {
		return
	}
	now := time.Now()
	l.SetLimitAt(now, rate.Limit(r))
	l.SetBurstAt(now, burst)
	if len(s.reads.waiting)+len(s.writes.waiting) > 0 {
		s.dispatch(now)
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
