package statestore

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// canBorrow reports whether a waiter's changes may come from the lender, so that its
// place does not tell how long it waits.
func (s *requestScheduler) canBorrow(w *waitingRequest, now time.Time) bool {
	return s.lender != nil && w.writes > 0 && !now.Before(s.nextLoanAt)
}

// awaitsLoan reports whether a waiter needs more than can be saved up here, and the
// lender's answer may spare it the time that taking the rest in advance costs.
func (s *requestScheduler) awaitsLoan(w *waitingRequest, now time.Time) bool {
	return !w.routine && w.writes > s.writeTokens.Burst() && (s.loanRequested || s.canBorrow(w, now))
}

// borrow asks the lender for the changes of the next write, if these are what it
// waits for. The lock is held.
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

// useLoan lets the first write through that needs no more than the changes lent.
func (s *requestScheduler) useLoan(writes int, now time.Time) {
	w := s.writes.next(now)
	if w == nil || w.writes > writes { // which were for one that has left since
		return
	}
	s.writes.admit(w)
	s.send(w, []*rate.Reservation{s.requestTokens.ReserveN(now, 1)}, now)
}

// rejectLate refuses the writes that can't be in time at their places.
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
