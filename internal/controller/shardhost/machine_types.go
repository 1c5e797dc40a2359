package shardhost

import (
	"context"
	"encoding/json"
	"errors"

	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// recordTypesAttempts bounds the attempts to record the machine types for the other controllers,
// which otherwise ask the cloud themselves.
const recordTypesAttempts = 5

// MachineTypesLocked returns the machine types. The list is empty until they are known.
func (h *Host) MachineTypesLocked() []wire.MachineType { return h.machineTypes }

// SchedulerConfigLocked returns the configuration of all shards, or nil until the machine types
// are known.
func (h *Host) SchedulerConfigLocked() *scheduler.Config { return h.schedulerConfig }

// SetMachineTypesLocked sets the machine types. It has no effect if they are set already or if
// types is empty.
func (h *Host) SetMachineTypesLocked(types []wire.MachineType) {
	if len(h.machineTypes) > 0 || len(types) == 0 {
		return
	}
	h.machineTypes = types
	h.schedulerConfig = h.newConfig(types)
}

// LearnMachineTypes reads the machine types from the state service, where the first controller
// that got them from the cloud recorded them, or otherwise from the cloud. It returns once they
// are known and it has recorded them or given up recording them.
func (h *Host) LearnMachineTypes(ctx context.Context) {
	for ctx.Err() == nil {
		if types := h.recordedTypes(ctx); len(types) > 0 {
			h.setMachineTypes(types)
			return
		}
		types, err := h.env.Cloud().Types(ctx)
		if err == nil && len(types) > 0 {
			h.setMachineTypes(types)
			h.recordTypes(ctx, types)
			return
		}
		h.log.Debug("machine types not known yet", "err", err)
		retry.Sleep(ctx, retry.Jitter(typesRetry))
	}
}

func (h *Host) setMachineTypes(types []wire.MachineType) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.SetMachineTypesLocked(types)
}

// recordedTypes returns the recorded machine types, or none if there is no record or it cannot be
// read.
func (h *Host) recordedTypes(ctx context.Context) []wire.MachineType {
	entry, err := h.env.Store().Get(ctx, statestore.Urgent("types"), record.MachineTypesKey)
	if err != nil {
		return nil
	}
	var types []wire.MachineType
	if json.Unmarshal(entry.Value, &types) != nil {
		return nil
	}
	return types
}

// recordTypes records the machine types unless they are recorded already. If they are too large
// for a record, each controller asks the cloud itself.
func (h *Host) recordTypes(ctx context.Context, types []wire.MachineType) {
	value := record.Encode(types)
	if len(value) > h.settings.Params.State.LowestLimits().MaxValueBytes() {
		return
	}
	for range recordTypesAttempts {
		_, err := h.env.Store().Txn(ctx, statestore.Routine("types"), wire.Txn{
			If:   []wire.Condition{{Key: record.MachineTypesKey}},
			Then: []wire.Op{{Put: record.MachineTypesKey, Value: value}},
		})
		var conflict *statestore.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return
		}
		retry.Sleep(ctx, retry.Jitter(typesRetry))
	}
}
