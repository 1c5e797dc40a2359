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
	// retryInterval is about how long after a failed renewal the next one is requested.
	retryInterval = 400 * time.Millisecond
	// strainedRenewInterval is how often a strained process renews its lease. It does not
	// await the replies, as its timers fire late and it reads replies late.
	strainedRenewInterval = LeaseTTL / 8
	// MaxConcurrentRenewals bounds the unanswered renewals of a strained process.
	MaxConcurrentRenewals = 8
	// memberRecordDelay is how long a member record may take to appear in its writer's view.
	memberRecordDelay = 2 * time.Second
)

// Process is the process that a Member represents in the cluster.
type Process interface {
	// Strained reports whether the process gets a little less CPU time than it needs.
	Strained() bool
	// Observe returns the process's status and its member record in the view, both as of
	// one moment. It takes the shards' lock.
	Observe() Observation
	// FormatView returns what the view says about a controller's record format. It takes
	// the shards' lock.
	FormatView(label string) FormatView
	// ApplyClusterChange applies a record that was just written to the view, before the
	// watch delivers it. It takes the shards' lock.
	ApplyClusterChange(change wire.Change, now time.Time)
}

// Observation is the state of a Member's process, and of the process's view, at one moment.
type Observation struct {
	At       time.Time     // the moment
	Status   Status        // of the process
	Recorded record.Member // this process's member record in the view; zero: there is none
	ViewAsOf time.Time     // the view includes all changes made before this time
}

// Member keeps this process's lease and its records of the cluster: the member record,
// written under the lease, and the record of the format that it reads and writes.
//
// It owns the status as last published. Its lock is a leaf, below the shards' lock, and is
// not held during requests to the state service. Of its methods only Published may be called
// with the shards' lock held.
type Member struct {
	label   string
	store   func() statestore.Store // returns the present store: a guard may replace it
	lease   *Lease
	process Process
	log     *slog.Logger

	mu         sync.Mutex
	published  Status    // the status that was last written to the member record
	recordedAt time.Time // when the last write of the member record ended
}

// NewMember returns the Member of the process with a label. It keeps the state of the
// process's lease in lease.
func NewMember(label string, store func() statestore.Store, lease *Lease, process Process, log *slog.Logger) *Member {
	return &Member{label: label, store: store, lease: lease, process: process, log: log}
}

// Published returns the status of the last write of the member record that was confirmed.
func (m *Member) Published() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.published
}

// KeepLease renews the lease until the context ends. When there is no lease, it requests one
// and writes the member record under it.
func (m *Member) KeepLease(ctx context.Context) {
	pending := make(chan struct{}, MaxConcurrentRenewals)
	for {
		wait := m.keepLeaseOnce(ctx, pending)
		if !retry.Sleep(ctx, wait) {
			return
		}
	}
}

// keepLeaseOnce renews the lease, or requests one, and returns how long to wait before it is
// called again. Each element of pending is a renewal that is not answered yet.
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

// renewWithoutWaiting renews the lease without awaiting the reply. A process that falls behind
// fires its timers late and reads replies late; if it awaited each reply before the next
// renewal, the lease would expire in between.
func (m *Member) renewWithoutWaiting(ctx context.Context, id uint64, sent time.Time, pending chan struct{}) {
	select {
	case pending <- struct{}{}:
	default:
		return // MaxConcurrentRenewals are pending
	}
	go func() {
		defer func() { <-pending }()
		if err := m.renew(ctx, id, sent); err != nil {
			m.log.Debug("lease not renewed", "err", err)
		}
	}()
}

// renew requests one renewal of a lease and records the outcome. It returns
// statestore.ErrNoLease if the lease no longer exists.
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

// renewOrGrant renews the lease. If there is no lease or it has expired, it requests a new one
// and writes the member record under it.
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

// PublishStatus writes the member record if the process's status has changed since the record
// was written, so that others learn of it: a controller that is partitioned from all others
// and all workers still owns its shards, but is of no use to them. It also writes the record
// again if the view shows a different one or none: a delayed write of the previous process with
// this label may have replaced the record, and will be deleted when that process's lease expires.
func (m *Member) PublishStatus(ctx context.Context) {
	observed := m.process.Observe()
	lease := m.lease.Current()
	if !lease.CertainlyValid(observed.At) || !m.outdated(observed, lease.Incarnation) {
		return
	}
	if m.putRecord(ctx, observed.Status.record(lease.Incarnation), lease.ID) != nil {
		return
	}
	m.mu.Lock()
	m.published = observed.Status
	m.mu.Unlock()
	m.log.Info("member status published", "without_peers", observed.Status.WithoutPeers, "isolated", observed.Status.Isolated,
		"overloaded", observed.Status.Overloaded)
}

// outdated reports whether the member record must be written again: the status has changed, or
// a view that is recent enough to show the last write shows another record or none.
func (m *Member) outdated(observed Observation, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if observed.Status != m.published {
		return true
	}
	viewIsNewer := observed.ViewAsOf.After(m.recordedAt) && observed.At.Sub(m.recordedAt) > memberRecordDelay
	return viewIsNewer && observed.Recorded != observed.Status.record(incarnation)
}
