package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// testAudit is the interval of the leader's audits in tests. All tests run with audits: whatever
// fails, no controller may suspect data loss unless data was lost.
const testAudit = 10 * time.Second

// everInSafeMode reports whether a controller has ever held a safe mode.
func (c *Controller) everInSafeMode() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dataLoss.ModeLocked().Epoch > 0
}

// allInSafeMode reports whether every controller is in safe mode.
func (k *cluster) allInSafeMode() bool {
	for _, label := range k.labels {
		if p := k.process(label); p == nil || !p.c.dataLoss.Active() {
			return false
		}
	}
	return true
}

// tasks returns all tasks on machines, each with its machine, in a fixed order.
func (k *cluster) tasks() []string {
	var out []string
	for _, m := range k.world.Machines() {
		for _, task := range m.Tasks() {
			out = append(out, m.ID+" "+task)
		}
	}
	slices.Sort(out)
	return out
}

// awaitStableTasks waits until no preempted task is still saving: the tasks on machines stay the
// same for 20 s.
func (k *cluster) awaitStableTasks() {
	k.t.Helper()
	var earlier []string
	for now := k.tasks(); !slices.Equal(now, earlier); now = k.tasks() {
		earlier = now
		time.Sleep(20 * time.Second)
	}
}

// restoreData restores the records of the state service, as a recovery would, and ends the safe
// mode.
func (k *cluster) restoreData(full testkit.StoreContents) {
	k.t.Helper()
	mode := recovery.SafeMode{}
	for _, label := range k.labels {
		p := k.process(label)
		p.c.mu.Lock()
		if m := p.c.dataLoss.ModeLocked(); m.Epoch >= mode.Epoch {
			mode = m
		}
		p.c.mu.Unlock()
	}
	mode.Active = false
	now := k.world.State.Contents()
	for key, e := range now.Entries { // jobs accepted before the loss was noticed
		if _, known := full.Entries[key]; !known {
			full.Entries[key] = e
		}
	}
	full.Revision = max(full.Revision, now.Revision, mode.Floor) + 1
	full.Entries[recovery.SafeModeKey] = wire.Entry{Key: recovery.SafeModeKey, Value: record.Encode(mode), Version: full.Revision}
	k.world.State.Revert(full)
}

// silentLosses are the losses of data that a state service may suffer without an error.
var silentLosses = map[string]func(k *cluster){
	"everything":   func(k *cluster) { k.loseRecords("") },
	"open jobs":    func(k *cluster) { k.loseRecords(record.ActiveJobPrefix) },
	"a part's own": func(k *cluster) { k.loseRecords(record.ShardKey(k.shardOfTeam("wide"))) },
	"parts":        func(k *cluster) { k.loseRecords(record.ShardPrefix) },
	"machines":     func(k *cluster) { k.loseRecords(record.FleetPrefix) },
	"rentals":      func(k *cluster) { k.loseRecords(record.ProvisionPrefix) },
	"final states": func(k *cluster) { k.loseRecords(record.FinishedJobPrefix) },
	"placements, while they are written": func(k *cluster) {
		k.loseRecords(record.PlacementsPrefix)
		for i, team := range []string{"wide", "other", "tight"} {
			k.submitInBackground(spec(ref(firstFreeJob+20+i), team, nil), shortRun)
		}
	},
}

// loseRecords makes the state service lose all records with a prefix.
func (k *cluster) loseRecords(prefix string) {
	k.t.Helper()
	lost := k.world.State.Lose(func(key string) bool { return strings.HasPrefix(key, prefix) })
	k.requireOccurred(len(lost) > 0, "records with "+prefix+" are lost")
}

// checkSafeModeHolds checks for d that workers get no commands, that running tasks go on, and that
// users are told to retry, except where an answer is final.
func (k *cluster) checkSafeModeHolds(d time.Duration) {
	k.t.Helper()
	began, running := time.Now(), k.tasks()
	for time.Since(began) < d {
		time.Sleep(time.Second)
		for i, label := range k.labels {
			if status, _ := k.world.Ask(testkit.Poll, label, ref(arrayJob), nil); status != 503 {
				k.t.Fatalf("status query at %s in safe mode: status %d, want 503", label, status)
			}
			if status, _ := k.world.Ask(testkit.Poll, label, fmt.Sprintf("run-9%05d", i), nil); status != 503 {
				k.t.Fatalf("status query at %s for an unknown job in safe mode: status %d, want 503", label, status)
			}
		}
	}
	if n := k.world.CommandLog().CountSince(began.Add(time.Second)); n > 0 {
		k.t.Errorf("%d commands in safe mode, want none", n)
	}
	if now := k.tasks(); !slices.Equal(now, running) {
		k.t.Errorf("tasks on machines in safe mode changed from %v to %v", running, now)
	}
}

// Whatever the state service loses without an error, every controller must notice it or be
// notified, and do nothing until the data is restored. Then service must resume.
func TestSafeModeAfterSilentLoss(t *testing.T) {
	for name, loss := range silentLosses {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.losesData = true
				k.load()
				k.submit(spec(ref(firstFreeJob), "wide", nil), shortRun)
				k.await(2*time.Minute, "the end of a job", func() bool { return k.world.LastState(ref(firstFreeJob)) == wire.Done })
				k.awaitStableTasks()
				full := k.world.State.Contents()
				loss(k)
				k.await(time.Minute, "safe mode", k.allInSafeMode)
				k.checkSafeModeHolds(2 * k.timing.Lease)
				k.restoreData(full)
				k.await(time.Minute, "a leader and an owner of every shard after safe mode", func() bool { return k.allShardsOwned() && k.leader() != "" })
			})
		})
	}
}

// The state service returns to an older revision, by seconds or by a minute, while the controllers
// hold newer records or have all just started.
func TestSafeModeAfterOlderRevision(t *testing.T) {
	for name, x := range map[string]struct {
		by      time.Duration
		restart bool
	}{
		"seconds": {2 * time.Second, false}, "a minute": {time.Minute, false}, "a minute, all restarted": {time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.losesData = true
				k.load()
				old := k.world.State.Contents()
				owner := k.ownerOfTeam("wide")
				k.crash(owner) // workers then hold the shard's next fencing token, which is not in the older revision
				k.awaitNewOwner("wide", owner)
				k.startMissing()
				for i := range 4 {
					k.submitInBackground(spec(ref(firstFreeJob+i), "wide", nil), longRun)
				}
				time.Sleep(x.by + k.timing.Report)
				k.awaitStableTasks()
				full := k.world.State.Contents()
				if x.restart {
					for _, label := range k.labels {
						k.crash(label)
					}
				}
				k.world.State.Revert(old)
				k.startMissing()
				k.await(time.Minute, "safe mode", k.allInSafeMode)
				k.checkSafeModeHolds(2 * k.timing.Lease)
				k.restoreData(full)
				k.await(time.Minute, "a leader and an owner of every shard after safe mode", func() bool { return k.allShardsOwned() && k.leader() != "" })
			})
		})
	}
}

// Records are lost while all controllers restart, so that only workers can show that they are
// gone.
func TestSafeModeAfterLossAndRestart(t *testing.T) {
	for _, prefix := range []string{record.ActiveJobPrefix, record.FleetPrefix, record.PlacementsPrefix, record.ShardPlacementsPrefix(1), ""} {
		t.Run("lost "+prefix, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.losesData = true
				k.load()
				k.awaitStableTasks()
				for _, label := range k.labels {
					k.crash(label)
				}
				full := k.world.State.Contents()
				k.loseRecords(prefix)
				if prefix == "" { // the controllers write their format records again
					time.Sleep(time.Second)
				}
				k.startMissing()
				k.await(time.Minute, "safe mode", k.allInSafeMode)
				k.checkSafeModeHolds(2 * k.timing.Lease)
				k.restoreData(full)
				k.await(time.Minute, "a leader and an owner of every shard after safe mode", func() bool { return k.allShardsOwned() && k.leader() != "" })
			})
		})
	}
}
