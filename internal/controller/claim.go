package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"bramblespur/internal/controller/membership"
	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// acquirePatience is how long a controller that has begun leaves the parts of others that
// are gone to them: where all restart together the first would else take most parts over,
// which cost it its processor's share and are handed home soon after.
const acquirePatience = 3 * time.Second

func (c *Controller) preferredOwner(part int) string { return c.cfg.Labels()[part%c.cfg.Params.Count] }

// considerAcquisitions claims what is this controller's to claim: its own parts after
// a restart, parts offered to it, and those of owners that are gone.
func (c *Controller) considerAcquisitions(ctx context.Context, now time.Time) {
	if c.schedulerConfig == nil || !c.leaseCertain(now) || !c.cluster.Loaded() {
		return
	}
	owners := c.cluster.Owners()
	for id := range c.cfg.Params.Count {
		if c.shards[id] != nil || c.acquiring[id] {
			continue
		}
		r, known := c.cluster.Shard(id)
		_, ownerLives := c.cluster.Member(r.Rec.Owner)
		mine := false
		switch {
		case known && r.Rec.TransferTo == c.cfg.Label:
			mine = true
		case known && r.Rec.Owner == c.cfg.Label:
			mine = true // a restart, or records read back after an outage
		case !known && c.preferredOwner(id) == c.cfg.Label:
			mine = true
		case now.Sub(c.startedAt) < acquirePatience:
			// Its owner may have restarted together with this controller.
		case !ownerLives && now.Sub(c.cluster.AsOf()) < 2*c.watchWait() && len(c.cluster.LiveMembers()) > 0:
			home := c.preferredOwner(id)
			if !known && now.Sub(c.lease.Current().RenewedAt) < membership.LeaseTTL && c.mayBeFirstStart(home, now) {
				continue // it is probably about to start
			}
			mine = fleet.ChooseOwner(c.cluster.LiveMembers(), owners, home) == c.cfg.Label
		}
		if mine {
			c.acquire(ctx, id)
		}
	}
}

// mayBeFirstStart reports whether a controller may still be on its first start: no
// part record of its own exists and this one has run only for a short time.
func (c *Controller) mayBeFirstStart(label string, now time.Time) bool {
	if c.consideringSince.IsZero() {
		c.consideringSince = now
	}
	return now.Sub(c.consideringSince) < 2*membership.LeaseTTL
}

// acquire takes a part over: the claim's revision becomes its token, then the
// records are read. The lock is held by the caller.
func (c *Controller) acquire(ctx context.Context, id int) {
	c.acquiring[id] = true
	r, _ := c.cluster.Shard(id)
	incarnation := c.lease.Current().Incarnation
	go func() {
		err := c.failOver(ctx, id, r, incarnation)
		c.mu.Lock()
		delete(c.acquiring, id)
		c.mu.Unlock()
		if err != nil {
			c.log.Info("shard not acquired", "shard", id, "err", err)
		}
	}()
}

// failOver claims a part whose record is as r says, reads its records and begins to serve
// it.
func (c *Controller) failOver(ctx context.Context, id int, r record.Versioned[record.Shard], incarnation uint64) error {
	token, err := c.recordOwnership(ctx, id, r, incarnation)
	if err != nil {
		return fmt.Errorf("claim: %w", err)
	}
	c.mu.Lock()
	cfg := c.schedulerConfig
	c.mu.Unlock()
	for ctx.Err() == nil {
		shard, err := c.loadShard(ctx, cfg, id, token)
		if err == nil {
			return c.installShard(ctx, shard)
		}
		c.log.Info("shard not loaded yet", "shard", id, "err", err)
		if !retry.Sleep(ctx, retry.Jitter(300*time.Millisecond)) {
			break
		}
		c.mu.Lock()
		lost := c.cluster.ShardVersion(id) > token
		c.mu.Unlock()
		if lost {
			return errors.New("claim: part lost while loading")
		}
	}
	return ctx.Err()
}

// recordOwnership writes this controller as a part's owner and returns the token. If that
// fails, the part's record is read for what stands in the way.
func (c *Controller) recordOwnership(ctx context.Context, id int, r record.Versioned[record.Shard], incarnation uint64) (token uint64, err error) {
	key := record.ShardKey(id)
	rec := record.Shard{Owner: c.cfg.Label, Incarnation: incarnation}
	token, err = c.store.Txn(ctx, statestore.Urgent("claim"), wire.Txn{
		If:   []wire.Condition{{Key: key, Version: r.Version}},
		Then: []wire.Op{{Put: key, Value: record.Encode(rec)}},
	})
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.setShardRecordLocked(id, rec, token)
		return token, nil
	}
	e, readErr := c.store.Get(ctx, statestore.Urgent("claim"), key)
	var cur record.Shard
	if readErr == nil && json.Unmarshal(e.Value, &cur) == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.setShardRecordLocked(id, cur, e.Version)
	}
	return 0, err
}

// installShard begins to serve a part that was loaded under its token, unless somebody else
// has claimed it meanwhile.
func (c *Controller) installShard(ctx context.Context, shard *scheduler.Shard) error {
	id := shard.ID()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dataLoss.ActiveLocked() {
		return errors.New("claim: safe mode began meanwhile")
	}
	if cur, _ := c.cluster.Shard(id); cur.Version > shard.Token() {
		return fmt.Errorf("claim: part claimed by %s meanwhile", cur.Rec.Owner)
	}
	c.shards[id] = shard
	now := time.Now()
	// Views may have moved on while the records were read.
	for _, m := range c.machines.OfShard(id) {
		if err := shard.SetMachine(m.ID, m.View, now); err != nil {
			c.log.Error("machine not applied", "shard", id, "machine", m.ID, "err", err)
		}
	}
	for _, ref := range c.activeJobs.OfShard(id) {
		shard.SetInheritedClaim(ref, c.activeJobs.Claim(ref))
	}
	c.log.Info("shard acquired", "shard", id, "token", shard.Token())
	c.reconciliation.BeginLocked(shard, now)
	c.step(shard, now)
	go c.rereadActiveJobs(ctx, shard)
	return nil
}

// readFleet reads the records of all machines.
func (c *Controller) readFleet(ctx context.Context, use statestore.Purpose) (*record.Fleet, error) {
	entries, _, err := c.store.List(ctx, use, record.FleetPrefix)
	if err != nil {
		return nil, err
	}
	fl := record.NewFleet()
	for _, e := range entries {
		if _, err := fl.Apply(e.Change()); err != nil {
			return nil, err
		}
	}
	return fl, nil
}

// loadShard reads the records of a part and makes its core, under the token of a claim.
func (c *Controller) loadShard(ctx context.Context, cfg *scheduler.Config, id int, token uint64) (*scheduler.Shard, error) {
	use := statestore.Urgent("take over")
	fl, err := c.readFleet(ctx, use)
	if err != nil {
		return nil, err
	}
	open, _, err := c.store.List(ctx, use, record.ActiveJobPrefix)
	if err != nil {
		return nil, err
	}
	slots, _, err := c.store.List(ctx, use, record.ShardPlacementsPrefix(id))
	if err != nil {
		return nil, err
	}
	shard := scheduler.New(cfg, id, token)
	if c.dataLoss.Enabled() {
		shard.DetectDataLoss()
	}
	c.mu.Lock()
	open = slices.DeleteFunc(open, func(e wire.Entry) bool { return c.belongsToOtherShard(e, id) })
	if c.allUpgraded() {
		shard.AllowSizedRanges()
	}
	if c.sizedRangesRequired() {
		shard.UseSizedRanges() // before it writes anything
	}
	c.mu.Unlock()
	return shard, shard.Load(fl, open, slots, time.Now())
}

// belongsToOtherShard reports whether an open job's record is one that the view holds, and
// another part's: it need not be decoded to tell. The lock is held.
func (c *Controller) belongsToOtherShard(e wire.Entry, part int) bool {
	j, open := c.activeJobs.Job(record.LastElement(e.Key))
	return open && j.Version == e.Version && j.Shard != part
}

// rereadActiveJobs reads the open jobs once more after a claim: one accepted between
// the first reading and the part's being there was told to nobody.
func (c *Controller) rereadActiveJobs(ctx context.Context, shard *scheduler.Shard) {
	for ctx.Err() == nil {
		open, _, err := c.store.List(ctx, statestore.Urgent("take over"), record.ActiveJobPrefix)
		if err != nil {
			retry.Sleep(ctx, retry.Jitter(300*time.Millisecond))
			continue
		}
		now := time.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.shards[shard.ID()] != shard {
			return
		}
		for _, e := range open {
			if shard.KnowsJob(record.LastElement(e.Key), e.Version) || c.belongsToOtherShard(e, shard.ID()) {
				continue
			}
			var o record.ActiveJob
			if err := json.Unmarshal(e.Value, &o); err != nil {
				c.log.Error("job record", "key", e.Key, "err", err)
				continue
			}
			shard.SetJob(record.LastElement(e.Key), o, e.Version, now)
		}
		c.step(shard, now)
		return
	}
}
