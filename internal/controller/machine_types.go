package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// machineTypesRetry is about how long the loop of the machine types waits after a failure.
	machineTypesRetry = time.Second
	// machineTypesWrites is how often their record is tried to be written.
	machineTypesWrites = 5
)

// machineTypesLoop learns the machine types, once: from the state service, where the first
// controller to hear of them from the cloud put them, or from the cloud.
func (c *Controller) machineTypesLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if types := c.recordedMachineTypes(ctx); len(types) > 0 {
			c.learnMachineTypes(types)
			return
		}
		types, err := c.cloud.Types(ctx)
		if err == nil && len(types) > 0 {
			c.learnMachineTypes(types)
			c.recordMachineTypes(ctx, types)
			return
		}
		c.log.Debug("machine types", "err", err)
		retry.Sleep(ctx, retry.Jitter(machineTypesRetry))
	}
}

// recordedMachineTypes reads the machine types from the state service; there are none if
// they are not on record or can't be read.
func (c *Controller) recordedMachineTypes(ctx context.Context) []wire.MachineType {
	e, err := c.store.Get(ctx, statestore.Urgent("types"), record.MachineTypesKey)
	if err != nil {
		return nil
	}
	var types []wire.MachineType
	if err := json.Unmarshal(e.Value, &types); err != nil {
		return nil
	}
	return types
}

// recordMachineTypes puts the machine types on record for the other controllers, unless
// another has done so. Where they are too large for a record, each controller asks the cloud.
func (c *Controller) recordMachineTypes(ctx context.Context, types []wire.MachineType) {
	value := record.Encode(types)
	if len(value) > c.writeLimits().Bytes() {
		return
	}
	for range machineTypesWrites {
		_, err := c.store.Txn(ctx, statestore.Routine("types"), wire.Txn{
			If:   []wire.Condition{{Key: record.MachineTypesKey}},
			Then: []wire.Op{{Put: record.MachineTypesKey, Value: value}},
		})
		var conflict *statestore.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return
		}
		retry.Sleep(ctx, retry.Jitter(machineTypesRetry))
	}
}

// learnMachineTypes sets the machine types under the shards' lock.
func (c *Controller) learnMachineTypes(types []wire.MachineType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setMachineTypes(types)
}

// setMachineTypes sets the machine types and what follows from them for shards; the first
// that are known stay. The shards' lock is held.
func (c *Controller) setMachineTypes(types []wire.MachineType) {
	if c.machineTypes != nil || len(types) == 0 {
		return
	}
	c.machineTypes = types
	c.schedulerConfig = c.newSchedulerConfig(types)
}
