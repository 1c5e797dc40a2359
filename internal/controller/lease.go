package controller

import (
	"context"
	"errors"
	"time"

	"bramblespur/internal/controller/membership"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	leaseRetry = 400 * time.Millisecond // after a renewal without success
	// A strained process renews its lease each strainedRenewInterval, without awaiting
	// the answers, of which at most maxPendingRenewals are under way: its timers and the
	// answers are late.
	strainedRenewInterval = membership.LeaseTTL / 8
	maxPendingRenewals    = 8
)

// leaseLoop keeps this controller's lease and its member record.
func (c *Controller) leaseLoop(ctx context.Context) {
	early := make(chan struct{}, maxPendingRenewals)
	for {
		sent := time.Now()
		lease := c.lease.Current()
		if lease.ID != 0 && c.overload.Strained() {
			c.renewEarly(ctx, lease.ID, sent, early)
			if !sleep(ctx, strainedRenewInterval) {
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
		if !sleep(ctx, membership.RenewInterval) {
			return
		}
	}
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
		c.lease.Renewed(id, sent)
	case errors.Is(err, statestore.ErrNoLease):
		c.lease.Expired(id)
	}
	return err
}

// keepLease renews the lease or, where there is none any more, gets another and writes
// the member record under it.
func (c *Controller) keepLease(ctx context.Context, sent time.Time) error {
	cur := c.lease.Current()
	if cur.ID != 0 {
		if err := c.renew(ctx, cur.ID, sent); !errors.Is(err, statestore.ErrNoLease) {
			return err
		}
	}
	id, err := c.store.Grant(ctx, membership.LeaseTTL)
	if err != nil {
		return err
	}
	next := membership.LeaseState{ID: id, Incarnation: cur.Incarnation, RenewedAt: sent}
	if next.Incarnation == 0 {
		next.Incarnation = id
	}
	c.mu.Lock()
	status := c.status
	c.mu.Unlock()
	if err := c.putMember(ctx, status.member(next.Incarnation), id); err != nil {
		return err
	}
	c.lease.Grant(next)
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
	return c.lease.Current().Certain(now)
}
