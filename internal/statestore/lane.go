package statestore

import (
	"slices"
	"time"
)

// waitingRequest is a request that waits.
type waitingRequest struct {
	priority priority
	routine  bool
	writes   int
	enqueued time.Time
	deadline time.Time // it is of no use after this
	decided  chan decision
}

// decision tells a waiter whether it may be sent, and after which further delay.
type decision struct {
	admitted bool
	delay    time.Duration
}

// units is what a waiter counts in its lane.
func (w *waitingRequest) units() int { return max(1, w.writes) }

// keepsReserve reports whether a waiter still leaves a part of the budget free.
func (w *waitingRequest) keepsReserve(now time.Time) bool {
	return w.routine && now.Sub(w.enqueued) < reserveTimeout
}

// queue holds waiters by class, and by arrival within one.
type queue struct {
	waiting             []*waitingRequest
	admittedSinceOldest int // units since the longest waiting had its turn
}

// insert puts a waiter at its place and returns the units that go before it.
func (q *queue) insert(w *waitingRequest) (unitsAhead int) {
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority > w.priority {
		at--
	}
	for _, earlier := range q.waiting[:at] {
		unitsAhead += earlier.units()
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	return unitsAhead
}

// remove takes a waiter out and reports whether it was there.
func (q *queue) remove(w *waitingRequest) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// oldest returns the waiter that came first.
func (q *queue) oldest() *waitingRequest {
	return slices.MinFunc(q.waiting, func(a, b *waitingRequest) int { return a.enqueued.Compare(b.enqueued) })
}

// next returns the waiter whose turn it is, nil if there is none.
func (q *queue) next(now time.Time) *waitingRequest {
	if len(q.waiting) == 0 {
		return nil
	}
	first := q.waiting[0]
	if q.admittedSinceOldest < agingUnits || first.priority == priorityControl {
		return first
	}
	if w := q.oldest(); now.Sub(w.enqueued) >= agingDelay {
		return w
	}
	return first
}

// admit takes a waiter out that is let through.
func (q *queue) admit(w *waitingRequest) {
	if q.oldest() == w {
		q.admittedSinceOldest = 0
	} else {
		q.admittedSinceOldest += w.units()
	}
	q.remove(w)
}

// units is what all that wait count.
func (q *queue) units() (sum int) {
	for _, w := range q.waiting {
		sum += w.units()
	}
	return sum
}

// rejectExpired refuses what is too late.
func (q *queue) rejectExpired(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waitingRequest) bool {
		late := now.After(w.deadline)
		if late {
			w.decided <- decision{}
		}
		return late
	})
}
