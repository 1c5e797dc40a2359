package controller

import (
	"maps"
	"time"

	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// confirmRetryDelay is the mean pause before a failed check of missing records is repeated.
const confirmRetryDelay = 400 * time.Millisecond

// resetMachines applies a list of all records of machines. A record that is not
// listed was deleted, unless this controller has written it since. All records are applied together:
// one of a machine's records without the others would show that the machine does not exist, and
// therefore that its tasks are gone. It takes the shards' lock.
func (c *Controller) resetMachines(list recordList, at time.Time) {
	listed := map[string]bool{}
	var changes []wire.Change
	for _, e := range list.entries {
		listed[e.Key] = true
		changes = append(changes, e.Change())
	}
	c.mu.Lock()
	missing := c.machines.Missing(listed, list.revision)
	if !c.dataLoss.Enabled() {
		changes = append(changes, deletions(missing, list.revision)...)
	}
	c.applyMachineChangesLocked(changes, time.Now())
	c.setViewRevisionLocked(record.FleetPrefix, list.revision, list.generation)
	c.mu.Unlock()
	if c.dataLoss.Enabled() {
		c.dropUnlessLost(missing, list.revision)
	}
	c.setViewAsOf(record.FleetPrefix, at)
}

// deletions returns changes that delete the records with the given keys as of a revision.
func deletions(keys map[string]uint64, rev uint64) []wire.Change {
	var out []wire.Change
	for key := range keys {
		out = append(out, wire.Change{Delete: key, Version: rev})
	}
	return out
}

// dropUnlessLost removes machine records that were missing from a list as of a revision from the
// view, unless the state service has lost them. missing holds the records' versions by key. It
// returns once that is confirmed or the controller stops. It takes the shards' lock.
func (c *Controller) dropUnlessLost(missing map[string]uint64, rev uint64) {
	keys := maps.Clone(missing) // ConfirmMissing removes the deleted records from missing
	for len(missing) > 0 && c.lifetime.Err() == nil {
		if err := c.audit.ConfirmMissing(c.lifetime, record.FleetPrefix, missing); err == nil {
			break
		}
		retry.Sleep(c.lifetime, retry.Jitter(confirmRetryDelay))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(keys) > 0 && !c.dataLoss.ActiveLocked() {
		c.applyMachineChangesLocked(deletions(keys, rev), time.Now())
	}
}

// applyMachineChange applies a change of a machine's record. It takes the shards' lock.
func (c *Controller) applyMachineChange(e wire.Change, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyMachineChangesLocked([]wire.Change{e}, time.Now())
}

// applyMachineChangesLocked applies changes of machine records, from the watch, to the view, then
// passes the changed machines to the shards and runs a step of each. The shards' lock is held.
func (c *Controller) applyMachineChangesLocked(changes []wire.Change, now time.Time) {
	changed, errs := c.machines.Apply(changes)
	c.notifyMachinesLocked(changed, errs, now)
}

// applyMachineAheadLocked is applyMachineChangesLocked for a change that this controller has written
// itself, whose answer may come late.
func (c *Controller) applyMachineAheadLocked(e wire.Change, now time.Time) {
	changed, errs := c.machines.ApplyAhead([]wire.Change{e})
	c.notifyMachinesLocked(changed, errs, now)
}

// notifyMachinesLocked passes changed machines to the shards and runs a step of each. It logs the
// errors of records that were not applied. The shards' lock is held.
func (c *Controller) notifyMachinesLocked(changed []clusterview.MachineChange, errs []error, now time.Time) {
	for _, err := range errs {
		c.log.Error("record not applied", "err", err)
	}
	for _, m := range changed {
		for _, shard := range c.shards.AllLocked() {
			c.notifyMachineLocked(shard, m, now)
		}
	}
	for _, shard := range c.shards.AllLocked() {
		c.shards.StepLocked(shard, now)
	}
}

// notifyMachineLocked passes a machine whose records changed to a shard that has the machine or is to
// have it. The shards' lock is held.
func (c *Controller) notifyMachineLocked(shard *scheduler.Shard, m clusterview.MachineChange, now time.Time) {
	switch {
	case !m.Known && m.Released:
		shard.DropMachine(m.ID, now)
	case m.Known && (m.View.Shard == shard.ID() || shard.HasMachine(m.ID)):
		if err := shard.SetMachine(m.ID, m.View, now); err != nil {
			c.log.Error("machine not applied", "shard", shard.ID(), "machine", m.ID, "err", err)
		}
	}
}
