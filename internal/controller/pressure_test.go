package controller

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// clockwork feeds a pressure with ticks.
type clockwork struct {
	p   pressure
	now time.Time
}

// run lets timers fire late for a while and returns how often the process fell behind
// or kept up again.
func (w *clockwork) run(late, d time.Duration) (changes int) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tickEvery + late)
		if w.p.turn(late, w.now) {
			changes++
		}
	}
	return changes
}

func TestPressureHasHysteresis(t *testing.T) {
	w := &clockwork{now: time.Unix(1e9, 0)}
	for range 2 {
		if w.p.turn(time.Hour, w.now) || w.p.behind {
			t.Error("behind after standing still twice")
		}
	}
	w.run(500*time.Millisecond, 10*time.Second)
	if !w.p.behind {
		t.Error("not behind with every timer late by 500 ms")
	}
	w.run(200*time.Millisecond, 2*inTimeFor)
	if !w.p.behind {
		t.Error("not behind any more with every timer late by 200 ms")
	}
	if w.run(5*time.Millisecond, inTimeFor*9/10); !w.p.behind {
		t.Error("what was left undone is taken up again although timers were late lately")
	}
	if changes := w.run(5*time.Millisecond, inTimeFor); w.p.behind || changes != 1 {
		t.Errorf("with timers in time again: behind %t after %d changes", w.p.behind, changes)
	}
}

// What a short wave of work does is not overload: nothing changes hands for it. One
// that lasts is, and then the process must keep up for a while before it gets parts,
// the longer the more often that did not last.
func TestOverloadAndRecovery(t *testing.T) {
	w := &clockwork{now: time.Unix(1e9, 0)}
	w.run(time.Second, 4*time.Second)
	if !w.p.behind || w.p.overloaded || w.p.keepsUp(w.now) {
		t.Errorf("after a wave: behind %t, overloaded %t, keeps up %t", w.p.behind, w.p.overloaded, w.p.keepsUp(w.now))
	}
	if w.run(0, 2*inTimeFor); !w.p.keepsUp(w.now) {
		t.Error("a wave alone keeps it from taking parts")
	}
	recovery := func(want time.Duration) {
		t.Helper()
		w.run(time.Second, 30*time.Second)
		if !w.p.overloaded || w.p.keepsUp(w.now) {
			t.Fatalf("late for long: overloaded %t, keeps up %t", w.p.overloaded, w.p.keepsUp(w.now))
		}
		if w.run(0, want*9/10); w.p.overloaded || w.p.keepsUp(w.now) {
			t.Errorf("in time for %s: overloaded %t, keeps up %t", want*9/10, w.p.overloaded, w.p.keepsUp(w.now))
		}
		if w.run(0, want*2/10); !w.p.keepsUp(w.now) {
			t.Errorf("in time for %s: not recovered", want*11/10)
		}
	}
	recovery(leastRecovery)
	recovery(2 * leastRecovery)
	recovery(mostRecovery)
	recovery(mostRecovery)
	w.run(0, 2*mostRecovery)
	recovery(leastRecovery)
}

// A controller that falls behind says so in one line, serves a few polls at a time,
// refuses more at once, and goes on with reports, submissions and cancellations.
func TestBehindPollsAreRefusedFirst(t *testing.T) {
	c := newTest(t, testkit.NewState())
	c.cfg.Params.Resources = config.Resources{CPUShare: 0.01, MemoryMB: 49}
	var out bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&out, nil))
	now := time.Now()
	for range 100 {
		now = now.Add(tickEvery + time.Second)
		c.turn(time.Second, now)
	}
	if got := strings.Count(out.String(), "\n"); got != 1 || !strings.Contains(out.String(), "cpu_share") {
		t.Errorf("%d lines: %s", got, out.String())
	}
	ask := func(method, path string, body []byte) transport.Response {
		later := make(chan transport.Response, 1)
		r, now := c.handle(httpwire.Request{Method: method, Path: path, Body: body}, func(r transport.Response) { later <- r })
		if !now {
			r = <-later
		}
		return r
	}
	poll := httpwire.Request{Method: "GET", Path: wire.JobsPath + "/run-000001"}
	for i := range pollsBehind {
		if r := ask(poll.Method, poll.Path, nil); r.Status != 404 {
			t.Errorf("poll with %d under way: %+v", i, r)
		}
		if !c.admits(poll) {
			t.Errorf("poll %d is not served", i)
		}
	}
	if r := ask(poll.Method, poll.Path, nil); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("one poll too many: %+v", r)
	}
	if r := ask("POST", wire.JobsPath, body(t, nil)); r.Status != 201 {
		t.Errorf("submission: %+v", r)
	}
	if r := ask("POST", wire.HeartbeatPath, []byte(`{"bush":""}`)); r.Status != 400 {
		t.Errorf("report: %+v", r)
	}
	for range 2 * int(inTimeFor/tickEvery) {
		now = now.Add(tickEvery)
		c.turn(0, now)
	}
	if r := ask("GET", wire.JobsPath+"/run-000412", nil); r.Status != 200 { // whatever else is under way
		t.Errorf("poll once it keeps up: %+v", r)
	}
}

// Users' requests at a time are bounded by the memory; the rest is refused at once.
func TestUsersAreBounded(t *testing.T) {
	c := newTest(t, testkit.NewState())
	c.cfg.Params.Resources = config.Resources{CPUShare: 0.036, MemoryMB: 49}
	n := 0
	for c.admits(httpwire.Request{Method: "POST", Path: wire.JobsPath}) {
		if n++; n > 1000 {
			t.Fatal("no bound")
		}
	}
	if n != 70 {
		t.Errorf("%d at a time at 49 MB, want 70", n)
	}
	if r, now := c.handle(httpwire.Request{Method: "POST", Path: wire.JobsPath}, nil); !now || r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("one too many: %+v", r)
	}
	c.letGo(httpwire.Request{Method: "POST", Path: wire.JobsPath})
	if !c.admits(httpwire.Request{Method: "POST", Path: wire.JobsPath}) {
		t.Error("refused though one was let go")
	}
}

// What the runtime does not count is added before it is said that memory is short.
func TestMemoryShort(t *testing.T) {
	const mb = 1 << 20
	r := config.Resources{MemoryMB: 49}
	for held, want := range map[uint64]bool{10 * mb: false, 29 * mb: false, 31 * mb: true, 40 * mb: true} {
		if got := (memory{held: held}).short(r); got != want {
			t.Errorf("%d MB held of 49: short %t", held/mb, got)
		}
	}
	if m := readMemory(); m.live == 0 || m.held < m.live {
		t.Errorf("read %+v", m)
	}
}

// lateAnswers is a state service whose answers are read late, as by a process that
// falls behind. Its leases end when they are not renewed in time.
type lateAnswers struct {
	*testkit.State
	late    time.Duration
	mu      sync.Mutex
	renewed time.Time
	pending int // renewals whose answers wait
	most    int
}

func (s *lateAnswers) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	s.renewed = time.Now()
	s.mu.Unlock()
	return s.State.Grant(ctx, ttl)
}

func (s *lateAnswers) Renew(context.Context, uint64) error {
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

// A process that falls behind keeps its lease, from before that shows: it renews it
// without awaiting the answers, which it reads late. One by one the renewals would come too late.
func TestStrainedKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &lateAnswers{State: testkit.NewState()}
		c := newTest(t, state.State)
		ctx, cancel := context.WithCancel(t.Context())
		c.store = state
		c.lease.Grant(membership.LeaseState{})
		go c.leaseLoop(ctx)
		time.Sleep(2 * membership.LeaseTTL)
		c.mu.Lock()
		for !c.pressure.strained {
			c.turn(lateMost, time.Now())
		}
		lease := c.lease.Current().ID
		c.mu.Unlock()
		state.mu.Lock()
		state.late = membership.LeaseTTL * 5 / 8
		state.mu.Unlock()
		for range 60 {
			time.Sleep(time.Second)
			c.mu.Lock()
			if now := c.lease.Current(); !now.Certain(time.Now()) || now.ID != lease {
				t.Errorf("lease %d of %d, renewed %v ago", now.ID, lease, time.Since(now.RenewedAt))
			}
			c.mu.Unlock()
		}
		state.mu.Lock()
		if state.most > renewalsAtOnce+1 {
			t.Errorf("%d renewals at once", state.most)
		}
		state.mu.Unlock()
		cancel()
		time.Sleep(membership.LeaseTTL)
	})
}
