package controller

import (
	"context"
	"runtime"
	"testing"
	"time"

	"bramblespur/internal/controller/shardhost"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// A restarted controller acquires its own shard at once, even while its earlier lease is valid. A
// shard whose owner has no member record is acquired by a live controller, unless that started
// within the grace period, in which the owner may be restarting too. The shard of a live owner is
// not acquired.
func TestWhoAcquires(t *testing.T) {
	for name, x := range map[string]struct {
		rec     record.Shard
		members []string
		up      time.Duration
		want    bool
	}{
		"own shard after a restart":      {record.Shard{Owner: "c-0", Incarnation: 1}, []string{"c-0"}, 0, true},
		"live owner":                     {record.Shard{Owner: "c-1", Incarnation: 1}, []string{"c-0", "c-1"}, time.Minute, false},
		"dead owner":                     {record.Shard{Owner: "c-1", Incarnation: 1}, []string{"c-0"}, shardhost.AcquireGracePeriod, true},
		"dead owner at the start":        {record.Shard{Owner: "c-1", Incarnation: 1}, []string{"c-0"}, shardhost.AcquireGracePeriod - 1, false},
		"transferred to this controller": {record.Shard{TransferTo: "c-0"}, []string{"c-0", "c-1"}, time.Minute, true},
		"transferred as it has started":  {record.Shard{TransferTo: "c-0"}, []string{"c-0", "c-1"}, 0, true},
	} {
		c := newTestController(t, testkit.NewState())
		now := time.Now()
		setIncarnation(c, 2)
		c.startedAt = now.Add(-x.up)
		c.cluster.SetAsOf(now)
		c.cluster.SetShard(0, x.rec, 5)
		for _, m := range x.members {
			setMember(c, m, record.Member{Incarnation: 1})
		}
		c.mu.Lock()
		c.shards.ConsiderAcquisitionsLocked(context.Background(), now)
		got := c.shards.AcquiringLocked(0)
		c.mu.Unlock()
		if got != x.want {
			t.Errorf("%s: acquires is %v, want %v", name, got, x.want)
		}
	}
	// Without a lease that is certainly valid, no shard is acquired.
	c := newTestController(t, testkit.NewState())
	c.cluster.SetAsOf(time.Now())
	setLeaseRenewed(c, c.cluster.AsOf().Add(-time.Minute))
	c.cluster.SetShard(0, record.Shard{Owner: "c-0"}, 5)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shards.ConsiderAcquisitionsLocked(context.Background(), time.Now()); c.shards.AcquiringLocked(0) {
		t.Error("acquires a shard without a valid lease")
	}
}

// A controller that acquires a shard is its owner until another one acquires it.
func TestAcquisitionAndLoss(t *testing.T) {
	state := testkit.NewState()
	c := newTestController(t, state)
	c.submit(jobBody(t, nil))
	if err := c.shards.Acquire(context.Background(), 0, shardhost.Ownership{}, 1); err != nil {
		t.Fatal(err)
	}
	shard := c.shards.GetLocked(0)
	if shard == nil || !shard.HasJob("run-000412") {
		t.Fatal("shard acquired, but not loaded with its job")
	}
	e := state.Put(record.ShardKey(0), record.Shard{Owner: "c-1"})
	c.applyClusterChange(e.Change(), time.Now())
	if c.shards.GetLocked(0) != nil {
		t.Fatal("still owner after another controller acquired the shard")
	}
	// An acquisition based on an outdated view fails.
	if err := c.shards.Acquire(context.Background(), 0, shardhost.Ownership{}, 1); err == nil {
		t.Fatal("acquired on the basis of an outdated shard record")
	}
	if got, err := state.Get(context.Background(), statestore.Urgent("test"), record.ShardKey(0)); err != nil || got.Version != e.Version {
		t.Fatalf("shard record %+v, %v, want that of c-1 unchanged", got, err)
	}
}

// A controller whose process was paused, while its clocks went on, must not send starts that it
// recorded before the pause. It checks its lease as it answers, before any of its loops has run
// again.
func TestPausedControllerStartsNothing(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	c := newTestController(t, state)
	setViewsAsOf(c, time.Now())
	if err := c.shards.Acquire(ctx, 0, shardhost.Ownership{}, 1); err != nil {
		t.Fatal(err)
	}
	e := state.Put(record.ProvisionKey("r"), record.Provision{Type: "big", Zone: "z", Shards: []int{0}, IDs: []string{"m"}})
	c.applyMachineChange(e.Change(), time.Now())
	w := testkit.NewWorker("m", "big", "z", false)
	r := w.NextHeartbeat()
	r.Addr = "" // no direct commands
	c.mu.Lock()
	c.serveHeartbeatLocked(c.shards.GetLocked(0), &r, time.Now())
	c.mu.Unlock()
	// starts parks a response, releases it while the lease was last renewed at the given time, and
	// returns how many commands the response has.
	starts := func(renewed time.Time) (n int) {
		got := make(chan transport.Response, 1)
		c.mu.Lock()
		setLeaseRenewed(c, renewed)
		c.longPolls.ParkLocked(c.shards.GetLocked(0), "m", time.Hour, func(r transport.Response) { got <- r })
		c.longPolls.ReleaseLocked("m", time.Now())
		c.mu.Unlock()
		o, _ := (<-got).Body.(wire.CommandBatch)
		return len(o.Commands)
	}
	if got := c.submit(jobBody(t, func(m map[string]any) { m["berries"] = 1 })); got.Status != 201 {
		t.Fatalf("submission: %+v", got)
	}
	for starts(time.Now()) == 0 { // until the start is recorded
		runtime.Gosched()
	}
	if starts(time.Now().Add(-30*time.Second)) > 0 {
		t.Fatal("sent a start that it recorded before the pause")
	}
	if starts(time.Now()) == 0 {
		t.Fatal("the start is not sent after the lease was renewed")
	}
}
