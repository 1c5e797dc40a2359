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

// lossyState loses the answer to the first start's record and notes what is asked
// about slots.
type lossyState struct {
	*testkit.State
	mu    sync.Mutex
	asked []string
}

func (s *lossyState) Txn(ctx context.Context, purpose statestore.Purpose, t wire.Txn) (uint64, error) {
	revision, err := s.State.Txn(ctx, purpose, t)
	if !writes(t, record.PlacementsPrefix) {
		return revision, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, "write")
	if len(s.asked) == 1 {
		return 0, testkit.ErrLost
	}
	return revision, err
}

func (s *lossyState) Get(ctx context.Context, purpose statestore.Purpose, key string) (wire.Entry, error) {
	if strings.HasPrefix(key, record.PlacementsPrefix) {
		s.mu.Lock()
		s.asked = append(s.asked, "read")
		s.mu.Unlock()
	}
	return s.State.Get(ctx, purpose, key)
}

// newOwnerOfOneMachine returns a controller that owns a machine without an address, so that starts
// ride on answers to its reports, and what brings the next of those.
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
		return len(orders.Commands) // not obeyed: the next report asks for them again
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

// A write without an answer is read back: one that was carried out counts then, and is
// not made again. Taken for refused, each would cost a change that fails and another
// one, of which all controllers together have few.
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
		if got := strings.Join(store.asked, ", "); got != "write, read" {
			t.Errorf("asked of the state service: %s; want one write that is read back", got)
		}
	})
}

// A controller that renews its lease while its watches bring nothing does not know what
// users have cancelled elsewhere: it starts nothing, not even what it recorded before,
// until it sees again.
func TestStartsAreWithheldWithoutAView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := testkit.NewState()
		c, starts := newOwnerOfOneMachine(t, state, state)
		submitOne(t, c)
		for starts() == 0 { // until the start is recorded
			time.Sleep(10 * time.Millisecond)
		}
		seen := func(ago time.Duration) {
			c.mu.Lock()
			defer c.mu.Unlock()
			setLeaseRenewed(c, time.Now())
			c.activeJobs.SetAsOf(time.Now().Add(-ago))
		}
		seen(2*c.watchWait() + watchSlack + time.Second)
		if n := starts(); n != 0 {
			t.Errorf("%d starts without a view of cancellations", n)
		}
		seen(0)
		if starts() == 0 {
			t.Error("the start is lost")
		}
	})
}
