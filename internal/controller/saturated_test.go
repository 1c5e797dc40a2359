package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/controller/userapi"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// saturatedState is a state service whose quota other requests use up. Each read waits for its
// turn, and reads of a routine purpose a second longer.
type saturatedState struct {
	*testkit.State
	turn time.Duration // wait of each read
}

func (s *saturatedState) Get(ctx context.Context, purpose statestore.Purpose, key string) (wire.Entry, error) {
	d := s.turn
	if purpose.Routine {
		d += time.Second
	}
	select {
	case <-ctx.Done():
		return wire.Entry{}, statestore.ErrRefused
	case <-time.After(d):
		return s.State.Get(ctx, purpose, key)
	}
}

// However busy the state service is, a status query reads a terminal record within the time for
// which its user waits. Otherwise each such query would fail and be repeated, which adds to the
// load.
func TestStatusQueryLearnsOfAnEndWhileTheQuotaIsUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := testkit.NewState()
		state.Put(record.FinishedJobKey("run-000412"), record.FinishedJob{State: wire.Done, Tasks: 2})
		c := newTestController(t, state)
		c.store = &saturatedState{state, 450 * time.Millisecond} // about as long as a query can wait
		begun := time.Now()
		got := c.statusQuery("run-000412")
		if status, _ := got.Body.(wire.Status); got.Status != 200 || status.State != wire.Done {
			t.Errorf("got %+v, want 200 and done", got)
		}
		if took := time.Since(begun); took > userapi.RequestTimeout {
			t.Errorf("took %v, more than %v", took, userapi.RequestTimeout)
		}
	})
}

// forwardCounter is another controller that counts the requests forwarded to it and answers none.
type forwardCounter struct{ n atomic.Int64 }

func (p *forwardCounter) Call(string, any, any, time.Duration) error {
	p.n.Add(1)
	return peer.ErrTimeout
}

// A request is forwarded only as long as the other controller's answer can reach the user in time.
func TestLateRequestsAreNotForwarded(t *testing.T) {
	for name, x := range map[string]struct {
		method, path string
		turn         time.Duration
		want         int64
	}{
		"query refused at once":        {"GET", "/work/run-000412", 0, 1},
		"query refused late":           {"GET", "/work/run-000412", time.Hour, 0},
		"cancellation refused late":    {"POST", "/work/run-000412/withdraw", time.Hour, 1},
		"query somewhat late":          {"GET", "/work/run-000412", 300 * time.Millisecond, 0},
		"cancellation refused at once": {"POST", "/work/run-000412/withdraw", 0, 1},
		"unknown path":                 {"GET", "/nothing", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := testkit.NewState()
				state.Down = true
				c := newTestController(t, state)
				c.store = &saturatedState{state, x.turn}
				if x.turn == 0 {
					c.store = state // refuses at once
				}
				other := &forwardCounter{}
				c.peers = map[string]peer.Caller{"c-1": other}
				c.peerHealth.RecordCall("c-1", nil, true, time.Now())
				if r := c.userAPI.Serve(httpwire.Request{Method: x.method, Path: x.path}); r.Status == 200 {
					t.Errorf("got %+v, want another status than 200", r)
				}
				if got := other.n.Load(); got != x.want {
					t.Errorf("forwarded %d times, want %d", got, x.want)
				}
			})
		})
	}
}
