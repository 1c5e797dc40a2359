package statestore

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// canBorrow reports whether a request's writes may come from the lender, so that its place in
// the queue does not tell how long it waits.
func (s *requestScheduler) canBorrow(w *waitingRequest, now time.Time) bool {
	return s.lender != nil && w.writes > 0 && !now.Before(s.nextLoanAt)
}

// awaitsLoan reports whether a request needs more than this controller's burst while a loan may
// still spare it the time that reserving the rest in advance takes.
func (s *requestScheduler) awaitsLoan(w *waitingRequest, now time.Time) bool {
	return !w.routine && w.writes > s.writeTokens.Burst() && (s.loanRequested || s.canBorrow(w, now))
}

// borrow asks the lender, on a goroutine of its own, for the writes of the next write request if
// it waits for these. The lock is held.
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

// useLoan admits the next write request if it needs no more than the writes lent.
func (s *requestScheduler) useLoan(writes int, now time.Time) {
	w := s.writes.next(now)
	if w == nil || w.writes > writes { // the loan was for one that has left since
		return
	}
	s.writes.admit(w)
	s.send(w, []*rate.Reservation{s.requestTokens.ReserveN(now, 1)}, now)
}

// rejectLate rejects the write requests that can't be admitted before their deadlines at their
// places.
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
