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

// syncInterval is how often a controller in safe mode compares what it holds with the record.
const syncInterval = time.Second

// safeModePurpose is the purpose of requests while nothing else may be done.
var safeModePurpose = statestore.Urgent("recovery")

// ActiveLocked reports whether the safe mode holds.
func (d *Detector) ActiveLocked() bool { return d.state.Active() }

// Active reports whether the safe mode holds.
func (d *Detector) Active() bool {
	d.host.Lock()
	defer d.host.Unlock()
	return d.state.Active()
}

// ModeLocked returns the latest safe mode.
func (d *Detector) ModeLocked() recovery.SafeMode { return d.state.Mode() }

// ViewGenerationLocked returns how often all views had to be read anew.
func (d *Detector) ViewGenerationLocked() int { return d.viewGeneration }

// ViewGeneration returns how often all views had to be read anew.
func (d *Detector) ViewGeneration() int {
	d.host.Lock()
	defer d.host.Unlock()
	return d.viewGeneration
}

// enterLocked stops everything.
func (d *Detector) enterLocked(now time.Time) {
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

// leaveLocked begins anew with what is on record.
func (d *Detector) leaveLocked() {
	d.log.Info("safe mode is over", "epoch", d.state.Mode().Epoch)
	d.evidence = evidence{}
	d.guard.ForgetRevision()
	d.guard.SetReadOnly(false)
	d.viewGeneration++
	d.host.ForgetViewsLocked()
}

// runSafeMode brings what is held and the record up to each other until the safe mode is over.
func (d *Detector) runSafeMode(ctx context.Context) {
	for d.Active() && retry.Sleep(ctx, syncInterval) {
		if err := d.syncRecord(ctx); err != nil {
			d.log.Debug("safe mode record", "err", err)
		}
	}
}

// syncRecord reads and writes the record without the guard: the store's revision may have fallen.
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

// readRecord returns the record of the safe mode, nil if there is none.
func (d *Detector) readRecord(ctx context.Context) (*recovery.SafeMode, uint64, error) {
	e, err := d.guard.Store.Get(ctx, safeModePurpose, recovery.SafeModeKey)
	if errors.Is(err, statestore.ErrNotFound) {
		return nil, e.Version, nil
	}
	if err != nil {
		return nil, 0, err
	}
	stored := new(recovery.SafeMode)
	if err := json.Unmarshal(e.Value, stored); err != nil {
		return nil, 0, err
	}
	return stored, e.Version, nil
}

// applyStored applies the record and returns the transaction that brings it up to what is held,
// if it is behind.
func (d *Detector) applyStored(stored *recovery.SafeMode, version uint64) (wire.Txn, bool) {
	d.host.Lock()
	defer d.host.Unlock()
	d.ApplyRecordLocked(stored, time.Now())
	return d.state.RecordUpdate(stored, version)
}

// ApplyRecordLocked applies the record of the safe mode as it stands, nil if there is none.
func (d *Detector) ApplyRecordLocked(stored *recovery.SafeMode, now time.Time) {
	if !d.enabled {
		return
	}
	switch began, ended := d.state.ApplyRecord(stored); {
	case began:
		d.enterLocked(now)
	case ended:
		d.leaveLocked()
	}
}

// RenewLocked answers a heartbeat in safe mode: the worker's lease is renewed under the token that
// it knows, by whichever controller it asks, and it is told to do nothing.
func (d *Detector) RenewLocked(r *wire.Heartbeat) transport.Response {
	d.state.RaiseFloor(r.Token)
	d.evidence.heartbeats.Add(r)
	if r.Token == 0 {
		return transport.Response{Status: 503, RetryAfter: transport.RetryAfter} // it was never told to do anything
	}
	return transport.Response{Status: 200, Body: wire.Orders{Token: r.Token, Commands: []wire.Command{}}}
}
