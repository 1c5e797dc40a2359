package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// countingState is a state service that counts its requests.
type countingState struct {
	*testkit.State
	txns, gets, lists, read atomic.Int64 // read: records returned by lists
}

// reset sets all counts to 0.
func (s *countingState) reset() {
	s.txns.Store(0)
	s.gets.Store(0)
	s.lists.Store(0)
	s.read.Store(0)
}

func (s *countingState) Get(ctx context.Context, purpose statestore.Purpose, key string) (wire.Entry, error) {
	s.gets.Add(1)
	return s.State.Get(ctx, purpose, key)
}

func (s *countingState) List(ctx context.Context, purpose statestore.Purpose, prefix string) ([]wire.Entry, uint64, error) {
	l, rev, err := s.State.List(ctx, purpose, prefix)
	s.read.Add(int64(len(l)))
	s.lists.Add(1)
	return l, rev, err
}

func (s *countingState) Txn(ctx context.Context, purpose statestore.Purpose, t wire.Txn) (uint64, error) {
	s.txns.Add(1)
	return s.State.Txn(ctx, purpose, t)
}

// failoverLists is the number of lists that the acquisition of a shard reads: machines, active jobs
// twice, placement records.
const failoverLists = 4

// A heartbeat without news sends no request to the state service, and its allocations do not grow
// with the size of the fleet.
func TestHeartbeatCostsTheSameInAnyFleet(t *testing.T) {
	for _, machines := range []int{40, 400} {
		c, state, workers := fleetController(t, machines, 0)
		w := workers[0]
		heartbeat := func() transport.Response {
			b, err := json.Marshal(w.NextHeartbeat())
			if err != nil {
				t.Fatal(err)
			}
			later := make(chan transport.Response, 1)
			r, now := c.handle(httpwire.Request{Method: "POST", Path: wire.HeartbeatPath, Body: b}, func(r transport.Response) { later <- r })
			if !now {
				c.mu.Lock()
				c.longPolls.ReleaseLocked(w.ID, time.Now())
				c.mu.Unlock()
				r = <-later
			}
			return r
		}
		for range 3 { // the machine becomes known, and then is idle
			o, ok := heartbeat().Body.(wire.CommandBatch)
			if !ok || !w.Execute(o) {
				t.Fatalf("heartbeat answered with %+v, want commands that the worker accepts", o)
			}
		}
		before := state.txns.Load()
		got := testing.AllocsPerRun(100, func() {
			if r := heartbeat(); r.Status != 200 {
				t.Fatalf("heartbeat answered with %+v, want 200", r)
			}
		})
		if got > heartbeatAllocs {
			t.Errorf("%d machines: %.0f allocations for a heartbeat, want %d at most", machines, got, heartbeatAllocs)
		}
		if n := state.txns.Load() - before; n != 0 {
			t.Errorf("%d machines: heartbeats without news sent %d transactions, want none", machines, n)
		}
	}
}

// A controller that acquires a shard reads each kind of record once, and the active jobs once more.
func TestRecordsReadInAFailover(t *testing.T) {
	c, state, _ := fleetController(t, 200, 0)
	c.submit(jobBody(t, nil))
	c.mu.Lock()
	current, _ := c.cluster.Shard(0)
	c.shards.DropLocked(0)
	c.mu.Unlock()
	state.reset()
	if err := c.shards.Acquire(context.Background(), 0, current, 2); err != nil {
		t.Fatal(err)
	}
	for state.lists.Load() < failoverLists { // another goroutine reads the last one
		runtime.Gosched()
	}
	if l, e := state.lists.Load(), state.read.Load(); l != failoverLists || e != 4+2 {
		t.Errorf("%d lists of %d records, want 4 lists with 4 provisions and twice one job", l, e)
	}
	if n := state.txns.Load(); n != 1 {
		t.Errorf("%d transactions, want only the one that acquires the shard", n)
	}
}

// A controller keeps little memory for a finished job.
func TestBytesPerFinishedJob(t *testing.T) {
	const jobs = 2000
	c := newTestController(t, testkit.NewState())
	heap := func() int64 {
		var m runtime.MemStats
		for range 3 { // pools free their contents after two
			runtime.GC()
		}
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	for i := range jobs {
		ref := fmt.Sprintf("run-%06d", i)
		value := jobBody(t, withField("ref", ref))
		rec := record.Encode(record.ActiveJob{Spec: *mustSpec(t, value), Shard: 0})
		c.applyActiveJobChange(wire.Change{Put: record.ActiveJobKey(ref), Value: rec, Version: uint64(2*i + 1)}, c.startedAt)
		c.terminalStates.Put(ref, record.FinishedJob{State: wire.Done, Tasks: 2, FinishedAt: int64(i)})
		c.applyActiveJobChange(wire.Change{Delete: record.ActiveJobKey(ref), Version: uint64(2*i + 2)}, c.startedAt)
	}
	got := (heap() - before) / jobs
	if n := len(c.activeJobs.Jobs()); n != 0 {
		t.Fatalf("%d jobs active, want none", n)
	}
	runtime.KeepAlive(c)
	if got > finishedJobBytes {
		t.Errorf("%d bytes for a finished job, want %d at most", got, finishedJobBytes)
	}
}

// mustSpec returns the specification in the body of a submission.
func mustSpec(t testing.TB, b []byte) *wire.Spec {
	t.Helper()
	spec, err := jobspec.ParseJob(b)
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

// The bounds are at most 1.5 times the measured values, so that a second pass over the same work
// fails.
const (
	heartbeatAllocs  = 22  // 19 measured, including those of the test's worker; 27 if the heartbeat is decoded twice
	finishedJobBytes = 210 // 140 measured
)

// Users repeat a cancellation each second, at any controller, until the end of the job is recorded.
// What a recent view shows costs no request. A view that may be stale does not count: then the end
// is read.
func TestRepeatedCancellationReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := testkit.NewState()
		c := newTestController(t, inner)
		c.submit(jobBody(t, nil))
		state := &countingState{State: inner}
		c.store = state
		c.activeJobs.SetAsOf(time.Now())
		if got := c.cancel("run-000412"); got.Status != 503 || state.gets.Load() != 1 || state.txns.Load() != 1 {
			t.Fatalf("first cancellation: %+v with %d reads and %d writes, want 503 with one each", got, state.gets.Load(), state.txns.Load())
		}
		state.reset()
		for range 5 {
			if got := c.cancel("run-000412"); got.Status != 503 {
				t.Fatalf("repeated cancellation: %+v, want 503", got)
			}
		}
		if n := state.gets.Load() + state.txns.Load(); n != 0 {
			t.Errorf("%d requests for repeated cancellations, want none", n)
		}
		inner.Put(record.FinishedJobKey("run-000412"), record.FinishedJob{State: wire.Cancelled})
		if _, err := inner.Txn(t.Context(), statestore.Urgent("test"), wire.Txn{Then: []wire.Op{{Delete: record.ActiveJobKey("run-000412")}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute) // without changes from the watch
		setLeaseRenewed(c, time.Now())
		if got := c.cancel("run-000412"); got.Status != 200 || got.Body.(wire.JobState).State != wire.Cancelled {
			t.Errorf("cancellation after the end, which the view missed: %+v, want cancelled", got)
		}
	})
}
