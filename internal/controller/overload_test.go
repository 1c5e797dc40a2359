package controller

import (
	"slices"
	"testing"
	"time"

	"bramblespur/internal/controller/overload"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// overload makes a controller's timers count as late, as where its processor gives it
// less than it needs, until heal is called.
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

// ownerChanges counts how often a part comes to another owner while something goes on.
func (k *cluster) ownerChanges(part int, d time.Duration) (n int) {
	owner := k.owner(part)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if now := k.owner(part); now != owner && now != "" {
			owner = now
			n++
		}
	}
	return n
}

// A controller that falls behind for minutes hands its part to one that keeps up, and
// the lead, too. The part goes home once it has kept up for a while, and not before: as
// its home has nothing to do meanwhile, it keeps up though it would fall behind again.
func TestOverloadedControllerTransfersItsShards(t *testing.T) {
	for name, leads := range map[string]bool{"the leader": true, "another": false} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				slow := k.leader()
				if !leads {
					slow = k.labelsExcept(slow)[0]
				}
				part := k.preferredShard(slow)
				k.requireOccurred(k.owner(part) == slow, "the part is at home")
				heal := k.overload(slow)
				k.await(30*time.Second, "another owner and leader", func() bool {
					return k.owner(part) != slow && k.owner(part) != "" && k.leader() != slow && k.leader() != ""
				})
				if n := k.ownerChanges(part, time.Minute); n > 0 {
					k.t.Errorf("%d more owners while the cause lasts", n)
				}
				heal()
				if n := k.ownerChanges(part, overload.MinRecovery*9/10); n > 0 {
					k.t.Errorf("%d more owners before its home has kept up for %v", n, overload.MinRecovery)
				}
				k.await(overload.MinRecovery, "at home", func() bool { return k.owner(part) == slow })
			})
		})
	}
}

// A controller that falls behind doesn't come to answer the leader in time, nor to hear
// others' answers: it says so in its member record, and sends its workers away.
func TestOverloadIsReportedInMemberRecord(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		// One that hears no worker either would be taken for deaf.
		part := k.shardOfTeam("wide")
		if k.owner(part) == k.leader() {
			part = k.shardOfTeam("other")
		}
		slow := k.owner(part)
		k.requireOccurred(slow != k.leader(), "another than the leader is overloaded")
		over := k.world.Net.AddPartition(&testkit.Partition{Match: testkit.Between(testkit.Named(slow), k.isController)})
		heal := k.overload(slow)
		k.await(20*time.Second, "another owner", func() bool { return k.owner(part) != slow && k.owner(part) != "" })
		if n := k.ownerChanges(part, time.Minute); n > 0 {
			k.t.Errorf("%d more owners while the cause lasts", n)
		}
		over()
		heal()
	})
}

// A worker with tasks is sent on although its owner does not answer this controller,
// where this one itself falls behind: what it does not hear tells nothing.
func TestBehindControllerRedirectsWorkers(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	r := &wire.Heartbeat{Tasks: []wire.HeartbeatTask{{}}}
	now := time.Now()
	if c.router.MayRedirectLocked(r, "c-1", now) {
		t.Error("sent to an owner that does not answer")
	}
	for !c.overload.Behind() {
		now = now.Add(tickInterval + time.Second)
		c.overload.Observe(time.Second, now)
	}
	if !c.router.MayRedirectLocked(r, "c-1", now) {
		t.Error("kept by a controller that falls behind")
	}
}

// Where all controllers fall behind nobody keeps up better, so that parts stay where
// they are and somebody leads.
func TestNoFailoverWhereAllAreOverloaded(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		owners := map[int]string{}
		for part := range k.params.Count {
			owners[part] = k.owner(part)
		}
		for _, label := range k.labels {
			defer k.overload(label)()
		}
		time.Sleep(time.Minute)
		for part, owner := range owners {
			if now := k.owner(part); now != owner {
				k.t.Errorf("part %d went from %s to %s", part, owner, now)
			}
		}
		k.crash(k.leader())
		k.await(30*time.Second, "a leader although none keeps up", func() bool { return k.leader() != "" })
	})
}

// A strained controller answers reports at once, since a held answer costs it
// a timer and another turn.
func TestStrainedParksNoResponses(t *testing.T) {
	runScript(t, near(1), func(k *cluster) {
		k.load()
		var label string
		k.await(time.Minute, "a held answer", func() bool {
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
				t.Fatalf("%d answers held", n)
			}
		}
		k.await(2*overload.BehindEndsAfter, "a held answer once it keeps up", func() bool { return k.parkedResponses(label) > 0 })
	})
}

// maxParkTime is more than any answer is held.
const maxParkTime = 2 * time.Second

func (k *cluster) parkedResponses(label string) int {
	c := k.process(label).c
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longPolls.LenLocked()
}

func (k *cluster) preferredShard(label string) int {
	c := k.process(label).c
	for part := range k.params.Count {
		if c.shards.PreferredOwner(part) == label {
			return part
		}
	}
	k.t.Fatalf("%s is nobody's home", label)
	return 0
}
