package controller

import (
	"slices"
	"testing"
	"time"

	"bramblespur/internal/controller/overload"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// overload reports to a controller that its timers fire a second late, as where its processor share
// is too small, until heal is called.
func (k *cluster) overload(label string) (heal func()) {
	c := k.process(label).c
	done := make(chan struct{})
	go func() {
		for tick := time.NewTicker(tickInterval / 4); ; {
			select {
			case <-done:
				tick.Stop()
				return
			case now := <-tick.C:
				c.mu.Lock()
				c.overload.Observe(time.Second, now)
				c.mu.Unlock()
			}
		}
	}()
	return func() { close(done) }
}

// ownerChanges returns how often a shard comes to another owner within d, for which it waits.
func (k *cluster) ownerChanges(shard int, d time.Duration) (n int) {
	owner := k.owner(shard)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if now := k.owner(shard); now != owner && now != "" {
			owner = now
			n++
		}
	}
	return n
}

// A controller that is overloaded for minutes loses its shard to one that is not, and also the
// leadership. The shard returns once its preferred owner has not been overloaded for MinRecovery,
// and not before: without a shard that controller has little to do, and would be overloaded again
// as soon as it had its shard back.
func TestOverloadedControllerTransfersItsShards(t *testing.T) {
	for name, leads := range map[string]bool{"the leader": true, "another": false} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				slow := k.leader()
				if !leads {
					slow = k.labelsExcept(slow)[0]
				}
				shard := k.preferredShard(slow)
				k.requireOccurred(k.owner(shard) == slow, "the shard is at its preferred owner")
				heal := k.overload(slow)
				k.await(30*time.Second, "another owner and leader", func() bool {
					return k.owner(shard) != slow && k.owner(shard) != "" && k.leader() != slow && k.leader() != ""
				})
				if n := k.ownerChanges(shard, time.Minute); n > 0 {
					k.t.Errorf("%d more changes of owner during the overload", n)
				}
				heal()
				if n := k.ownerChanges(shard, overload.MinRecovery*9/10); n > 0 {
					k.t.Errorf("%d more changes of owner before its preferred owner has recovered for %v", n, overload.MinRecovery)
				}
				k.await(overload.MinRecovery, "the shard at its preferred owner", func() bool { return k.owner(shard) == slow })
			})
		})
	}
}

// An overloaded controller may not come to answer the leader in time, nor to read others' answers.
// It reports the overload in its member record and redirects its workers, so that it loses its
// shard all the same.
func TestOverloadIsReportedInMemberRecord(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		// A controller that receives no heartbeats either would count as isolated.
		shard := k.shardOfTeam("wide")
		if k.owner(shard) == k.leader() {
			shard = k.shardOfTeam("other")
		}
		slow := k.owner(shard)
		k.requireOccurred(slow != k.leader(), "the overloaded controller is not the leader")
		reconnect := k.world.Net.AddPartition(&testkit.Partition{Match: testkit.Between(testkit.Named(slow), k.isController)})
		heal := k.overload(slow)
		k.await(20*time.Second, "another owner", func() bool { return k.owner(shard) != slow && k.owner(shard) != "" })
		if n := k.ownerChanges(shard, time.Minute); n > 0 {
			k.t.Errorf("%d more changes of owner during the overload", n)
		}
		reconnect()
		heal()
	})
}

// A controller redirects workers with tasks only to an owner that answers it, unless it is behind
// itself: then missing answers are no sign that the owner is down.
func TestBehindControllerRedirectsWorkers(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	r := &wire.Heartbeat{Tasks: []wire.HeartbeatTask{{}}}
	now := time.Now()
	if c.router.MayRedirectLocked(r, "c-1", now) {
		t.Error("redirected to an owner that does not answer")
	}
	for !c.overload.Behind() {
		now = now.Add(tickInterval + time.Second)
		c.overload.Observe(time.Second, now)
	}
	if !c.router.MayRedirectLocked(r, "c-1", now) {
		t.Error("not redirected by a controller that is behind")
	}
}

// Where all controllers are overloaded no other owner would be better: the shards stay where they
// are, and some controller leads.
func TestNoFailoverWhereAllAreOverloaded(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		owners := map[int]string{}
		for shard := range k.params.Count {
			owners[shard] = k.owner(shard)
		}
		for _, label := range k.labels {
			defer k.overload(label)()
		}
		time.Sleep(time.Minute)
		for shard, owner := range owners {
			if now := k.owner(shard); now != owner {
				k.t.Errorf("shard %d went from %s to %s", shard, owner, now)
			}
		}
		k.crash(k.leader())
		k.await(30*time.Second, "a leader although all are overloaded", func() bool { return k.leader() != "" })
	})
}

// A strained controller answers heartbeats at once, since a parked response costs it a timer and
// another step.
func TestStrainedParksNoResponses(t *testing.T) {
	runScript(t, near(1), func(k *cluster) {
		k.load()
		var label string
		k.await(time.Minute, "a parked response", func() bool {
			i := slices.IndexFunc(k.labels, func(label string) bool { return k.parkedResponses(label) > 0 })
			if i >= 0 {
				label = k.labels[i]
			}
			return i >= 0
		})
		c := k.process(label).c
		c.mu.Lock()
		for !c.overload.Strained() {
			c.overload.Observe(60*time.Millisecond, time.Now())
		}
		c.mu.Unlock()
		time.Sleep(maxParkTime)
		for end := time.Now().Add(overload.StrainedEndsAfter / 2); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if n := k.parkedResponses(label); n > 0 {
				t.Fatalf("%d responses parked, want none", n)
			}
		}
		k.await(2*overload.BehindEndsAfter, "a parked response after the strain", func() bool { return k.parkedResponses(label) > 0 })
	})
}

// maxParkTime exceeds the time for which any response is parked.
const maxParkTime = 2 * time.Second

// parkedResponses returns how many responses a controller has parked.
func (k *cluster) parkedResponses(label string) int {
	c := k.process(label).c
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longPolls.LenLocked()
}

// preferredShard returns a shard whose preferred owner is the given controller.
func (k *cluster) preferredShard(label string) int {
	c := k.process(label).c
	for shard := range k.params.Count {
		if c.shards.PreferredOwner(shard) == label {
			return shard
		}
	}
	k.t.Fatalf("%s is the preferred owner of no shard", label)
	return 0
}
