// Package reconciliation follows one controller's reconciliation after its start or a failover:
// the time in which the controller finds out what workers really run.
//
// A [Tracker] limits the rate of commands to workers meanwhile, by a share that the leader gives
// or an equal one, and keeps the record of the episode until nothing is pending. It decides
// nothing about tasks or machines; the shards do.
//
// A Tracker has no lock of its own: the limiter is used by the shards as they step, so the
// shards' lock guards all of its state. Methods that expect that lock to be held end in Locked;
// all others take it. It is never held during I/O.
package reconciliation

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/controller/leader"
	"bramblespur/internal/operations"
	"bramblespur/internal/ratelimit"
	"bramblespur/internal/reconcile"
	"bramblespur/internal/restart"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
)

const (
	updateInterval = time.Second
	// recordInterval is how often an unfinished episode is recorded.
	recordInterval = 5 * time.Second
	recordTimeout  = 5 * time.Second
	// quietPeriod is how long no command must have been delayed until the limit ends.
	quietPeriod = 5 * time.Second
	// largeShareTTL is how long more than an equal share of the commands counts without
	// the leader's word: shorter than any smaller share does, so that all shares together
	// keep to the bound when the leader ends.
	largeShareTTL = 2 * time.Second
)

// Host is what a Tracker needs of its controller.
type Host interface {
	sync.Locker // the shards' lock
	// OwnedShardsLocked returns the shards that this controller owns, by number.
	OwnedShardsLocked() map[int]*scheduler.Shard
	// Incarnation returns the number of this process under its label.
	Incarnation() uint64
	// Store returns the state service.
	Store() statestore.Store
}

// Tracker follows this process's reconciliation. The shards' lock guards all of its state.
type Tracker struct {
	host     Host
	machines *clusterview.Machines
	cfg      *config.Settings
	log      *slog.Logger

	enabled         bool
	limiter         *ratelimit.Limiter
	shareReceivedAt time.Time // when the leader last gave a share of the commands
	aboveEqualShare bool      // whether that was more than an equal one
	quietSince      time.Time // since when the limit might end
	lastPendingAt   time.Time // when something last was pending, or a command was delayed

	episode        *restart.Episode        // nil: nothing is pending
	hadEpisode     bool                    // since the process began
	pendingShards  map[int]bool            // that are being reconciled
	finishedCounts reconcile.OutcomeCounts // of shards whose reconciliation is over
}

// NewTracker returns a Tracker that limits and records nothing until it is enabled.
func NewTracker(host Host, machines *clusterview.Machines, cfg *config.Settings, log *slog.Logger) *Tracker {
	return &Tracker{host: host, machines: machines, cfg: cfg, log: log, pendingShards: map[int]bool{}}
}

// Enable sets the operators' settings before the controller starts; nil leaves it off.
func (t *Tracker) Enable(s *operations.Restart) {
	if s != nil {
		t.enabled, t.limiter = true, ratelimit.New(s.Settings)
	}
}

// Enabled reports whether the operators have turned it on.
func (t *Tracker) Enabled() bool { return t.enabled }

// Limiter returns the limiter of commands, nil if it is off. Only shards use it, under their lock.
func (t *Tracker) Limiter() *ratelimit.Limiter { return t.limiter }

// PendingLocked reports whether an episode is not over.
func (t *Tracker) PendingLocked() bool { return t.episode != nil }

// BeginLocked follows the reconciliation of a shard that was acquired.
func (t *Tracker) BeginLocked(shard *scheduler.Shard, now time.Time) {
	malformed := shard.MalformedRecords()
	for _, err := range malformed {
		t.log.Error("malformed record passed over", "shard", shard.ID(), "err", err)
	}
	if !t.enabled || !shard.HasMachines() {
		shard.EndReconciliation() // where there are no workers there is nothing to find out
		return
	}
	if t.episode == nil {
		t.beginEpisodeLocked(now)
	}
	t.episode.Malformed += len(malformed)
	t.limiter.Start(t.equalRate(), now)
	t.pendingShards[shard.ID()] = true
	if !slices.Contains(t.episode.Shards, shard.ID()) {
		t.episode.Shards = append(t.episode.Shards, shard.ID())
	}
}

func (t *Tracker) beginEpisodeLocked(now time.Time) {
	cause := restart.FailedOver
	if !t.hadEpisode {
		cause = restart.Started
	}
	t.hadEpisode = true
	t.episode = &restart.Episode{Incarnation: t.host.Incarnation(), Cause: cause, BeganAt: now.UnixMilli()}
	t.finishedCounts, t.quietSince, t.lastPendingAt = reconcile.OutcomeCounts{}, now, now
	t.log.Info("reconciliation begins", "cause", cause)
}

// RecordContradictionsLocked logs claims that disagree with what is known, and counts them.
func (t *Tracker) RecordContradictionsLocked(all []scheduler.Contradiction) {
	for _, x := range all {
		t.log.Info("contradictory claim", "task", x.Task, "machine", x.Machine, "claimed", x.Claimed, "known", x.Known)
		if t.episode != nil {
			t.episode.Contradictions++
		}
	}
}

// Run updates and records episodes until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	record := episodeRecord{tracker: t, key: restart.Key(t.cfg.Label)}
	for retry.Sleep(ctx, updateInterval) {
		episode, now, pending := t.update()
		if pending && (episode.CompletedAt != 0 || now.Sub(record.writtenAt) >= recordInterval) {
			record.write(ctx, episode, now)
		}
	}
}

// update brings the limit and the episode up to date, and returns the episode if there is one.
func (t *Tracker) update() (episode restart.Episode, now time.Time, pending bool) {
	t.host.Lock()
	defer t.host.Unlock()
	now = time.Now()
	t.expireShareLocked(now)
	t.endLimitLocked(now)
	if t.episode == nil {
		return restart.Episode{}, now, false
	}
	return t.updateEpisodeLocked(now), now, true
}

// updateEpisodeLocked counts what is pending, and ends the episode once nothing has been for a
// while.
func (t *Tracker) updateEpisodeLocked(now time.Time) restart.Episode {
	e := t.episode
	e.Outcomes = t.countPendingLocked(e).ByName()
	e.CommandsPerSecond = slices.Clone(t.limiter.ReleasedPerSecond(time.UnixMilli(e.BeganAt)))
	e.CommandLimit = t.equalRate()
	if len(t.pendingShards) > 0 {
		t.lastPendingAt = now
	}
	if now.Sub(t.lastPendingAt) > quietPeriod {
		e.CompletedAt = t.lastPendingAt.UnixMilli()
		t.episode = nil
		t.log.Info("reconciliation complete", "took", e.Duration(now).Round(time.Millisecond), "outcomes", e.Outcomes)
	}
	return *e
}

// countPendingLocked counts into an episode what is pending, and returns all outcomes so far.
func (t *Tracker) countPendingLocked(e *restart.Episode) *reconcile.OutcomeCounts {
	counts := t.finishedCounts
	e.PendingTasks, e.SilentMachines, e.PendingNames = 0, 0, nil
	for id := range t.pendingShards {
		shard := t.host.OwnedShardsLocked()[id]
		if shard == nil {
			delete(t.pendingShards, id) // another's by now
			continue
		}
		progress, pending := shard.ReconciliationProgress()
		counts.Merge(progress.Tally)
		e.PendingTasks += progress.Pending
		e.SilentMachines += progress.AwaitedMachines
		e.PendingNames = append(e.PendingNames, progress.AwaitedMachineIDs...)
		if !pending || progress.Pending+progress.AwaitedMachines == 0 {
			t.finishedCounts.Merge(progress.Tally)
			shard.EndReconciliation()
			delete(t.pendingShards, id)
		}
	}
	return &counts
}

// expireShareLocked falls back to an equal share once the leader has not been heard.
func (t *Tracker) expireShareLocked(now time.Time) {
	ttl := leader.GrantLifetime
	if t.aboveEqualShare {
		ttl = largeShareTTL
	}
	if now.Sub(t.shareReceivedAt) > ttl {
		t.limiter.SetShare(t.equalRate(), now)
	}
}
