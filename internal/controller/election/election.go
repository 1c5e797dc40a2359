// Package election decides which controller is the leader: the one that the leader's
// record at the state service names. The record is written under the member lease and so
// ends with it.
//
// A leader is an incarnation of a controller, not a label: after a restart the label alone
// does not lead, and what the earlier process requests late fails, since it was decided
// under an earlier version of the record.
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

// View is the view of the leader's record.
type View interface {
	// Leader returns the newest record that is known.
	Leader() record.Versioned[record.Leader]
	// SetLeader replaces it, unless it is newer.
	SetLeader(leader record.Leader, version uint64)
	// Loaded reports whether the record was ever read.
	Loaded() bool
}

// Election is one process's part in the election of the leader.
//
// It owns until when the process abstains; its lock is a leaf, below the shards' lock. The
// view changes under the shards' lock, so that whoever holds that lock sees one leader
// throughout.
type Election struct {
	label  string
	store  func() statestore.Store // of the moment: a guard may take its place
	lease  *membership.Lease
	view   View
	shards sync.Locker
	log    *slog.Logger

	mu            sync.Mutex
	abstainsUntil time.Time
}

// New returns the part of the process with a label and a lease in the election. The shards'
// lock is taken where the view changes.
func New(label string, store func() statestore.Store, lease *membership.Lease, view View, shards sync.Locker, log *slog.Logger) *Election {
	return &Election{label: label, store: store, lease: lease, view: view, shards: shards, log: log}
}

// IsLeader reports whether this process is the leader and its lease certainly stands.
func (e *Election) IsLeader(now time.Time) bool {
	lease := e.lease.Current()
	leader := e.view.Leader().Rec
	return leader.Label == e.label && leader.Incarnation == lease.Incarnation && lease.Incarnation != 0 && lease.Certain(now)
}

// MayCampaign reports whether this process may campaign, and against which record: there
// is no leader, or only an earlier process of this label.
func (e *Election) MayCampaign(now time.Time) (incumbent record.Versioned[record.Leader], may bool) {
	incumbent = e.view.Leader()
	vacant := incumbent.Version == 0 || incumbent.Rec.Label == e.label
	may = vacant && e.view.Loaded() && e.lease.Current().Certain(now) && !e.abstains(now)
	return incumbent, may
}

// abstains reports whether this process stepped down a short while ago.
func (e *Election) abstains(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !now.After(e.abstainsUntil)
}

// Campaign tries to become the leader in place of an incumbent. It fails when the record
// has changed since. It takes the shards' lock.
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

// StepDown gives the lead up, since nobody can be reached from here, and abstains for a
// while. The leader's term is ended under the shards' lock, which StepDown takes.
func (e *Election) StepDown(ctx context.Context, endTermLocked func()) {
	version := e.abstain(endTermLocked)
	e.log.Info("stepping down as leader")
	if _, err := e.store().Txn(ctx, statestore.Urgent("lead"), wire.Txn{
		If: []wire.Condition{{Key: record.LeaderKey, Version: version}}, Then: []wire.Op{{Delete: record.LeaderKey}},
	}); err != nil {
		e.log.Info("leader record not deleted", "err", err)
	}
}

// abstain ends the leader's term and returns the version of the record that it had.
func (e *Election) abstain(endTermLocked func()) (version uint64) {
	e.shards.Lock()
	defer e.shards.Unlock()
	version = e.view.Leader().Version
	e.mu.Lock()
	e.abstainsUntil = time.Now().Add(abstainAfterStepDown)
	e.mu.Unlock()
	endTermLocked()
	return version
}
