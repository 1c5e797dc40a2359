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

// startupHeartbeats is the time after its start, in heartbeat intervals, in which a controller gives no
// answer that a job was never submitted.
const startupHeartbeats = 2

// StaleReads compares records that are read with the versions that this controller holds, before the
// records are used. It also looks for records that should exist according to workers.
type StaleReads struct{ *Detector }

// Baseline is the state of a job in the view of active jobs before the job's records were read.
type Baseline struct {
	version      uint64 // of its active record, 0 if the view had none
	viewRevision uint64 // the revision that the view had reached
}

// Active reports whether the view contained the job.
func (b Baseline) Active() bool { return b.version > 0 }

// BaselineOf returns the present baseline of a job.
func (r StaleReads) BaselineOf(ref string) Baseline {
	r.host.Lock()
	defer r.host.Unlock()
	job, _ := r.views.ActiveJobs.Job(ref)
	return Baseline{job.Version, r.views.ActiveJobs.Revision()}
}

// CheckActiveJob compares the version in which a job's active record was found with the baseline from
// before the read. The record must not be older than in the view. If the view has already seen the end
// of the job, the record must not exist. Otherwise CheckActiveJob reports a finding and returns [ErrSuspected].
func (r StaleReads) CheckActiveJob(ref string, before Baseline, found uint64) error {
	held := before.version
	if held == 0 && found <= before.viewRevision {
		held = before.viewRevision + 1 // the view has seen the end of the job, which is newer than this version
	}
	if !r.enabled || found >= held {
		return nil
	}
	r.host.Lock()
	defer r.host.Unlock()
	r.ReportIfStaleLocked(record.ActiveJobKey(ref), held, found, time.Now())
	return ErrSuspected
}

// CheckMissingJob returns the error for a job without any record, given its baseline. A job that was
// active before is lost, so CheckMissingJob reports a finding and returns [ErrSuspected]. A controller
// that has just started has no record of which jobs were active, so it returns [ErrSuspected], too,
// for startupHeartbeats intervals: meanwhile the fencing tokens of workers show whether the store went
// back.
// Otherwise the error is [statestore.ErrNotFound].
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
	case now.Sub(r.host.StartedAtLocked()) < startupHeartbeats*config.Seconds(r.cfg.Params.Workers.HeartbeatS):
		return ErrSuspected
	}
	return statestore.ErrNotFound
}

// CheckReread compares a record that was read again, nil if it is missing, with the version that its
// shard held before the read. It reports false if the record is older, or missing without a reason. In
// that case the record must not be passed to the shard.
func (r StaleReads) CheckReread(ctx context.Context, key string, held uint64, entry *wire.Entry) (bool, error) {
	if !r.enabled {
		return true, nil
	}
	found := uint64(0)
	if entry != nil {
		found = entry.Version
	}
	if entry == nil && strings.HasPrefix(key, record.ActiveJobPrefix) {
		finished, err := r.hasFinishedRecord(ctx, record.LastElement(key))
		if err != nil || finished {
			return finished, err
		}
	}
	if entry == nil && strings.HasPrefix(key, record.FleetPrefix) {
		return true, nil // deleted, as the machine is gone
	}
	r.host.Lock()
	defer r.host.Unlock()
	return !r.ReportIfStaleLocked(key, held, found, time.Now()), nil
}

// LookUpMissing looks for records that explain why a worker has a task that its shard does not hold.
// The job may be finished, or belong to another shard; and a finished job may come back into the view
// for a moment, without its placements. If no record explains the task, it is evidence of a loss.
func (r StaleReads) LookUpMissing(shard *scheduler.Shard, unrecorded scheduler.Unrecorded) {
	explained, ok := r.hasExplanation(shard, unrecorded)
	if !ok {
		return
	}
	r.host.UpdateShard(shard, func(now time.Time) {
		if explained {
			shard.ExplainUnrecorded(unrecorded.Task)
			return
		}
		if shard.ConfirmUnrecorded(unrecorded.Task) {
			r.ReportLocked(recovery.Finding{Kind: recovery.RecordMissing, Key: unrecorded.Task, Held: unrecorded.Attempt, Found: unrecorded.Recorded}, now)
		}
	})
}

// hasExplanation reports whether a record explains an unrecorded task. Ok is false if this controller
// stops owning the shard before all records are read.
func (r StaleReads) hasExplanation(shard *scheduler.Shard, unrecorded scheduler.Unrecorded) (explained, ok bool) {
	ref, _, _ := scheduler.SplitTask(unrecorded.Task)
	keys := []string{record.FinishedJobKey(ref), recovery.LostKey(ref)}
	if !unrecorded.KnownJob {
		keys = append(keys, record.ActiveJobKey(ref), record.FinishedJobKey(ref)) // the job may finish between the reads
	}
	ok = r.host.RetryWhileOwned(shard, func(ctx context.Context) error {
		for _, key := range keys {
			entry, err := r.host.GetIfPresent(ctx, key)
			if explained = entry != nil; err != nil || explained {
				return err
			}
		}
		return nil
	})
	return explained, ok
}

// AskUnrecordedMachines asks machines without a record, given their addresses by ID, for their fencing
// tokens. A machine that has a token was sent commands once, so its record is lost.
// AskUnrecordedMachines reports whether the safe mode is active as a result.
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

// askMachine asks a machine for a heartbeat and records a finding if it has a fencing token. It reports
// whether the safe mode is active as a result.
func (r StaleReads) askMachine(ctx context.Context, id, address string) bool {
	heartbeat, err := r.host.Agents().RequestHeartbeat(ctx, address)
	if err != nil || heartbeat.Check() != nil || heartbeat.Machine != id || heartbeat.Token == 0 {
		return false
	}
	r.host.Lock()
	defer r.host.Unlock()
	r.ReportLocked(recovery.Finding{Kind: recovery.RecordMissing, Key: id, Held: heartbeat.Token}, time.Now())
	return r.state.Active()
}

// InvestigateMachineLocked begins to check the records of a machine that has sent a heartbeat with a
// fencing token but has no record in the view. Only one machine is checked at a time.
func (r StaleReads) InvestigateMachineLocked(h *wire.Heartbeat) {
	if !r.enabled || h.Token == 0 || r.investigatingMachine || r.state.Active() {
		return
	}
	r.investigatingMachine = true
	go r.investigate(r.host.Context(), h.Machine, h.Addr)
}

// investigate reads the records of all machines again, and asks the machine if it has none.
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
