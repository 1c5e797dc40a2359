package statestore

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

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
