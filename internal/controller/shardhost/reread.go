package shardhost

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// ownershipReads bounds the attempts to read the ownership record of a lost shard. No more are needed,
// since the record also arrives through the watch.
const ownershipReads = 10

// RetryWhileServed calls read, with pauses, until it returns no error. It returns false if the shard
// was lost or the controller stopped before that.
func (h *Host) RetryWhileServed(shard *scheduler.Shard, read func(context.Context) error) bool {
	ctx := h.env.Lifetime()
	for {
		if err := read(ctx); err == nil {
			return true
		}
		if !retry.Sleep(ctx, retry.Jitter(readRetry)) || !h.serves(shard) {
			return false
		}
	}
}

func (h *Host) serves(shard *scheduler.Shard) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ServesLocked(shard)
}

// version returns the version of a record that a shard holds.
func (h *Host) version(shard *scheduler.Shard, key string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return shard.Version(key)
}

// GetIfPresent reads a record from the state service. It returns nil without an error if there is
// none.
func (h *Host) GetIfPresent(ctx context.Context, key string) (*wire.Entry, error) {
	entry, err := h.env.Store().Get(ctx, statestore.Urgent("read back"), key)
	if errors.Is(err, statestore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return &entry, nil
}

// rereadRecord reads a record whose present version is unknown to a shard, retrying until that
// succeeds, and applies it to the shard unless it shows a data loss. The entry passed to apply is nil
// if there is no record.
func (h *Host) rereadRecord(shard *scheduler.Shard, key string, apply func(entry *wire.Entry, now time.Time) error) {
	var entry *wire.Entry
	intact := true
	read := h.RetryWhileServed(shard, func(ctx context.Context) (err error) {
		held := h.version(shard, key) // the shard may receive a later version before the answer
		if entry, err = h.GetIfPresent(ctx, key); err != nil {
			return err
		}
		intact, err = h.env.CheckReread(ctx, key, held, entry)
		return err
	})
	if !read || !intact {
		return
	}
	h.Update(shard, func(now time.Time) {
		if err := apply(entry, now); err != nil {
			h.log.Error("reread record not applied", "shard", shard.ID(), "key", key, "err", err)
		}
	})
}

// rereadPipeline reads a pipeline's record and the terminal states of those of its jobs for which
// the record has none, retrying until that succeeds, and applies them to a shard.
func (h *Host) rereadPipeline(shard *scheduler.Shard, ref string) {
	var ends []record.PipelineJobEnd
	var entry *wire.Entry
	read := h.RetryWhileServed(shard, func(ctx context.Context) (err error) {
		entry, err = h.GetIfPresent(ctx, record.PipelineKey(ref))
		if err != nil || entry == nil {
			return err
		}
		ends, err = h.readPipelineEnds(ctx, shard, entry)
		return err
	})
	if !read {
		return
	}
	h.Update(shard, func(now time.Time) {
		if err := shard.PipelineRead(ref, entry, ends, now); err != nil {
			h.log.Error("reread record not applied", "shard", shard.ID(), "pipeline", ref, "err", err)
		}
	})
}

// readPipelineEnds reads the terminal states of those of a pipeline's jobs for which its record has
// none. It skips the jobs that the shard holds, which are active.
func (h *Host) readPipelineEnds(ctx context.Context, shard *scheduler.Shard, entry *wire.Entry) ([]record.PipelineJobEnd, error) {
	var pipeline record.Pipeline
	if err := json.Unmarshal(entry.Value, &pipeline); err != nil {
		return nil, err
	}
	h.mu.Lock()
	active := slices.DeleteFunc(slices.Clone(pipeline.Jobs), func(job string) bool { return !shard.HasJob(job) })
	h.mu.Unlock()
	return h.env.PipelineEnds(ctx, &pipeline, active)
}

// RereadOwnership reads the ownership record of a shard that this controller lost, and applies it to
// the view, which then contains the new owner. It gives up after ownershipReads attempts.
func (h *Host) RereadOwnership(id int) {
	ctx := h.env.Lifetime()
	for range ownershipReads {
		entry, err := h.env.Store().Get(ctx, statestore.Urgent("read back"), record.ShardKey(id))
		if err == nil {
			h.applyOwnership(id, entry)
			return
		}
		if errors.Is(err, statestore.ErrNotFound) {
			h.reportMissingOwnership(id)
		}
		retry.Sleep(ctx, retry.Jitter(readRetry))
	}
}

// confirmOwnership reads a shard's ownership record after another record was seen at a revision.
// If the ownership record is unchanged, it confirms to the shard that it was owned at that revision.
// A later ownership record is applied, which drops the shard. A missing one is checked for data loss.
func (h *Host) confirmOwnership(shard *scheduler.Shard, revision uint64) {
	var entry *wire.Entry
	read := h.RetryWhileServed(shard, func(ctx context.Context) (err error) {
		entry, err = h.GetIfPresent(ctx, record.ShardKey(shard.ID()))
		return err
	})
	switch {
	case !read:
	case entry == nil:
		h.reportMissingOwnership(shard.ID())
	case entry.Version == shard.Token():
		h.Update(shard, func(time.Time) { shard.OwnershipConfirmed(revision) })
	default:
		h.log.Info("shard has a later owner", "shard", shard.ID(), "token", shard.Token(), "found", entry.Version)
		h.applyOwnership(shard.ID(), *entry)
	}
}

// applyOwnership checks an ownership record that was read for data loss and applies it to the view.
func (h *Host) applyOwnership(id int, entry wire.Entry) {
	var rec record.Shard
	if err := json.Unmarshal(entry.Value, &rec); err != nil {
		h.log.Error("malformed shard record", "shard", id, "err", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportIfStaleOwnershipLocked(id, entry.Version)
	h.env.SetOwnershipLocked(id, rec, entry.Version)
}

// reportMissingOwnership checks for data loss after no ownership record of a shard was found.
func (h *Host) reportMissingOwnership(id int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportIfStaleOwnershipLocked(id, 0)
}

// reportIfStaleOwnershipLocked checks for data loss by comparing the version in which a shard's
// ownership record was found, 0 if it was missing, with the version in the view.
func (h *Host) reportIfStaleOwnershipLocked(id int, found uint64) {
	held, _ := h.env.OwnershipLocked(id)
	h.env.ReportIfStaleLocked(record.ShardKey(id), held.Version, found, time.Now())
}
