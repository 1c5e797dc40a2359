package statestore

import (
	"slices"
	"time"
)

// waitingRequest is a request that waits for tokens.
type waitingRequest struct {
	priority priority
	routine  bool
	writes   int
	enqueued time.Time
	deadline time.Time // it is rejected after this
	decided  chan decision
}

// decision says whether a request may be sent, and after which further delay.
type decision struct {
	admitted bool
	delay    time.Duration
}

// units is what a request counts in its queue.
func (w *waitingRequest) units() int { return max(1, w.writes) }

// keepsReserve reports whether a request still leaves a part of the burst free.
func (w *waitingRequest) keepsReserve(now time.Time) bool {
	return w.routine && now.Sub(w.enqueued) < reserveTimeout
}

// queue holds requests by priority, and by arrival within one.
type queue struct {
	waiting             []*waitingRequest
	admittedSinceOldest int // units since the oldest request was admitted
}

// insert adds a request at its place and returns the units ahead of it.
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

// remove removes a request and reports whether it was there.
func (q *queue) remove(w *waitingRequest) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// oldest returns the request that came first.
func (q *queue) oldest() *waitingRequest {
	return slices.MinFunc(q.waiting, func(a, b *waitingRequest) int { return a.enqueued.Compare(b.enqueued) })
}

// next returns the request whose turn it is, nil if there is none: that of the highest
// priority, or after agingUnits the oldest one.
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

// admit removes a request that is admitted.
func (q *queue) admit(w *waitingRequest) {
	if q.oldest() == w {
		q.admittedSinceOldest = 0
	} else {
		q.admittedSinceOldest += w.units()
	}
	q.remove(w)
}

// units is the sum over all requests.
func (q *queue) units() (sum int) {
	for _, w := range q.waiting {
		sum += w.units()
	}
	return sum
}

// rejectExpired rejects requests past their deadlines.
func (q *queue) rejectExpired(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waitingRequest) bool {
		expired := now.After(w.deadline)
		if expired {
			w.decided <- decision{}
		}
		return expired
	})
}
