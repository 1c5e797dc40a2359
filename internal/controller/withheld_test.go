package controller

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// lossyState is a state service that loses the answer to the first write of a placement record. It
// lists the reads and writes of placement records.
type lossyState struct {
	*testkit.State
	mu       sync.Mutex
	requests []string // "read" or "write", in order
}

func (s *lossyState) Txn(ctx context.Context, purpose statestore.Purpose, t wire.Txn) (uint64, error) {
	revision, err := s.State.Txn(ctx, purpose, t)
	if !writes(t, record.PlacementsPrefix) {
		return revision, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, "write")
	if len(s.requests) == 1 {
		return 0, testkit.ErrLost
	}
	return revision, err
}

func (s *lossyState) Get(ctx context.Context, purpose statestore.Purpose, key string) (wire.Entry, error) {
	if strings.HasPrefix(key, record.PlacementsPrefix) {
		s.mu.Lock()
		s.requests = append(s.requests, "read")
		s.mu.Unlock()
	}
	return s.State.Get(ctx, purpose, key)
}

// newOwnerOfOneMachine returns a controller that owns one machine. The machine has no address: its
// commands are sent in responses to heartbeats. starts delivers a heartbeat of it and returns how
// many commands the response has.
func newOwnerOfOneMachine(t *testing.T, state *testkit.State, store statestore.Store) (c *Controller, starts func() int) {
	t.Helper()
	c = ownerForTest(t, state, store)
	e := state.Put(record.ProvisionKey("r"), record.Provision{Type: "big", Zone: "z", Shards: []int{0}, IDs: []string{"m"}})
	c.applyMachineChange(e.Change(), time.Now())
	w := testkit.NewWorker("m", "big", "z", false)
	starts = func() int {
		r := w.NextHeartbeat()
		r.Addr = ""
		c.mu.Lock()
		defer c.mu.Unlock()
		orders, _ := c.serveHeartbeatLocked(c.shards.GetLocked(0), &r, time.Now()).Body.(wire.CommandBatch)
		return len(orders.Commands) // not executed: the response to the next heartbeat has them again
	}
	starts()
	return c, starts
}

// submitOne submits a job of one task.
func submitOne(t *testing.T, c *Controller) {
	t.Helper()
	if got := c.submit(jobBody(t, func(m map[string]any) { m["berries"] = 1 })); got.Status != 201 {
		t.Fatalf("submission: %+v", got)
	}
}

// A write whose answer is lost is read back: if it was carried out, it counts and is not repeated.
// Taken for failed, it would cost a write that fails and another one, and the quota of writes that
// all controllers share is small.
func TestWriteWithoutAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := testkit.NewState()
		store := &lossyState{State: state}
		c, starts := newOwnerOfOneMachine(t, state, store)
		submitOne(t, c)
		for starts() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		store.mu.Lock()
		defer store.mu.Unlock()
		if got := strings.Join(store.requests, ", "); got != "write, read" {
			t.Errorf("requests for placement records: %s; want one write that is read back", got)
		}
	})
}

// A controller that renews its lease while its watches bring no changes may have missed
// cancellations at other controllers. Until its view is recent again it sends no starts, not even
// recorded ones.
func TestStartsAreWithheldWithoutAView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := testkit.NewState()
		c, starts := newOwnerOfOneMachine(t, state, state)
		submitOne(t, c)
		for starts() == 0 { // until the start is recorded
			time.Sleep(10 * time.Millisecond)
		}
		setViewAge := func(age time.Duration) {
			c.mu.Lock()
			defer c.mu.Unlock()
			setLeaseRenewed(c, time.Now())
			c.activeJobs.SetAsOf(time.Now().Add(-age))
		}
		setViewAge(2*c.watchWait() + watchSlack + time.Second)
		if n := starts(); n != 0 {
			t.Errorf("%d starts sent while the view of active jobs is stale, want none", n)
		}
		setViewAge(0)
		if starts() == 0 {
			t.Error("the start is not sent although the view is recent again")
		}
	})
}
