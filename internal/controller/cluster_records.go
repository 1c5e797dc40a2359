package controller

import (
	"encoding/json"
	"strings"
	"time"

	"bramblespur/internal/controller/dataloss"
	"bramblespur/internal/drain"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/wire"
)

// resetCluster applies a list of all records under record.ClusterPrefix. There are few of them, and
// all are applied within one critical section, so that nobody sees a cluster without members. It takes
// the shards' lock.
func (c *Controller) resetCluster(list recordList, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkListedShardsLocked(list.entries, list.revision, at)
	c.drainer.ResetLocked(list.entries, list.revision)
	c.cluster.ClearUpTo(list.revision)
	for _, e := range list.entries {
		c.logClusterChangeLocked(e.Change(), at)
	}
	c.setViewRevisionLocked(record.ClusterPrefix, list.revision, list.generation)
	c.cluster.SetAsOf(at)
}

// applyClusterChange applies a change of a record under record.ClusterPrefix. It takes the shards'
// lock.
func (c *Controller) applyClusterChange(e wire.Change, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logClusterChangeLocked(e, at)
}

// logClusterChangeLocked applies a change of a record under record.ClusterPrefix, and logs the error of
// a record that is not applied. The shards' lock is held.
func (c *Controller) logClusterChangeLocked(e wire.Change, at time.Time) {
	if err := c.applyClusterChangeLocked(e, at); err != nil {
		c.log.Error("record not applied", "key", e.Put+e.Delete, "err", err)
	}
}

// applyClusterChangeLocked passes a changed record to the component that keeps records of its kind.
// It returns an error if the record cannot be decoded. The shards' lock is held.
func (c *Controller) applyClusterChangeLocked(e wire.Change, at time.Time) error {
	key := e.Put + e.Delete
	switch {
	case key == record.MachineTypesKey:
		return c.applyMachineTypesLocked(e)
	case key == recovery.SafeModeKey:
		return c.applySafeModeChangeLocked(e, at)
	case strings.HasPrefix(key, drain.Prefix):
		return c.drainer.ApplyLocked(e)
	}
	changed, err := c.cluster.Apply(e)
	for _, r := range changed {
		c.dropLostShardLocked(r.ID, r.Rec.Owner, r.Version)
	}
	return err
}

// applyMachineTypesLocked applies the record of the machine types. Once the types are known, later
// changes are ignored. The shards' lock is held.
func (c *Controller) applyMachineTypesLocked(e wire.Change) error {
	if e.Put == "" || c.shards.MachineTypesLocked() != nil {
		return nil
	}
	var types []wire.MachineType
	if err := json.Unmarshal(e.Value, &types); err != nil {
		return err
	}
	c.shards.SetMachineTypesLocked(types)
	return nil
}

// applySafeModeChangeLocked applies a change of the safe mode record; it ignores a deletion. The
// shards' lock is held.
func (c *Controller) applySafeModeChangeLocked(e wire.Change, at time.Time) error {
	if e.Put == "" {
		return nil
	}
	var m recovery.SafeMode
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return err
	}
	c.dataLoss.ApplyRecordLocked(&m, at)
	return nil
}

// setShardRecordLocked applies a shard's ownership record, unless the view has a later one. The
// shards' lock is held.
func (c *Controller) setShardRecordLocked(id int, r record.Shard, version uint64) {
	if c.cluster.SetShard(id, r, version) {
		c.dropLostShardLocked(id, r.Owner, version)
	}
}

// dropLostShardLocked stops serving a shard if the version of its ownership record is higher than
// this controller's fencing token, which means that the shard has been acquired by or transferred to
// another controller. The shards' lock is held.
func (c *Controller) dropLostShardLocked(id int, owner string, version uint64) {
	if shard := c.shards.GetLocked(id); shard != nil && version > shard.Token() {
		c.log.Info("shard lost", "shard", id, "to", owner)
		c.shards.DropLocked(id)
	}
}

// checkListedShardsLocked compares the ownership records in a list as of a revision with those in the
// view. Ownership records are never deleted, so one that is missing or older was lost by the state
// service. The shards' lock is held.
func (c *Controller) checkListedShardsLocked(entries []wire.Entry, rev uint64, now time.Time) {
	if !c.dataLoss.Enabled() {
		return
	}
	listed := dataloss.EntryVersions(entries)
	for key, held := range c.cluster.Versions() {
		if held <= rev {
			c.dataLoss.ReportIfStaleLocked(key, held, listed[key], now)
		}
	}
}
