package dataloss

import (
	"context"
	"strings"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// startupHeartbeats is for how many intervals of heartbeats a controller that has just begun says
// of no job that it was never submitted.
const startupHeartbeats = 2

// StaleReads compares what the state service and workers tell with what is held, before it is
// relied on, and looks for records that should be there.
type StaleReads struct{ *Detector }

// Baseline is what was known of a job before its records were read.
type Baseline struct {
	version      uint64 // of its active record, 0 if the view had none
	viewRevision uint64 // the revision that the view had come to
}

// Active reports whether the job was active.
func (b Baseline) Active() bool { return b.version > 0 }

// BaselineOf returns what is known of a job now.
func (r StaleReads) BaselineOf(ref string) Baseline {
	r.host.Lock()
	defer r.host.Unlock()
	j, _ := r.views.ActiveJobs.Job(ref)
	return Baseline{j.Version, r.views.ActiveJobs.Revision()}
}

// CheckActiveJob compares a job's active record with what was known before it was read. The record
// must not be older, nor be there again after the view has told the job's end. The error is
// [ErrSuspected] if it is.
func (r StaleReads) CheckActiveJob(ref string, before Baseline, found uint64) error {
	held := before.version
	if held == 0 && found <= before.viewRevision {
		held = before.viewRevision + 1 // its end came after it
	}
	if !r.enabled || found >= held {
		return nil
	}
	r.host.Lock()
	defer r.host.Unlock()
	r.ReportIfStaleLocked(record.ActiveJobKey(ref), held, found, time.Now())
	return ErrSuspected
}

// CheckMissingJob decides about a job without any record: one that was active before is lost. A
// controller that has just begun can't know that of any, and so leaves the answer to later:
// workers' fencing tokens tell a store that went back.
func (r StaleReads) CheckMissingJob(ref string, before Baseline) error {
	if !r.enabled {
		return statestore.ErrNotFound
	}
	r.host.Lock()
	defer r.host.Unlock()
	now := time.Now()
	switch {
	case before.Active():
		r.ReportIfStaleLocked(record.ActiveJobKey(ref), before.version, 0, now)
		return ErrSuspected
	case now.Sub(r.host.StartedAtLocked()) < startupHeartbeats*config.Seconds(r.cfg.Params.Workers.ReportS):
		return ErrSuspected
	}
	return statestore.ErrNotFound
}

// CheckReread compares a record that was read again with what its shard holds of it. It reports
// false if the record is older than that, or missing though nothing ended it: then the shard must
// not hear of it.
func (r StaleReads) CheckReread(ctx context.Context, shard *scheduler.Shard, key string, e *wire.Entry) (bool, error) {
	if !r.enabled {
		return true, nil
	}
	r.host.Lock()
	held := shard.Version(key)
	r.host.Unlock()
	found := uint64(0)
	if e != nil {
		found = e.Version
	}
	if e == nil && strings.HasPrefix(key, record.ActiveJobPrefix) {
		finished, err := r.hasFinishedRecord(ctx, record.LastElement(key))
		if err != nil || finished {
			return finished, err
		}
	}
	if e == nil && strings.HasPrefix(key, record.FleetPrefix) {
		return true, nil // cleared, as the machine is gone
	}
	r.host.Lock()
	defer r.host.Unlock()
	return !r.ReportIfStaleLocked(key, held, found, time.Now()), nil
}

// LookUpMissing looks for records that explain why a worker has a task which its shard does not
// know. A job may be over, or another shard's; and one that is over may come back into the view for
// a moment, without its placements. Without such a record the task tells a loss.
func (r StaleReads) LookUpMissing(shard *scheduler.Shard, u scheduler.Unrecorded) {
	explained, ok := r.hasExplanation(shard, u)
	if !ok {
		return
	}
	r.host.UpdateShard(shard, func(now time.Time) {
		if explained {
			shard.ExplainUnrecorded(u.Task)
			return
		}
		if shard.ConfirmUnrecorded(u.Task) {
			r.ReportLocked(recovery.Finding{Kind: recovery.RecordMissing, Key: u.Task, Held: u.Attempt, Found: u.Recorded}, now)
		}
	})
}

// hasExplanation reports whether a record explains an unrecorded task. It is not ok once the shard
// is no longer owned.
func (r StaleReads) hasExplanation(shard *scheduler.Shard, u scheduler.Unrecorded) (explained, ok bool) {
	ref, _, _ := scheduler.SplitTask(u.Task)
	keys := []string{record.FinishedJobKey(ref), recovery.LostKey(ref)}
	if !u.KnownJob {
		keys = append(keys, record.ActiveJobKey(ref), record.FinishedJobKey(ref)) // it may end in between
	}
	ok = r.host.RetryWhileOwned(shard, func(ctx context.Context) error {
		for _, key := range keys {
			e, err := r.host.GetIfPresent(ctx, key)
			if explained = e != nil; err != nil || explained {
				return err
			}
		}
		return nil
	})
	return explained, ok
}

// AskUnrecordedMachines asks machines of which there is no record, by their addresses, whether they
// were ever told to do anything: then there was a record. It reports whether the safe mode holds.
func (r StaleReads) AskUnrecordedMachines(ctx context.Context, addresses map[string]string) bool {
	if !r.enabled {
		return false
	}
	for id, address := range addresses {
		if r.askMachine(ctx, id, address) {
			return true
		}
	}
	return false
}

func (r StaleReads) askMachine(ctx context.Context, id, address string) bool {
	heartbeat, err := r.host.Agents().Show(ctx, address)
	if err != nil || heartbeat.Check() != nil || heartbeat.Machine != id || heartbeat.Token == 0 {
		return false
	}
	r.host.Lock()
	defer r.host.Unlock()
	r.ReportLocked(recovery.Finding{Kind: recovery.RecordMissing, Key: id, Held: heartbeat.Token}, time.Now())
	return r.state.Active()
}

// InvestigateMachineLocked looks into a heartbeat of a machine of which there is no record, though
// it was told to do something once.
func (r StaleReads) InvestigateMachineLocked(h *wire.Heartbeat) {
	if !r.enabled || h.Token == 0 || r.investigatingMachine || r.state.Active() {
		return
	}
	r.investigatingMachine = true
	go r.investigate(r.host.Context(), h.Machine, h.Addr)
}

func (r StaleReads) investigate(ctx context.Context, id, address string) {
	fleet, err := r.host.ReadFleet(ctx, auditPurpose)
	if err == nil {
		if _, recorded := fleet.Machine(id); !recorded {
			r.AskUnrecordedMachines(ctx, map[string]string{id: address})
		}
	}
	r.host.Lock()
	defer r.host.Unlock()
	r.investigatingMachine = false
}
