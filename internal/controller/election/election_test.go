package election

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// process is a process that takes part in an election, with its own view.
type process struct {
	*Election
	view *clusterview.Cluster
}

func newProcess(t *testing.T, state *testkit.State, label string, incarnation uint64) process {
	t.Helper()
	lease := &membership.Lease{}
	lease.Grant(membership.LeaseState{ID: 1, Incarnation: incarnation, RenewedAt: time.Now()})
	view := clusterview.NewCluster()
	view.SetAsOf(time.Now())
	return process{New(label, func() statestore.Store { return state }, lease, view, &sync.Mutex{}, slog.New(slog.DiscardHandler)), view}
}

// A leader is one incarnation: after a restart the label alone does not lead,
// and what the earlier process requests late fails.
func TestLeaderIsAnIncarnation(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	before, after := newProcess(t, state, "c-0", 1), newProcess(t, state, "c-0", 2)
	before.Campaign(ctx, record.Versioned[record.Leader]{})
	now := time.Now()
	if !before.IsLeader(now) {
		t.Fatal("does not lead")
	}
	elected := before.view.Leader()
	after.view.SetLeader(elected.Rec, elected.Version) // as the watch tells the next process
	if after.IsLeader(now) {
		t.Fatal("leads by its label")
	}
	after.Campaign(ctx, after.view.Leader())
	if !after.IsLeader(now) {
		t.Fatal("the next process can't lead")
	}
	stale := before.view.Leader()
	before.Campaign(ctx, stale) // late
	if e, err := state.Get(ctx, statestore.Urgent("test"), record.LeaderKey); err != nil || e.Version != after.view.Leader().Version {
		t.Fatalf("record %+v, %v: the earlier process took the lead back", e, err)
	}
	if _, err := state.Txn(ctx, statestore.Urgent("test"), wire.Txn{
		If:   []wire.Condition{{Key: record.ProvisionKey("x")}, {Key: record.LeaderKey, Version: stale.Version}},
		Then: []wire.Op{{Put: record.ProvisionKey("x"), Value: record.Encode(record.Provision{})}},
	}); err == nil {
		t.Fatal("a provision decided by the earlier leader was recorded")
	}
}

// Only a vacant lead, or that of an earlier process of the same label, is campaigned for,
// and not for a while after stepping down.
func TestMayCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		state := testkit.NewState()
		first, second := newProcess(t, state, "c-0", 1), newProcess(t, state, "c-1", 2)
		check := func(p process, when string, want bool) {
			t.Helper()
			p.lease.Grant(membership.LeaseState{ID: 1, Incarnation: 1, RenewedAt: time.Now()})
			if _, may := p.MayCampaign(time.Now()); may != want {
				t.Errorf("%s: may campaign %t, want %t", when, may, want)
			}
		}
		check(first, "no leader", true)
		first.Campaign(ctx, first.view.Leader())
		elected := first.view.Leader()
		second.view.SetLeader(elected.Rec, elected.Version)
		check(second, "another leads", false)
		ended := false
		first.StepDown(ctx, func() { ended = true })
		if !ended {
			t.Error("the term goes on")
		}
		if e, err := state.Get(ctx, statestore.Urgent("test"), record.LeaderKey); !errors.Is(err, statestore.ErrNotFound) {
			t.Errorf("record %+v, %v after stepping down", e, err)
		}
		check(first, "just stepped down", false)
		time.Sleep(abstainAfterStepDown)
		check(first, "at the end of the pause", false)
		time.Sleep(time.Nanosecond)
		check(first, "after the pause", true)
		time.Sleep(membership.LeaseTTL)
		if _, may := first.MayCampaign(time.Now()); may {
			t.Error("may campaign without a lease")
		}
	})
}
