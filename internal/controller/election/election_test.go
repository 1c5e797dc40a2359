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

// process is a process that campaigns, with a view of its own.
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

// A leader is an incarnation of a controller: after a restart a controller does not lead because of
// its label alone, and late requests of the earlier process fail.
func TestLeaderIsAnIncarnation(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	before, after := newProcess(t, state, "c-0", 1), newProcess(t, state, "c-0", 2)
	before.Campaign(ctx, record.Versioned[record.Leader]{})
	now := time.Now()
	if !before.IsLeader(now) {
		t.Fatal("the process does not lead after it campaigned")
	}
	elected := before.view.Leader()
	after.view.SetLeader(elected.Rec, elected.Version) // as the watch of the next process does
	if after.IsLeader(now) {
		t.Fatal("the next process leads because of its label")
	}
	after.Campaign(ctx, after.view.Leader())
	if !after.IsLeader(now) {
		t.Fatal("the next process does not lead after it campaigned")
	}
	stale := before.view.Leader()
	before.Campaign(ctx, stale) // late
	if e, err := state.Get(ctx, statestore.Urgent("test"), record.LeaderKey); err != nil || e.Version != after.view.Leader().Version {
		t.Fatalf("record %+v, error %v: want the record of the next process after the earlier one campaigned late", e, err)
	}
	if _, err := state.Txn(ctx, statestore.Urgent("test"), wire.Txn{
		If:   []wire.Condition{{Key: record.ProvisionKey("x")}, {Key: record.LeaderKey, Version: stale.Version}},
		Then: []wire.Op{{Put: record.ProvisionKey("x"), Value: record.Encode(record.Provision{})}},
	}); err == nil {
		t.Fatal("a provision decided by the earlier leader was recorded")
	}
}

// A process may campaign only if there is no leader or the leader has the same label, if its lease
// has not expired, and not for a while after it stepped down.
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
		check(second, "another controller leads", false)
		ended := false
		first.StepDown(ctx, func() { ended = true })
		if !ended {
			t.Error("stepping down did not end the term")
		}
		if e, err := state.Get(ctx, statestore.Urgent("test"), record.LeaderKey); !errors.Is(err, statestore.ErrNotFound) {
			t.Errorf("record %+v, error %v after stepping down, want no record", e, err)
		}
		check(first, "just stepped down", false)
		time.Sleep(abstainAfterStepDown)
		check(first, "at the end of the abstention", false)
		time.Sleep(time.Nanosecond)
		check(first, "after the abstention", true)
		time.Sleep(membership.LeaseTTL)
		if _, may := first.MayCampaign(time.Now()); may {
			t.Error("may campaign although the lease has expired")
		}
	})
}
