package testkit

import (
	"context"
	"slices"
	"sync"
	"time"

	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// TxnFault is a fault of a transaction. The first field that is set applies; the zero value is no
// fault.
type TxnFault struct {
	Refused    bool          // answered 503, not applied
	AnswerLost bool          // applied at once, without an answer
	Delay      time.Duration // applied after this time, without an answer; 0: no delay
}

// StateService is a state service with leases that expire, watches that block, and faults for one
// controller or for all. It uses the clock of the standard library, so tests run it in a
// testing/synctest bubble. Its methods are safe for concurrent use.
type StateService struct {
	state *State

	mu          sync.Mutex
	down        bool            // an outage for all
	refused     map[string]bool // labels of controllers whose requests are refused
	partitioned map[string]bool // labels of controllers that do not reach the service
	leases      map[uint64]*lease
	changed     chan struct{} // closed at the next change
	slow        time.Duration // added to the time of each request
	chooseFault func(from string, t wire.Txn) TxnFault
	writes      []Write // transactions applied
	observe     Observer
}

// Observer is called for events among scripted peers, with keys and values in turn as for a logger.
type Observer func(event string, args ...any)

// Observe sets a function that is called for every transaction, with its sender, result, conditions
// and changes.
func (s *StateService) Observe(o Observer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = o
}

// Write is an applied transaction with its sender, a controller's label or TestSender.
type Write struct {
	From string
	At   time.Time
	Txn  wire.Txn
}

// lease is a lease with the timer of its expiry.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Duration of a request to the state service, and timeout of its clients.
const (
	serviceDelay   = 3 * time.Millisecond
	serviceTimeout = 2500 * time.Millisecond
)

// NewStateService returns an empty state service without faults.
func NewStateService() *StateService {
	return &StateService{state: NewState(), refused: map[string]bool{}, partitioned: map[string]bool{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// Outage begins or ends an outage for all. No lease expires during an outage; at its end each lease
// has its full duration again.
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

// Refuse begins or ends the refusal of all requests of one controller. Its leases expire meanwhile.
func (s *StateService) Refuse(label string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[label] = on
	s.wakeWatches()
}

// Partition begins or ends a partition between one controller and the service.
func (s *StateService) Partition(label string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[label] = on
	s.wakeWatches()
}

// Slow sets what is added to the time of each request.
func (s *StateService) Slow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// InjectTxnFaults sets the function that chooses the fault of each transaction; nil: none has one.
func (s *StateService) InjectTxnFaults(fate func(from string, t wire.Txn) TxnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseFault = fate
}

// Repeat applies a transaction once more, as a copy that is delivered late.
func (s *StateService) Repeat(w Write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.apply(w.From, w.Txn)
	return err
}

// Entry returns the record of a key, and whether there is one.
func (s *StateService) Entry(key string) (wire.Entry, bool) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	e, ok := s.state.entries[key]
	return e, ok
}

// Entries returns all records with a prefix, ordered by key.
func (s *StateService) Entries(prefix string) []wire.Entry {
	entries, _, err := s.state.List(context.Background(), statestore.Urgent(TestSender), prefix)
	if err != nil {
		panic(err) // it is in memory and never down
	}
	return entries
}

// Writes returns all transactions applied so far that changed something, in order.
func (s *StateService) Writes() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.writes)
}

// wakeWatches makes blocked watches look for changes. The lock is held.
func (s *StateService) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply applies a transaction if its conditions hold and its leases exist. The lock is held.
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

// expire ends a lease and deletes its records. During an outage it starts the lease anew.
func (s *StateService) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	if s.down {
		l.timer.Reset(l.ttl) // no lease expires during an outage
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
		s.state.apply(t) // without conditions it cannot fail
		s.wakeWatches()
	}
}

// StoreClient is the client of the state service in one controller process. It implements
// statestore.Store.
type StoreClient struct {
	s        *StateService
	label    string
	lifetime context.Context // ends with the process
}

var _ statestore.Store = (*StoreClient)(nil)

// StoreClient returns a client for a process of the controller label that lives as long as ctx.
func (s *StateService) StoreClient(ctx context.Context, label string) *StoreClient {
	return &StoreClient{s: s, label: label, lifetime: ctx}
}

// wait waits for d. It returns an error if the request's context or the process ends first.
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

// sendRequest delivers a request to the service after its delay. Without an error, the service is
// locked on return.
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
		l.s.observe("fault of the next transaction", "from", l.label, "fate", f, "then", t.Then)
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

// Watch implements statestore.Store. A watch that is open blocks through an outage.
func (l *StoreClient) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	if err := l.sendRequest(ctx); err != nil {
		return wire.Changes{}, err
	}
	until := time.NewTimer(wait)
	defer until.Stop()
	gaveUp := time.NewTimer(wait + serviceTimeout)
	defer gaveUp.Stop()
	over := false
	for { // the service is locked at the start of each pass
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

// SetLimits implements statestore.Store; requests are not limited.
func (l *StoreClient) SetLimits(float64, float64) {}

// TakeDemand implements statestore.Store.
func (l *StoreClient) TakeDemand() (requests, changes int) { return 0, 0 }

// Backlog implements statestore.Store.
func (l *StoreClient) Backlog() time.Duration { return 0 }

// TakeUsage implements statestore.Store.
func (l *StoreClient) TakeUsage() map[string]statestore.Usage { return nil }

// TestSender is the sender of the test's own transactions.
const TestSender = "test"

// Put applies a transaction of the test itself.
func (s *StateService) Put(t wire.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.apply(TestSender, t)
	return err
}
