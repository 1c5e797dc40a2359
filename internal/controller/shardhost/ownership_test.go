package shardhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/testkit"
)

// serveShardWithNewMachine has the host acquire shard 0 and passes the shard a machine whose record
// was written after the acquisition. It returns the shard and the version of the machine's record.
func serveShardWithNewMachine(t *testing.T, host *Host, state *testkit.State) (*scheduler.Shard, uint64) {
	t.Helper()
	if err := host.Acquire(context.Background(), 0, Ownership{}, 1); err != nil {
		t.Fatal(err)
	}
	shard := served(host)
	e := state.Put(record.OverrideKey("m1"), record.Machine{Type: "big", Zone: "z"})
	host.Update(shard, func(now time.Time) { setMachine(t, shard, e.Version, now) })
	return shard, e.Version
}

// setMachine passes a shard the record of machine "m1" with the given version.
func setMachine(t *testing.T, shard *scheduler.Shard, version uint64, now time.Time) {
	t.Helper()
	view := record.MachineView{Machine: record.Machine{Type: "big", Zone: "z"}, Version: version, Phase: record.InUse}
	if err := shard.SetMachine("m1", view, now); err != nil {
		t.Error(err)
	}
}

// The new version of a machine's record becomes the machine's fencing token once the ownership
// record was read and still names this controller.
func TestOwnershipIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := testkit.NewState()
		host, _ := newHost(t, state)
		shard, version := serveShardWithNewMachine(t, host, state)
		synctest.Wait()
		report := testkit.NewWorker("m1", "big", "z", false).NextHeartbeat()
		host.Lock()
		defer host.Unlock()
		if orders, _ := shard.Heartbeat(&report, false, time.Now()); orders.Token != version {
			t.Errorf("commands have token %d, want %d, the version of the machine's record", orders.Token, version)
		}
	})
}

// If the ownership record names another controller when it is read, the shard is dropped, even
// though no watch has delivered the record.
func TestOwnershipIsFoundLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := testkit.NewState()
		host, env := newHost(t, state)
		shard, _ := serveShardWithNewMachine(t, host, state)
		synctest.Wait()
		successor := state.Put(record.ShardKey(0), record.Shard{Owner: "c-1"})
		e := state.Put(record.OverrideKey("m1"), record.Machine{Type: "big", Zone: "z"})
		host.Update(shard, func(now time.Time) { setMachine(t, shard, e.Version, now) })
		synctest.Wait()
		if served(host) != nil {
			t.Error("the shard is still served although another controller owns it")
		}
		if found := env.ownerships[0].Version; found != successor.Version {
			t.Errorf("the view has version %d of the ownership record, want %d", found, successor.Version)
		}
	})
}
