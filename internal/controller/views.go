package controller

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strconv"
	"strings"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/drain"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// watchLoop keeps a view of the keys with a prefix: all of them first, then
// each change.
func (c *Controller) watchLoop(ctx context.Context, prefix string, reset func([]wire.Entry, uint64, time.Time), change func(wire.Change, time.Time)) {
	for ctx.Err() == nil {
		at := time.Now()
		entries, rev, err := c.store.List(ctx, statestore.Urgent("view"), prefix)
		if err != nil {
			sleep(ctx, jitter(400*time.Millisecond))
			continue
		}
		relists := c.viewResets()
		reset(entries, rev, at)
		c.viewReached(prefix, rev, relists)
		for ctx.Err() == nil && c.viewResets() == relists {
			at := time.Now()
			ch, err := c.store.Watch(ctx, prefix, rev, c.watchWait())
			if errors.Is(err, statestore.ErrTooOld) || errors.Is(err, httpwire.ErrTooLarge) {
				break // what is there is smaller than all that happened since
			}
			if err != nil {
				sleep(ctx, jitter(400*time.Millisecond))
				continue
			}
			for _, e := range ch.Events {
				change(e, at)
			}
			rev = max(rev, ch.Revision)
			c.viewed(prefix, at)
			c.viewReached(prefix, rev, relists)
			if len(ch.Events) > 0 {
				sleep(ctx, watchPause)
			}
		}
	}
}

func (c *Controller) viewed(prefix string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch prefix {
	case record.ClusterPrefix:
		c.viewAt = at
	case record.ActiveJobPrefix:
		c.jobsAt = at
	case record.FleetPrefix:
		c.fleetAt = at
	}
}

// viewReached takes in the revision that a view has come to, unless it is to be read anew.
func (c *Controller) viewReached(prefix string, revision uint64, relists int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.safeMode.viewResets == relists {
		c.viewRevisions[prefix] = revision
	}
}

func (c *Controller) resetCluster(entries []wire.Entry, rev uint64, at time.Time) {
	c.mu.Lock()
	c.checkShards(entries, rev, at)
	c.resetDrains(entries, rev)
	c.shardRecords = map[int]versioned[record.Shard]{}
	c.members = map[string]record.Member{}
	c.leader = versioned[record.Leader]{}
	// Formats are never taken back, so those known stay.
	c.mu.Unlock()
	for _, e := range entries {
		c.changeCluster(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}, at)
	}
	c.viewed(record.ClusterPrefix, at)
}

func (c *Controller) changeCluster(e wire.Change, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := e.Put + e.Delete
	gone := e.Put == ""
	var err error
	switch {
	case key == record.LeaderKey:
		c.leader = versioned[record.Leader]{version: e.Version}
		if gone {
			c.leader = versioned[record.Leader]{}
		} else {
			err = json.Unmarshal(e.Value, &c.leader.rec)
		}
	case key == record.MachineTypesKey:
		if !gone && !c.machineTypesKnown {
			var t []wire.MachineType
			if err = json.Unmarshal(e.Value, &t); err == nil {
				c.setMachineTypes(t)
			}
		}
	case strings.HasPrefix(key, record.MemberPrefix):
		label := record.Last(key)
		if gone {
			delete(c.members, label)
		} else {
			var m record.Member
			if err = json.Unmarshal(e.Value, &m); err == nil {
				c.members[label] = m
			}
		}
	case strings.HasPrefix(key, record.FormatPrefix):
		var f record.Format
		if !gone {
			if err = json.Unmarshal(e.Value, &f); err == nil {
				c.formats[record.Last(key)] = f
			}
		}
	case key == recovery.SafeModeKey:
		var m recovery.SafeMode
		if !gone {
			if err = json.Unmarshal(e.Value, &m); err == nil {
				c.applySafeModeRecord(&m, at)
			}
		}
	case strings.HasPrefix(key, drain.Prefix):
		err = c.drains.view.Apply(e)
	case strings.HasPrefix(key, record.ShardPrefix):
		id, ok := shardID(key)
		if !ok || gone {
			break
		}
		var r record.Shard
		if err = json.Unmarshal(e.Value, &r); err == nil {
			c.setShardRecord(id, r, e.Version)
		}
	}
	if err != nil {
		c.log.Error("cluster record", "key", key, "err", err)
	}
}

// shardID returns the part that a key under record.PartPrefix names.
func shardID(key string) (int, bool) {
	n, err := strconv.Atoi(record.Last(key))
	return n, err == nil && n >= 0
}

// setShardRecord takes in who owns a part. A claim by somebody else ends ours.
func (c *Controller) setShardRecord(id int, r record.Shard, version uint64) {
	if old := c.shardRecords[id]; version < old.version {
		return
	}
	c.shardRecords[id] = versioned[record.Shard]{r, version}
	if shard := c.shards[id]; shard != nil && version > shard.Token() {
		c.log.Info("shard lost", "shard", id, "to", r.Owner)
		delete(c.shards, id)
	}
}

// resetFleet takes in all records of machines as of a revision; what is not
// there is gone, unless this controller has written it since. All of it counts
// at once: of a machine's records the first without the others would tell that
// there is no such machine, and so that its tasks are gone.
func (c *Controller) resetFleet(entries []wire.Entry, rev uint64, at time.Time) {
	keep := map[string]bool{}
	var changes []wire.Change
	for _, e := range entries {
		keep[e.Key] = true
		changes = append(changes, wire.Change{Put: e.Key, Value: e.Value, Version: e.Version})
	}
	c.mu.Lock()
	missing := map[string]uint64{}
	for key, version := range c.fleet.Versions() {
		if !keep[key] && version <= rev {
			missing[key] = version
		}
	}
	if !c.safeMode.enabled {
		changes = append(changes, deletions(missing, rev)...)
	}
	c.takeFleet(changes, time.Now())
	c.mu.Unlock()
	if c.safeMode.enabled {
		c.dropMissing(missing, rev)
	}
	c.viewed(record.FleetPrefix, at)
}

// deletions are the changes that end records as of a revision.
func deletions(keys map[string]uint64, rev uint64) []wire.Change {
	var out []wire.Change
	for key := range keys {
		out = append(out, wire.Change{Delete: key, Version: rev})
	}
	return out
}

// dropMissing takes in that records of machines were missing from a list, unless it turns out
// that they were lost.
func (c *Controller) dropMissing(missing map[string]uint64, rev uint64) {
	keys := maps.Clone(missing) // of which those that were not deleted are left
	for len(missing) > 0 && c.life.Err() == nil {
		if err := c.confirmMissing(c.life, record.FleetPrefix, missing); err == nil {
			break
		}
		sleep(c.life, jitter(400*time.Millisecond))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(keys) > 0 && !c.safeMode.state.Active() {
		c.takeFleet(deletions(keys, rev), time.Now())
	}
}

// checkShards compares the records of parts in a list with those held: they are never deleted.
// The lock is held.
func (c *Controller) checkShards(entries []wire.Entry, rev uint64, now time.Time) {
	if !c.safeMode.enabled {
		return
	}
	listed := entryVersions(entries)
	for key, held := range c.heldVersions(record.ClusterPrefix) {
		if held <= rev {
			c.reportIfStale(key, held, listed[key], now)
		}
	}
}

func (c *Controller) changeFleet(e wire.Change, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeFleet([]wire.Change{e}, time.Now())
}

// takeFleet takes in records of machines, all of them before the parts are told.
// The lock is held.
func (c *Controller) takeFleet(changes []wire.Change, now time.Time) {
	gone, changed := map[string]bool{}, map[string]bool{}
	for _, e := range changes {
		ids, err := c.fleet.Change(e)
		if err != nil {
			c.log.Error("fleet record", "err", err)
			continue
		}
		for _, id := range ids {
			changed[id] = true
			// Only a rental's end proves a machine gone; that the rental is not
			// known here proves nothing.
			if strings.HasPrefix(e.Delete, record.ProvisionPrefix) {
				gone[id] = true
			}
		}
	}
	for id := range changed {
		v, ok := c.fleet.Machine(id)
		for _, shard := range c.shards {
			switch {
			case !ok && gone[id]:
				shard.DropMachine(id, now)
			case ok && (v.Shard == shard.ID() || shard.HasMachine(id)):
				if err := shard.SetMachine(id, v, now); err != nil {
					c.log.Error("machine record", "machine", id, "err", err)
				}
			}
		}
	}
	for _, shard := range c.shards {
		c.step(shard, now)
	}
}

// resetOpen takes in all open jobs as of a revision; what is not there has
// ended, unless it was accepted here since.
func (c *Controller) resetOpen(entries []wire.Entry, rev uint64, at time.Time) {
	keep := map[string]bool{}
	for _, e := range entries {
		keep[record.Last(e.Key)] = true
		c.changeOpen(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}, at)
	}
	missing := map[string]uint64{}
	c.mu.Lock()
	for ref, j := range c.activeJobs {
		if !keep[ref] && j.version <= rev {
			missing[record.ActiveJobKey(ref)] = j.version
			c.removeActiveJob(ref)
		}
	}
	c.mu.Unlock()
	if c.safeMode.enabled {
		go c.confirmMissing(c.life, record.ActiveJobPrefix, missing)
	}
	c.viewed(record.ActiveJobPrefix, at)
}

func (c *Controller) changeOpen(e wire.Change, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openChange(e, time.Now())
}

// openChange takes in an open job's record and tells its part. The lock is held.
func (c *Controller) openChange(e wire.Change, now time.Time) {
	ref := record.Last(e.Put + e.Delete)
	if held := c.activeJobs[ref].version; held > e.Version || (held == e.Version && e.Put != "") {
		return // older, or known: what was written here comes once more with the watch
	}
	if e.Put == "" {
		c.removeActiveJob(ref) // the owner ends jobs itself, but those that only waited
		for _, shard := range c.shards {
			if shard.HasJob(ref) {
				shard.JobRecordGone(ref, now)
				c.step(shard, now)
			}
		}
		if len(c.dependencies.After(ref)) > 0 {
			c.lookUpDependencies(c.life, now)
		}
		return
	}
	var o record.ActiveJob
	if err := json.Unmarshal(e.Value, &o); err != nil {
		c.log.Error("job record", "key", e.Put, "err", err)
		return
	}
	c.activeJobs[ref] = activeJob{version: e.Version, part: o.Shard, cancelled: o.Cancelled, service: o.Spec.Kind == wire.Service}
	changed := c.dependencies.Set(ref, dependencyStep(&o))
	shard := c.shards[o.Shard]
	if shard != nil {
		shard.SetJob(ref, o, e.Version, now)
	}
	c.passDemandOn(changed)
	if shard != nil {
		if len(o.Spec.DependsOn) > 0 {
			c.lookUpDependencies(c.life, now)
		}
		c.step(shard, now)
	}
}

// watchWait is how long a watch may be silent: short where cancellations must
// be known soon.
func (c *Controller) watchWait() time.Duration {
	spare := config.Seconds(c.cfg.Params.Workers.CancelS - c.cfg.Params.Workers.LeaseS)
	return max(min(spare/4, longestWatch), shortestWatch)
}

// blind reports whether what others wrote, such as cancellations, may have been
// unknown here for some turns of the watch. The lock is held.
func (c *Controller) blind(now time.Time) bool {
	if c.jobsAt.IsZero() {
		return now.Sub(c.startedAt) > firstView
	}
	return now.Sub(c.jobsAt) > 2*c.watchWait()+callSlack
}

// firstView is how long a controller waits for its first view: workers that find
// it restarted while the state service is out of reach keep their leases.
const firstView = keepHold - keepLook

// callSlack is what a watch may be late besides its wait.
const callSlack = 2 * time.Second
