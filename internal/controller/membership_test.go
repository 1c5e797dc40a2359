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

// Who claims what: a restarted controller its own part at once, even while its
// earlier lease stands; a dead owner's part the live one, unless it has only begun
// and the owner may have restarted with it; nobody a live owner's.
func TestWhoAcquires(t *testing.T) {
	for name, x := range map[string]struct {
		rec     record.Shard
		members []string
		up      time.Duration
		want    bool
	}{
		"own part after a restart":  {record.Shard{Owner: "c-0", Incarnation: 1}, []string{"c-0"}, 0, true},
		"live owner":                {record.Shard{Owner: "c-1", Incarnation: 1}, []string{"c-0", "c-1"}, time.Minute, false},
		"dead owner":                {record.Shard{Owner: "c-1", Incarnation: 1}, []string{"c-0"}, shardhost.AcquireGracePeriod, true},
		"dead owner at the start":   {record.Shard{Owner: "c-1", Incarnation: 1}, []string{"c-0"}, shardhost.AcquireGracePeriod - 1, false},
		"offered":                   {record.Shard{TransferTo: "c-0"}, []string{"c-0", "c-1"}, time.Minute, true},
		"offered as it has started": {record.Shard{TransferTo: "c-0"}, []string{"c-0", "c-1"}, 0, true},
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
			t.Errorf("%s: claims %v, want %v", name, got, x.want)
		}
	}
	// Without a lease that certainly stands, nothing is claimed.
	c := newTestController(t, testkit.NewState())
	c.cluster.SetAsOf(time.Now())
	setLeaseRenewed(c, c.cluster.AsOf().Add(-time.Minute))
	c.cluster.SetShard(0, record.Shard{Owner: "c-0"}, 5)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shards.ConsiderAcquisitionsLocked(context.Background(), time.Now()); c.shards.AcquiringLocked(0) {
		t.Error("claims without a lease")
	}
}

// A claim makes this controller the owner under a new token; a claim by
// somebody else ends that.
func TestAcquisitionAndLoss(t *testing.T) {
	state := testkit.NewState()
	c := newTestController(t, state)
	c.submit(jobBody(t, nil))
	if err := c.shards.Acquire(context.Background(), 0, shardhost.Ownership{}, 1); err != nil {
		t.Fatal(err)
	}
	shard := c.shards.GetLocked(0)
	if shard == nil || !shard.HasJob("run-000412") {
		t.Fatal("part not loaded")
	}
	e := state.Put(record.ShardKey(0), record.Shard{Owner: "c-1"})
	c.applyClusterChange(e.Change(), time.Now())
	if c.shards.GetLocked(0) != nil {
		t.Fatal("still owner after another's claim")
	}
	// A claim on an outdated view fails.
	if err := c.shards.Acquire(context.Background(), 0, shardhost.Ownership{}, 1); err == nil {
		t.Fatal("claimed under a version that is gone")
	}
	if got, err := state.Get(context.Background(), statestore.Urgent("test"), record.ShardKey(0)); err != nil || got.Version != e.Version {
		t.Fatalf("record %+v, %v", got, err)
	}
}

// A controller that stood still while its clocks ran on sends nothing that was
// recorded before: it looks at what it still is before it answers, though none of
// its loops has run again.
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
	r.Addr = "" // nothing is sent straight to it
	c.mu.Lock()
	c.serveHeartbeatLocked(c.shards.GetLocked(0), &r, time.Now())
	c.mu.Unlock()
	// held is an answer kept back that is due after the lease's last renewal.
	held := func(renewed time.Time) (starts int) {
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
	for held(time.Now()) == 0 { // until the start is recorded
		runtime.Gosched()
	}
	if held(time.Now().Add(-30*time.Second)) > 0 {
		t.Fatal("starts what it recorded before it stood still")
	}
	if held(time.Now()) == 0 {
		t.Fatal("the start is lost")
	}
}
