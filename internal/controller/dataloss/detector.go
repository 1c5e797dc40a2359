// Package dataloss finds out that the state service has lost data, and stops this controller
// until operators have recovered it.
//
// A [Detector] takes findings: a revision or a fencing token ahead of the store, a record that is
// missing or older than what was held of it. [Audit] compares what is held with all records now and
// then; [StaleReads] checks records as they are read, and looks for records that are missing. A
// confirmed finding begins the safe mode, which all controllers then agree on by a record: nothing
// is started, stopped, released or recorded until it ends, while workers' leases are renewed.
// Package recovery holds the rules as pure functions.
//
// Nothing here has a lock of its own: safe mode has to begin and end in the same critical section
// in which shards and views are given up, so the shards' lock guards all state. Methods that
// expect that lock to be held end in Locked; all others take it. It is never held during I/O.
package dataloss

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"bramblespur/internal/agent"
	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/controller/terminal"
	"bramblespur/internal/operations"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// ErrSuspected says that what the state service tells can't be relied on for now.
var ErrSuspected = errors.New("the state service may have lost data")

// confirmRetry is the mean pause between attempts to read the store's revision.
const confirmRetry = 400 * time.Millisecond

// Host is what this package needs of its controller.
type Host interface {
	sync.Locker // the shards' lock
	// Context ends with the controller.
	Context() context.Context
	// Store returns the way to the state service, through the guard.
	Store() statestore.Store
	// Agents returns the way to the workers.
	Agents() agent.API
	// WatchInterval returns how long a watch may be silent.
	WatchInterval() time.Duration
	// StartedAtLocked returns when this process began, or began anew after a safe mode.
	StartedAtLocked() time.Time
	// IsLeaderLocked reports whether this controller leads.
	IsLeaderLocked(now time.Time) bool
	// AllFormatsKnownLocked reports whether every controller has recorded its format.
	AllFormatsKnownLocked() bool
	// OwnedShardsLocked returns the shards that this controller owns, by number.
	OwnedShardsLocked() map[int]*scheduler.Shard
	// ReleaseShardsLocked gives up all shards and answers the heartbeats that are held.
	ReleaseShardsLocked(now time.Time)
	// ForgetViewsLocked empties all views, as if the process had just begun.
	ForgetViewsLocked()
	// ReadFleet reads the records of all machines.
	ReadFleet(ctx context.Context, purpose statestore.Purpose) (*record.Fleet, error)
	// GetIfPresent reads a record for a shard, nil if there is none.
	GetIfPresent(ctx context.Context, key string) (*wire.Entry, error)
	// RetryWhileOwned repeats a read until it succeeds, and reports false once the shard is
	// no longer owned.
	RetryWhileOwned(shard *scheduler.Shard, read func(context.Context) error) bool
	// UpdateShard changes a shard under the shards' lock, and lets it step.
	UpdateShard(shard *scheduler.Shard, change func(now time.Time))
}

// Views are the records that a controller holds.
type Views struct {
	clusterview.Views
	Terminal *terminal.Cache
}

// Detector decides whether the state service has lost data, and holds the safe mode. The shards'
// lock guards its state, but for the guard, which guards itself.
type Detector struct {
	host  Host
	views Views
	cfg   *config.Settings
	log   *slog.Logger

	enabled       bool
	auditInterval time.Duration
	guard         *statestore.Guard
	state         recovery.SafeModeState
	evidence      evidence

	viewGeneration       int  // how often all views had to be read anew
	confirmingRevision   bool // a revision that fell is being read once more
	investigatingMachine bool // a machine without a record is being asked
}

// NewDetector returns a Detector that detects nothing until it is enabled.
func NewDetector(host Host, views Views, cfg *config.Settings, log *slog.Logger) *Detector {
	return &Detector{host: host, views: views, cfg: cfg, log: log}
}

// Enable sets the operators' settings before the controller starts; nil leaves it off. It returns
// the way to the state service, which leads through a guard from then on.
func (d *Detector) Enable(s *operations.Recovery, store statestore.Store) statestore.Store {
	if s == nil {
		return store
	}
	d.enabled, d.auditInterval = true, s.AuditEvery
	d.guard = statestore.NewGuard(store, []string{record.MemberPrefix, recovery.Prefix}, func(held, found uint64) {
		go d.confirmRevisionLoss(recovery.Finding{Kind: recovery.RevisionRegressed, Held: held, Found: found})
	})
	return d.guard
}

// Enabled reports whether the operators have turned it on.
func (d *Detector) Enabled() bool { return d.enabled }

// SetAuditInterval sets the mean time between audits before the controller starts.
func (d *Detector) SetAuditInterval(interval time.Duration) { d.auditInterval = interval }

// CheckTokenLocked looks into a worker's fencing token that is ahead of all revisions seen: tokens
// are revisions of the state service.
func (d *Detector) CheckTokenLocked(r *wire.Heartbeat) {
	if d.enabled && r.Token > d.guard.HighestRevision() {
		go d.confirmRevisionLoss(recovery.Finding{Kind: recovery.TokenAheadOfStore, Key: r.Machine, Held: r.Token})
	}
}

// confirmRevisionLoss reads the store's revision once more before a revision or a token that is
// ahead of it counts as a loss.
func (d *Detector) confirmRevisionLoss(f recovery.Finding) {
	if !d.beginConfirming() {
		return
	}
	for ctx := d.host.Context(); ctx.Err() == nil; {
		_, revision, err := d.guard.Store.List(ctx, statestore.Urgent("recovery"), recovery.Prefix)
		if err != nil {
			retry.Sleep(ctx, retry.Jitter(confirmRetry))
			continue
		}
		d.endConfirming(f, revision)
		return
	}
}

// beginConfirming reports whether a revision is to be confirmed now: one at a time.
func (d *Detector) beginConfirming() bool {
	d.host.Lock()
	defer d.host.Unlock()
	if !d.enabled || d.confirmingRevision || d.state.Active() {
		return false
	}
	d.confirmingRevision = true
	return true
}

func (d *Detector) endConfirming(f recovery.Finding, revision uint64) {
	d.host.Lock()
	defer d.host.Unlock()
	d.confirmingRevision = false
	if revision < f.Held {
		f.Found = revision
		d.ReportLocked(f, time.Now())
	}
}

// ReportLocked begins the safe mode for a finding. Until every controller has recorded its format,
// one of the first version may be there, which would go on by itself.
func (d *Detector) ReportLocked(f recovery.Finding, now time.Time) {
	if !d.enabled || !d.host.AllFormatsKnownLocked() {
		return
	}
	if d.state.Begin(d.cfg.Label, f, d.guard.HighestRevision(), now.UnixMilli()) {
		d.enterLocked(now)
	}
}

// ReportIfStaleLocked begins the safe mode if a record is older than what was held of it, or
// missing. It reports whether that is so and the safe mode holds.
func (d *Detector) ReportIfStaleLocked(key string, held, found uint64, now time.Time) bool {
	finding, lost := recovery.CompareVersions(key, held, found)
	if lost {
		d.ReportLocked(finding, now)
	}
	return lost && d.state.Active()
}

// hasFinishedRecord reports whether a job has a final record.
func (d *Detector) hasFinishedRecord(ctx context.Context, ref string) (bool, error) {
	_, err := d.host.Store().Get(ctx, auditPurpose, record.FinishedJobKey(ref))
	if errors.Is(err, statestore.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}
