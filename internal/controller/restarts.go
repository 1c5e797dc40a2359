package controller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/operations"
	"bramblespur/internal/pace"
	"bramblespur/internal/reconcile"
	"bramblespur/internal/restart"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	restartEvery = time.Second // how often an episode is looked at
	// restartWriteEvery is how often an episode is recorded that has not settled.
	restartWriteEvery = 5 * time.Second
	restartTimeout    = 5 * time.Second
	// paceCalm is how long no order must have waited until the pace ends.
	paceCalm = 5 * time.Second
	// largeShareLife is how long more than an equal share of the orders counts without
	// the leader's word: shorter than any smaller share does, so that all shares together
	// keep to the bound when the leader ends.
	largeShareLife = 2 * time.Second
)

// restarts is what this process does quietly after it has started or taken parts over. The
// controller's lock guards it.
type restarts struct {
	on      bool
	pace    *pace.Pace
	shareAt time.Time // when the leader last gave a share of the orders
	large   bool      // and whether that was more than an equal one
	calmAt  time.Time // since when the pace might end
	// waitedAt is when something last was awaited, or an order had to wait.
	waitedAt time.Time

	episode *restart.Episode // nil: everything has settled
	begun   bool             // an episode has begun since the process has
	parts   map[int]bool     // that are settling
	tally   reconcile.Tally  // of parts that have settled
}

// restartLog is the record of this controller's episodes. Only restartLoop uses it.
type restartLog struct {
	history  restart.History
	read     bool   // the record as it stands was read
	version  uint64 // of the record
	recorded time.Time
}

// turnOn sets the operators' settings; nil leaves it off.
func (r *restarts) turnOn(s *operations.Restart) {
	if s != nil {
		r.on, r.pace, r.parts = true, pace.New(s.Settings), map[int]bool{}
	}
}

// beginEpisode takes in that a part was taken over. The lock is held.
func (c *Controller) beginEpisode(shard *scheduler.Shard, now time.Time) {
	r := &c.restarts
	malformed := shard.Malformed()
	for _, err := range malformed {
		c.log.Error("malformed record passed over", "shard", shard.ID(), "err", err)
	}
	if !r.on || !shard.HasMachines() {
		shard.EndSettling() // where there are no workers there is nothing to find out
		return
	}
	if r.episode == nil {
		cause := restart.TookOver
		if !r.begun {
			cause = restart.Started
		}
		r.begun = true
		r.episode = &restart.Episode{Incarnation: c.lease.current().incarnation, Cause: cause, Began: now.UnixMilli()}
		r.tally, r.calmAt, r.waitedAt = reconcile.Tally{}, now, now
		c.log.Info("restart: settling begins", "cause", cause)
	}
	r.episode.Malformed += len(malformed)
	r.pace.Begin(c.equalOrders(), now)
	r.parts[shard.ID()] = true
	if !slices.Contains(r.episode.Parts, shard.ID()) {
		r.episode.Parts = append(r.episode.Parts, shard.ID())
	}
}

// equalOrders is this controller's equal share of the orders of all. The lock is held.
func (c *Controller) equalOrders() float64 {
	return c.restarts.pace.Settings().Total(c.fleet.Len()) / float64(c.cfg.Params.Count)
}

// setOrderShare takes in the leader's word on this controller's share. The lock is held.
func (c *Controller) setOrderShare(share float64, now time.Time) {
	r := &c.restarts
	if !r.on || share <= 0 {
		return
	}
	r.shareAt, r.large = now, share > c.equalOrders()
	r.pace.SetShare(share, now)
}

// expireOrderShare falls back to an equal share once the leader has not been heard. The
// lock is held.
func (c *Controller) expireOrderShare(now time.Time) {
	r := &c.restarts
	life := grantLifetime
	if r.large {
		life = largeShareLife
	}
	if now.Sub(r.shareAt) > life {
		r.pace.SetShare(c.equalOrders(), now)
	}
}

// ordersWaiting is how many orders had to wait since it was last asked. The lock is held.
func (c *Controller) ordersWaiting() int {
	if !c.restarts.on {
		return 0
	}
	return c.restarts.pace.Waiting()
}

// shareOrders shares out the orders of all by what waited at each controller that answered.
// The lock is held.
func (c *Controller) shareOrders(l *leadership, needs map[string]quotaDemand) map[string]float64 {
	if !c.restarts.on {
		return nil
	}
	total := c.restarts.pace.Settings().Total(c.fleet.Len())
	if l.orderLimits == nil {
		l.orderLimits = pace.NewShares(total, c.cfg.Labels())
	}
	l.orderLimits.SetTotal(total)
	waiting := map[string]float64{}
	for _, label := range c.cfg.Labels() {
		n, answered := needs[label]
		if !answered {
			l.orderLimits.Silent(label)
			continue
		}
		waiting[label] = float64(n.ordersWaiting)
		if share, given := l.grants.orders[label]; given {
			l.orderLimits.Confirm(label, share)
		}
	}
	left := total * float64(len(waiting)) / float64(c.cfg.Params.Count)
	return l.orderLimits.Next(fleet.FairShare(left, waiting))
}

// restartLoop follows what has to settle, and records it.
func (c *Controller) restartLoop(ctx context.Context) {
	var record restartLog
	for sleep(ctx, restartEvery) {
		c.mu.Lock()
		now := time.Now()
		c.expireOrderShare(now)
		c.endPace(now)
		e, under := c.followEpisode(now)
		c.mu.Unlock()
		if under && (e.Settled != 0 || now.Sub(record.recorded) >= restartWriteEvery) {
			c.recordEpisode(ctx, &record, e, now)
		}
	}
}

// endPace ends the pace once all should have settled, here and elsewhere, and nothing has
// waited for it for a while. The lock is held.
func (c *Controller) endPace(now time.Time) {
	r := &c.restarts
	if !r.pace.On() {
		return
	}
	held := r.pace.Held()
	if held {
		r.waitedAt = now
	}
	if held || !r.pace.Late(now) {
		r.calmAt = now // others may be settling yet
	}
	if now.Sub(r.calmAt) > paceCalm {
		r.pace.End()
		c.log.Info("restart: orders are released freely")
	}
}

// followEpisode brings the episode up to date and returns it, if there is one. The lock is
// held.
func (c *Controller) followEpisode(now time.Time) (restart.Episode, bool) {
	r := &c.restarts
	e := r.episode
	if e == nil {
		return restart.Episode{}, false
	}
	tally := r.tally
	e.Awaited, e.Unheard, e.Names = 0, 0, nil
	for id := range r.parts {
		shard := c.shards[id]
		if shard == nil {
			delete(r.parts, id) // another's by now
			continue
		}
		progress, settling := shard.Progress()
		tally.Plus(progress.Tally)
		e.Awaited += progress.Awaited
		e.Unheard += progress.Unheard
		e.Names = append(e.Names, progress.Names...)
		if !settling || progress.Awaited+progress.Unheard == 0 {
			r.tally.Plus(progress.Tally)
			shard.EndSettling()
			delete(r.parts, id)
		}
	}
	e.Verdicts = tally.Named()
	e.Orders, e.Bound = slices.Clone(r.pace.Seconds(time.UnixMilli(e.Began))), c.equalOrders()
	if len(r.parts) > 0 {
		r.waitedAt = now
	}
	if now.Sub(r.waitedAt) > paceCalm {
		e.Settled = r.waitedAt.UnixMilli()
		r.episode = nil
		c.log.Info("restart: settled", "took", e.Took(now).Round(time.Millisecond), "verdicts", e.Verdicts)
	}
	return *e, true
}

// recordEpisode writes an episode to this controller's record. One that is not written is
// written with the next.
func (c *Controller) recordEpisode(ctx context.Context, log *restartLog, e restart.Episode, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	key, use := restart.Key(c.cfg.Label), statestore.Routine("restart")
	if !log.read && !c.readRestarts(ctx, log, key) {
		return
	}
	log.history.Put(e)
	rev, err := c.store.Txn(ctx, use, wire.Txn{
		If:   []wire.Cond{{Key: key, Version: log.version}},
		Then: []wire.Op{{Put: key, Value: log.history.Encode(c.limits().Bytes())}},
	})
	if err != nil {
		log.read = false // it may have been written all the same
		c.log.Debug("restart record", "err", err)
		return
	}
	log.version, log.recorded = rev, now
}

// readRestarts reads the record as it stands, which the label's last process may have
// written.
func (c *Controller) readRestarts(ctx context.Context, log *restartLog, key string) bool {
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
	log.history, log.version, log.read = there, entry.Version, true
	return true
}

// noteContradictions logs claims that disagree with what is known, and counts them. The
// lock is held.
func (c *Controller) noteContradictions(all []scheduler.Contradiction) {
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
	return c.restarts.pace.Allow(pace.Routine, now)
}
