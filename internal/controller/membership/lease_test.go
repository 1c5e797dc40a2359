package membership

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
		{LeaseTTL / 2, true, false, false},
		{LeaseTTL/2 + 1, true, true, false},
		{LeaseTTL * 3 / 4, true, true, false},
		{LeaseTTL*3/4 + 1, true, true, true},
		{LeaseTTL*9/10 - 1, true, true, true},
		{LeaseTTL * 9 / 10, false, true, true},
		{LeaseTTL, false, true, true},
	} {
		s := LeaseState{ID: 1, RenewedAt: renewed}
		now := renewed.Add(x.age)
		if s.CertainlyValid(now) != x.certain || s.Overdue(now) != x.overdue || s.Lost(now) != x.lost {
			t.Errorf("after %v: certain %t, overdue %t, lost %t", x.age, s.CertainlyValid(now), s.Overdue(now), s.Lost(now))
		}
		none := LeaseState{RenewedAt: renewed}
		if none.CertainlyValid(now) || !none.Overdue(now) || !none.Lost(now) {
			t.Errorf("after %v without a lease: certain %t, overdue %t, lost %t", x.age, none.CertainlyValid(now), none.Overdue(now), none.Lost(now))
		}
	}
}

// Answers to renewals come in any order: the latest request counts, and what is told of an
// earlier lease says nothing of the present one.
func TestLeaseRenewalsInAnyOrder(t *testing.T) {
	var l Lease
	begin := time.Unix(1e9, 0)
	l.Grant(LeaseState{ID: 1, Incarnation: 1, RenewedAt: begin})
	l.Renewed(1, begin.Add(2*time.Second))
	l.Renewed(1, begin.Add(time.Second))
	if got := l.Current().RenewedAt; !got.Equal(begin.Add(2 * time.Second)) {
		t.Errorf("renewed at %v, want the latest request's time", got)
	}
	l.Expired(1)
	l.Renewed(1, begin.Add(3*time.Second))
	if s := l.Current(); s.ID != 0 || s.Incarnation != 1 || s.CertainlyValid(begin.Add(3*time.Second)) {
		t.Errorf("after its end: %+v", s)
	}
	l.Grant(LeaseState{ID: 2, Incarnation: 1, RenewedAt: begin.Add(4 * time.Second)})
	l.Expired(1)
	l.Renewed(1, begin.Add(5*time.Second))
	if s := l.Current(); s.ID != 2 || !s.RenewedAt.Equal(begin.Add(4*time.Second)) {
		t.Errorf("a late word on an earlier lease: %+v", s)
	}
}
