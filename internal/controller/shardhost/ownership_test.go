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

// serveWithArrival serves a shard and shows it a machine whose record was written after the
// acquisition. It returns the shard and the record's version.
func serveWithArrival(t *testing.T, host *Host, state *testkit.State) (*scheduler.Shard, uint64) {
	t.Helper()
	if err := host.FailOver(context.Background(), 0, Ownership{}, 1); err != nil {
		t.Fatal(err)
	}
	shard := served(host)
	e := state.Put(record.OverrideKey("m1"), record.Machine{Type: "big", Zone: "z"})
	host.Update(shard, func(now time.Time) { showMachine(t, shard, e.Version, now) })
	return shard, e.Version
}

// showMachine shows a shard its machine's record in a version.
func showMachine(t *testing.T, shard *scheduler.Shard, version uint64, now time.Time) {
	t.Helper()
	view := record.MachineView{Machine: record.Machine{Type: "big", Zone: "z"}, Version: version, Phase: record.InUse}
	if err := shard.SetMachine("m1", view, now); err != nil {
		t.Error(err)
	}
}

// A machine's new version becomes its token once the ownership record was read and is still ours.
func TestOwnershipIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := testkit.NewState()
		host, _ := newHost(t, state)
		shard, version := serveWithArrival(t, host, state)
		synctest.Wait()
		report := testkit.NewWorker("m1", "big", "z", false).Report()
		host.Lock()
		defer host.Unlock()
		if orders, _ := shard.Heartbeat(&report, false, time.Now()); orders.Token != version {
			t.Errorf("token %d, want %d, the version of the machine's record", orders.Token, version)
		}
	})
}

// If the record is another's by then, the shard is dropped though no watch told so.
func TestOwnershipIsFoundLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := testkit.NewState()
		host, env := newHost(t, state)
		shard, _ := serveWithArrival(t, host, state)
		synctest.Wait()
		successor := state.Put(record.ShardKey(0), record.Shard{Owner: "c-1"})
		e := state.Put(record.OverrideKey("m1"), record.Machine{Type: "big", Zone: "z"})
		host.Update(shard, func(now time.Time) { showMachine(t, shard, e.Version, now) })
		synctest.Wait()
		if served(host) != nil {
			t.Error("a shard that is another's is still served")
		}
		if found := env.ownerships[0].Version; found != successor.Version {
			t.Errorf("the view has version %d, want %d", found, successor.Version)
		}
	})
}
