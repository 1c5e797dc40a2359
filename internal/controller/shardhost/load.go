package shardhost

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// load reads the records of a shard and returns the shard, built from them under a fencing token.
func (h *Host) load(ctx context.Context, config *scheduler.Config, id int, token uint64) (*scheduler.Shard, error) {
	use := statestore.Urgent("take over")
	machines, err := ReadMachines(ctx, h.env.Store(), use)
	if err != nil {
		return nil, err
	}
	activeJobs, _, err := h.env.Store().List(ctx, use, record.ActiveJobPrefix)
	if err != nil {
		return nil, err
	}
	placements, _, err := h.env.Store().List(ctx, use, record.ShardPlacementsPrefix(id))
	if err != nil {
		return nil, err
	}
	shard := scheduler.New(config, id, token)
	activeJobs = h.prepare(shard, activeJobs)
	return shard, shard.Load(machines, activeJobs, placements, time.Now())
}

// prepare configures how a shard reads and writes its records. It returns the records of active
// jobs without those that are known to belong to other shards.
func (h *Host) prepare(shard *scheduler.Shard, activeJobs []wire.Entry) []wire.Entry {
	if h.env.DataLossDetectionEnabled() {
		shard.DetectDataLoss()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.env.UpgradedLocked() {
		shard.AllowSizedRanges()
	}
	if h.env.AllRangesSizedLocked() {
		shard.UseSizedRanges() // must be set before the shard writes anything
	}
	return slices.DeleteFunc(activeJobs, func(job wire.Entry) bool {
		return h.belongsToOtherShardLocked(job, shard.ID())
	})
}

// ReadMachines reads the records of all machines from the state service.
func ReadMachines(ctx context.Context, store statestore.Store, use statestore.Purpose) (*record.Fleet, error) {
	entries, _, err := store.List(ctx, use, record.FleetPrefix)
	if err != nil {
		return nil, err
	}
	return record.FleetOf(entries)
}

// belongsToOtherShardLocked reports whether the view has an active job's record in the same version
// and assigns the job to a shard other than the given one. It saves decoding the record.
func (h *Host) belongsToOtherShardLocked(job wire.Entry, id int) bool {
	shard, version, known := h.env.ActiveJobLocked(record.LastElement(job.Key))
	return known && version == job.Version && shard != id
}

// rereadActiveJobs reads the active jobs once more after an acquisition. It finds the jobs that were
// accepted after the first read but before the shard was served: the shard was not notified of
// these.
func (h *Host) rereadActiveJobs(ctx context.Context, shard *scheduler.Shard) {
	for ctx.Err() == nil {
		jobs, _, err := h.env.Store().List(ctx, statestore.Urgent("take over"), record.ActiveJobPrefix)
		if err == nil {
			h.addMissedJobs(shard, jobs)
			return
		}
		retry.Sleep(ctx, retry.Jitter(loadRetry))
	}
}

// addMissedJobs adds to a shard those of the jobs that belong to it and that it does not hold in the
// version that was read. The list may come late: jobs whose end is known by then are passed over.
func (h *Host) addMissedJobs(shard *scheduler.Shard, jobs []wire.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ServesLocked(shard) {
		return
	}
	now := time.Now()
	for _, entry := range jobs {
		ref := record.LastElement(entry.Key)
		if shard.HasJobVersion(ref, entry.Version) || h.belongsToOtherShardLocked(entry, shard.ID()) || h.env.JobEndSeenLocked(ref, entry.Version) {
			continue
		}
		var job record.ActiveJob
		if err := json.Unmarshal(entry.Value, &job); err != nil {
			h.log.Error("malformed job record", "job", ref, "err", err)
			continue
		}
		shard.SetJob(ref, job, entry.Version, now)
	}
	h.StepLocked(shard, now)
}
