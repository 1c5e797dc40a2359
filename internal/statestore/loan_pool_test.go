package statestore

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"
)

// service counts writes as the store does.
type service struct {
	mu      sync.Mutex
	limit   *rate.Limiter
	made    int
	refused int
}

// load makes a client write as fast as it may until the context ends.
func (s *service) load(ctx context.Context, c *Client, n int) {
	for ctx.Err() == nil {
		if c.admit(ctx, n, Urgent("start")) == nil {
			s.write(n)
		} else {
			time.Sleep(50 * time.Millisecond) // refused at once: tried again a little later
		}
	}
}

func (s *service) write(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made += n
	if !s.limit.AllowN(time.Now(), n) {
		s.refused++
	}
}

// Seven controllers that all need writes at once keep within the limit together: at the start, with
// full buckets, and without a leader. Each write beyond the limit is refused, and delays a start or a
// user.
func TestSumKeepsWithinTheLimit(t *testing.T) {
	const controllers, writeRPS = 7, 25.0
	for name, x := range map[string]struct {
		idle  time.Duration // before all begin to write
		led   bool
		least float64 // part of the limit that is used
	}{
		"all new, led":          {0, true, 0.85},
		"all new, not led":      {0, false, 0.85},
		"saved up, led":         {time.Minute, true, 0.85},
		"saved up, not led":     {time.Minute, false, 0.85},
		"new after an election": {10 * time.Millisecond, true, 0.85},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &service{limit: rate.NewLimiter(writeRPS, writeRPS)}
				pool := NewLoanPool()
				pool.SetLimit(controllers, writeRPS, time.Now())
				lender, share := Lender(nil), writeRPS/controllers
				if x.led {
					lender = func(changes int, modest bool) bool { return pool.Lend(changes, modest, time.Now()) }
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
						writers.Go(func() { s.load(ctx, c, 1+i%3) })
					}
				}
				time.Sleep(20 * time.Second)
				cancel()
				writers.Wait()
				if s.refused > 0 {
					t.Errorf("%d of %d writes refused by the service", s.refused, s.made)
				}
				if used := float64(s.made) / (20 * writeRPS); used < x.least {
					t.Errorf("%.2f of the limit used", used)
				}
			})
		})
	}
}

// A new leader lends nothing at first, and a modest request leaves a part to others.
func TestLoanPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewLoanPool()
		if p.Lend(1, false, time.Now()) {
			t.Error("a pool without a limit lends")
		}
		p.SetLimit(7, 25, time.Now())
		if p.Lend(1, false, time.Now()) {
			t.Error("a new pool lends")
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
			t.Errorf("lends %d to who asks modestly, and then %d", modest, rest)
		}
		time.Sleep(10 * time.Second)
		if p.Lend(26, false, time.Now()) || p.Lend(0, false, time.Now()) || p.Lend(-1, false, time.Now()) {
			t.Error("lends what there never is")
		}
	})
}
