package statestore

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"
)

// service limits the rate of writes as the state service does, and counts them.
type service struct {
	mu      sync.Mutex
	limit   *rate.Limiter
	made    int // writes, with those of refused requests
	refused int // requests
}

// writeRepeatedly makes a client send requests of n writes as fast as its limits allow until the
// context ends.
func (s *service) writeRepeatedly(ctx context.Context, c *Client, n int) {
	for ctx.Err() == nil {
		if c.admit(ctx, n, Urgent("start")) == nil {
			s.write(n)
		} else {
			time.Sleep(50 * time.Millisecond) // refused at once: retried a little later
		}
	}
}

// write makes a request of n writes.
func (s *service) write(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made += n
	if !s.limit.AllowN(time.Now(), n) {
		s.refused++
	}
}

// Seven controllers that all need writes at the same time keep within the limit together: at the start,
// with full buckets, and without a leader. The state service refuses writes beyond the limit, which
// delays starts of tasks and answers to users.
func TestControllersTogetherKeepWithinTheLimit(t *testing.T) {
	const controllers, writeRPS = 7, 25.0
	for name, x := range map[string]struct {
		idle  time.Duration // before all begin to write
		led   bool          // a leader lends writes
		least float64       // the share of the limit that has to be used
	}{
		"new clients, with a leader":             {0, true, 0.85},
		"new clients, without a leader":          {0, false, 0.85},
		"full buckets, with a leader":            {time.Minute, true, 0.85},
		"full buckets, without a leader":         {time.Minute, false, 0.85},
		"new clients, shortly after an election": {10 * time.Millisecond, true, 0.85},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &service{limit: rate.NewLimiter(writeRPS, writeRPS)}
				pool := NewLoanPool()
				pool.SetLimit(controllers, writeRPS, time.Now())
				lender, share := Lender(nil), writeRPS/controllers
				if x.led {
					lender = func(writes int, modest bool) bool { return pool.Lend(writes, modest, time.Now()) }
					share = writeRPS * (0.95 - LoanShare) / controllers
				}
				ctx, cancel := context.WithCancel(t.Context())
				var clients []*Client
				for range controllers {
					c := New("127.0.0.1:1", controllers, 200, writeRPS, lender)
					c.SetLimits(200/controllers, share)
					clients = append(clients, c)
				}
				time.Sleep(x.idle)
				var writers sync.WaitGroup
				for i, c := range clients {
					for range 4 {
						writers.Go(func() { s.writeRepeatedly(ctx, c, 1+i%3) })
					}
				}
				time.Sleep(20 * time.Second)
				cancel()
				writers.Wait()
				if s.refused > 0 {
					t.Errorf("%d requests refused by the service, with %d writes made in all; want none refused", s.refused, s.made)
				}
				if used := float64(s.made) / (20 * writeRPS); used < x.least {
					t.Errorf("%.2f of the limit used, want more", used)
				}
			})
		})
	}
}

// A new leader lends nothing at first, and modest requests leave part of the pool to others.
func TestLoanPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewLoanPool()
		if p.Lend(1, false, time.Now()) {
			t.Error("a pool without a limit lent a write")
		}
		p.SetLimit(7, 25, time.Now())
		if p.Lend(1, false, time.Now()) {
			t.Error("a new pool lent a write")
		}
		time.Sleep(time.Minute)
		modest := 0
		for p.Lend(1, true, time.Now()) {
			modest++
		}
		rest := 0
		for p.Lend(1, false, time.Now()) {
			rest++
		}
		if modest == 0 || rest < 7 || modest+rest+7 > 25*9/10 {
			t.Errorf("lent %d writes to modest requests and then %d to others, want 1 and 7 at least and 15 at most in all", modest, rest)
		}
		time.Sleep(10 * time.Second)
		if p.Lend(26, false, time.Now()) || p.Lend(0, false, time.Now()) || p.Lend(-1, false, time.Now()) {
			t.Error("lent 26 writes, which is more than the burst, or a number of writes that is not positive")
		}
	})
}
