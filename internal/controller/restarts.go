package controller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"bramblespur/internal/controller/leader"
	"bramblespur/internal/operations"
	"bramblespur/internal/ratelimit"
	"bramblespur/internal/reconcile"
	"bramblespur/internal/restart"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	restartInterval = time.Second // how often an episode is looked at
	// restartRecordInterval is how often an episode is recorded that has not settled.
	restartRecordInterval = 5 * time.Second
	restartRecordTimeout  = 5 * time.Second
	// quietPeriod is how long no order must have waited until the pace ends.
	quietPeriod = 5 * time.Second
	// largeShareTTL is how long more than an equal share of the orders counts without
	// the leader's word: shorter than any smaller share does, so that all shares together
	// keep to the bound when the leader ends.
	largeShareTTL = 2 * time.Second
)

// restarts is what this process does quietly after it has started or taken parts over. The
// controller's lock guards it.
type restarts struct {
	enabled         bool
	limiter         *ratelimit.Limiter
	shareReceivedAt time.Time // when the leader last gave a share of the orders
	aboveEqualShare bool      // and whether that was more than an equal one
	quietSince      time.Time // since when the pace might end
	// lastPendingAt is when something last was awaited, or an order had to wait.
	lastPendingAt time.Time

	episode           *restart.Episode        // nil: everything has settled
	hadEpisode        bool                    // an episode has begun since the process has
	reconcilingShards map[int]bool            // that are settling
	reconciledTally   reconcile.OutcomeCounts // of parts that have settled
}

// restartRecord is the record of this controller's episodes. Only restartLoop uses it.
type restartRecord struct {
	history   restart.History
	loaded    bool   // the record as it stands was read
	version   uint64 // of the record
	writtenAt time.Time
}

// enable sets the operators' settings; nil leaves it off.
func (r *restarts) enable(s *operations.Restart) {
	if s != nil {
		r.enabled, r.limiter, r.reconcilingShards = true, ratelimit.New(s.Settings), map[int]bool{}
	}
}

// beginEpisode takes in that a part was taken over. The lock is held.
func (c *Controller) beginEpisode(shard *scheduler.Shard, now time.Time) {
	r := &c.restarts
	malformed := shard.MalformedRecords()
	for _, err := range malformed {
		c.log.Error("malformed record passed over", "shard", shard.ID(), "err", err)
	}
	if !r.enabled || !shard.HasMachines() {
		shard.EndReconciliation() // where there are no workers there is nothing to find out
		return
	}
	if r.episode == nil {
		cause := restart.FailedOver
		if !r.hadEpisode {
			cause = restart.Started
		}
		r.hadEpisode = true
		r.episode = &restart.Episode{Incarnation: c.lease.Current().Incarnation, Cause: cause, BeganAt: now.UnixMilli()}
		r.reconciledTally, r.quietSince, r.lastPendingAt = reconcile.OutcomeCounts{}, now, now
		c.log.Info("restart: settling begins", "cause", cause)
	}
	r.episode.Malformed += len(malformed)
	r.limiter.Start(c.equalCommandRate(), now)
	r.reconcilingShards[shard.ID()] = true
	if !slices.Contains(r.episode.Shards, shard.ID()) {
		r.episode.Shards = append(r.episode.Shards, shard.ID())
	}
}

// equalCommandRate is this controller's equal share of the orders of all. The lock is held.
func (c *Controller) equalCommandRate() float64 {
	return c.restarts.limiter.Settings().ClusterRate(c.machines.Len()) / float64(c.cfg.Params.Count)
}

// setCommandRate takes in the leader's word on this controller's share. The lock is held.
func (c *Controller) setCommandRate(share float64, now time.Time) {
	r := &c.restarts
	if !r.enabled || share <= 0 {
		return
	}
	r.shareReceivedAt, r.aboveEqualShare = now, share > c.equalCommandRate()
	r.limiter.SetShare(share, now)
}

// expireCommandRate falls back to an equal share once the leader has not been heard. The
// lock is held.
func (c *Controller) expireCommandRate(now time.Time) {
	r := &c.restarts
	life := leader.GrantLifetime
	if r.aboveEqualShare {
		life = largeShareTTL
	}
	if now.Sub(r.shareReceivedAt) > life {
		r.limiter.SetShare(c.equalCommandRate(), now)
	}
}

// delayedCommands is how many orders had to wait since it was last asked. The lock is held.
func (c *Controller) delayedCommands() int {
	if !c.restarts.enabled {
		return 0
	}
	return c.restarts.limiter.TakeDelayed()
}

// restartLoop follows what has to settle, and records it.
func (c *Controller) restartLoop(ctx context.Context) {
	var record restartRecord
	for retry.Sleep(ctx, restartInterval) {
		c.mu.Lock()
		now := time.Now()
		c.expireCommandRate(now)
		c.endCommandLimit(now)
		e, under := c.updateEpisode(now)
		c.mu.Unlock()
		if under && (e.CompletedAt != 0 || now.Sub(record.writtenAt) >= restartRecordInterval) {
			c.recordEpisode(ctx, &record, e, now)
		}
	}
}

// endCommandLimit ends the pace once all should have settled, here and elsewhere, and nothing has
// waited for it for a while. The lock is held.
func (c *Controller) endCommandLimit(now time.Time) {
	r := &c.restarts
	if !r.limiter.Active() {
		return
	}
	held := r.limiter.TakeAnyDelayed()
	if held {
		r.lastPendingAt = now
	}
	if held || !r.limiter.Overdue(now) {
		r.quietSince = now // others may be settling yet
	}
	if now.Sub(r.quietSince) > quietPeriod {
		r.limiter.Stop()
		c.log.Info("restart: orders are released freely")
	}
}

// updateEpisode brings the episode up to date and returns it, if there is one. The lock is
// held.
func (c *Controller) updateEpisode(now time.Time) (restart.Episode, bool) {
	r := &c.restarts
	e := r.episode
	if e == nil {
		return restart.Episode{}, false
	}
	tally := r.reconciledTally
	e.PendingTasks, e.SilentMachines, e.PendingNames = 0, 0, nil
	for id := range r.reconcilingShards {
		shard := c.shards[id]
		if shard == nil {
			delete(r.reconcilingShards, id) // another's by now
			continue
		}
		progress, settling := shard.ReconciliationProgress()
		tally.Merge(progress.Tally)
		e.PendingTasks += progress.Pending
		e.SilentMachines += progress.Unheard
		e.PendingNames = append(e.PendingNames, progress.UnheardNames...)
		if !settling || progress.Pending+progress.Unheard == 0 {
			r.reconciledTally.Merge(progress.Tally)
			shard.EndReconciliation()
			delete(r.reconcilingShards, id)
		}
	}
	e.Outcomes = tally.ByName()
	e.CommandsPerSecond, e.CommandLimit = slices.Clone(r.limiter.ReleasedPerSecond(time.UnixMilli(e.BeganAt))), c.equalCommandRate()
	if len(r.reconcilingShards) > 0 {
		r.lastPendingAt = now
	}
	if now.Sub(r.lastPendingAt) > quietPeriod {
		e.CompletedAt = r.lastPendingAt.UnixMilli()
		r.episode = nil
		c.log.Info("restart: settled", "took", e.Duration(now).Round(time.Millisecond), "verdicts", e.Outcomes)
	}
	return *e, true
}

// recordEpisode writes an episode to this controller's record. One that is not written is
// written with the next.
func (c *Controller) recordEpisode(ctx context.Context, log *restartRecord, e restart.Episode, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, restartRecordTimeout)
	defer cancel()
	key, use := restart.Key(c.cfg.Label), statestore.Routine("restart")
	if !log.loaded && !c.loadEpisodes(ctx, log, key) {
		return
	}
	log.history.Put(e)
	rev, err := c.store.Txn(ctx, use, wire.Txn{
		If:   []wire.Condition{{Key: key, Version: log.version}},
		Then: []wire.Op{{Put: key, Value: log.history.Encode(c.limits().Bytes())}},
	})
	if err != nil {
		log.loaded = false // it may have been written all the same
		c.log.Debug("restart record", "err", err)
		return
	}
	log.version, log.writtenAt = rev, now
}

// loadEpisodes reads the record as it stands, which the label's last process may have
// written.
func (c *Controller) loadEpisodes(ctx context.Context, log *restartRecord, key string) bool {
	entry, err := c.store.Get(ctx, statestore.Routine("restart"), key)
	if err != nil && !errors.Is(err, statestore.ErrNotFound) {
		return false
	}
	var there restart.History
	if err == nil && json.Unmarshal(entry.Value, &there) != nil {
		c.log.Error("restart record is malformed and begun anew", "key", key)
		there = restart.History{}
	}
	for _, e := range log.history.Episodes {
		there.Put(e)
	}
	log.history, log.version, log.loaded = there, entry.Version, true
	return true
}

// recordContradictions logs claims that disagree with what is known, and counts them. The
// lock is held.
func (c *Controller) recordContradictions(all []scheduler.Contradiction) {
	for _, x := range all {
		c.log.Info("contradictory claim", "task", x.Task, "machine", x.Machine, "claimed", x.Claimed, "known", x.Known)
		if c.restarts.episode != nil {
			c.restarts.episode.Contradictions++
		}
	}
}

// allowCloudCall reports whether the leader may rent or return machines now: such calls
// count as orders. The lock is held.
func (c *Controller) allowCloudCall(now time.Time) bool {
	return c.restarts.limiter.Allow(ratelimit.Routine, now)
}
