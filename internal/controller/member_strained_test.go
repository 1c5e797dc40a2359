package controller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/controller/membership"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
)

// slowRenewals is a state service whose answers to renewals are read late, as by a process that is
// behind. Its lease expires if it is not renewed in time.
type slowRenewals struct {
	*testkit.State
	late    time.Duration // delay of the answers to renewals
	mu      sync.Mutex
	renewed time.Time
	pending int // renewals whose answers have not been read
	most    int // maximum of pending
}

func (s *slowRenewals) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	s.renewed = time.Now()
	s.mu.Unlock()
	return s.State.Grant(ctx, ttl)
}

func (s *slowRenewals) Renew(context.Context, uint64) error {
	s.mu.Lock()
	gone := time.Since(s.renewed) >= membership.LeaseTTL
	if !gone {
		s.renewed = time.Now()
	}
	s.pending++
	s.most = max(s.most, s.pending)
	late := s.late
	s.mu.Unlock()
	time.Sleep(late)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
	if gone {
		return statestore.ErrNoLease
	}
	return nil
}

// A strained process keeps its lease, although it reads the answers to its renewals late. It renews
// the lease without awaiting them, already before it counts as behind: renewals one after the other
// would come too late.
func TestStrainedKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &slowRenewals{State: testkit.NewState()}
		c := newTestController(t, state.State)
		ctx, cancel := context.WithCancel(t.Context())
		c.store = state
		c.member = c.newMember()
		c.lease.Grant(membership.LeaseState{})
		go c.member.KeepLease(ctx)
		time.Sleep(2 * membership.LeaseTTL)
		c.mu.Lock()
		for !c.overload.Strained() {
			c.overload.Observe(time.Second, time.Now())
		}
		lease := c.lease.Current().ID
		c.mu.Unlock()
		state.mu.Lock()
		state.late = membership.LeaseTTL * 5 / 8
		state.mu.Unlock()
		for range 60 {
			time.Sleep(time.Second)
			c.mu.Lock()
			if now := c.lease.Current(); !now.CertainlyValid(time.Now()) || now.ID != lease {
				t.Errorf("lease %d, want a valid lease %d; renewed %v ago", now.ID, lease, time.Since(now.RenewedAt))
			}
			c.mu.Unlock()
		}
		state.mu.Lock()
		if state.most > membership.MaxConcurrentRenewals+1 {
			t.Errorf("%d renewals pending at once, want MaxConcurrentRenewals and one more at most", state.most)
		}
		state.mu.Unlock()
		cancel()
		time.Sleep(membership.LeaseTTL)
	})
}
