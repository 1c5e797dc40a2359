package controller

import (
	"testing"
	"time"
)

// The bounds of a lease's age: it must not count as certain up to its end, and work is
// passed on before it is refused.
func TestLeaseAges(t *testing.T) {
	renewed := time.Unix(1e9, 0)
	for _, x := range []struct {
		age                    time.Duration
		certain, overdue, lost bool
	}{
		{0, true, false, false},
		{leaseTTL / 2, true, false, false},
		{leaseTTL/2 + 1, true, true, false},
		{leaseTTL * 3 / 4, true, true, false},
		{leaseTTL*3/4 + 1, true, true, true},
		{leaseTTL*9/10 - 1, true, true, true},
		{leaseTTL * 9 / 10, false, true, true},
		{leaseTTL, false, true, true},
	} {
		s := leaseState{id: 1, renewedAt: renewed}
		now := renewed.Add(x.age)
		if s.certain(now) != x.certain || s.overdue(now) != x.overdue || s.lost(now) != x.lost {
			t.Errorf("after %v: certain %t, overdue %t, lost %t", x.age, s.certain(now), s.overdue(now), s.lost(now))
		}
		none := leaseState{renewedAt: renewed}
		if none.certain(now) || !none.overdue(now) || !none.lost(now) {
			t.Errorf("after %v without a lease: certain %t, overdue %t, lost %t", x.age, none.certain(now), none.overdue(now), none.lost(now))
		}
	}
}

// setRenewed makes the last renewal as old as a test wants it.
func (l *memberLease) setRenewed(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.renewedAt = at
}

// Answers to renewals come in any order: the latest request counts, and what is told of an
// earlier lease says nothing of the present one.
func TestLeaseRenewalsInAnyOrder(t *testing.T) {
	var l memberLease
	begin := time.Unix(1e9, 0)
	l.granted(leaseState{id: 1, incarnation: 1, renewedAt: begin})
	l.renewed(1, begin.Add(2*time.Second))
	l.renewed(1, begin.Add(time.Second))
	if got := l.current().renewedAt; !got.Equal(begin.Add(2 * time.Second)) {
		t.Errorf("renewed at %v, want the latest request's time", got)
	}
	l.ended(1)
	l.renewed(1, begin.Add(3*time.Second))
	if s := l.current(); s.id != 0 || s.incarnation != 1 || s.certain(begin.Add(3*time.Second)) {
		t.Errorf("after its end: %+v", s)
	}
	l.granted(leaseState{id: 2, incarnation: 1, renewedAt: begin.Add(4 * time.Second)})
	l.ended(1)
	l.renewed(1, begin.Add(5*time.Second))
	if s := l.current(); s.id != 2 || !s.renewedAt.Equal(begin.Add(4*time.Second)) {
		t.Errorf("a late word on an earlier lease: %+v", s)
	}
}
