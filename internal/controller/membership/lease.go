// Package membership makes this process a member of the cluster and keeps what is known of
// its contact with the others.
//
// A Member keeps the member lease and writes this process's records: the member record,
// under the lease, and the record of the format that it reads and writes. A Lease and a
// PeerHealth each own their state under a lock of their own, and so does a Member. These
// locks are leaves: they may be taken while the shards' lock is held, and nothing is called
// under them. Readiness has no lock; its owner guards it.
package membership

import (
	"sync"
	"time"
)

const (
	// LeaseTTL is how long a lease outlives its last renewal: another controller may
	// acquire the shards of a dead one after it.
	LeaseTTL = 4 * time.Second
	// certainlyValidFor is how long after a renewal's request the lease certainly stands,
	// whatever the clocks' drift.
	certainlyValidFor = LeaseTTL * 9 / 10
	// overdueAfter is how long after a renewal the state service may be out of reach:
	// renewals come each RenewInterval.
	overdueAfter = LeaseTTL / 2
	// lostAfter is how long after a renewal the state service counts as out of reach,
	// so that requests that need it are refused at once.
	lostAfter = LeaseTTL * 3 / 4
	// RenewInterval is how long after a renewal the next one is requested.
	RenewInterval = LeaseTTL / 4
)

// LeaseState is this process's lease at the state service at one moment. The member
// record is written under the lease, and so is the leader's record where this process
// leads: both end with it.
type LeaseState struct {
	ID uint64 // 0: none is held
	// Incarnation tells this process from others of its label, before and after it:
	// the id of its first lease, since no id is given twice.
	Incarnation uint64
	RenewedAt   time.Time // when the last request that succeeded was sent
}

// CertainlyValid reports whether the lease certainly stands.
func (s LeaseState) CertainlyValid(now time.Time) bool {
	return s.ID != 0 && now.Sub(s.RenewedAt) < certainlyValidFor
}

// Overdue reports whether the last renewal is so old that the state service may be out
// of reach.
func (s LeaseState) Overdue(now time.Time) bool {
	return s.ID == 0 || now.Sub(s.RenewedAt) > overdueAfter
}

// Lost reports whether the state service could not be reached for a while.
func (s LeaseState) Lost(now time.Time) bool {
	return s.ID == 0 || now.Sub(s.RenewedAt) > lostAfter
}

// Lease holds the state of this process's lease. The zero value is a process without one.
// Its lock is a leaf, below the shards' lock.
type Lease struct {
	mu    sync.Mutex
	state LeaseState
}

// Current returns the state of the lease.
func (l *Lease) Current() LeaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Grant replaces the lease by one that the state service has just granted.
func (l *Lease) Grant(state LeaseState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
}

// Renewed records that the renewal of a lease whose request was sent at a time succeeded.
// Renewals may be recorded in any order, and late.
func (l *Lease) Renewed(id uint64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.ID == id && sent.After(l.state.RenewedAt) {
		l.state.RenewedAt = sent
	}
}

// Expired records that the state service has no such lease any more.
func (l *Lease) Expired(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.ID == id {
		l.state.ID = 0
	}
}
