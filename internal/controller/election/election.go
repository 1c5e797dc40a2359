// Package election elects the leader among the controllers. The leader is the controller that
// the leader record at the state service names. The record is written under the member lease
// and so ends with it.
//
// A leader is an incarnation of a controller: after a restart a controller does not lead
// because of its label alone. Late requests of the earlier process fail, since their
// condition is an earlier version of the record.
package election

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bramblespur/internal/controller/membership"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// abstainAfterStepDown is how long a controller does not campaign after it stepped down.
const abstainAfterStepDown = 15 * time.Second

// View is the view of the leader record.
type View interface {
	// Leader returns the newest known version of the record. Its Version is 0 if there is no
	// record.
	Leader() record.Versioned[record.Leader]
	// SetLeader replaces the record in the view, unless the one in the view is newer.
	SetLeader(leader record.Leader, version uint64)
	// Loaded reports whether the record was ever read.
	Loaded() bool
}

// Election lets one process campaign and step down.
//
// It owns the time until which the process abstains from campaigning, under a lock that is a
// leaf, below the shards' lock. The view changes under the shards' lock, so that a holder of
// that lock sees the same leader throughout. It is safe for concurrent use.
type Election struct {
	label  string
	store  func() statestore.Store // returns the current client, which a guard may replace
	lease  *membership.Lease
	view   View
	shards sync.Locker
	log    *slog.Logger

	mu            sync.Mutex
	abstainsUntil time.Time
}

// New returns an Election for the process with a label and a lease. The Election takes the
// shards' lock to change the view.
func New(label string, store func() statestore.Store, lease *membership.Lease, view View, shards sync.Locker, log *slog.Logger) *Election {
	return &Election{label: label, store: store, lease: lease, view: view, shards: shards, log: log}
}

// IsLeader reports whether this process is the leader and its lease has certainly not expired.
func (e *Election) IsLeader(now time.Time) bool {
	lease := e.lease.Current()
	leader := e.view.Leader().Rec
	return leader.Label == e.label && leader.Incarnation == lease.Incarnation && lease.Incarnation != 0 && lease.CertainlyValid(now)
}

// MayCampaign reports whether this process may campaign, and returns the record that it would
// replace. It may campaign if there is no leader or the record names this process's label, the
// view has been loaded, the lease has certainly not expired, and the process does not abstain.
func (e *Election) MayCampaign(now time.Time) (incumbent record.Versioned[record.Leader], may bool) {
	incumbent = e.view.Leader()
	vacant := incumbent.Version == 0 || incumbent.Rec.Label == e.label
	may = vacant && e.view.Loaded() && e.lease.Current().CertainlyValid(now) && !e.abstains(now)
	return incumbent, may
}

// abstains reports whether this process stepped down at most abstainAfterStepDown ago.
func (e *Election) abstains(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !now.After(e.abstainsUntil)
}

// Campaign tries to become the leader in place of the incumbent, as MayCampaign returned it.
// It changes nothing if the record has changed since or the transaction fails otherwise. It
// takes the shards' lock.
func (e *Election) Campaign(ctx context.Context, incumbent record.Versioned[record.Leader]) {
	lease := e.lease.Current()
	leader := record.Leader{Label: e.label, Incarnation: lease.Incarnation}
	version, err := e.store().Txn(ctx, statestore.Urgent("lead"), wire.Txn{
		If:   []wire.Condition{{Key: record.LeaderKey, Version: incumbent.Version}},
		Then: []wire.Op{{Put: record.LeaderKey, Value: record.Encode(leader), Lease: lease.ID}},
	})
	if err != nil {
		return
	}
	e.log.Info("elected leader")
	e.shards.Lock()
	defer e.shards.Unlock()
	e.view.SetLeader(leader, version)
}

// StepDown gives up the leadership, since no other controller can be reached from here: it
// ends the leader's term by endTermLocked, deletes the leader record, and abstains from
// campaigning for abstainAfterStepDown. It calls endTermLocked under the shards' lock, which
// it takes.
func (e *Election) StepDown(ctx context.Context, endTermLocked func()) {
	version := e.endTermAndAbstain(endTermLocked)
	e.log.Info("stepping down as leader")
	if _, err := e.store().Txn(ctx, statestore.Urgent("lead"), wire.Txn{
		If: []wire.Condition{{Key: record.LeaderKey, Version: version}}, Then: []wire.Op{{Delete: record.LeaderKey}},
	}); err != nil {
		e.log.Info("leader record not deleted", "err", err)
	}
}

// endTermAndAbstain ends the leader's term, abstains from campaigning, and returns the version of
// the leader record.
func (e *Election) endTermAndAbstain(endTermLocked func()) (version uint64) {
	e.shards.Lock()
	defer e.shards.Unlock()
	version = e.view.Leader().Version
	e.mu.Lock()
	e.abstainsUntil = time.Now().Add(abstainAfterStepDown)
	e.mu.Unlock()
	endTermLocked()
	return version
}
