package statestore

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// canBorrow reports whether a request's writes may come from the lender. If so, the request's
// position in the queue does not determine how long it waits.
func (s *requestScheduler) canBorrow(w *waitingRequest, now time.Time) bool {
	return s.lender != nil && w.writes > 0 && !now.Before(s.nextLoanAt)
}

// awaitsLoan reports whether an urgent request needs more writes than this controller's burst
// while a loan is requested or may be. Without a loan the request would have to wait until the
// writes beyond the burst are reserved in advance.
func (s *requestScheduler) awaitsLoan(w *waitingRequest, now time.Time) bool {
	return !w.routine && w.writes > s.writeTokens.Burst() && (s.loanRequested || s.canBorrow(w, now))
}

// borrow requests a loan for the next write request, on a goroutine of its own, if that request
// has to wait for write tokens and no other loan is requested.
func (s *requestScheduler) borrow(now time.Time) {
	w := s.writes.next(now)
	if w == nil || s.loanRequested || w.keepsReserve(now) || !s.canBorrow(w, now) || s.writeDelay(w, now) <= minTimer {
		return
	}
	s.loanRequested = true
	modest := w.routine
	go func() {
		ok := s.lender(w.writes, modest)
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		s.loanRequested = false
		if ok {
			s.useLoan(w.writes, now)
		} else {
			s.nextLoanAt = now.Add(loanRetryDelay)
			s.rejectLate(now)
		}
		s.dispatch(now)
	}()
}

// useLoan admits the next write request if it needs no more writes than were lent. Otherwise the
// loan is left unused.
func (s *requestScheduler) useLoan(writes int, now time.Time) {
	w := s.writes.next(now)
	if w == nil || w.writes > writes { // the loan was for a request that has left the queue since
		return
	}
	s.writes.admit(w)
	s.admitOrReject(w, []*rate.Reservation{s.requestTokens.ReserveN(now, 1)}, now)
}

// rejectLate rejects the write requests that, at their positions in the queue, cannot be admitted
// before their deadlines.
func (s *requestScheduler) rejectLate(now time.Time) {
	unitsAhead := 0
	s.writes.waiting = slices.DeleteFunc(s.writes.waiting, func(w *waitingRequest) bool {
		if now.Add(s.estimate(w, unitsAhead, now)).After(w.deadline) {
			w.decided <- decision{}
			return true
		}
		unitsAhead += w.units()
		return false
	})
}
