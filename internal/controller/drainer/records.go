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

// announce records that this controller takes part in drains, and by which budgets.
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

// Retract removes the record that this controller takes part in drains, if one was written
// before drains were turned off.
func (d *Drainer) Retract(ctx context.Context) {
	d.host.Lock()
	_, announced := d.view.Participant(d.cfg.Label)
	d.host.Unlock()
	if announced && !d.Enabled() {
		d.commit(ctx, wire.Txn{Then: []wire.Op{{Delete: drain.ParticipantKey(d.cfg.Label)}}})
	}
}

// commit carries out a transaction and reports whether it certainly was. One without an answer
// may have been carried out, or may be later: then the watch tells, and whatever is written next
// has the versions of before as its condition.
func (d *Drainer) commit(ctx context.Context, t wire.Txn) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := d.host.Commit(ctx, t)
	if err != nil {
		var conflict *statestore.ConflictError
		d.log.Debug("drain record", "conflict", errors.As(err, &conflict), "err", err)
	}
	return err == nil
}

// finishDrains lets the leader end drains that have no machine left.
func (d *Drainer) finishDrains(ctx context.Context) {
	t, now, due := d.finishTxn()
	if due && d.writeLimiter.AllowN(now, len(t.Then)) {
		d.commit(ctx, t)
	}
}

// finishTxn returns the transaction that ends the next drain, as of when, and whether there is one.
func (d *Drainer) finishTxn() (t wire.Txn, now time.Time, due bool) {
	d.host.Lock()
	defer d.host.Unlock()
	now = time.Now()
	if !d.machines.Loaded() || !d.host.IsLeaderLocked(now) || !d.readyLocked() {
		return wire.Txn{}, now, false
	}
	t, due = drain.FinishOrPurge(d.view, d.selectsAny, d.cfg.Params.State.Tight().TxnOps, now)
	return t, now, due
}

// selectsAny reports whether a machine that a drain selects is not gone yet.
func (d *Drainer) selectsAny(p *drain.Plan) bool {
	found := false
	d.machines.ForEach(func(id string, v record.MachineView) {
		found = found || (v.Phase != record.Released && p.Selects(id, v.Type, v.Zone, time.UnixMilli(v.CreatedAt)))
	})
	return found
}
