package dataloss

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bramblespur/internal/controller/transport"
	"bramblespur/internal/recovery"
	"bramblespur/internal/retry"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// syncInterval is how often a controller compares its safe mode with the record while it is active.
const syncInterval = time.Second

// safeModePurpose is the purpose of requests for the record of the safe mode.
var safeModePurpose = statestore.Urgent("recovery")

// ActiveLocked reports whether the safe mode is active.
func (d *Detector) ActiveLocked() bool { return d.state.Active() }

// Active reports whether the safe mode is active.
func (d *Detector) Active() bool {
	d.host.Lock()
	defer d.host.Unlock()
	return d.state.Active()
}

// ModeLocked returns the latest safe mode, which may have ended.
func (d *Detector) ModeLocked() recovery.SafeMode { return d.state.Mode() }

// ViewGenerationLocked returns how many times all views were emptied, to be read again.
func (d *Detector) ViewGenerationLocked() int { return d.viewGeneration }

// ViewGeneration returns how many times all views were emptied, to be read again.
func (d *Detector) ViewGeneration() int {
	d.host.Lock()
	defer d.host.Unlock()
	return d.viewGeneration
}

// enterSafeModeLocked makes the store read-only, keeps the evidence, releases all shards, and begins
// to synchronize the record.
func (d *Detector) enterSafeModeLocked(now time.Time) {
	mode := d.state.Mode()
	d.log.Error("the state service has lost data: safe mode", "sign", mode.Sign, "noticed_by", mode.By, "epoch", mode.Epoch)
	d.guard.SetReadOnly(true)
	go d.runSafeMode(d.host.Context())
	d.evidence = evidence{
		shards:             d.host.OwnedShardsLocked(),
		activeJobsRevision: d.views.ActiveJobs.Revision(),
		heartbeats:         recovery.Heartbeats{},
	}
	d.host.ReleaseShardsLocked(now)
}

// leaveSafeModeLocked makes the store writable and empties all views, so that the controller continues
// from the records.
func (d *Detector) leaveSafeModeLocked() {
	d.log.Info("safe mode is over", "epoch", d.state.Mode().Epoch)
	d.evidence = evidence{}
	d.guard.ForgetRevision()
	d.guard.SetReadOnly(false)
	d.viewGeneration++
	d.host.ForgetViewsLocked()
}

// runSafeMode synchronizes the safe mode of this controller with the record until it ends.
func (d *Detector) runSafeMode(ctx context.Context) {
	for d.Active() && retry.Sleep(ctx, syncInterval) {
		if err := d.syncRecord(ctx); err != nil {
			d.log.Debug("safe mode record", "err", err)
		}
	}
}

// syncRecord applies the record, and updates it if it is behind. It bypasses the guard, since the
// store's revision may have regressed.
func (d *Detector) syncRecord(ctx context.Context) error {
	stored, version, err := d.readRecord(ctx)
	if err != nil {
		return err
	}
	update, behind := d.applyStored(stored, version)
	if !behind {
		return nil
	}
	_, err = d.guard.Store.Txn(ctx, safeModePurpose, update)
	return err
}

// readRecord returns the record of the safe mode and its version. The record is nil if there is none.
func (d *Detector) readRecord(ctx context.Context) (*recovery.SafeMode, uint64, error) {
	entry, err := d.guard.Store.Get(ctx, safeModePurpose, recovery.SafeModeKey)
	if errors.Is(err, statestore.ErrNotFound) {
		return nil, entry.Version, nil
	}
	if err != nil {
		return nil, 0, err
	}
	stored := new(recovery.SafeMode)
	if err := json.Unmarshal(entry.Value, stored); err != nil {
		return nil, 0, err
	}
	return stored, entry.Version, nil
}

// applyStored applies the record, nil if there is none, and returns the transaction that brings it up
// to date. It returns false if the record is not behind.
func (d *Detector) applyStored(stored *recovery.SafeMode, version uint64) (wire.Txn, bool) {
	d.host.Lock()
	defer d.host.Unlock()
	d.ApplyRecordLocked(stored, time.Now())
	return d.state.RecordUpdate(stored, version)
}

// ApplyRecordLocked applies the present record of the safe mode, nil if there is none. It begins or
// ends the safe mode of this controller if the record says so.
func (d *Detector) ApplyRecordLocked(stored *recovery.SafeMode, now time.Time) {
	if !d.enabled {
		return
	}
	switch began, ended := d.state.ApplyRecord(stored); {
	case began:
		d.enterSafeModeLocked(now)
	case ended:
		d.leaveSafeModeLocked()
	}
}

// RenewLocked returns the response to a heartbeat in safe mode, and keeps the heartbeat as evidence.
// Any controller renews the lease of any worker, under the token that the worker has seen, and sends
// no commands.
func (d *Detector) RenewLocked(r *wire.Heartbeat) transport.Response {
	d.state.RaiseFloor(r.Token)
	d.evidence.heartbeats.Add(r)
	if r.Token == 0 {
		return transport.Response{Status: 503, RetryAfter: transport.RetryAfter} // no command was ever sent to it
	}
	return transport.Response{Status: 200, Body: wire.CommandBatch{Token: r.Token, Commands: []wire.Command{}}}
}
