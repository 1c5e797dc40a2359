package statestore

import (
	"slices"
	"time"
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
