package statestore

import (
	"slices"
	"time"
)

// waitingRequest is a request that waits for tokens of the token buckets.
type waitingRequest struct {
	priority priority
	routine  bool
	writes   int
	enqueued time.Time
	deadline time.Time     // the request is rejected after it
	decided  chan decision // has room for the only decision, so that sending never blocks
}

// decision says whether a request may be sent, and after what further delay.
type decision struct {
	admitted bool
	delay    time.Duration
}

// units returns how much a request counts in its queue: the number of its writes, or 1 if it has
// none.
func (w *waitingRequest) units() int { return max(1, w.writes) }

// keepsReserve reports whether a request still has to leave reservedShare of the burst free.
func (w *waitingRequest) keepsReserve(now time.Time) bool {
	return w.routine && now.Sub(w.enqueued) < reserveTimeout
}

// queue holds requests in order of priority, and in order of arrival within a priority.
type queue struct {
	waiting             []*waitingRequest
	admittedSinceOldest int // units admitted since it was the oldest request's turn
}

// insert adds a request behind those of the same and of higher priorities, and returns the units
// ahead of it.
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

// remove removes a request and reports whether it was in the queue.
func (q *queue) remove(w *waitingRequest) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// oldest returns the request that has waited longest. The queue must not be empty.
func (q *queue) oldest() *waitingRequest {
	return slices.MinFunc(q.waiting, func(a, b *waitingRequest) int { return a.enqueued.Compare(b.enqueued) })
}

// next returns the request whose turn it is, or nil if the queue is empty. It is the first one of
// the highest priority or, once agingUnits have been admitted since its last turn, the oldest
// request if that has waited for agingDelay. Control requests always go first.
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

// admit removes a request that is admitted, and counts its units towards the oldest one's turn.
func (q *queue) admit(w *waitingRequest) {
	if q.oldest() == w {
		q.admittedSinceOldest = 0
	} else {
		q.admittedSinceOldest += w.units()
	}
	q.remove(w)
}

// units returns the sum of the units of all requests.
func (q *queue) units() (sum int) {
	for _, w := range q.waiting {
		sum += w.units()
	}
	return sum
}

// rejectExpired rejects and removes the requests whose deadlines have passed.
func (q *queue) rejectExpired(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waitingRequest) bool {
		expired := now.After(w.deadline)
		if expired {
			w.decided <- decision{}
		}
		return expired
	})
}
