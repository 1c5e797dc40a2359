package linearizable

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// service is a scripted state service that counts the transactions asked of it.
type service struct {
	*testkit.State
	txns atomic.Int64
}

func (s *service) StateService() statestore.Store { return s }
func (s *service) WriteLimits() config.State      { return config.State{ValueKB: 16, TxnOps: 16} }
func (s *service) Context() context.Context       { return context.Background() }

func (s *service) Txn(ctx context.Context, purpose statestore.Purpose, t wire.Txn) (uint64, error) {
	s.txns.Add(1)
	return s.State.Txn(ctx, purpose, t)
}

// records puts so many active jobs' records and returns the conditions that they are
// unchanged.
func (s *service) records(n int) []wire.Condition {
	var conds []wire.Condition
	for i := range n {
		e := s.Put(record.ActiveJobKey(fmt.Sprintf("run-%06d", i)), record.ActiveJob{})
		conds = append(conds, wire.Condition{Key: e.Key, Version: e.Version})
	}
	return conds
}

func checks(conds []wire.Condition) []*Check {
	var all []*Check
	for _, cond := range conds {
		all = append(all, NewCheck(cond))
	}
	return all
}

// Status queries that wait together cost one request, and a time without any none.
func TestChecksShareOneComparison(t *testing.T) {
	const queries = 20
	s := &service{State: testkit.NewState()}
	conds := s.records(queries)
	b := NewBatcher(s)
	b.waiting = checks(conds) // as those that come within batchDelay
	all := b.waiting
	b.flush()
	for _, check := range all {
		if !<-check.Current {
			t.Errorf("%s was not confirmed", check.Cond.Key)
		}
	}
	b.flush() // nobody waits any more
	if n := s.txns.Load(); n != 1 {
		t.Errorf("%d checks took %d requests, want 1", queries, n)
	}
}

// Checks that wait are answered by one comparison; what has changed since the copy was
// watched is not confirmed.
func TestChangedRecordIsNotConfirmed(t *testing.T) {
	ctx := context.Background()
	s := &service{State: testkit.NewState()}
	conds := s.records(3)
	b := NewBatcher(s)
	s.Put(conds[1].Key, record.ActiveJob{Cancelled: true})
	batch := checks(conds)
	b.resolve(ctx, batch)
	for i, want := range []bool{true, false, true} {
		if got := <-batch[i].Current; got != want {
			t.Errorf("check %d confirmed %t, want %t", i, got, want)
		}
	}
	s.Down = true
	b.resolve(ctx, batch[:1])
	if <-batch[0].Current {
		t.Error("confirmed without the state service")
	}
}

// A check waits for batchDelay, and for its own context no longer than that lasts.
func TestConfirmWaitsForItsBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{State: testkit.NewState()}
		cond := s.records(1)[0]
		b := NewBatcher(s)
		begun := time.Now()
		if !b.Confirm(context.Background(), cond) {
			t.Error("not confirmed")
		}
		if took := time.Since(begun); took != batchDelay {
			t.Errorf("took %v, want %v", took, batchDelay)
		}
		ctx, cancel := context.WithTimeout(context.Background(), batchDelay/2)
		defer cancel()
		if b.Confirm(ctx, cond) {
			t.Error("confirmed before the comparison")
		}
		time.Sleep(batchDelay)
	})
}
