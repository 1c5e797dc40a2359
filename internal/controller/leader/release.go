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
	// protocolMaxRelease is the cloud's bound of one release.
	protocolMaxRelease = 100
	releaseTimeout     = 15 * time.Second
	// callsPerRelease: while machines are provisioned, every third call releases some.
	callsPerRelease = 3.0
	// Records of machines long gone are cleared this often, and more often where a
	// transaction holds fewer operations than these.
	clearInterval       = 5 * time.Second
	clearOpsPerInterval = 16
)

// releases is what a leader releases. The shards' lock guards pending and clearing; the
// rest belongs to the goroutine that takes the turns.
type releases struct {
	pending     map[string]bool // batches being released, by key
	clearing    bool            // records are being cleared
	lastAt      time.Time
	nextClearAt time.Time
}

// releaseDue reports whether machines may be released in this turn. While machines are to be
// provisioned, releases leave most of the cloud's calls to that: each takes more machines
// the longer it waits.
func (l *Leader) releaseDue(t *term, provisioning bool, now time.Time) bool {
	pause := config.Seconds(callsPerRelease / l.cfg.Params.Cloud.RPS)
	return !provisioning || now.Sub(t.releases.lastAt) >= pause
}

// releaseMachines gives back what the shards' owners have recorded as to be released,
// several batches with one call. The answer is recorded: it proves gone what
// ran on the machines, to whoever owns their shards by then.
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
			return // asked again with the next turn
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

// takeBatches returns batches to release with one call, by key, and their machines.
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

func (l *Leader) dropBatches(t *term, batches map[string]record.Versioned[record.Release]) {
	l.host.Lock()
	defer l.host.Unlock()
	for key := range batches {
		delete(t.releases.pending, key)
	}
}

// clearOldRecords removes records of machines that are long gone, a few at a time.
func (l *Leader) clearOldRecords(ctx context.Context, t *term, now time.Time) {
	if now.Before(t.releases.nextClearAt) {
		return
	}
	t.releases.nextClearAt = now.Add(clearInterval)
	l.host.Lock()
	defer l.host.Unlock()
	if !l.host.FleetLoadedLocked() || t.releases.clearing {
		return // before there is a view it may lack provisions
	}
	ops := l.writeLimits().TxnOps
	txn, ok := l.host.FleetLocked().CleanupTxn(ops)
	if !ok {
		return
	}
	if len(txn.Then) == ops && ops < clearOpsPerInterval { // the smaller the steps, the more of them
		t.releases.nextClearAt = now.Add(clearInterval * time.Duration(ops) / clearOpsPerInterval)
	}
	t.releases.clearing = true
	go func() {
		rev, err := l.host.Store().Txn(ctx, statestore.Routine("clear"), txn)
		l.host.Lock()
		defer l.host.Unlock()
		t.releases.clearing = false
		if err != nil {
			l.log.Debug("old records not cleared", "err", err)
			return
		}
		l.host.ApplyOwnWritesLocked(txn, rev, time.Now())
	}()
}
