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

// testAudit is how often the leader audits in tests. It is on in all of them: whatever fails,
// nobody may believe that data was lost unless it was.
const testAudit = 10 * time.Second

// everInSafeMode reports whether a controller has ever held a safe mode.
func (c *Controller) everInSafeMode() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dataLoss.ModeLocked().Epoch > 0
}

// allInSafeMode reports whether every controller does nothing.
func (k *cluster) allInSafeMode() bool {
	for _, label := range k.labels {
		if p := k.process(label); p == nil || !p.c.dataLoss.Active() {
			return false
		}
	}
	return true
}

// tasks returns all tasks that are on machines.
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

// awaitStableTasks waits until nothing that was stopped to make room is still saving.
func (k *cluster) awaitStableTasks() {
	k.t.Helper()
	var before []string
	for now := k.tasks(); !slices.Equal(now, before); now = k.tasks() {
		before = now
		time.Sleep(20 * time.Second)
	}
}

// restoreData puts back what the state service held, as if recovered, and ends the safe mode.
func (k *cluster) restoreData(full testkit.Image) {
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
	now := k.world.State.Image()
	for key, e := range now.Entries { // jobs accepted before anybody noticed
		if _, known := full.Entries[key]; !known {
			full.Entries[key] = e
		}
	}
	full.Revision = max(full.Revision, now.Revision, mode.Floor) + 1
	full.Entries[recovery.SafeModeKey] = wire.Entry{Key: recovery.SafeModeKey, Value: record.Encode(mode), Version: full.Revision}
	k.world.State.Revert(full)
}

// silentLosses are what a state service may lose without a word.
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

func (k *cluster) loseRecords(prefix string) {
	k.t.Helper()
	lost := k.world.State.Lose(func(key string) bool { return strings.HasPrefix(key, prefix) })
	k.requireOccurred(len(lost) > 0, "records with "+prefix+" are lost")
}

// checkSafeModeHolds checks that for a while nothing is done to workers, that what runs goes on, and
// that users are told to come back, but for what was answered for good.
func (k *cluster) checkSafeModeHolds(d time.Duration) {
	k.t.Helper()
	began, running := time.Now(), k.tasks()
	for time.Since(began) < d {
		time.Sleep(time.Second)
		for i, label := range k.labels {
			if status, _ := k.world.Ask(testkit.Poll, label, ref(arrayJob), nil); status != 503 {
				k.t.Fatalf("%s answers a poll with %d", label, status)
			}
			if status, _ := k.world.Ask(testkit.Poll, label, fmt.Sprintf("run-9%05d", i), nil); status != 503 {
				k.t.Fatalf("%s answers for a job that it does not know with %d", label, status)
			}
		}
	}
	if n := k.world.Orders().Since(began.Add(time.Second)); n > 0 {
		k.t.Errorf("%d orders in safe mode", n)
	}
	if now := k.tasks(); !slices.Equal(now, running) {
		k.t.Errorf("tasks on machines were %v and are %v", running, now)
	}
}

// Whatever the state service loses without a word, every controller notices or is told, nothing
// is done until it is restored, and then all goes on.
func TestSafeModeAfterSilentLoss(t *testing.T) {
	for name, loss := range silentLosses {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.losesData = true
				k.load()
				k.submit(spec(ref(firstFreeJob), "wide", nil), shortRun)
				k.await(2*time.Minute, "a job done", func() bool { return k.world.Told(ref(firstFreeJob)) == wire.Done })
				k.awaitStableTasks()
				full := k.world.State.Image()
				loss(k)
				k.await(time.Minute, "safe mode", k.allInSafeMode)
				k.checkSafeModeHolds(2 * k.timing.Lease)
				k.restoreData(full)
				k.await(time.Minute, "service again", func() bool { return k.allShardsOwned() && k.leader() != "" })
			})
		})
	}
}

// The state service is back at an older revision, by seconds or by minutes, with controllers
// that know better or that have all just started.
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
				old := k.world.State.Image()
				owner := k.ownerOfTeam("wide")
				k.crash(owner) // the part's next token is what workers know, and the older store does not
				k.awaitNewOwner("wide", owner)
				k.startMissing()
				for i := range 4 {
					k.submitInBackground(spec(ref(firstFreeJob+i), "wide", nil), longRun)
				}
				time.Sleep(x.by + k.timing.Report)
				k.awaitStableTasks()
				full := k.world.State.Image()
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
				k.await(time.Minute, "service again", func() bool { return k.allShardsOwned() && k.leader() != "" })
			})
		})
	}
}

// All controllers have just started when nothing but the workers can tell that records are
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
				full := k.world.State.Image()
				k.loseRecords(prefix)
				if prefix == "" { // the words on formats come back with the controllers
					time.Sleep(time.Second)
				}
				k.startMissing()
				k.await(time.Minute, "safe mode", k.allInSafeMode)
				k.checkSafeModeHolds(2 * k.timing.Lease)
				k.restoreData(full)
				k.await(time.Minute, "service again", func() bool { return k.allShardsOwned() && k.leader() != "" })
			})
		})
	}
}
