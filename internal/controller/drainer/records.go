package drainer

import (
	"context"
	"errors"
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// announce records that this controller takes part in drains, with the fingerprint of its budgets,
// unless the record says so already.
func (d *Drainer) announce(ctx context.Context) {
	d.host.Lock()
	participant, _ := d.view.Participant(d.cfg.Label)
	upToDate := !d.cluster.Loaded() || participant.Budgets == d.budgetFingerprint
	d.host.Unlock()
	if upToDate {
		return
	}
	value := record.Encode(drain.Participant{Budgets: d.budgetFingerprint})
	d.commit(ctx, wire.Txn{Then: []wire.Op{{Put: drain.ParticipantKey(d.cfg.Label), Value: value}}})
}

// Retract deletes the record by which this controller takes part in drains, if drains are off and the
// record was written while they were on.
func (d *Drainer) Retract(ctx context.Context) {
	d.host.Lock()
	_, announced := d.view.Participant(d.cfg.Label)
	d.host.Unlock()
	if announced && !d.Enabled() {
		d.commit(ctx, wire.Txn{Then: []wire.Op{{Delete: drain.ParticipantKey(d.cfg.Label)}}})
	}
}

// commit commits a transaction and reports whether that is certain. A transaction without an answer may
// have been committed, or may be later. The watch delivers its changes then, and the next write is
// conditional on the versions before them, so that it fails in that case.
func (d *Drainer) commit(ctx context.Context, t wire.Txn) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := d.host.Commit(ctx, t)
	if err != nil {
		var conflict *statestore.ConflictError
		d.log.Debug("drain transaction not confirmed", "conflict", errors.As(err, &conflict), "err", err)
	}
	return err == nil
}

// finishDrains commits the next transaction that finishes a drain or deletes records of an old one, if
// this controller is the leader and the write rate limit allows it.
func (d *Drainer) finishDrains(ctx context.Context) {
	t, now, due := d.finishTxn()
	if due && d.writeLimiter.AllowN(now, len(t.Then)) {
		d.commit(ctx, t)
	}
}

// finishTxn returns the transaction for finishDrains, the time that it was planned at, and whether there
// is one.
func (d *Drainer) finishTxn() (t wire.Txn, now time.Time, due bool) {
	d.host.Lock()
	defer d.host.Unlock()
	now = time.Now()
	if !d.machines.Loaded() || !d.host.IsLeaderLocked(now) || !d.readyLocked() {
		return wire.Txn{}, now, false
	}
	t, due = drain.FinishOrPurge(d.view, d.selectsAny, d.cfg.Params.State.LowestLimits().TxnOps, now)
	return t, now, due
}

// selectsAny reports whether a drain selects any machine that is not released.
func (d *Drainer) selectsAny(p *drain.Plan) bool {
	found := false
	d.machines.ForEach(func(id string, v record.MachineView) {
		found = found || (v.Phase != record.Released && p.Selects(id, v.Type, v.Zone, time.UnixMilli(v.CreatedAt)))
	})
	return found
}
