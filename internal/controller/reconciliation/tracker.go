// Package reconciliation tracks one controller's reconciliation after its start or a failover: the
// time in which the controller finds out what workers really run.
//
// Meanwhile a [Tracker] limits the rate of commands to workers, to a share that the leader grants or
// to an equal share, and records the episode until nothing is pending. It decides nothing about
// tasks or machines; the shards do.
//
// A Tracker has no lock of its own. Shards use the limiter as they step, so the shards' lock guards
// all state of the Tracker. Methods that expect the lock to be held have names that end in Locked;
// all others take it. The lock is never held during I/O.
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
	// updateInterval is how often the limit and the episode are updated.
	updateInterval = time.Second
	// recordInterval is how often an unfinished episode is recorded.
	recordInterval = 5 * time.Second
	// recordTimeout is how long the read and the write of the record may take together.
	recordTimeout = 5 * time.Second
	// quietPeriod is how long no command must have been delayed before the limit ends, and nothing
	// must have been pending either before the episode ends.
	quietPeriod = 5 * time.Second
	// largeShareTTL is how long a share above an equal one remains valid unless the leader renews
	// it. Smaller shares remain valid for longer, so that all shares together stay within the
	// bound if the leader ends.
	largeShareTTL = 2 * time.Second
)

// Host is what a Tracker needs from its controller.
type Host interface {
	sync.Locker // the shards' lock
	// OwnedShardsLocked returns the shards that this controller owns, by number.
	OwnedShardsLocked() map[int]*scheduler.Shard
	// Incarnation returns the number of this process among all processes with its label.
	Incarnation() uint64
	// Store returns the client of the state service.
	Store() statestore.Store
}

// Tracker tracks the reconciliation of this process. The shards' lock guards all of its state.
type Tracker struct {
	host     Host
	machines *clusterview.Machines
	cfg      *config.Settings
	log      *slog.Logger

	enabled         bool               // whether reconciliation is limited and recorded
	limiter         *ratelimit.Limiter // of commands to workers; nil if not enabled
	shareReceivedAt time.Time          // when the leader last granted a share of the commands
	aboveEqualShare bool               // whether that share was above an equal one
	quietSince      time.Time          // since when the limit has been overdue and no command was delayed
	lastPendingAt   time.Time          // when a shard was last being reconciled, or a command was delayed

	episode        *restart.Episode        // the present episode; nil if there is none
	hadEpisode     bool                    // whether an episode has begun since the process started
	pendingShards  map[int]bool            // shards that are being reconciled, by number
	finishedCounts reconcile.OutcomeCounts // outcomes in shards whose reconciliation ended in this episode
}

// NewTracker returns a Tracker that limits and records nothing until it is enabled.
func NewTracker(host Host, machines *clusterview.Machines, cfg *config.Settings, log *slog.Logger) *Tracker {
	return &Tracker{host: host, machines: machines, cfg: cfg, log: log, pendingShards: map[int]bool{}}
}

// Enable turns the Tracker on with the operators' settings; nil leaves it off. It must be called before
// the controller starts.
func (t *Tracker) Enable(s *operations.Restart) {
	if s != nil {
		t.enabled, t.limiter = true, ratelimit.New(s.Settings)
	}
}

// Enabled reports whether the operators have turned the Tracker on.
func (t *Tracker) Enabled() bool { return t.enabled }

// Limiter returns the limiter of commands, nil if the Tracker is off. Only shards use it, under the
// shards' lock.
func (t *Tracker) Limiter() *ratelimit.Limiter { return t.limiter }

// PendingLocked reports whether there is an episode that has not ended.
func (t *Tracker) PendingLocked() bool { return t.episode != nil }

// BeginLocked begins to track the reconciliation of a shard that was acquired. If the Tracker is off
// or the shard has no machines, it ends that reconciliation at once.
func (t *Tracker) BeginLocked(shard *scheduler.Shard, now time.Time) {
	malformed := shard.MalformedRecords()
	for _, err := range malformed {
		t.log.Error("malformed record passed over", "shard", shard.ID(), "err", err)
	}
	if !t.enabled || !shard.HasMachines() {
		shard.EndReconciliation() // without workers there is nothing to reconcile
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

// beginEpisodeLocked begins an episode, the first of this process with the cause Started.
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

// RecordContradictionsLocked logs claims of workers that contradict what a shard knows, and counts
// them in the episode.
func (t *Tracker) RecordContradictionsLocked(all []scheduler.Contradiction) {
	for _, x := range all {
		t.log.Info("contradictory claim", "task", x.Task, "machine", x.Machine, "claimed", x.Claimed, "known", x.Known)
		if t.episode != nil {
			t.episode.Contradictions++
		}
	}
}

// Run updates and records episodes until the context is cancelled.
func (t *Tracker) Run(ctx context.Context) {
	record := episodeRecord{tracker: t, key: restart.Key(t.cfg.Label)}
	for retry.Sleep(ctx, updateInterval) {
		episode, now, pending := t.update()
		if pending && (episode.CompletedAt != 0 || now.Sub(record.writtenAt) >= recordInterval) {
			record.write(ctx, episode, now)
		}
	}
}

// update brings the share, the limit and the episode up to date. It returns a copy of the episode, and
// false if there is none.
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

// updateEpisodeLocked counts what is pending, and ends the episode once nothing has been pending for
// quietPeriod.
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

// countPendingLocked sets what is pending in the episode, and returns the outcomes of all shards so
// far. It ends the reconciliation of shards in which nothing is pending.
func (t *Tracker) countPendingLocked(e *restart.Episode) *reconcile.OutcomeCounts {
	counts := t.finishedCounts
	e.PendingTasks, e.SilentMachines, e.PendingNames = 0, 0, nil
	for id := range t.pendingShards {
		shard := t.host.OwnedShardsLocked()[id]
		if shard == nil {
			delete(t.pendingShards, id) // this controller no longer owns it
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

// expireShareLocked falls back to an equal share once the leader's grant is no longer valid.
func (t *Tracker) expireShareLocked(now time.Time) {
	ttl := leader.GrantLifetime
	if t.aboveEqualShare {
		ttl = largeShareTTL
	}
	if now.Sub(t.shareReceivedAt) > ttl {
		t.limiter.SetShare(t.equalRate(), now)
	}
}
