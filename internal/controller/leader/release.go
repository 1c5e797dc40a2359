package leader

import (
	"context"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// protocolMaxRelease is the highest number of machines that the cloud accepts in one release.
	protocolMaxRelease = 100
	releaseTimeout     = 15 * time.Second
	// callsPerRelease is the number of calls to the cloud per release while machines are
	// provisioned: every third call releases machines.
	callsPerRelease = 3.0
	// clearInterval is the time between two transactions that delete the records of machines that
	// are long gone. It is shortened in proportion if a transaction may hold fewer operations than
	// clearOpsPerInterval.
	clearInterval       = 5 * time.Second
	clearOpsPerInterval = 16
)

// releases is the state of a leader's releases of machines and of the cleanup of their records. The
// shards' lock guards pending and clearing; the rest belongs to the goroutine that takes the turns.
type releases struct {
	pending     map[string]bool // keys of the release records whose machines are being released
	clearing    bool            // a transaction that deletes records is under way
	lastAt      time.Time       // when the last release began
	nextClearAt time.Time
}

// releaseDue reports whether machines may be released in this turn. While machines are being
// provisioned, releases leave most calls to the cloud to provisions: the longer a release waits, the
// more machines it covers.
func (l *Leader) releaseDue(t *term, provisioning bool, now time.Time) bool {
	pause := config.Seconds(callsPerRelease / l.cfg.Params.Cloud.RPS)
	return !provisioning || now.Sub(t.releases.lastAt) >= pause
}

// releaseMachines begins to release the machines that the shards' owners have recorded for release,
// several batches with one call. When the cloud has released them, this is recorded: it proves to
// the present owners of the machines' shards that the tasks on these machines are gone.
func (l *Leader) releaseMachines(ctx context.Context, t *term, now time.Time) {
	batches, ids := l.takeBatches(t, now)
	if len(ids) == 0 {
		return
	}
	t.releases.lastAt = now
	go func() {
		defer l.dropBatches(t, batches)
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		err := l.host.Cloud().Release(ctx, ids)
		l.log.Info("machines released", "machines", ids, "err", err)
		if err != nil {
			return // retried in the next turn
		}
		for key, b := range batches {
			done := record.Release{IDs: b.Rec.IDs, Done: true}
			l.commit(ctx, statestore.Urgent("back"), wire.Txn{
				If:   []wire.Condition{{Key: key, Version: b.Version}},
				Then: []wire.Op{{Put: key, Value: record.Encode(done)}},
			}, time.Time{})
		}
	}()
}

// takeBatches marks batches as being released with one call, and returns them by key together with
// the ids of their machines. It returns none in safe mode or if the rate limit does not allow a call
// to the cloud.
func (l *Leader) takeBatches(t *term, now time.Time) (batches map[string]record.Versioned[record.Release], ids []string) {
	l.host.Lock()
	defer l.host.Unlock()
	pending := l.host.FleetLocked().PendingReleases()
	if l.host.SafeModeLocked() || len(pending) > 0 && !l.host.AllowCloudCallLocked(now) {
		return nil, nil
	}
	batches = map[string]record.Versioned[record.Release]{}
	for key, b := range pending {
		if t.releases.pending[key] || len(ids)+len(b.Rec.IDs) > protocolMaxRelease {
			continue
		}
		t.releases.pending[key] = true
		batches[key] = b
		ids = append(ids, b.Rec.IDs...)
	}
	return batches, ids
}

// dropBatches removes the marks that takeBatches set.
func (l *Leader) dropBatches(t *term, batches map[string]record.Versioned[record.Release]) {
	l.host.Lock()
	defer l.host.Unlock()
	for key := range batches {
		delete(t.releases.pending, key)
	}
}

// clearOldRecords begins to delete records of machines that are long gone, as many as one
// transaction may hold. It does nothing before nextClearAt or while such a transaction is under way.
func (l *Leader) clearOldRecords(ctx context.Context, t *term, now time.Time) {
	if now.Before(t.releases.nextClearAt) {
		return
	}
	t.releases.nextClearAt = now.Add(clearInterval)
	l.host.Lock()
	defer l.host.Unlock()
	if !l.host.FleetLoadedLocked() || t.releases.clearing {
		return // a view that is not loaded yet may lack provisions
	}
	ops := l.writeLimits().TxnOps
	txn, ok := l.host.FleetLocked().CleanupTxn(ops)
	if !ok {
		return
	}
	if len(txn.Then) == ops && ops < clearOpsPerInterval { // small transactions are made more often
		t.releases.nextClearAt = now.Add(clearInterval * time.Duration(ops) / clearOpsPerInterval)
	}
	t.releases.clearing = true
	go func() {
		rev, err := l.host.Store().Txn(ctx, statestore.Routine("clear"), txn)
		l.host.Lock()
		defer l.host.Unlock()
		t.releases.clearing = false
		if err != nil {
			l.log.Debug("records of released machines not deleted", "err", err)
			return
		}
		l.host.ApplyOwnWritesLocked(txn, rev, time.Now())
	}()
}
