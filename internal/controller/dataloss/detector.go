// Package dataloss detects that the state service has lost data, and stops this controller until
// operators have recovered the data.
//
// A [Detector] receives findings: a revision or a fencing token that is ahead of the store, or a
// record that is missing or older than the version that was held. [Audit] periodically compares the
// records that are held with those in the state service. [StaleReads] checks records as they are
// read, and looks for records that are missing. A confirmed finding begins the safe mode, on which
// all controllers then agree by a record. Nothing is started, stopped, released or recorded until it
// ends, while workers' leases are renewed. Package recovery holds the rules as pure functions.
//
// Nothing in this package has a lock of its own. The safe mode has to begin and end in the same
// critical section in which shards are released and views are emptied, so the shards' lock guards
// all state. Methods that expect the lock to be held have names that end in Locked; all others take
// it. The lock is never held during I/O.
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

// ErrSuspected says that an answer of the state service cannot be relied on at present.
var ErrSuspected = errors.New("the state service may have lost data")

// confirmRetry is the mean pause between attempts to read the store's revision.
const confirmRetry = 400 * time.Millisecond

// Host is what this package needs from its controller.
type Host interface {
	sync.Locker // the shards' lock
	// Context returns a context that is cancelled when the controller ends.
	Context() context.Context
	// Store returns the client of the state service, which includes the guard.
	Store() statestore.Store
	// Agents returns the client of the agents.
	Agents() agent.API
	// WatchInterval returns how long the state service may hold a watch request.
	WatchInterval() time.Duration
	// StartedAtLocked returns when this process started, or when it last left the safe mode.
	StartedAtLocked() time.Time
	// IsLeaderLocked reports whether this controller is the leader.
	IsLeaderLocked(now time.Time) bool
	// AllFormatsKnownLocked reports whether every controller has recorded its format.
	AllFormatsKnownLocked() bool
	// OwnedShardsLocked returns the shards that this controller owns, by number.
	OwnedShardsLocked() map[int]*scheduler.Shard
	// ReleaseShardsLocked releases all shards and sends all parked responses.
	ReleaseShardsLocked(now time.Time)
	// ForgetViewsLocked empties all views, as if the process had just started.
	ForgetViewsLocked()
	// ReadFleet reads the records of all machines.
	ReadFleet(ctx context.Context, purpose statestore.Purpose) (*record.Fleet, error)
	// GetIfPresent reads a record for a shard, nil if there is none.
	GetIfPresent(ctx context.Context, key string) (*wire.Entry, error)
	// RetryWhileOwned repeats a read until it succeeds. It reports false if this controller stops
	// owning the shard before.
	RetryWhileOwned(shard *scheduler.Shard, read func(context.Context) error) bool
	// UpdateShard calls change under the shards' lock, and lets the shard step.
	UpdateShard(shard *scheduler.Shard, change func(now time.Time))
}

// Views holds the records that a controller holds: its views, and the cached terminal records.
type Views struct {
	clusterview.Views
	Terminal *terminal.Cache
}

// Detector decides whether the state service has lost data, and holds the state of the safe mode. The
// shards' lock guards its fields, except for the guard, which is safe for concurrent use.
type Detector struct {
	host  Host
	views Views
	cfg   *config.Settings
	log   *slog.Logger

	enabled       bool
	auditInterval time.Duration     // mean time between audits
	guard         *statestore.Guard // watches the store's revision, and refuses writes in safe mode
	state         recovery.SafeModeState
	evidence      evidence // what this controller held when the safe mode began

	viewGeneration       int  // number of times that all views were emptied, to be read again
	confirmingRevision   bool // whether the store's revision is being read once more
	investigatingMachine bool // whether a machine without a record is being asked
}

// NewDetector returns a Detector that detects nothing until it is enabled.
func NewDetector(host Host, views Views, cfg *config.Settings, log *slog.Logger) *Detector {
	return &Detector{host: host, views: views, cfg: cfg, log: log}
}

// Enable turns detection on with the operators' settings; nil leaves it off. It must be called before
// the controller starts. It returns the store to use from then on, which includes the guard if
// detection is on.
func (d *Detector) Enable(s *operations.Recovery, store statestore.Store) statestore.Store {
	if s == nil {
		return store
	}
	d.enabled, d.auditInterval = true, s.AuditInterval
	d.guard = statestore.NewGuard(store, []string{record.MemberPrefix, recovery.Prefix}, func(held, found uint64) {
		go d.confirmRevisionLoss(recovery.Finding{Kind: recovery.RevisionRegressed, Held: held, Found: found})
	})
	return d.guard
}

// Enabled reports whether the operators have turned detection on.
func (d *Detector) Enabled() bool { return d.enabled }

// SetAuditInterval sets the mean time between audits. It must be called before the controller starts.
func (d *Detector) SetAuditInterval(interval time.Duration) { d.auditInterval = interval }

// CheckTokenLocked begins to confirm a loss if the fencing token in a heartbeat is ahead of all
// revisions that were seen. Tokens are revisions of the state service.
func (d *Detector) CheckTokenLocked(r *wire.Heartbeat) {
	if d.enabled && r.Token > d.guard.HighestRevision() {
		go d.confirmRevisionLoss(recovery.Finding{Kind: recovery.TokenAheadOfStore, Key: r.Machine, Held: r.Token})
	}
}

// confirmRevisionLoss reads the store's revision once more, and reports the finding only if the
// revision or token that was seen is still ahead of it.
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

// beginConfirming reports whether a finding may be confirmed now. Only one is confirmed at a time.
func (d *Detector) beginConfirming() bool {
	d.host.Lock()
	defer d.host.Unlock()
	if !d.enabled || d.confirmingRevision || d.state.Active() {
		return false
	}
	d.confirmingRevision = true
	return true
}

// endConfirming reports the finding if the revision that was read is lower than the one held.
func (d *Detector) endConfirming(f recovery.Finding, revision uint64) {
	d.host.Lock()
	defer d.host.Unlock()
	d.confirmingRevision = false
	if revision < f.Held {
		f.Found = revision
		d.ReportLocked(f, time.Now())
	}
}

// ReportLocked begins the safe mode for a finding. It does nothing until every controller has recorded
// its format: until then a controller of the first version may be running, which would not enter the
// safe mode.
func (d *Detector) ReportLocked(f recovery.Finding, now time.Time) {
	if !d.enabled || !d.host.AllFormatsKnownLocked() {
		return
	}
	if d.state.Begin(d.cfg.Label, f, d.guard.HighestRevision(), now.UnixMilli()) {
		d.enterSafeModeLocked(now)
	}
}

// ReportIfStaleLocked begins the safe mode if the version found of a record is lower than the version
// held, or 0 as the record is missing. It reports whether that is so and the safe mode is active.
func (d *Detector) ReportIfStaleLocked(key string, held, found uint64, now time.Time) bool {
	finding, lost := recovery.CompareVersions(key, held, found)
	if lost {
		d.ReportLocked(finding, now)
	}
	return lost && d.state.Active()
}

// hasFinishedRecord reads whether a job has a terminal record.
func (d *Detector) hasFinishedRecord(ctx context.Context, ref string) (bool, error) {
	_, err := d.host.Store().Get(ctx, auditPurpose, record.FinishedJobKey(ref))
	if errors.Is(err, statestore.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}
