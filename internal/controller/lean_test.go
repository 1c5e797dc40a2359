package controller

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// countingState counts the transactions that it is asked for.
type countingState struct {
	*testkit.State
	txns atomic.Int64
}

func (s *countingState) Txn(ctx context.Context, u statestore.Use, t wire.Txn) (uint64, error) {
	s.txns.Add(1)
	return s.State.Txn(ctx, u, t)
}

// Polls that wait together cost one request, and a time without polls none.
func TestPollsShareOneComparison(t *testing.T) {
	const polls = 20
	inner := testkit.NewState()
	c := newTest(t, inner)
	for i := range polls {
		if got := c.submit(body(t, set("ref", "run-00000"+strconv.Itoa(i)))); got.status != 201 {
			t.Fatalf("submission %d: %+v", i, got)
		}
	}
	entries, rev, err := inner.List(context.Background(), statestore.Urgent("test"), "open/")
	if err != nil {
		t.Fatal(err)
	}
	c.resetOpen(entries, rev, c.begun)
	state := &countingState{State: inner}
	c.store = state
	all := make([]*confirmation, polls) // as those that come within confirmGather
	for i := range all {
		ref := "run-00000" + strconv.Itoa(i)
		all[i] = &confirmation{wire.Cond{Key: record.OpenKey(ref), Version: c.open[ref].version}, make(chan bool, 1)}
	}
	c.waiting = all
	c.confirmAll()
	for _, q := range all {
		if !<-q.done {
			t.Errorf("%s was not confirmed", q.cond.Key)
		}
	}
	c.confirmAll() // nobody waits any more
	if n := state.txns.Load(); n != 1 {
		t.Errorf("%d polls took %d requests, want 1", polls, n)
	}
}

// Held answers go out at common times, never later than they are due.
func TestHeldAnswersGoTogether(t *testing.T) {
	const d = 1200 * time.Millisecond
	ends := map[time.Duration]bool{}
	for since := time.Duration(0); since < time.Second; since += 7 * time.Millisecond {
		got := together(since, d)
		if got > d || got <= d-holdTogether {
			t.Errorf("held at %v: %v of %v", since, got, d)
		}
		ends[since+got] = true
	}
	if len(ends) > 11 {
		t.Errorf("%d turns in a second, want 11 at most", len(ends))
	}
	if got := together(time.Second, 60*time.Millisecond); got != 60*time.Millisecond {
		t.Errorf("a short wait became %v", got)
	}
}
