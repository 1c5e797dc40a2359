package controller

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/drain"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// watchHandler brings what a watch learns of one prefix to the controller. It implements
// clusterview.Handler.
type watchHandler struct {
	c      *Controller
	prefix string
	reset  func(entries []wire.Entry, revision uint64, at time.Time)
	apply  func(change wire.Change, at time.Time)
}

// Reset implements clusterview.Handler.
func (h *watchHandler) Reset(entries []wire.Entry, revision uint64, at time.Time) {
	h.reset(entries, revision, at)
}

// Apply implements clusterview.Handler.
func (h *watchHandler) Apply(change wire.Change, at time.Time) { h.apply(change, at) }

// Current implements clusterview.Handler.
func (h *watchHandler) Current(at time.Time) { h.c.setViewAsOf(h.prefix, at) }

// Reached implements clusterview.Handler.
func (h *watchHandler) Reached(revision uint64, generation int) {
	h.c.setViewRevision(h.prefix, revision, generation)
}

// Generation implements clusterview.Handler.
func (h *watchHandler) Generation() int { return h.c.viewGeneration() }

// watch returns the watch of the records that a handler is for.
func (c *Controller) watch(h *watchHandler) *clusterview.Watch {
	h.c = c
	return &clusterview.Watch{Store: c.store, Prefix: h.prefix, Wait: c.watchWait(), Handler: h}
}

// startWatches begins to keep all views up to date.
func (c *Controller) startWatches(ctx context.Context) {
	for _, h := range []*watchHandler{
		{prefix: record.ClusterPrefix, reset: c.resetCluster, apply: c.applyClusterChange},
		{prefix: record.FleetPrefix, reset: c.resetMachines, apply: c.applyMachineChange},
		{prefix: record.ActiveJobPrefix, reset: c.resetActiveJobs, apply: c.applyActiveJobChange},
	} {
		go c.watch(h).Run(ctx)
	}
}

// recordView is what all views of records have in common.
type recordView interface {
	SetAsOf(at time.Time)
	Revision() uint64
	SetRevision(revision uint64)
	// Versions returns the versions of the records that it holds, by key.
	Versions() map[string]uint64
}

// view returns the view of the records with a prefix.
func (c *Controller) view(prefix string) recordView {
	switch prefix {
	case record.FleetPrefix:
		return c.machines
	case record.ActiveJobPrefix:
		return c.activeJobs
	default:
		return c.cluster
	}
}

// setViewAsOf takes in that a view was true at a time or later.
func (c *Controller) setViewAsOf(prefix string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view(prefix).SetAsOf(at)
}

// setViewRevision takes in the revision that a view has come to, unless it is to be read anew.
func (c *Controller) setViewRevision(prefix string, revision uint64, generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.safeMode.viewGeneration == generation {
		c.view(prefix).SetRevision(revision)
	}
}

func (c *Controller) resetCluster(entries []wire.Entry, rev uint64, at time.Time) {
	c.mu.Lock()
	c.checkListedShardsLocked(entries, rev, at)
	c.drainer.ResetLocked(entries, rev)
	c.cluster.Clear()
	c.mu.Unlock()
	for _, e := range entries {
		c.applyClusterChange(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}, at)
	}
	c.setViewAsOf(record.ClusterPrefix, at)
}

func (c *Controller) applyClusterChange(e wire.Change, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.applyClusterChangeLocked(e, at); err != nil {
		c.log.Error("cluster record", "key", e.Put+e.Delete, "err", err)
	}
}

// applyClusterChangeLocked brings a record under record.ClusterPrefix to whose it is. The lock is held.
func (c *Controller) applyClusterChangeLocked(e wire.Change, at time.Time) error {
	key := e.Put + e.Delete
	deleted := e.Put == ""
	switch {
	case key == record.MachineTypesKey:
		if deleted || c.machineTypesKnown {
			return nil
		}
		var t []wire.MachineType
		if err := json.Unmarshal(e.Value, &t); err != nil {
			return err
		}
		c.setMachineTypes(t)
		return nil
	case key == recovery.SafeModeKey:
		if deleted {
			return nil
		}
		var m recovery.SafeMode
		if err := json.Unmarshal(e.Value, &m); err != nil {
			return err
		}
		c.applySafeModeRecord(&m, at)
		return nil
	case strings.HasPrefix(key, drain.Prefix):
		return c.drainer.ApplyLocked(e)
	}
	changed, err := c.cluster.Apply(e)
	for _, r := range changed {
		c.dropLostShardLocked(r.ID, r.Rec.Owner, r.Version)
	}
	return err
}

// setShardRecordLocked takes in who owns a shard. The lock is held.
func (c *Controller) setShardRecordLocked(id int, r record.Shard, version uint64) {
	if c.cluster.SetShard(id, r, version) {
		c.dropLostShardLocked(id, r.Owner, version)
	}
}

// dropLostShardLocked ends serving a shard if its record is newer than this controller's token: it
// was acquired by another. The lock is held.
func (c *Controller) dropLostShardLocked(id int, owner string, version uint64) {
	if shard := c.shards[id]; shard != nil && version > shard.Token() {
		c.log.Info("shard lost", "shard", id, "to", owner)
		delete(c.shards, id)
	}
}

// resetMachines takes in all records of machines as of a revision; what is not
// there is gone, unless this controller has written it since. All of it counts
// at once: of a machine's records the first without the others would tell that
// there is no such machine, and so that its tasks are gone.
func (c *Controller) resetMachines(entries []wire.Entry, rev uint64, at time.Time) {
	keep := map[string]bool{}
	var changes []wire.Change
	for _, e := range entries {
		keep[e.Key] = true
		changes = append(changes, wire.Change{Put: e.Key, Value: e.Value, Version: e.Version})
	}
	c.mu.Lock()
	missing := map[string]uint64{}
	for key, version := range c.machines.Versions() {
		if !keep[key] && version <= rev {
			missing[key] = version
		}
	}
	if !c.safeMode.enabled {
		changes = append(changes, deletions(missing, rev)...)
	}
	c.applyMachineChangesLocked(changes, time.Now())
	c.mu.Unlock()
	if c.safeMode.enabled {
		c.dropUnlessLost(missing, rev)
	}
	c.setViewAsOf(record.FleetPrefix, at)
}

// deletions are the changes that end records as of a revision.
func deletions(keys map[string]uint64, rev uint64) []wire.Change {
	var out []wire.Change
	for key := range keys {
		out = append(out, wire.Change{Delete: key, Version: rev})
	}
	return out
}

// dropUnlessLost takes in that records of machines were missing from a list, unless it turns out
// that they were lost.
func (c *Controller) dropUnlessLost(missing map[string]uint64, rev uint64) {
	keys := maps.Clone(missing) // of which those that were not deleted are left
	for len(missing) > 0 && c.life.Err() == nil {
		if err := c.confirmMissing(c.life, record.FleetPrefix, missing); err == nil {
			break
		}
		retry.Sleep(c.life, retry.Jitter(400*time.Millisecond))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(keys) > 0 && !c.safeMode.state.Active() {
		c.applyMachineChangesLocked(deletions(keys, rev), time.Now())
	}
}

// checkListedShardsLocked compares the records of parts in a list with those held: they are never deleted.
// The lock is held.
func (c *Controller) checkListedShardsLocked(entries []wire.Entry, rev uint64, now time.Time) {
	if !c.safeMode.enabled {
		return
	}
	listed := entryVersions(entries)
	for key, held := range c.cluster.Versions() {
		if held <= rev {
			c.reportIfStale(key, held, listed[key], now)
		}
	}
}

func (c *Controller) applyMachineChange(e wire.Change, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyMachineChangesLocked([]wire.Change{e}, time.Now())
}

// applyMachineChangesLocked takes in records of machines, all of them before the parts are told.
// The lock is held.
func (c *Controller) applyMachineChangesLocked(changes []wire.Change, now time.Time) {
	changed, errs := c.machines.Apply(changes)
	for _, err := range errs {
		c.log.Error("fleet record", "err", err)
	}
	for _, m := range changed {
		for _, shard := range c.shards {
			c.notifyMachineLocked(shard, m, now)
		}
	}
	for _, shard := range c.shards {
		c.step(shard, now)
	}
}

// notifyMachineLocked tells a shard of a machine whose records changed. The lock is held.
func (c *Controller) notifyMachineLocked(shard *scheduler.Shard, m clusterview.MachineChange, now time.Time) {
	switch {
	case !m.Known && m.Released:
		shard.DropMachine(m.ID, now)
	case m.Known && (m.View.Shard == shard.ID() || shard.HasMachine(m.ID)):
		if err := shard.SetMachine(m.ID, m.View, now); err != nil {
			c.log.Error("machine record", "machine", m.ID, "err", err)
		}
	}
}

// resetActiveJobs takes in all open jobs as of a revision; what is not there has
// ended, unless it was accepted here since.
func (c *Controller) resetActiveJobs(entries []wire.Entry, rev uint64, at time.Time) {
	keep := map[string]bool{}
	for _, e := range entries {
		keep[record.LastElement(e.Key)] = true
		c.applyActiveJobChange(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}, at)
	}
	missing := map[string]uint64{}
	c.mu.Lock()
	for ref, version := range c.activeJobs.Missing(keep, rev) {
		missing[record.ActiveJobKey(ref)] = version
		c.removeActiveJobLocked(ref)
	}
	c.mu.Unlock()
	if c.safeMode.enabled {
		go c.confirmMissing(c.life, record.ActiveJobPrefix, missing)
	}
	c.setViewAsOf(record.ActiveJobPrefix, at)
}

func (c *Controller) applyActiveJobChange(e wire.Change, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyActiveJobChangeLocked(e, time.Now())
}

// applyActiveJobChangeLocked takes in an open job's record and tells its part. The lock is held.
func (c *Controller) applyActiveJobChangeLocked(e wire.Change, now time.Time) {
	change, applied, err := c.activeJobs.Apply(e)
	if err != nil {
		c.log.Error("job record", "err", err)
	}
	if !applied {
		return
	}
	if change.Ended {
		c.notifyJobEndedLocked(&change, now)
		return
	}
	c.notifyJobChangedLocked(&change, now)
}

// notifyJobEndedLocked tells the shards of a job that is not active any more: its owner ends jobs
// itself, but those that only waited. The lock is held.
func (c *Controller) notifyJobEndedLocked(change *clusterview.JobChange, now time.Time) {
	ref := change.Ref
	c.passDemandOn(change.Reclaimed)
	for _, shard := range c.shards {
		if shard.HasJob(ref) {
			shard.JobRecordGone(ref, now)
			c.step(shard, now)
		}
	}
	if c.activeJobs.HasDependents(ref) {
		c.lookUpDependencies(c.life, now)
	}
}

// notifyJobChangedLocked tells the shards of a new or changed active job. The lock is held.
func (c *Controller) notifyJobChangedLocked(change *clusterview.JobChange, now time.Time) {
	job := &change.Record
	shard := c.shards[job.Shard]
	if shard != nil {
		shard.SetJob(change.Ref, *job, change.Version, now)
	}
	c.passDemandOn(change.Reclaimed)
	if shard == nil {
		return
	}
	if len(job.Spec.DependsOn) > 0 {
		c.lookUpDependencies(c.life, now)
	}
	c.step(shard, now)
}

// watchWait is how long a watch may be silent: short where cancellations must
// be known soon.
func (c *Controller) watchWait() time.Duration {
	spare := config.Seconds(c.cfg.Params.Workers.CancelS - c.cfg.Params.Workers.LeaseS)
	return max(min(spare/4, maxWatchWait), minWatchWait)
}

// activeJobsStale reports whether what others wrote, such as cancellations, may have been
// unknown here for some turns of the watch. The lock is held.
func (c *Controller) activeJobsStale(now time.Time) bool {
	if !c.activeJobs.Loaded() {
		return now.Sub(c.startedAt) > firstViewWait
	}
	return now.Sub(c.activeJobs.AsOf()) > 2*c.watchWait()+watchSlack
}

// firstViewWait is how long a controller waits for its first view: workers that find
// it restarted while the state service is out of reach keep their leases.
const firstViewWait = keepHold - keepLook

// watchSlack is what a watch may be late besides its wait.
const watchSlack = 2 * time.Second
