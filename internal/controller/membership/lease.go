// Package membership makes this process a member of the cluster and tracks its contact with
// the other controllers.
//
// A Member keeps the member lease and writes this process's records: the member record,
// under the lease, and the record of the format that it reads and writes. A Lease, a
// PeerHealth and a Member each guard their state by a lock of their own. These locks are
// leaves: they may be taken while the shards' lock is held, and no other code is called
// under them. Readiness has no lock; its owner guards it.
package membership

import (
	"sync"
	"time"
)

const (
	// LeaseTTL is how long after its last renewal a lease expires. After that another
	// controller may acquire the shards of the lease's holder.
	LeaseTTL = 4 * time.Second
	// certainlyValidFor is how long after a renewal was requested the lease has certainly
	// not expired, whatever the clocks' drift.
	certainlyValidFor = LeaseTTL * 9 / 10
	// overdueAfter is the age of the last renewal from which the next one is overdue, as
	// the lease is renewed each RenewInterval: the state service may be out of reach.
	overdueAfter = LeaseTTL / 2
	// lostAfter is the age of the last renewal from which the state service counts as out
	// of reach, so that requests that need it are refused at once.
	lostAfter = LeaseTTL * 3 / 4
	// RenewInterval is how long after a successful renewal the next one is requested.
	RenewInterval = LeaseTTL / 4
)

// LeaseState is the state at one moment of the lease that this process holds at the state
// service. The member record is written under the lease, and so is the leader's record while
// this process leads: both are deleted when the lease expires.
type LeaseState struct {
	ID uint64 // 0: no lease is held
	// Incarnation distinguishes this process from earlier and later processes with its
	// label. It is the ID of the process's first lease, since lease IDs are never reused.
	Incarnation uint64
	RenewedAt   time.Time // when the last successful request to grant or renew it was sent
}

// CertainlyValid reports whether the lease has certainly not expired.
func (s LeaseState) CertainlyValid(now time.Time) bool {
	return s.ID != 0 && now.Sub(s.RenewedAt) < certainlyValidFor
}

// Overdue reports whether there is no lease, or the next renewal is overdue: the state
// service may be out of reach.
func (s LeaseState) Overdue(now time.Time) bool {
	return s.ID == 0 || now.Sub(s.RenewedAt) > overdueAfter
}

// Lost reports whether there is no lease, or the last renewal is so old that the state service
// counts as out of reach. The lease itself may still be valid.
func (s LeaseState) Lost(now time.Time) bool {
	return s.ID == 0 || now.Sub(s.RenewedAt) > lostAfter
}

// Lease holds the state of this process's lease. The zero value is that of a process without
// a lease. It is safe for concurrent use; its lock is a leaf, below the shards' lock.
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

// Renewed records that a lease was renewed by a request that was sent at a time. Renewals may
// be recorded late and in any order. Those of an earlier lease are ignored.
func (l *Lease) Renewed(id uint64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.ID == id && sent.After(l.state.RenewedAt) {
		l.state.RenewedAt = sent
	}
}

// Expired records that a lease no longer exists at the state service. It is ignored for an
// earlier lease.
func (l *Lease) Expired(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.ID == id {
		l.state.ID = 0
	}
}
