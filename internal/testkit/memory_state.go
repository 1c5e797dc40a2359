package testkit

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// State is a state service in memory. It implements statestore.Store and answers at once; its leases
// never expire. Its exported fields may be set only while no other goroutine uses it.
type State struct {
	mu      sync.Mutex
	rev     uint64
	leases  uint64
	entries map[string]wire.Entry
	log     []wire.Change
	held    []wire.Txn

	KeepChanges      int // number of latest changes kept for watches; 0: all
	MaxValue, MaxOps int // bytes of a value and changes of a transaction that are accepted at most; 0: no limit

	Down        bool // every request is refused
	LoseAnswers int  // number of transactions that will be applied without an answer
	HoldTxns    int  // number of transactions that will be neither applied nor answered until Release
}

// NewState returns an empty state service.
func NewState() *State { return &State{entries: map[string]wire.Entry{}, rev: 1} }

var _ statestore.Store = (*State)(nil)

// Outage begins or ends an outage. Unlike the field Down, it is safe for concurrent use.
func (s *State) Outage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Down = down
}

// Get implements statestore.Store.
func (s *State) Get(_ context.Context, _ statestore.Purpose, key string) (wire.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down {
		return wire.Entry{}, statestore.ErrRefused
	}
	e, ok := s.entries[key]
	if !ok {
		return e, statestore.ErrNotFound
	}
	return e, nil
}

// List implements statestore.Store.
func (s *State) List(_ context.Context, _ statestore.Purpose, prefix string) ([]wire.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down {
		return nil, 0, statestore.ErrRefused
	}
	var out []wire.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out, s.rev, nil
}

// ListPage implements statestore.Store.
func (s *State) ListPage(ctx context.Context, purpose statestore.Purpose, prefix, after string, limit int) (wire.EntryPage, error) {
	items, rev, err := s.List(ctx, purpose, prefix)
	items = slices.DeleteFunc(items, func(e wire.Entry) bool { return e.Key <= after })
	n := min(limit, len(items))
	return wire.EntryPage{Items: items[:n], More: n < len(items), Revision: rev}, err
}

// Txn implements statestore.Store.
func (s *State) Txn(_ context.Context, _ statestore.Purpose, t wire.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.Down:
		return 0, statestore.ErrRefused
	case s.tooLarge(t):
		return 0, statestore.ErrInvalid
	case s.HoldTxns > 0:
		s.HoldTxns--
		s.held = append(s.held, t)
		return 0, ErrLost
	}
	rev, err := s.apply(t)
	if err == nil && s.LoseAnswers > 0 {
		s.LoseAnswers--
		return 0, ErrLost
	}
	return rev, err
}

// Limit sets MaxValue, in bytes, and MaxOps. It is safe for concurrent use.
func (s *State) Limit(value, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxValue, s.MaxOps = value, ops
}

// condsPerOp is the number of conditions that the protocol allows for each change.
const condsPerOp = 4

// tooLarge reports whether a transaction exceeds a limit. The lock is held.
func (s *State) tooLarge(t wire.Txn) bool {
	if s.MaxOps > 0 && (len(t.Then) > s.MaxOps || len(t.If) > condsPerOp*s.MaxOps) {
		return true
	}
	for _, op := range t.Then {
		if s.MaxValue > 0 && len(op.Value) > s.MaxValue {
			return true
		}
	}
	return false
}

// Release applies the held transactions and returns their errors in order.
func (s *State) Release() []error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []error
	for _, t := range s.held {
		_, err := s.apply(t)
		out = append(out, err)
	}
	s.held = nil
	return out
}

// apply applies a transaction if its conditions hold. The lock is held.
func (s *State) apply(t wire.Txn) (uint64, error) {
	var failed []string
	for _, c := range t.If {
		if s.entries[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 0, &statestore.ConflictError{Keys: failed}
	}
	s.rev++
	for _, op := range t.Then {
		if op.Delete != "" {
			delete(s.entries, op.Delete)
			s.log = append(s.log, wire.Change{Delete: op.Delete, Version: s.rev})
			continue
		}
		s.entries[op.Put] = wire.Entry{Key: op.Put, Value: op.Value, Version: s.rev, Lease: op.Lease}
		s.log = append(s.log, wire.Change{Put: op.Put, Value: op.Value, Version: s.rev})
	}
	return s.rev, nil
}

// Put writes a key without conditions, with the value as JSON, and returns its entry.
func (s *State) Put(key string, v any) wire.Entry {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.apply(wire.Txn{Then: []wire.Op{{Put: key, Value: b}}}); err != nil {
		panic(err)
	}
	return s.entries[key]
}

// Grant implements statestore.Store.
func (s *State) Grant(context.Context, time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down {
		return 0, statestore.ErrRefused
	}
	s.leases++
	return s.leases, nil
}

// Renew implements statestore.Store.
func (s *State) Renew(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down {
		return statestore.ErrRefused
	}
	if lease == 0 || lease > s.leases {
		return statestore.ErrNoLease
	}
	return nil
}

// Watch implements statestore.Store; it answers at once with the changes so far.
func (s *State) Watch(_ context.Context, prefix string, since uint64, _ time.Duration) (wire.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down {
		return wire.Changes{}, statestore.ErrRefused
	}
	if n := len(s.log) - s.KeepChanges; s.KeepChanges > 0 && n > 0 && since < s.log[n-1].Version {
		return wire.Changes{}, statestore.ErrTooOld
	}
	ch := wire.Changes{Revision: s.rev}
	for _, e := range s.log {
		if e.Version > since && strings.HasPrefix(e.Put+e.Delete, prefix) {
			ch.Events = append(ch.Events, e)
		}
	}
	return ch, nil
}

// SetLimits implements statestore.Store.
func (s *State) SetLimits(float64, float64) {}

// TakeDemand implements statestore.Store.
func (s *State) TakeDemand() (requests, changes int) { return 0, 0 }

// Backlog implements statestore.Store.
func (s *State) Backlog() time.Duration { return 0 }

// TakeUsage implements statestore.Store.
func (s *State) TakeUsage() map[string]statestore.Usage { return nil }
