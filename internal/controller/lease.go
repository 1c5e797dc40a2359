package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// leaseTTL is how long a lease outlives its last renewal: the parts of a dead
	// controller are free after it.
	leaseTTL = 4 * time.Second
	// leaseCertain is how long after a renewal's request the lease certainly stands,
	// whatever the clocks' drift.
	leaseCertain = leaseTTL * 9 / 10
	// leaseOverdue is how long after a renewal the state service may be out of reach:
	// renewals come each leaseRenewEvery.
	leaseOverdue = leaseTTL / 2
	// leaseLost is how long after a renewal the state service counts as out of reach,
	// so that what needs it is refused at once.
	leaseLost       = leaseTTL * 3 / 4
	leaseRenewEvery = leaseTTL / 4
	leaseRetry      = 400 * time.Millisecond // after a renewal without success
)

// leaseState is a process's lease at the state service at one moment. Its member
// record, and the leader's record where it leads, go with the lease.
type leaseState struct {
	id uint64 // 0: none was granted yet
	// incarnation tells this process from others of its label, before and after it:
	// the id of its first lease, since no id is given twice.
	incarnation uint64
	renewedAt   time.Time // when the last request that succeeded was sent
}

// certain reports whether the lease certainly stands.
func (s leaseState) certain(now time.Time) bool {
	return s.id != 0 && now.Sub(s.renewedAt) < leaseCertain
}

// overdue reports whether the last renewal is so old that the state service may be out
// of reach.
func (s leaseState) overdue(now time.Time) bool {
	return s.id == 0 || now.Sub(s.renewedAt) > leaseOverdue
}

// lost reports whether the state service could not be reached for a while.
func (s leaseState) lost(now time.Time) bool {
	return s.id == 0 || now.Sub(s.renewedAt) > leaseLost
}

// memberLease holds the state of this process's lease under a lock of its own, which is
// a leaf.
type memberLease struct {
	mu    sync.Mutex
	state leaseState
}

// current returns the state of the lease.
func (l *memberLease) current() leaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// granted takes in a new lease.
func (l *memberLease) granted(state leaseState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
}

// renewed takes in a renewal of a lease whose request was sent at a time. Renewals may be
// told in any order, and late.
func (l *memberLease) renewed(id uint64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.id == id && sent.After(l.state.renewedAt) {
		l.state.renewedAt = sent
	}
}

// ended takes in that the state service has no such lease any more.
func (l *memberLease) ended(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.id == id {
		l.state.id = 0
	}
}

// leaseLoop keeps this controller's lease and its member record.
func (c *Controller) leaseLoop(ctx context.Context) {
	early := make(chan struct{}, renewalsAtOnce)
	for {
		sent := time.Now()
		lease := c.lease.current()
		if lease.id != 0 && c.strained() {
			c.renewEarly(ctx, lease.id, sent, early)
			if !sleep(ctx, renewStrained) {
				return
			}
			continue
		}
		if err := c.keepLease(ctx, sent); err != nil {
			c.log.Debug("lease", "err", err)
			if !sleep(ctx, jitter(leaseRetry)) {
				return
			}
			continue
		}
		if !sleep(ctx, leaseRenewEvery) {
			return
		}
	}
}

// strained reports whether the process gets a little less of the processor than it needs.
func (c *Controller) strained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pressure.strained
}

// renewEarly renews the lease without awaiting the answer, which a process that falls
// behind reads as late as it fires its timers: one after the other the lease would end
// in between.
func (c *Controller) renewEarly(ctx context.Context, id uint64, sent time.Time, early chan struct{}) {
	select {
	case early <- struct{}{}:
	default:
		return // enough under way
	}
	go func() {
		defer func() { <-early }()
		if err := c.renew(ctx, id, sent); err != nil {
			c.log.Debug("lease", "err", err)
		}
	}()
}

// renew renews the lease once.
func (c *Controller) renew(ctx context.Context, id uint64, sent time.Time) error {
	err := c.store.Renew(ctx, id)
	switch {
	case err == nil:
		c.lease.renewed(id, sent)
	case errors.Is(err, statestore.ErrNoLease):
		c.lease.ended(id)
	}
	return err
}

// keepLease renews the lease or, where there is none any more, gets another and writes
// the member record under it.
func (c *Controller) keepLease(ctx context.Context, sent time.Time) error {
	cur := c.lease.current()
	if cur.id != 0 {
		if err := c.renew(ctx, cur.id, sent); !errors.Is(err, statestore.ErrNoLease) {
			return err
		}
	}
	id, err := c.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	next := leaseState{id: id, incarnation: cur.incarnation, renewedAt: sent}
	if next.incarnation == 0 {
		next.incarnation = id
	}
	c.mu.Lock()
	status := c.status
	c.mu.Unlock()
	if err := c.putMember(ctx, status.member(next.incarnation), id); err != nil {
		return err
	}
	c.lease.granted(next)
	return nil
}

// putMember writes this controller's member record.
func (c *Controller) putMember(ctx context.Context, rec record.Member, lease uint64) error {
	put := wire.Op{Put: record.MemberPrefix + c.cfg.Label, Value: record.Encode(rec), Lease: lease}
	_, err := c.store.Txn(ctx, statestore.Urgent("member"), wire.Txn{Then: []wire.Op{put}})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memberPut = time.Now()
	return err
}

// sure reports whether the lease certainly stands.
func (c *Controller) sure(now time.Time) bool {
	return c.lease.current().certain(now)
}
