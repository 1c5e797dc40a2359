package membership

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// retryInterval is about how long after a renewal without success the next is requested.
	retryInterval = 400 * time.Millisecond
	// strainedRenewInterval is how often a process that is short of processor time renews
	// its lease, without awaiting answers: its timers and the answers are late.
	strainedRenewInterval = LeaseTTL / 8
	// MaxConcurrentRenewals is how many of its renewals may be unanswered.
	MaxConcurrentRenewals = 8
	// memberRecordDelay is how long a member record may take to show in its writer's view.
	memberRecordDelay = 2 * time.Second
)

// Process is what a Member needs of the process that it stands for.
type Process interface {
	// Strained reports whether the process gets a little less of the processor than it
	// needs.
	Strained() bool
	// Observe returns how the process serves and what its view shows of its member
	// record, both as of one moment. It takes the shards' lock.
	Observe() Observation
	// FormatView returns what the view shows of a controller's record format. It takes
	// the shards' lock.
	FormatView(label string) FormatView
	// ApplyClusterChange brings a record that was just written into the view, before
	// the watch does. It takes the shards' lock.
	ApplyClusterChange(change wire.Change, now time.Time)
}

// Observation is what a Member is told of its process and of the view.
type Observation struct {
	At       time.Time
	Status   Status
	Recorded record.Member // this process's member record in the view
	ViewAsOf time.Time     // the view was true at this time or later
}

// Member keeps this process's lease and its records of the cluster: the member record,
// written under the lease, and the record of the format that it reads and writes.
//
// It owns the status as last published; its lock is a leaf, below the shards' lock, and
// is not held across requests to the state service.
type Member struct {
	label   string
	store   func() statestore.Store // of the moment: a guard may take its place
	lease   *Lease
	process Process
	log     *slog.Logger

	mu         sync.Mutex
	published  Status    // as the member record says
	recordedAt time.Time // when the member record was last written
}

// NewMember returns the member of a label that keeps a lease.
func NewMember(label string, store func() statestore.Store, lease *Lease, process Process, log *slog.Logger) *Member {
	return &Member{label: label, store: store, lease: lease, process: process, log: log}
}

// Published returns the status that the member record was last seen to be written with.
func (m *Member) Published() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.published
}

// KeepLease keeps the lease and the member record until the context ends.
func (m *Member) KeepLease(ctx context.Context) {
	pending := make(chan struct{}, MaxConcurrentRenewals)
	for {
		wait := m.keepLeaseOnce(ctx, pending)
		if !retry.Sleep(ctx, wait) {
			return
		}
	}
}

// keepLeaseOnce renews the lease, or requests one, and returns how long to wait before
// the next time.
func (m *Member) keepLeaseOnce(ctx context.Context, pending chan struct{}) time.Duration {
	sent := time.Now()
	lease := m.lease.Current()
	if lease.ID != 0 && m.process.Strained() {
		m.renewWithoutWaiting(ctx, lease.ID, sent, pending)
		return strainedRenewInterval
	}
	if err := m.renewOrGrant(ctx, sent); err != nil {
		m.log.Debug("lease not renewed", "err", err)
		return retry.Jitter(retryInterval)
	}
	return RenewInterval
}

// renewWithoutWaiting renews the lease without awaiting the answer, which a process that
// falls behind reads as late as it fires its timers: one after the other the lease would
// expire in between.
func (m *Member) renewWithoutWaiting(ctx context.Context, id uint64, sent time.Time, pending chan struct{}) {
	select {
	case pending <- struct{}{}:
	default:
		return // enough of them are pending
	}
	go func() {
		defer func() { <-pending }()
		if err := m.renew(ctx, id, sent); err != nil {
			m.log.Debug("lease not renewed", "err", err)
		}
	}()
}

// renew renews the lease once.
func (m *Member) renew(ctx context.Context, id uint64, sent time.Time) error {
	err := m.store().Renew(ctx, id)
	switch {
	case err == nil:
		m.lease.Renewed(id, sent)
	case errors.Is(err, statestore.ErrNoLease):
		m.lease.Expired(id)
	}
	return err
}

// renewOrGrant renews the lease or, where there is none any more, gets another and writes
// the member record under it.
func (m *Member) renewOrGrant(ctx context.Context, sent time.Time) error {
	current := m.lease.Current()
	if current.ID != 0 {
		if err := m.renew(ctx, current.ID, sent); !errors.Is(err, statestore.ErrNoLease) {
			return err
		}
	}
	id, err := m.store().Grant(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	next := LeaseState{ID: id, Incarnation: current.Incarnation, RenewedAt: sent}
	if next.Incarnation == 0 {
		next.Incarnation = id
	}
	if err := m.putRecord(ctx, m.Published().record(next.Incarnation), id); err != nil {
		return err
	}
	m.lease.Grant(next)
	return nil
}

// putRecord writes this process's member record under a lease.
func (m *Member) putRecord(ctx context.Context, rec record.Member, lease uint64) error {
	put := wire.Op{Put: record.MemberPrefix + m.label, Value: record.Encode(rec), Lease: lease}
	_, err := m.store().Txn(ctx, statestore.Urgent("member"), wire.Txn{Then: []wire.Op{put}})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordedAt = time.Now()
	return err
}

// PublishStatus writes the member record where it no longer says how the process serves.
// One that is partitioned from all is still the owner of its shards, but of no use to
// them. It also writes the record anew where the view shows another or none: one of this
// label's last process may have come late, and ends with that one's lease.
func (m *Member) PublishStatus(ctx context.Context) {
	seen := m.process.Observe()
	lease := m.lease.Current()
	if !lease.CertainlyValid(seen.At) || !m.outdated(seen, lease.Incarnation) {
		return
	}
	if m.putRecord(ctx, seen.Status.record(lease.Incarnation), lease.ID) != nil {
		return
	}
	m.mu.Lock()
	m.published = seen.Status
	m.mu.Unlock()
	m.log.Info("member status published", "without_peers", seen.Status.WithoutPeers, "isolated", seen.Status.Isolated,
		"overloaded", seen.Status.Overloaded)
}

// outdated reports whether the member record has to be written again.
func (m *Member) outdated(seen Observation, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if seen.Status != m.published {
		return true
	}
	viewIsNewer := seen.ViewAsOf.After(m.recordedAt) && seen.At.Sub(m.recordedAt) > memberRecordDelay
	return viewIsNewer && seen.Recorded != seen.Status.record(incarnation)
}
