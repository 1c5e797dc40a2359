package membership

import (
	"testing"
	"time"
)

// The bounds of a lease's age. A lease must stop being certainly valid before it expires, and be
// overdue, so that work is passed on, before it counts as lost, so that work is refused.
func TestLeaseAges(t *testing.T) {
	renewed := time.Unix(1e9, 0)
	for _, test := range []struct {
		age                           time.Duration
		certainlyValid, overdue, lost bool
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
		now := renewed.Add(test.age)
		if s.CertainlyValid(now) != test.certainlyValid || s.Overdue(now) != test.overdue || s.Lost(now) != test.lost {
			t.Errorf("after %v: certainly valid %t, overdue %t, lost %t", test.age, s.CertainlyValid(now), s.Overdue(now), s.Lost(now))
		}
		none := LeaseState{RenewedAt: renewed}
		if none.CertainlyValid(now) || !none.Overdue(now) || !none.Lost(now) {
			t.Errorf("after %v without a lease: certainly valid %t, overdue %t, lost %t; want only overdue and lost", test.age, none.CertainlyValid(now), none.Overdue(now), none.Lost(now))
		}
	}
}

// Replies to renewals arrive in any order. The latest request counts, and a reply about an earlier
// lease does not change the present one.
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
		t.Errorf("after the lease expired: %+v, want no lease and incarnation 1", s)
	}
	l.Grant(LeaseState{ID: 2, Incarnation: 1, RenewedAt: begin.Add(4 * time.Second)})
	l.Expired(1)
	l.Renewed(1, begin.Add(5*time.Second))
	if s := l.Current(); s.ID != 2 || !s.RenewedAt.Equal(begin.Add(4*time.Second)) {
		t.Errorf("after late replies about an earlier lease: %+v, want lease 2 as it was granted", s)
	}
}
