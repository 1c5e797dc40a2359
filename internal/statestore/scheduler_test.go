package statestore

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// admission says whether a request was admitted, and after which wait.
type admission struct {
	ok   bool
	took time.Duration
}

// request queues a request with so many writes and returns the channel of its admission.
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

// spend uses up the burst of writes of a client.
func spend(t *testing.T, c *Client) {
	t.Helper()
	time.Sleep(time.Minute)
	if err := c.admit(t.Context(), c.writeTokens.Burst(), Urgent("start")); err != nil {
		t.Fatal(err)
	}
}

// Completions of jobs queue up by the dozen after an outage, whether anybody waits for them or not.
// A submission, which the user gives up after a while, must not wait behind them.
func TestSubmissionGoesBeforeBacklogOfCompletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		spend(t, c)
		for range 20 {
			request(t.Context(), c, 2, Routine("job end"))
			request(t.Context(), c, 2, Urgent("job end"))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		if got := <-request(ctx, c, 1, Urgent("accept")); !got.ok || got.took > time.Second {
			t.Errorf("acceptance: %+v, want it let through within a second", got)
		}
		time.Sleep(time.Minute)
	})
}

// Requests are admitted in the order of their priorities, whatever order they came in.
func TestPrioritiesGoInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		spend(t, c)
		uses := []Purpose{Routine("completions"), Routine("job end"), Urgent("job end"), Urgent("cancel"), Urgent("start"), Urgent("member")}
		var outcomes []<-chan admission
		for _, purpose := range uses {
			outcomes = append(outcomes, request(t.Context(), c, 1, purpose))
		}
		last := time.Hour
		for i, out := range outcomes {
			got := <-out
			if !got.ok || got.took > last {
				t.Errorf("%v: %+v, after what goes behind it (%v)", uses[i], got, last)
			}
			last = got.took
		}
	})
}

// Where more submissions come than the limits allow, completions must go on being recorded: the
// longest wait of each priority is bounded.
func TestSubmissionsDoNotStarveCompletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		spend(t, c)
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
		var ends []<-chan admission
		for range 4 {
			ends = append(ends, request(t.Context(), c, 2, Routine("job end")))
		}
		for i, end := range ends {
			// Of each five changes two are an end's, which are 1.25 s at 4 a second.
			if got := <-end; !got.ok || got.took > time.Duration(i+1)*1500*time.Millisecond+agingDelay {
				t.Errorf("end %d: %+v", i, got)
			}
		}
		if n := accepted.Load(); n < 10 {
			t.Errorf("%d acceptances meanwhile, want most of the changes to be theirs", n)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// A write whose caller sets no deadline has that of its priority: one that waits longer than
// estimated, as more and more goes before it, is refused then, and made anew by its owner.
func TestWriteWithoutDeadlineIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		spend(t, c)
		var ends []<-chan admission
		for range 40 {
			ends = append(ends, request(t.Context(), c, 2, Routine("job end")))
		}
		ctx, cancel := context.WithCancel(t.Context())
		var others sync.WaitGroup
		for range 4 {
			others.Go(func() {
				for ctx.Err() == nil {
					_ = c.admit(ctx, 1, Urgent("accept")) // nil or not, the next follows
				}
			})
		}
		refused := 0
		for _, end := range ends {
			got := <-end
			if !got.ok {
				refused++
			}
			if limit := maxWaits[priorityCompletion]; got.took > limit+10*time.Millisecond {
				t.Errorf("%+v, want an answer within %v", got, limit)
			}
		}
		if refused == 0 || refused > 30 {
			t.Errorf("%d of 40 refused", refused)
		}
		cancel()
		others.Wait()
	})
}

// A request that can't be admitted before its deadline is refused at once: the user is told to retry
// instead of waiting in vain.
func TestRequestThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		spend(t, c)
		for range 8 {
			request(t.Context(), c, 1, Urgent("accept"))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		if got := <-request(ctx, c, 1, Urgent("accept")); got.ok || got.took > 0 {
			t.Errorf("%+v, want it refused at once", got)
		}
		time.Sleep(time.Minute)
	})
}

// Requests without deadlines of their own get one, and no queue grows without bound.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		spend(t, c)
		refused := 0
		var longest time.Duration
		var outcomes []<-chan admission
		for range 200 {
			outcomes = append(outcomes, request(t.Context(), c, 2, Routine("job end")))
		}
		if waiting := c.backlog(); waiting > maxWaits[priorityCompletion] {
			t.Errorf("%v of changes wait, more than the longest wait", waiting)
		}
		for _, out := range outcomes {
			got := <-out
			longest = max(longest, got.took)
			if !got.ok {
				refused++
			}
		}
		if refused < 100 || longest > maxWaits[priorityCompletion]+time.Second {
			t.Errorf("%d of 200 refused, the longest wait %v", refused, longest)
		}
		if waiting := c.backlog(); waiting > 0 {
			t.Errorf("%v of changes still wait", waiting)
		}
	})
}

// Reads must not wait for write tokens, nor behind requests that do.
func TestReadsDoNotWaitForWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		spend(t, c)
		for range 10 {
			request(t.Context(), c, 1, Urgent("accept"))
		}
		if got := <-request(t.Context(), c, 0, Routine("poll")); !got.ok || got.took > 0 {
			t.Errorf("poll: %+v, want it let through at once", got)
		}
		time.Sleep(time.Minute)
	})
}

// Routine requests leave a part of the burst to urgent ones for a while.
func TestRoutineRequestsLeaveAReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 10, nil)
		time.Sleep(time.Minute)
		c.SetLimits(100, 0.1)
		if err := c.admit(t.Context(), c.writeTokens.Burst()-1, Urgent("start")); err != nil {
			t.Fatal(err)
		}
		if got := <-request(t.Context(), c, 1, Routine("completions")); !got.ok || got.took != reserveTimeout {
			t.Errorf("completions: %+v, want %v", got, reserveTimeout)
		}
	})
}

// A small machine pays for each wake-up: while nothing waits no timer may run.
func TestNoTimerWhileNothingWaits(t *testing.T) {
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
			t.Error("a timer was set though nothing waited")
		}
		c.mu.Unlock()
		if err := c.admit(t.Context(), 3, Urgent("start")); err != nil {
			t.Fatal(err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.timer == nil || c.timer.Stop() {
			t.Error("the timer does not end with what waits")
		}
	})
}

// A caller that gives up leaves its place, and its tokens, to the others.
func TestAbandonedRequestLeavesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 100, 4, nil)
		spend(t, c)
		ctx, cancel := context.WithCancel(t.Context())
		first := request(ctx, c, 8, Urgent("accept"))
		second := request(t.Context(), c, 1, Urgent("start"))
		cancel()
		if got := <-first; got.ok {
			t.Errorf("given up: %+v", got)
		}
		if got := <-second; !got.ok || got.took > 300*time.Millisecond {
			t.Errorf("after it: %+v, want a change's time", got)
		}
	})
}

// Several writes at once are lent: a client that waited for its own share would be seconds late with
// a pipeline.
func TestLentWritesAreUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		c := New("127.0.0.1:1", 7, 200, 25, func(changes int, _ bool) bool {
			asked += changes
			time.Sleep(10 * time.Millisecond)
			return true
		})
		time.Sleep(time.Minute)
		if got := <-request(t.Context(), c, 8, Urgent("accept")); !got.ok || got.took > 20*time.Millisecond {
			t.Errorf("%+v, want it let through once they are lent", got)
		}
		if got := <-request(t.Context(), c, 1, Urgent("start")); !got.ok || got.took > 0 {
			t.Errorf("%+v: its own changes were used", got)
		}
		if asked != 8 {
			t.Errorf("asked for %d changes, want 8", asked)
		}
	})
}

// Where nothing is lent, as without a leader or with one of the first version, a client keeps to its
// own share, asks seldom, and refuses at once what would be late.
func TestNoLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		c := New("127.0.0.1:1", 7, 200, 28, func(int, bool) bool {
			asked++
			return false
		})
		time.Sleep(time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		if got := <-request(ctx, c, 10, Urgent("accept")); got.ok || got.took > 0 {
			t.Errorf("%+v, want it refused at once", got)
		}
		begun := time.Now()
		for range 20 { // one is there already
			if got := <-request(t.Context(), c, 1, Urgent("start")); !got.ok {
				t.Error(got)
			}
		}
		if took := time.Since(begun); took < 4700*time.Millisecond || took > 4800*time.Millisecond {
			t.Errorf("20 changes took %v at 4 a second", took)
		}
		if asked > 26 {
			t.Errorf("asked %d times in 5 s", asked)
		}
	})
}

// All clients together keep within the store's burst, when all are new and when all buckets are
// full.
func TestSumOfLocalBursts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, x := range []struct {
			n     int
			limit float64
		}{{7, 25}, {7, 18}, {3, 25}, {3, 28}, {7, 100}} {
			fresh, saved := 0.0, 0.0
			for range x.n {
				c := New("127.0.0.1:1", x.n, 200, x.limit, nil)
				fresh += c.writeTokens.Tokens()
				time.Sleep(time.Hour)
				saved += c.writeTokens.Tokens()
			}
			if fresh > 0.01 || saved > x.limit/2 {
				t.Errorf("%d controllers of %v changes a second: %.2f at once when new, %.2f later", x.n, x.limit, fresh, saved)
			}
		}
	})
}
