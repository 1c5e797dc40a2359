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

// countingService is a state countingService that counts the transactions sent to it.
type countingService struct {
	*testkit.State
	txns atomic.Int64
}

func (s *countingService) StateService() statestore.Store { return s }
func (s *countingService) WriteLimits() config.State      { return config.State{ValueKB: 16, TxnOps: 16} }
func (s *countingService) Context() context.Context       { return context.Background() }

func (s *countingService) Txn(ctx context.Context, purpose statestore.Purpose, t wire.Txn) (uint64, error) {
	s.txns.Add(1)
	return s.State.Txn(ctx, purpose, t)
}

// putRecords writes the putRecords of n active jobs and returns the conditions that they are unchanged.
func (s *countingService) putRecords(n int) []wire.Condition {
	var conds []wire.Condition
	for i := range n {
		e := s.Put(record.ActiveJobKey(fmt.Sprintf("run-%06d", i)), record.ActiveJob{})
		conds = append(conds, wire.Condition{Key: e.Key, Version: e.Version})
	}
	return conds
}

// newChecks returns one check for each condition.
func newChecks(conds []wire.Condition) []*Check {
	var all []*Check
	for _, cond := range conds {
		all = append(all, NewCheck(cond))
	}
	return all
}

// Status queries that wait at the same time share one request, and without status queries there are no
// requests.
func TestChecksShareOneComparison(t *testing.T) {
	const queries = 20
	s := &countingService{State: testkit.NewState()}
	conds := s.putRecords(queries)
	b := NewBatcher(s)
	b.waiting = newChecks(conds) // as if all had come within batchDelay
	all := b.waiting
	b.flush()
	for _, check := range all {
		if !<-check.Current {
			t.Errorf("%s was not confirmed", check.Cond.Key)
		}
	}
	b.flush() // no check waits any more
	if n := s.txns.Load(); n != 1 {
		t.Errorf("%d checks took %d requests, want 1", queries, n)
	}
}

// One batch confirms the unchanged records but not a record that has changed since it came into the
// view. Nothing is confirmed while the state service is out of reach.
func TestChangedRecordIsNotConfirmed(t *testing.T) {
	ctx := context.Background()
	s := &countingService{State: testkit.NewState()}
	conds := s.putRecords(3)
	b := NewBatcher(s)
	s.Put(conds[1].Key, record.ActiveJob{Cancelled: true})
	batch := newChecks(conds)
	b.resolve(ctx, batch)
	for i, want := range []bool{true, false, true} {
		if got := <-batch[i].Current; got != want {
			t.Errorf("check %d confirmed %t, want %t", i, got, want)
		}
	}
	s.Down = true
	b.resolve(ctx, batch[:1])
	if <-batch[0].Current {
		t.Error("a check was confirmed while the state service was out of reach")
	}
}

// A check waits for batchDelay, but no longer than its context lasts.
func TestConfirmWaitsForItsBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingService{State: testkit.NewState()}
		cond := s.putRecords(1)[0]
		b := NewBatcher(s)
		begun := time.Now()
		if !b.Confirm(context.Background(), cond) {
			t.Error("an unchanged record was not confirmed")
		}
		if took := time.Since(begun); took != batchDelay {
			t.Errorf("took %v, want %v", took, batchDelay)
		}
		ctx, cancel := context.WithTimeout(context.Background(), batchDelay/2)
		defer cancel()
		if b.Confirm(ctx, cond) {
			t.Error("confirmed although the context ended before the comparison")
		}
		time.Sleep(batchDelay)
	})
}
