package statestore

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// admission says whether a request was admitted, and how long it waited for the decision.
type admission struct {
	ok   bool
	took time.Duration
}

// request queues a request with a number of writes and returns the channel on which its admission is
// sent.
func request(ctx context.Context, c *Client, writes int, purpose Purpose) <-chan admission {
	out := make(chan admission, 1)
	begun := time.Now()
	go func() {
		err := c.admit(ctx, writes, purpose)
		out <- admission{err == nil, time.Since(begun)}
	}()
	synctest.Wait()
	return out
}

// useUpWriteBurst uses up the burst of writes of a client.
func useUpWriteBurst(t *testing.T, c *Client) {
	t.Helper()
	time.Sleep(time.Minute)
	if err := c.admit(t.Context(), c.writeTokens.Burst(), Urgent("start")); err != nil {
		t.Fatal(err)
	}
}

// Dozens of completions of jobs queue up after an outage, awaited and others. A submission must not
// wait behind them, since the user gives up after a while.
func TestSubmissionGoesBeforeBacklogOfCompletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		useUpWriteBurst(t, c)
		for range 20 {
			request(t.Context(), c, 2, Routine("job end"))
			request(t.Context(), c, 2, Urgent("job end"))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		if got := <-request(ctx, c, 1, Urgent("accept")); !got.ok || got.took > time.Second {
			t.Errorf("submission: %+v, want it admitted within a second", got)
		}
		time.Sleep(time.Minute)
	})
}

// Requests are admitted in the order of their priorities, whatever the order of their arrival.
func TestPrioritiesGoInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		useUpWriteBurst(t, c)
		purposes := []Purpose{Routine("completions"), Routine("job end"), Urgent("job end"), Urgent("cancel"), Urgent("start"), Urgent("member")}
		var outcomes []<-chan admission
		for _, purpose := range purposes {
			outcomes = append(outcomes, request(t.Context(), c, 1, purpose))
		}
		last := time.Hour
		for i, out := range outcomes {
			got := <-out
			if !got.ok || got.took > last {
				t.Errorf("%v: %+v, want it admitted no later than the lower priority before it (%v)", purposes[i], got, last)
			}
			last = got.took
		}
	})
}

// While more submissions arrive than the limits allow, completions must still be recorded: no priority
// waits without bound.
func TestSubmissionsDoNotStarveCompletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		useUpWriteBurst(t, c)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var accepted atomic.Int64
		go func() {
			for ctx.Err() == nil {
				go func() {
					ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
					defer cancel()
					if c.admit(ctx, 1, Urgent("accept")) == nil {
						accepted.Add(1)
					}
				}()
				time.Sleep(100 * time.Millisecond)
			}
		}()
		var completions []<-chan admission
		for range 4 {
			completions = append(completions, request(t.Context(), c, 2, Routine("job end")))
		}
		for i, completion := range completions {
			// Two of every five writes belong to a completion, and five take 1.25 s at 4 per second.
			if got := <-completion; !got.ok || got.took > time.Duration(i+1)*1500*time.Millisecond+agingDelay {
				t.Errorf("completion %d: %+v, want it admitted in time", i, got)
			}
		}
		if n := accepted.Load(); n < 10 {
			t.Errorf("%d submissions admitted meanwhile, want 10 at least: most of the writes should be theirs", n)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// A write whose caller sets no deadline has the deadline of its priority. If it waits longer than
// estimated because requests of higher priority keep arriving, it is refused at that deadline, so that
// its caller can retry it.
func TestWriteWithoutDeadlineIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		useUpWriteBurst(t, c)
		var completions []<-chan admission
		for range 40 {
			completions = append(completions, request(t.Context(), c, 2, Routine("job end")))
		}
		ctx, cancel := context.WithCancel(t.Context())
		var others sync.WaitGroup
		for range 4 {
			others.Go(func() {
				for ctx.Err() == nil {
					_ = c.admit(ctx, 1, Urgent("accept")) // admitted or refused, the next request follows
				}
			})
		}
		refused := 0
		for _, completion := range completions {
			got := <-completion
			if !got.ok {
				refused++
			}
			if limit := maxWaits[priorityCompletion]; got.took > limit+10*time.Millisecond {
				t.Errorf("%+v, want a decision within %v", got, limit)
			}
		}
		if refused == 0 || refused > 30 {
			t.Errorf("%d of 40 completions refused, want 1 to 30", refused)
		}
		cancel()
		others.Wait()
	})
}

// A request that cannot be admitted before its deadline is refused at once, so that the user gets an
// answer to retry instead of waiting for nothing.
func TestRequestThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		useUpWriteBurst(t, c)
		for range 8 {
			request(t.Context(), c, 1, Urgent("accept"))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		if got := <-request(ctx, c, 1, Urgent("accept")); got.ok || got.took > 0 {
			t.Errorf("submission: %+v, want it refused at once", got)
		}
		time.Sleep(time.Minute)
	})
}

// Requests without deadlines of their own get one, so that no queue grows without bound.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		useUpWriteBurst(t, c)
		refused := 0
		var longest time.Duration
		var outcomes []<-chan admission
		for range 200 {
			outcomes = append(outcomes, request(t.Context(), c, 2, Routine("job end")))
		}
		if waiting := c.backlog(); waiting > maxWaits[priorityCompletion] {
			t.Errorf("the waiting writes take %v, more than the longest wait of their priority", waiting)
		}
		for _, out := range outcomes {
			got := <-out
			longest = max(longest, got.took)
			if !got.ok {
				refused++
			}
		}
		if refused < 100 || longest > maxWaits[priorityCompletion]+time.Second {
			t.Errorf("%d of 200 refused and the longest wait was %v, want 100 refused at least and no wait more than 1 s above the longest of the priority", refused, longest)
		}
		if waiting := c.backlog(); waiting > 0 {
			t.Errorf("the writes still waiting take %v, want none", waiting)
		}
	})
}

// Reads must not wait for write tokens, nor behind requests that do.
func TestReadsDoNotWaitForWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		useUpWriteBurst(t, c)
		for range 10 {
			request(t.Context(), c, 1, Urgent("accept"))
		}
		if got := <-request(t.Context(), c, 0, Routine("poll")); !got.ok || got.took > 0 {
			t.Errorf("poll: %+v, want it admitted at once", got)
		}
		time.Sleep(time.Minute)
	})
}

// Routine requests leave part of the burst to urgent ones for reserveTimeout.
func TestRoutineRequestsLeaveAReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 10, nil)
		time.Sleep(time.Minute)
		c.SetLimits(100, 0.1)
		if err := c.admit(t.Context(), c.writeTokens.Burst()-1, Urgent("start")); err != nil {
			t.Fatal(err)
		}
		if got := <-request(t.Context(), c, 1, Routine("completions")); !got.ok || got.took != reserveTimeout {
			t.Errorf("completions: %+v, want them admitted after %v", got, reserveTimeout)
		}
	})
}

// No timer may run while no request waits, since each wake-up is a cost on a small machine.
func TestNoTimerWhileNoRequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 10, nil)
		time.Sleep(time.Minute)
		for range c.writeTokens.Burst() {
			if err := c.admit(t.Context(), 1, Urgent("start")); err != nil {
				t.Fatal(err)
			}
		}
		c.mu.Lock()
		if c.timer != nil {
			t.Error("a timer was set though no request waited")
		}
		c.mu.Unlock()
		if err := c.admit(t.Context(), 3, Urgent("start")); err != nil {
			t.Fatal(err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.timer == nil || c.timer.Stop() {
			t.Error("no timer was set for a waiting request, or it still runs after the request was admitted")
		}
	})
}

// When a caller gives up, the others get its position in the queue and its tokens.
func TestAbandonedRequestLeavesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		useUpWriteBurst(t, c)
		ctx, cancel := context.WithCancel(t.Context())
		first := request(ctx, c, 8, Urgent("accept"))
		second := request(t.Context(), c, 1, Urgent("start"))
		cancel()
		if got := <-first; got.ok {
			t.Errorf("abandoned request: %+v, want it refused", got)
		}
		if got := <-second; !got.ok || got.took > 300*time.Millisecond {
			t.Errorf("request behind it: %+v, want it admitted within 300 ms, the time of one write", got)
		}
	})
}

// A client that needs several writes at once, for example for a pipeline, borrows them: with its own
// share alone it would be seconds late.
func TestLentWritesAreUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requested := 0
		c := New("127.0.0.1:1", 7, 200, 25, func(writes int, _ bool) bool {
			requested += writes
			time.Sleep(10 * time.Millisecond)
			return true
		})
		time.Sleep(time.Minute)
		if got := <-request(t.Context(), c, 8, Urgent("accept")); !got.ok || got.took > 20*time.Millisecond {
			t.Errorf("request of 8 writes: %+v, want it admitted once they are lent", got)
		}
		if got := <-request(t.Context(), c, 1, Urgent("start")); !got.ok || got.took > 0 {
			t.Errorf("request of one write: %+v, want it admitted at once with the client's own tokens", got)
		}
		if requested != 8 {
			t.Errorf("requested a loan of %d writes, want 8", requested)
		}
	})
}

// If nothing is lent, as without a leader or with a leader of the first version, a client keeps to its
// own share, seldom requests loans, and refuses at once the requests that would be late.
func TestNoLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loanRequests := 0
		c := New("127.0.0.1:1", 7, 200, 28, func(int, bool) bool {
			loanRequests++
			return false
		})
		time.Sleep(time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		if got := <-request(ctx, c, 10, Urgent("accept")); got.ok || got.took > 0 {
			t.Errorf("request of 10 writes: %+v, want it refused at once", got)
		}
		begun := time.Now()
		for range 20 { // the bucket holds tokens for one
			if got := <-request(t.Context(), c, 1, Urgent("start")); !got.ok {
				t.Error(got)
			}
		}
		if took := time.Since(begun); took < 4700*time.Millisecond || took > 4800*time.Millisecond {
			t.Errorf("20 writes took %v, want 4.7 to 4.8 s at 4 per second", took)
		}
		if loanRequests > 26 {
			t.Errorf("%d loans requested in 5 s, want 26 at most", loanRequests)
		}
	})
}

// All clients together keep within the state service's burst, both when all are new and when all
// buckets are full.
func TestSumOfLocalBursts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, x := range []struct {
			n     int
			limit float64
		}{{7, 25}, {7, 18}, {3, 25}, {3, 28}, {7, 100}} {
			whenNew, whenFull := 0.0, 0.0
			for range x.n {
				c := New("127.0.0.1:1", x.n, 200, x.limit, nil)
				whenNew += c.writeTokens.Tokens()
				time.Sleep(time.Hour)
				whenFull += c.writeTokens.Tokens()
			}
			if whenNew > 0.01 || whenFull > x.limit/2 {
				t.Errorf("%d controllers with %v writes per second: bursts of %.2f writes when new and %.2f with full buckets, want none and half of the limit at most", x.n, x.limit, whenNew, whenFull)
			}
		}
	})
}
