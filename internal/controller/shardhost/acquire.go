package shardhost

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Errors of an acquisition that failed after the ownership record was written.
var (
	// ErrLostWhileLoading means that another controller wrote the ownership record while this
	// one was reading the shard's records.
	ErrLostWhileLoading = errors.New("shard lost while loading")
	// ErrSafeModeBegan means that data loss was suspected while the shard was being loaded.
	ErrSafeModeBegan = errors.New("safe mode began")
)

// AcquiredByOtherError is returned when another controller acquired the shard while this one
// loaded it.
type AcquiredByOtherError struct {
	Owner string // the later owner's label
	Token uint64 // the later owner's fencing token
}

// Error implements error.
func (e *AcquiredByOtherError) Error() string {
	return fmt.Sprintf("acquired by %s meanwhile under token %d", e.Owner, e.Token)
}

// Pauses before failed reads are retried.
const (
	loadRetry  = 300 * time.Millisecond // of the records of a shard that is being acquired
	readRetry  = 400 * time.Millisecond // of records that a hosted shard needs
	typesRetry = time.Second            // of the machine types
)

// StartAcquisitionLocked begins to acquire a shard in the background. The caller must check first that no
// acquisition of the shard is under way.
func (h *Host) StartAcquisitionLocked(ctx context.Context, id int, reason Reason) {
	h.acquiring[id] = true
	seen, _ := h.env.OwnershipLocked(id)
	incarnation := h.env.Incarnation()
	h.log.Debug("acquiring shard", "shard", id, "reason", reason)
	go func() {
		err := h.Acquire(ctx, id, seen, incarnation)
		h.mu.Lock()
		delete(h.acquiring, id)
		h.mu.Unlock()
		if err != nil {
			h.log.Info("shard not acquired", "shard", id, "reason", reason, "err", err)
		}
	}()
}

// Acquire writes the ownership record of a shard, reads the shard's records and begins to serve
// it. The write fails if the ownership record is no longer the one in seen; its error is wrapped. The
// other errors are ErrLostWhileLoading, ErrSafeModeBegan, *AcquiredByOtherError and those of the
// context. The caller must not hold the Host's lock.
func (h *Host) Acquire(ctx context.Context, id int, seen Ownership, incarnation uint64) error {
	token, err := h.recordOwnership(ctx, id, seen, incarnation)
	if err != nil {
		return fmt.Errorf("record ownership: %w", err)
	}
	shard, err := h.loadUntilLost(ctx, id, token)
	if err != nil {
		return err
	}
	return h.install(ctx, shard)
}

// loadUntilLost loads a shard under its token. It retries until that succeeds, the context ends, or
// the view has a later ownership record, which makes the token outdated.
func (h *Host) loadUntilLost(ctx context.Context, id int, token uint64) (*scheduler.Shard, error) {
	h.mu.Lock()
	config := h.schedulerConfig
	h.mu.Unlock()
	for ctx.Err() == nil {
		shard, err := h.load(ctx, config, id, token)
		if err == nil {
			return shard, nil
		}
		h.log.Info("shard not loaded yet", "shard", id, "err", err)
		if !retry.Sleep(ctx, retry.Jitter(loadRetry)) {
			break
		}
		if h.ownershipVersion(id) > token {
			return nil, ErrLostWhileLoading
		}
	}
	return nil, ctx.Err()
}

// ownershipVersion returns the version of a shard's ownership record in the view, 0 if there is
// none.
func (h *Host) ownershipVersion(id int) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	ownership, _ := h.env.OwnershipLocked(id)
	return ownership.Version
}

// recordOwnership records this controller as a shard's owner and returns the fencing token. If
// that fails, it reads the present ownership record into the view.
func (h *Host) recordOwnership(ctx context.Context, id int, seen Ownership, incarnation uint64) (token uint64, err error) {
	key := record.ShardKey(id)
	rec := record.Shard{Owner: h.settings.Label, Incarnation: incarnation}
	token, err = h.env.Store().Txn(ctx, statestore.Urgent("claim"), wire.Txn{
		If:   []wire.Condition{{Key: key, Version: seen.Version}},
		Then: []wire.Op{{Put: key, Value: record.Encode(rec)}},
	})
	if err == nil {
		h.setOwnership(id, rec, token)
		return token, nil
	}
	entry, readErr := h.env.Store().Get(ctx, statestore.Urgent("claim"), key)
	var current record.Shard
	if readErr == nil && json.Unmarshal(entry.Value, &current) == nil {
		h.setOwnership(id, current, entry.Version)
	}
	return 0, err
}

func (h *Host) setOwnership(id int, rec record.Shard, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.env.SetOwnershipLocked(id, rec, version)
}

// install begins to serve a shard that was loaded, unless a later owner is known or safe mode
// began in the meantime.
func (h *Host) install(ctx context.Context, shard *scheduler.Shard) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.env.SafeModeLocked() {
		return ErrSafeModeBegan
	}
	if current, _ := h.env.OwnershipLocked(shard.ID()); current.Version > shard.Token() {
		return &AcquiredByOtherError{Owner: current.Rec.Owner, Token: current.Version}
	}
	h.ServeLocked(shard)
	now := time.Now()
	h.applyViewsLocked(shard, now)
	h.log.Info("shard acquired", "shard", shard.ID(), "token", shard.Token())
	h.env.AcquiredLocked(shard, now)
	h.StepLocked(shard, now)
	go h.rereadActiveJobs(ctx, shard)
	return nil
}

// applyViewsLocked updates a shard from the views, which may have changed while the shard's records
// were read.
func (h *Host) applyViewsLocked(shard *scheduler.Shard, now time.Time) {
	for _, machine := range h.env.MachinesOfShardLocked(shard.ID()) {
		if err := shard.SetMachine(machine.ID, machine.View, now); err != nil {
			h.log.Error("machine record not applied", "shard", shard.ID(), "machine", machine.ID, "err", err)
		}
	}
	h.env.InheritDependenciesLocked(shard)
}
