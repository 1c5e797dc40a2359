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

// recordTypesAttempts is how often the machine types are tried to be recorded for the others,
// which else ask the cloud themselves.
const recordTypesAttempts = 5

// MachineTypesLocked returns the machine types, none until they are known.
func (h *Host) MachineTypesLocked() []wire.MachineType { return h.machineTypes }

// SchedulerConfigLocked returns the configuration of all shards, nil until the machine types
// are known.
func (h *Host) SchedulerConfigLocked() *scheduler.Config { return h.schedulerConfig }

// SetMachineTypesLocked sets the machine types, which stay as they are from then on.
func (h *Host) SetMachineTypesLocked(types []wire.MachineType) {
	if len(h.machineTypes) > 0 || len(types) == 0 {
		return
	}
	h.machineTypes = types
	h.schedulerConfig = h.newConfig(types)
}

// LearnMachineTypes learns the machine types: from the state service, where the first
// controller to hear from the cloud put them, or from the cloud. It returns once they are
// known and, as far as that can be had, recorded.
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

// recordedTypes returns the machine types on record, none if they can't be read.
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

// recordTypes records the machine types unless they are on record already. Where they are too
// large for a record each controller asks the cloud itself.
func (h *Host) recordTypes(ctx context.Context, types []wire.MachineType) {
	value := record.Encode(types)
	if len(value) > h.settings.Params.State.Tight().Bytes() {
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
