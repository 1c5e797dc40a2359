package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bramblespur/internal/controller/transport"
	"bramblespur/internal/operations"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// safeModeInterval is how often a controller in safe mode compares what it holds with the record.
const safeModeInterval = time.Second

// safeMode is what a controller does about a state service that lost data. While it is active
// nothing is started, stopped, returned or recorded; leases are renewed, and users are told to
// come back. The controller's lock guards it, but for the guard, which guards itself.
type safeMode struct {
	enabled       bool
	auditInterval time.Duration
	guard         *statestore.Guard
	state         recovery.SafeModeState
	// frozenShards are the parts that were owned when it began: what they hold is evidence.
	frozenShards map[int]*scheduler.Shard
	// activeJobsRevision is up to which revision all unfinished jobs were known then, and held the
	// records that were, once somebody has asked for them.
	activeJobsRevision uint64
	heldRecords        []wire.Entry
	// heartbeats are the newest ones of workers since it began.
	heartbeats           recovery.Heartbeats
	investigatingMachine bool // a machine without a record is being asked
	confirmingRevision   bool // a suspicion is being looked into
	viewGeneration       int  // how often all views were to be read anew
}

// enableSafeMode sets the operators' settings; nil leaves it off. The way to the state service
// leads through a guard from then on.
func (c *Controller) enableSafeMode(s *operations.Recovery) {
	if s == nil {
		return
	}
	m := &c.safeMode
	m.enabled, m.auditInterval = true, s.AuditEvery
	m.guard = statestore.NewGuard(c.store, []string{record.MemberPrefix, recovery.Prefix}, func(held, found uint64) {
		go c.confirmRevisionLoss(recovery.Finding{Kind: recovery.RevisionRegressed, Held: held, Found: found})
	})
	c.store = m.guard
}

// inSafeMode reports whether nothing may be done.
func (c *Controller) inSafeMode() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.safeMode.state.Active()
}

// confirmRevisionLoss reads the state service's revision once more before a revision or a token that
// is ahead of it counts as a sign of loss.
func (c *Controller) confirmRevisionLoss(s recovery.Finding) {
	c.mu.Lock()
	m := &c.safeMode
	begin := m.enabled && !m.confirmingRevision && !m.state.Active()
	m.confirmingRevision = m.confirmingRevision || begin
	c.mu.Unlock()
	if !begin {
		return
	}
	ctx := c.life
	for ctx.Err() == nil {
		_, revision, err := m.guard.Store.List(ctx, statestore.Urgent("recovery"), recovery.Prefix)
		if err != nil {
			retry.Sleep(ctx, retry.Jitter(400*time.Millisecond))
			continue
		}
		c.mu.Lock()
		m.confirmingRevision = false
		if revision < s.Held {
			s.Found = revision
			c.reportDataLoss(s, time.Now())
		}
		c.mu.Unlock()
		return
	}
}

// reportDataLoss begins the safe mode. Until every controller has given its word on its format,
// one of the first version may be there, which would go on by itself. The lock is held.
func (c *Controller) reportDataLoss(s recovery.Finding, now time.Time) {
	m := &c.safeMode
	if !m.enabled || !c.upgraded() {
		return
	}
	if m.state.Begin(c.cfg.Label, s, m.guard.HighestRevision(), now.UnixMilli()) {
		c.enterSafeMode(now)
	}
}

// reportIfStale begins the safe mode if a record is older than what was held of it, or gone. The
// lock is held.
func (c *Controller) reportIfStale(key string, held, found uint64, now time.Time) bool {
	s, lost := recovery.CompareVersions(key, held, found)
	if lost {
		c.reportDataLoss(s, now)
	}
	return lost && c.safeMode.state.Active()
}

// enterSafeMode stops everything. The lock is held.
func (c *Controller) enterSafeMode(now time.Time) {
	m := &c.safeMode
	mode := m.state.Mode()
	c.log.Error("the state service has lost data: safe mode", "sign", mode.Sign, "noticed_by", mode.By, "epoch", mode.Epoch)
	m.guard.SetReadOnly(true)
	go c.safeModeLoop(c.life)
	m.frozenShards, m.heartbeats = c.shards, recovery.Heartbeats{}
	m.activeJobsRevision, m.heldRecords = c.activeJobs.Revision(), nil
	c.shards = map[int]*scheduler.Shard{}
	c.longPolls.ReleaseAllLocked(now)
}

// leaveSafeMode begins anew with what is on record. The lock is held.
func (c *Controller) leaveSafeMode() {
	m := &c.safeMode
	c.log.Info("safe mode is over", "epoch", m.state.Mode().Epoch)
	m.frozenShards, m.heartbeats, m.heldRecords = nil, nil, nil
	m.guard.ForgetRevision()
	m.guard.SetReadOnly(false)
	m.viewGeneration++
	c.cluster.ForgetShards()
	c.machines.Forget()
	c.activeJobs.Forget()
	for ref := range c.activeJobs.Jobs() {
		c.removeActiveJobLocked(ref)
	}
	c.startedAt = time.Now()
}

// safeModeLoop compares what is held with the record, and brings each up to the other, until
// the safe mode is over.
func (c *Controller) safeModeLoop(ctx context.Context) {
	for c.inSafeMode() && retry.Sleep(ctx, safeModeInterval) {
		if err := c.syncSafeModeRecord(ctx); err != nil {
			c.log.Debug("safe mode record", "err", err)
		}
	}
}

// syncSafeModeRecord reads the record, without the guard: the store's revision may have fallen.
func (c *Controller) syncSafeModeRecord(ctx context.Context) error {
	store := c.safeMode.guard.Store
	use := statestore.Urgent("recovery")
	e, err := store.Get(ctx, use, recovery.SafeModeKey)
	var read *recovery.SafeMode
	switch {
	case err == nil:
		read = new(recovery.SafeMode)
		if err := json.Unmarshal(e.Value, read); err != nil {
			return err
		}
	case !errors.Is(err, statestore.ErrNotFound):
		return err
	}
	c.mu.Lock()
	c.applySafeModeRecord(read, time.Now())
	t, behind := c.safeMode.state.RecordUpdate(read, e.Version)
	c.mu.Unlock()
	if !behind {
		return nil
	}
	_, err = store.Txn(ctx, use, t)
	return err
}

// applySafeModeRecord takes in the record. The lock is held.
func (c *Controller) applySafeModeRecord(r *recovery.SafeMode, now time.Time) {
	if !c.safeMode.enabled {
		return
	}
	switch began, ended := c.safeMode.state.ApplyRecord(r); {
	case began:
		c.enterSafeMode(now)
	case ended:
		c.leaveSafeMode()
	}
}

// renewInSafeMode answers a worker's report: its lease is renewed, under the token that it
// knows, by whichever controller it asks, and it is told to do nothing. The lock is held.
func (c *Controller) renewInSafeMode(r *wire.Heartbeat) transport.Response {
	m := &c.safeMode
	m.state.RaiseFloor(r.Token)
	m.heartbeats.Add(r)
	if r.Token == 0 {
		return transport.Response{Status: 503, RetryAfter: transport.RetryAfter} // it was never told to do anything
	}
	return transport.Response{Status: 200, Body: wire.Orders{Token: r.Token, Commands: []wire.Command{}}}
}

// checkHeartbeatToken looks into a worker's token that is ahead of all revisions seen: tokens are
// revisions of the state service. The lock is held.
func (c *Controller) checkHeartbeatToken(r *wire.Heartbeat) {
	if m := &c.safeMode; m.enabled && r.Token > m.guard.HighestRevision() {
		go c.confirmRevisionLoss(recovery.Finding{Kind: recovery.TokenAheadOfStore, Key: r.Machine, Held: r.Token})
	}
}
