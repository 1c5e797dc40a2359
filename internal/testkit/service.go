package testkit

import (
	"context"
	"slices"
	"sync"
	"time"

	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// TxnFault is what becomes of a transaction.
type TxnFault struct {
	Refused    bool          // 503, not carried out
	AnswerLost bool          // carried out at once, without an answer
	Delay      time.Duration // carried out so much later, without an answer; 0: at once
}

// StateService is a state service whose leases end and whose watches wait, with
// troubles for one controller or for all. It keeps time by the standard library's
// clock, so tests run it in a bubble of testing/synctest.
type StateService struct {
	state *State

	mu          sync.Mutex
	down        bool
	refused     map[string]bool
	partitioned map[string]bool
	leases      map[uint64]*lease
	changed     chan struct{} // closed at the next change
	slow        time.Duration
	chooseFault func(from string, t wire.Txn) TxnFault
	writes      []Write
	observe     Observer
}

// Observer is told what happens among scripted peers, with keys and values as a logger.
type Observer func(event string, args ...any)

// Observe tells of every transaction: its sender, what became of it, and with which conditions.
func (s *StateService) Observe(o Observer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = o
}

// Write is a transaction that was carried out.
type Write struct {
	From string
	At   time.Time
	Txn  wire.Txn
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Delays of the state service and of its clients.
const (
	serviceDelay   = 3 * time.Millisecond
	serviceTimeout = 2500 * time.Millisecond
)

// NewStateService returns an empty state service.
func NewStateService() *StateService {
	return &StateService{state: NewState(), refused: map[string]bool{}, partitioned: map[string]bool{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// Outage begins or ends an outage for all. At its end every lease has its full
// time again.
func (s *StateService) Outage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, l := range s.leases {
			l.timer.Reset(l.ttl)
		}
	}
	s.down = down
	s.wakeWatches()
}

// Refuse begins or ends the refusal of one controller alone: its leases run out.
func (s *StateService) Refuse(label string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[label] = on
	s.wakeWatches()
}

// Partition begins or ends a cut between one controller and the service.
func (s *StateService) Partition(label string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[label] = on
	s.wakeWatches()
}

// Slow adds to the time that each request takes.
func (s *StateService) Slow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// InjectTxnFaults sets what becomes of transactions, nil for nothing special.
func (s *StateService) InjectTxnFaults(fate func(from string, t wire.Txn) TxnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseFault = fate
}

// Repeat carries a transaction out once more, as a copy of it that comes late.
func (s *StateService) Repeat(w Write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.apply(w.From, w.Txn)
	return err
}

// Entry returns a record, and whether there is one.
func (s *StateService) Entry(key string) (wire.Entry, bool) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	e, ok := s.state.entries[key]
	return e, ok
}

// Entries returns all records of a prefix.
func (s *StateService) Entries(prefix string) []wire.Entry {
	entries, _, err := s.state.List(context.Background(), statestore.Urgent(TestSender), prefix)
	if err != nil {
		panic(err) // in memory, and never down
	}
	return entries
}

// Writes returns all that was carried out so far.
func (s *StateService) Writes() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.writes)
}

// wakeWatches lets watches look again. The lock is held.
func (s *StateService) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply carries a transaction out. The lock is held.
func (s *StateService) apply(from string, t wire.Txn) (uint64, error) {
	for _, op := range t.Then {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return 0, statestore.ErrInvalid
		}
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	rev, err := s.state.apply(t)
	if s.observe != nil {
		s.observe("transaction", "from", from, "revision", rev, "err", err, "if", t.If, "then", t.Then)
	}
	if err == nil && len(t.Then) > 0 {
		s.writes = append(s.writes, Write{from, time.Now(), t})
		s.wakeWatches()
	}
	return rev, err
}

func (s *StateService) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	if s.down {
		l.timer.Reset(l.ttl) // an outage ends none
		return
	}
	delete(s.leases, id)
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	var t wire.Txn
	for k, e := range s.state.entries {
		if e.Lease == id {
			t.Then = append(t.Then, wire.Op{Delete: k})
		}
	}
	if len(t.Then) > 0 {
		s.state.apply(t) // no conditions: it can't fail
		s.wakeWatches()
	}
}

// StoreClient is the service as one process of a controller reaches it. It implements
// statestore.Store.
type StoreClient struct {
	s        *StateService
	label    string
	lifetime context.Context // the process's
}

var _ statestore.Store = (*StoreClient)(nil)

// StoreClient returns the service for a process that lives as long as ctx.
func (s *StateService) StoreClient(ctx context.Context, label string) *StoreClient {
	return &StoreClient{s: s, label: label, lifetime: ctx}
}

// wait sleeps unless the caller or its process ends first.
func (l *StoreClient) wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return l.lifetime.Err()
	case <-ctx.Done():
		return ErrLost
	case <-l.lifetime.Done():
		return l.lifetime.Err()
	}
}

// sendRequest carries a request to the service, which is locked if it arrives.
func (l *StoreClient) sendRequest(ctx context.Context) error {
	l.s.mu.Lock()
	delay := serviceDelay + l.s.slow
	l.s.mu.Unlock()
	if err := l.wait(ctx, delay); err != nil {
		return err
	}
	l.s.mu.Lock()
	switch {
	case l.s.partitioned[l.label]:
		l.s.mu.Unlock()
		l.wait(ctx, serviceTimeout)
		return ErrLost
	case l.s.down || l.s.refused[l.label]:
		l.s.mu.Unlock()
		return statestore.ErrRefused
	}
	return nil
}

// Get implements statestore.Store.
func (l *StoreClient) Get(ctx context.Context, purpose statestore.Purpose, key string) (wire.Entry, error) {
	if err := l.sendRequest(ctx); err != nil {
		return wire.Entry{}, err
	}
	defer l.s.mu.Unlock()
	return l.s.state.Get(ctx, purpose, key)
}

// List implements statestore.Store.
func (l *StoreClient) List(ctx context.Context, purpose statestore.Purpose, prefix string) ([]wire.Entry, uint64, error) {
	if err := l.sendRequest(ctx); err != nil {
		return nil, 0, err
	}
	defer l.s.mu.Unlock()
	return l.s.state.List(ctx, purpose, prefix)
}

// ListPage implements statestore.Store.
func (l *StoreClient) ListPage(ctx context.Context, purpose statestore.Purpose, prefix, after string, limit int) (wire.EntryPage, error) {
	if err := l.sendRequest(ctx); err != nil {
		return wire.EntryPage{}, err
	}
	defer l.s.mu.Unlock()
	return l.s.state.ListPage(ctx, purpose, prefix, after, limit)
}

// Txn implements statestore.Store.
func (l *StoreClient) Txn(ctx context.Context, _ statestore.Purpose, t wire.Txn) (uint64, error) {
	if err := l.sendRequest(ctx); err != nil {
		return 0, err
	}
	var f TxnFault
	if l.s.chooseFault != nil {
		f = l.s.chooseFault(l.label, t)
	}
	if l.s.observe != nil && f != (TxnFault{}) {
		l.s.observe("fate of the next transaction", "from", l.label, "fate", f, "then", t.Then)
	}
	switch {
	case f.Refused:
		l.s.mu.Unlock()
		return 0, statestore.ErrRefused
	case f.AnswerLost:
		l.s.apply(l.label, t)
		l.s.mu.Unlock()
		l.wait(ctx, serviceTimeout)
		return 0, ErrLost
	case f.Delay > 0:
		time.AfterFunc(f.Delay, func() {
			l.s.mu.Lock()
			defer l.s.mu.Unlock()
			l.s.apply(l.label, t)
		})
		l.s.mu.Unlock()
		l.wait(ctx, serviceTimeout)
		return 0, ErrLost
	}
	defer l.s.mu.Unlock()
	return l.s.apply(l.label, t)
}

// Grant implements statestore.Store.
func (l *StoreClient) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := l.sendRequest(ctx); err != nil {
		return 0, err
	}
	defer l.s.mu.Unlock()
	id, err := l.s.state.Grant(ctx, ttl)
	l.s.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() { l.s.expire(id) })}
	return id, err
}

// Renew implements statestore.Store.
func (l *StoreClient) Renew(ctx context.Context, id uint64) error {
	if err := l.sendRequest(ctx); err != nil {
		return err
	}
	defer l.s.mu.Unlock()
	held := l.s.leases[id]
	if held == nil {
		return statestore.ErrNoLease
	}
	held.timer.Reset(held.ttl)
	return nil
}

// Watch implements statestore.Store. One that is open waits through an outage.
func (l *StoreClient) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	if err := l.sendRequest(ctx); err != nil {
		return wire.Changes{}, err
	}
	until := time.NewTimer(wait)
	defer until.Stop()
	gaveUp := time.NewTimer(wait + serviceTimeout)
	defer gaveUp.Stop()
	over := false
	for { // the service is locked here
		if !l.s.down && !l.s.refused[l.label] && !l.s.partitioned[l.label] {
			ch, err := l.s.state.Watch(ctx, prefix, since, 0)
			if err != nil || len(ch.Events) > 0 || over {
				l.s.mu.Unlock()
				return ch, err
			}
		}
		changed := l.s.changed
		l.s.mu.Unlock()
		select {
		case <-changed:
		case <-until.C:
			over = true
		case <-gaveUp.C:
			return wire.Changes{}, ErrLost
		case <-l.lifetime.Done():
			return wire.Changes{}, l.lifetime.Err()
		}
		l.s.mu.Lock()
	}
}

// SetLimits implements statestore.Store: the service has no limits here.
func (l *StoreClient) SetLimits(float64, float64) {}

// TakeDemand implements statestore.Store.
func (l *StoreClient) TakeDemand() (requests, changes int) { return 0, 0 }

// Backlog implements statestore.Store.
func (l *StoreClient) Backlog() time.Duration { return 0 }

// TakeUsage implements statestore.Store.
func (l *StoreClient) TakeUsage() map[string]statestore.Usage { return nil }

// TestSender is who writes what a test itself puts.
const TestSender = "test"

// Put carries out a transaction of the test's own.
func (s *StateService) Put(t wire.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.apply(TestSender, t)
	return err
}
