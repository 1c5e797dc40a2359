package leader

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// protocolMaxProvision is the highest number of machines that the cloud accepts in one request.
	protocolMaxProvision = 50
	// cloudRetryDelay and recordRetryDelay are the pauses before a failed call to the cloud and a
	// failed write of a record are retried.
	cloudRetryDelay  = time.Second
	recordRetryDelay = 500 * time.Millisecond
)

// provisions holds the provisions that a leader carries out. The shards' lock guards it.
type provisions struct {
	underWay map[string]record.Provision // by name
	// addresses holds the addresses of machines by ID, as their owners or the cloud's list have
	// them.
	addresses map[string]string
	// recordingAddresses holds the names of the provisions whose addresses are being recorded.
	recordingAddresses map[string]bool
}

func newProvisions() provisions {
	return provisions{underWay: map[string]record.Provision{}, addresses: map[string]string{}, recordingAddresses: map[string]bool{}}
}

// MaxProvision returns the maximum number of machines in one provision. It is chosen such that the
// machines' IDs and addresses, at their usual lengths, fit into a record of recordBytes bytes.
func MaxProvision(recordBytes int) int {
	id, addr := "i-"+strings.Repeat("0", 8), "255.255.255.255:65535"
	return record.LargestFitting(recordBytes, 1, protocolMaxProvision, func(n int) any {
		return record.Provision{Type: strings.Repeat("t", 32), Zone: strings.Repeat("z", 32), Spot: true, CreatedAt: math.MaxInt64,
			Shards: make([]int, n), IDs: slices.Repeat([]string{id}, n), Addrs: slices.Repeat([]string{addr}, n)}
	})
}

// startProvisionLocked begins a provision. It first writes the provision's record, on condition that
// the leadership is still the one under which the provision was decided; the next leader repeats
// the request if this one cannot complete it. The name of a provision is never reused: the cloud
// would answer with the machines of the first request, which may be gone.
func (l *Leader) startProvisionLocked(ctx context.Context, t *term, r fleet.ProvisionRequest) {
	_, leadership := l.host.LeaderLocked()
	l.provisionSequence++
	name := fmt.Sprintf("%s-%d-%d", l.cfg.Label, leadership, l.provisionSequence)
	rec := record.Provision{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Shards: r.Shards}
	t.provisions.underWay[name] = rec
	go func() {
		rev, err := l.host.Store().Txn(ctx, statestore.Urgent("rental"), wire.Txn{
			If:   []wire.Condition{{Key: record.ProvisionKey(name)}, {Key: record.LeaderKey, Version: leadership}},
			Then: []wire.Op{{Put: record.ProvisionKey(name), Value: record.Encode(rec)}},
		})
		if err != nil {
			// The record may have been written nevertheless: then the next leader finishes the provision.
			l.forgetProvision(t, name)
			return
		}
		l.finishProvision(ctx, t, name, rec, rev)
	}()
}

// adoptProvisionsLocked begins to carry out the provisions that an earlier leader recorded, and those
// recorded by owners that this leader does not reach.
func (l *Leader) adoptProvisionsLocked(ctx context.Context, t *term) {
	for name, r := range l.host.FleetLocked().UnfulfilledProvisions() {
		if _, ok := t.provisions.underWay[name]; !ok {
			t.provisions.underWay[name] = r.Rec
			go l.finishProvision(ctx, t, name, r.Rec, r.Version)
		}
	}
}

// forgetProvision removes a provision from those under way.
func (l *Leader) forgetProvision(t *term, name string) {
	l.host.Lock()
	defer l.host.Unlock()
	delete(t.provisions.underWay, name)
}

// finishProvision carries out a provision and records the machines that the cloud provided, on
// condition that the provision's record still has the given version. If the cloud provided none, it
// deletes the record.
func (l *Leader) finishProvision(ctx context.Context, t *term, name string, rec record.Provision, version uint64) {
	defer l.forgetProvision(t, name)
	ids, ok := l.callCloud(ctx, t, name, rec)
	if !ok {
		return // the record stays for the next leader
	}
	now := time.Now()
	ids = ids[:min(len(ids), len(rec.Shards))]
	l.reportCapacity(t, rec, len(ids) == len(rec.Shards), now)
	l.log.Info("machines provisioned", "name", name, "type", rec.Type, "zone", rec.Zone, "spot", rec.Spot, "asked", len(rec.Shards), "got", len(ids))
	key := record.ProvisionKey(name)
	op := wire.Op{Delete: key}
	if len(ids) > 0 {
		rec.Shards, rec.IDs, rec.CreatedAt = rec.Shards[:len(ids)], ids, now.UnixMilli()
		op = wire.Op{Put: key, Value: record.Encode(rec)}
	}
	l.commit(ctx, statestore.Urgent("rental"), wire.Txn{If: []wire.Condition{{Key: key, Version: version}}, Then: []wire.Op{op}}, now)
}

// callCloud requests a provision from the cloud until the cloud answers. It returns the IDs of the
// machines, none if the cloud has no capacity. ok is false if the term or the context ended before the
// cloud answered.
func (l *Leader) callCloud(ctx context.Context, t *term, name string, rec record.Provision) (ids []string, ok bool) {
	request := wire.ProvisionRequest{Request: name, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot, Count: len(rec.Shards)}
	for ctx.Err() == nil {
		ids, err := l.host.Cloud().Provision(ctx, request)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			return ids, true
		}
		l.log.Info("provision not answered", "name", name, "err", err)
		l.host.Lock()
		leads := l.term == t
		l.host.Unlock()
		if !leads {
			return nil, false
		}
		retry.Sleep(ctx, retry.Jitter(cloudRetryDelay))
	}
	return nil, false
}

// reportCapacity reports to the planner whether the cloud provided all machines of a provision.
func (l *Leader) reportCapacity(t *term, rec record.Provision, enough bool, now time.Time) {
	l.host.Lock()
	defer l.host.Unlock()
	pool := fleet.ProvisionRequest{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
	if enough {
		t.planner.CapacityGranted(pool)
		return
	}
	t.planner.CapacityRefused(pool, now)
}

// commit retries a transaction until it is applied or conflicts, and applies it to the views. A
// conflict means that the transaction was applied before: by this controller, which got no answer,
// or by another leader. The views record it as of the given time, or if that is zero, as of the
// answer.
func (l *Leader) commit(ctx context.Context, purpose statestore.Purpose, t wire.Txn, at time.Time) {
	for ctx.Err() == nil {
		rev, err := l.host.Store().Txn(ctx, purpose, t)
		if err == nil {
			l.applyOwnWrites(t, rev, at)
			return
		}
		var conflict *statestore.ConflictError
		if errors.As(err, &conflict) {
			return
		}
		retry.Sleep(ctx, retry.Jitter(recordRetryDelay))
	}
}

// applyOwnWrites applies a committed transaction to the views as of the given time, or the present
// if that is zero.
func (l *Leader) applyOwnWrites(t wire.Txn, revision uint64, at time.Time) {
	if at.IsZero() {
		at = time.Now()
	}
	l.host.Lock()
	defer l.host.Unlock()
	l.host.ApplyOwnWritesLocked(t, revision, at)
}
