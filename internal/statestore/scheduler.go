package statestore

import (
	"context"
	"slices"
	"sync"
	"time"

	"bramblespur/internal/retry"

	"golang.org/x/time/rate"
)

const (
	// reservedShare is the share of a burst that routine requests leave free.
	reservedShare = 0.3
	// reserveTimeout is how long a waiting routine request leaves that share free.
	reserveTimeout = time.Second
	// agingUnits is the number of units (writes or requests) admitted before the request
	// that has waited longest is admitted regardless of its priority. Completions of jobs,
	// which take two writes each, thus get a third of all writes. That is what they need if
	// every job has one task.
	agingUnits = 4
	// agingDelay is how long a request must have waited to get that turn.
	agingDelay = reserveTimeout
	// maxQueueLength bounds the requests that wait in a queue.
	maxQueueLength = 200
	// responseTime is the time left before a caller's deadline for the response of the state
	// service.
	responseTime = 100 * time.Millisecond
	// loanRetryDelay is how long no loan is requested after one was denied.
	loanRetryDelay = 200 * time.Millisecond
	// minTimer is the shortest duration that the timer is set to. With a shorter one, rounding
	// would make the timer wake the process twice.
	minTimer = time.Millisecond
)

// requestScheduler keeps requests within this controller's share of the state service's limits.
// The limiters are the token buckets; requests that lack tokens wait in queues by priority. While
// no request waits, no timer runs that would wake the process. It is safe for concurrent use; mu
// is not held while the lender or the state service is called.
type requestScheduler struct {
	requestTokens *rate.Limiter
	writeTokens   *rate.Limiter

	mu       sync.Mutex
	reads    queue       // requests that need a request token each
	writes   queue       // requests that need write tokens as well
	timer    *time.Timer // calls wake; nil until a request has to wait
	admitted [2]int      // request and write units since the last takeDemand

	lender        Lender    // optional
	loanRequested bool      // a call of the lender is in progress
	nextLoanAt    time.Time // no loan is requested before this time, since the last was denied
}

// Lender reports whether a controller may make a number of writes beyond its own share. A modest
// request leaves part of the loans to requests that need many writes at once. The Lender is called
// on a goroutine of its own and may block.
type Lender func(writes int, modest bool) bool

// Indices of requestScheduler.admitted.
const (
	requestUnits = iota
	writeUnits
)

// queueFor returns the queue for requests with the given number of writes.
func (s *requestScheduler) queueFor(writes int) *queue {
	if writes > 0 {
		return &s.writes
	}
	return &s.reads
}

// admit waits for tokens for a request with a number of writes, and returns true once it may be
// sent. It returns false, having used no tokens, as soon as the request cannot be admitted before
// its deadline.
func (s *requestScheduler) admit(ctx context.Context, writes int, purpose Purpose) bool {
	if ctx.Err() != nil {
		return false
	}
	w := s.enqueue(ctx, writes, purpose)
	if w == nil {
		return false
	}
	select {
	case d := <-w.decided:
		return d.admitted && sleep(ctx, d.delay)
	case <-ctx.Done():
		s.abandon(w)
		return false
	}
}

// enqueue puts a request into its queue and admits requests for which there are tokens. It returns
// nil if the queue is full or the request cannot be admitted before its deadline.
func (s *requestScheduler) enqueue(ctx context.Context, writes int, purpose Purpose) *waitingRequest {
	now := time.Now()
	level := purpose.priority()
	w := &waitingRequest{
		priority: level,
		routine:  purpose.Routine,
		writes:   writes,
		enqueued: now,
		deadline: now.Add(maxWaits[level]),
		decided:  make(chan decision, 1),
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-responseTime).Before(w.deadline) {
		w.deadline = deadline.Add(-responseTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queueFor(writes)
	if len(q.waiting) >= maxQueueLength {
		return nil
	}
	unitsAhead := q.insert(w)
	if !s.canBorrow(w, now) && now.Add(s.estimate(w, unitsAhead, now)).After(w.deadline) {
		q.remove(w)
		return nil
	}
	s.dispatch(now)
	return w
}

// estimate returns how long a request waits if unitsAhead units are admitted before it, that is, if
// no request of higher priority arrives meanwhile.
func (s *requestScheduler) estimate(w *waitingRequest, unitsAhead int, now time.Time) time.Duration {
	if w.writes > 0 {
		return max(timeUntilTokens(s.writeTokens, float64(unitsAhead+w.writes), now), timeUntilTokens(s.requestTokens, 1, now))
	}
	return timeUntilTokens(s.requestTokens, float64(unitsAhead+1), now)
}

// abandon removes a request whose caller has given up.
func (s *requestScheduler) abandon(w *waitingRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queueFor(w.writes).remove(w) {
		s.dispatch(time.Now())
	}
}

// dispatch rejects expired requests, admits the requests for which the buckets have tokens,
// requests a loan if one helps, and sets the timer for the next time at which it has to do so again.
// The caller holds mu, as do the callers of all methods that dispatch calls.
func (s *requestScheduler) dispatch(now time.Time) {
	s.reads.rejectExpired(now)
	s.writes.rejectExpired(now)
	for {
		w := s.next(now)
		if w == nil || s.delay(w, now) > 0 {
			break
		}
		s.reserveAndAdmit(w, now)
	}
	s.borrow(now)
	s.setTimer(now)
}

// next returns the request to be admitted next, or nil if no request waits. Of the next requests of
// the two queues it is the one with the higher priority, or the read if the write lacks write tokens.
func (s *requestScheduler) next(now time.Time) *waitingRequest {
	write, read := s.writes.next(now), s.reads.next(now)
	if write == nil || (read != nil && (read.priority < write.priority || s.writeDelay(write, now) > 0)) {
		return read
	}
	return write
}

// delay returns how long a request whose turn it is has to wait for tokens.
func (s *requestScheduler) delay(w *waitingRequest, now time.Time) time.Duration {
	requests := 1.0
	if w.keepsReserve(now) {
		requests += reservedShare * float64(s.requestTokens.Burst())
	}
	return max(s.tokenDelay(w, s.requestTokens, requests, 1, now), s.writeDelay(w, now))
}

// writeDelay returns how long a request has to wait for write tokens alone. A request that needs
// more than a burst waits for a full bucket; the rest is reserved in advance, and the request is
// sent when these tokens have accumulated too. A request that awaits a loan waits until its
// deadline.
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

// tokenDelay returns how long a request waits for tokens of a bucket. The wait ends when the bucket
// holds the number tokens, which includes the reserve that a routine request leaves free, or when the
// bucket holds least, the number that the request itself needs, and reserveTimeout has passed.
func (s *requestScheduler) tokenDelay(w *waitingRequest, limiter *rate.Limiter, tokens, least float64, now time.Time) time.Duration {
	delay := timeUntilTokens(limiter, tokens, now)
	if tokens <= least {
		return delay
	}
	reserveEnds := w.enqueued.Add(reserveTimeout).Sub(now)
	return min(delay, max(reserveEnds, timeUntilTokens(limiter, least, now)))
}

// timeUntilTokens returns how long it takes until a bucket holds a number of tokens, and an hour
// if its limit is zero.
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

// reserveAndAdmit reserves the tokens of a request and admits or rejects it.
func (s *requestScheduler) reserveAndAdmit(w *waitingRequest, now time.Time) {
	s.queueFor(w.writes).admit(w)
	reserved := []*rate.Reservation{s.requestTokens.ReserveN(now, 1)}
	for left := w.writes; left > 0; {
		n := min(left, s.writeTokens.Burst())
		reserved = append(reserved, s.writeTokens.ReserveN(now, n))
		left -= n
	}
	s.admitOrReject(w, reserved, now)
}

// admitOrReject admits a request, delayed until its reserved tokens are available. If that is after
// its deadline, it rejects the request and returns the tokens to their buckets.
func (s *requestScheduler) admitOrReject(w *waitingRequest, reserved []*rate.Reservation, now time.Time) {
	var delay time.Duration
	for _, r := range reserved {
		delay = max(delay, r.DelayFrom(now))
	}
	if delay > minTimer && now.Add(delay).After(w.deadline) {
		for _, r := range slices.Backward(reserved) {
			r.CancelAt(now)
		}
		w.decided <- decision{}
		return
	}
	s.admitted[requestUnits]++
	s.admitted[writeUnits] += w.writes
	w.decided <- decision{admitted: true, delay: delay}
}

// setTimer sets the timer for the next time at which a request may be admitted, a request expires or
// a loan may be requested. It stops the timer if there is no such time.
func (s *requestScheduler) setTimer(now time.Time) {
	var next time.Time
	earliest := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, q := range []*queue{&s.reads, &s.writes} {
		for _, w := range q.waiting {
			earliest(w.deadline)
		}
		if w := q.next(now); w != nil {
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

// wake is called when the timer expires.
func (s *requestScheduler) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch(time.Now())
}

// takeDemand returns the numbers of requests and writes that were admitted since the last call or
// that wait now.
func (s *requestScheduler) takeDemand() (requests, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests = s.admitted[requestUnits] + len(s.reads.waiting) + len(s.writes.waiting)
	writes = s.admitted[writeUnits] + s.writes.units()
	s.admitted = [2]int{}
	return requests, writes
}

// backlog returns how long the waiting writes take at the present limit.
func (s *requestScheduler) backlog() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(s.writes.units()) / float64(s.writeTokens.Limit()) * float64(time.Second))
}

// setLimit sets the rate and the burst of one of the buckets, and admits the waiting requests for
// which tokens are available then.
func (s *requestScheduler) setLimit(limiter *rate.Limiter, perSecond float64, burst int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limiter.Limit() == rate.Limit(perSecond) && limiter.Burst() == burst {
		return
	}
	now := time.Now()
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, burst)
	if len(s.reads.waiting)+len(s.writes.waiting) > 0 {
		s.dispatch(now)
	}
}

// sleep waits for d, if it is positive, and reports whether d passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool { return d <= 0 || retry.Sleep(ctx, d) }
