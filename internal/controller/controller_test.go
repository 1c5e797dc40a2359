package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"runtime"
	"testing"
	"time"

	"bramblespur/internal/agent"
	"bramblespur/internal/config"
	"bramblespur/internal/fleet"
	"bramblespur/internal/peer"
	"bramblespur/internal/policy"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// newTest returns a controller on scripted peers, without loops or sockets.
func newTest(t *testing.T, state *testkit.State) *Controller {
	t.Helper()
	cfg := &config.Settings{Label: "c-0", Params: config.Params{
		Count: 1, Zones: []string{"z"}, Teams: []config.Team{{Name: "a", GPUsMax: 4}},
		Workers: config.Workers{ReportS: 2, LeaseS: 20, CancelS: 40},
		State:   config.State{ValueKB: 16, TxnOps: 16},
	}}
	pol, err := policy.Load("")
	if err != nil {
		t.Fatal(err)
	}
	c := &Controller{cfg: cfg, policy: pol, log: slog.New(slog.DiscardHandler), life: context.Background(), store: state, agents: agent.Client{}}
	c.init()
	c.setTypes([]wire.MachineType{{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, Zones: []string{"z"}}})
	c.lease, c.leaseAt = 1, time.Now()
	return c
}

func body(t *testing.T, change func(map[string]any)) []byte {
	t.Helper()
	m := map[string]any{}
	text := `{"ref":"run-000412","thicket":"train","keeper":"a","habit":"batch","rank":"normal","berries":2,
	 "cores":8.0,"cards":1.0,"ram_gb":16.0,"seedling":"img","pull_gb":6.2,"stocks":null,"patch":null,
	 "same_place":false,"scatter":false,"windfall":true,"ripen_s":240.0,"graft_s":30.0,"press_s":4.0,"harvest_s":null}`
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(m)
	}
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func set(k string, v any) func(map[string]any) { return func(m map[string]any) { m[k] = v } }

func drop(k string) func(map[string]any) { return func(m map[string]any) { delete(m, k) } }

// owned plays the owner while a user's request is served: of jobs that are
// cancelled it proves all tasks gone and records the end.
func owned(state *testkit.State, c *Controller, serve func() reply) reply {
	got := make(chan reply, 1)
	go func() { got <- serve() }()
	for {
		select {
		case r := <-got:
			return r
		default:
			endCancelled(state, c)
			runtime.Gosched()
		}
	}
}

func endCancelled(state *testkit.State, c *Controller) {
	open, _, _ := state.List(context.Background(), statestore.Urgent("test"), record.OpenPrefix)
	for _, e := range open {
		var o record.Open
		if json.Unmarshal(e.Value, &o) != nil || !o.Cancelled {
			continue
		}
		rev, err := state.Txn(context.Background(), statestore.Urgent("test"), wire.Txn{
			If: []wire.Cond{{Key: e.Key, Version: e.Version}},
			Then: []wire.Op{{Put: record.JobKey(record.Last(e.Key)), Value: record.Encode(record.Job{State: wire.Cancelled})},
				{Delete: e.Key}},
		})
		if err == nil {
			c.changeOpen(wire.Change{Delete: e.Key, Version: rev}, time.Now())
		}
	}
}

// A controller that has lost the state service sends workers to one that has not;
// one that reaches nobody else lets each look for another once, and keeps those
// that come back. In an outage for all, and in a zone cut off with several
// controllers, they stay.
func TestElsewhere(t *testing.T) {
	type peers map[string]string // how each is heard: "" not at all
	for name, x := range map[string]struct {
		peers peers
		sure  bool // the lease stands
		want  string
		look  bool
	}{
		"watch late, lease stands":  {peers{"near": "well", "far": "well"}, true, "", false},
		"refused alone":             {peers{"near": "", "far": "well"}, false, "far", true},
		"outage for all":            {peers{"near": "refused", "far": "refused"}, false, "", false},
		"zone cut off":              {peers{"near": "refused", "far": ""}, false, "", false},
		"reaches workers alone":     {peers{"near": "", "far": ""}, false, "near", true},
		"alone in its zone":         {peers{"far": "", "far2": ""}, false, "", true},
		"alone, search is too long": {peers{"far": "", "far2": "", "far3": "", "far4": ""}, false, "", false},
	} {
		c := newTest(t, testkit.NewState())
		now := time.Now()
		c.jobsAt = now.Add(-time.Hour)
		if !x.sure {
			c.leaseAt = c.jobsAt
		}
		c.cfg.Zone = "z"
		for label, heard := range x.peers {
			zone := "z"
			if label != "near" {
				zone = "y"
			}
			c.cfg.Peers = append(c.cfg.Peers, config.Peer{Label: label, Zone: zone})
			c.peers[label] = peer.NewClient("127.0.0.1:1")
			if heard != "" {
				c.peerOK[label] = now
			}
			if heard == "well" {
				c.peerState[label] = now
			}
		}
		if to, look := c.elsewhere("m", now); look && to != "far" {
			t.Errorf("%s: sent to %q though its lease may be nearly over", name, to)
		}
		now = now.Add(time.Second) // it was answered and is back
		if to, look := c.elsewhere("m", now); to != x.want || look != x.look {
			t.Errorf("%s: sent to %q %t, want %q %t", name, to, look, x.want, x.look)
		}
		if _, look := c.elsewhere("m", now.Add(time.Second)); look && x.want != "far" {
			t.Errorf("%s: sent away again though it came back", name)
		}
	}
}

// A machine reports to a controller of its zone, the owner if that is one, so
// that a cut between zones does not part them.
func TestReportsTo(t *testing.T) {
	c := newTest(t, testkit.NewState())
	now := time.Now()
	c.cfg.Zone = "z"
	if got := c.reportsTo("y", "m", "c-0", now); got != "c-0" {
		t.Errorf("where leases outlast a search for another controller it reports to %s, want the owner", got)
	}
	c.cfg.Params.Count = 4
	c.cfg.Peers = []config.Peer{{Label: "c-1", Zone: "y"}, {Label: "c-2", Zone: "y"}, {Label: "c-3", Zone: "x"}}
	for _, l := range []string{"c-0", "c-1", "c-2", "c-3"} {
		c.members[l] = record.Member{Inc: 1}
		c.peerOK[l] = now
	}
	if got := c.reportsTo("y", "m", "c-0", now); got != "c-0" {
		t.Errorf("two controllers are tried in vain, within a lease: reports to %s, want the owner", got)
	}
	// Of four controllers two are of no use to zone y and three to the others: 10 and
	// 15 s of search and 2 s between reports.
	const shorterLease = 12
	c.cfg.Params.Workers.LeaseS = shorterLease
	for _, x := range []struct{ zone, owner, want string }{
		{"z", "c-1", "c-0"}, {"y", "c-2", "c-2"}, {"x", "c-0", "c-3"}, {"w", "c-1", "c-1"},
	} {
		if got := c.reportsTo(x.zone, "m", x.owner, now); got != x.want {
			t.Errorf("zone %s, owner %s: reports to %s, want %s", x.zone, x.owner, got, x.want)
		}
	}
	c.peerRefused["c-1"] = now
	if got := c.reportsTo("z", "m", "c-1", now); got != "c-1" {
		t.Errorf("with the owner refusing connections from here the machine reports to %s, want the owner", got)
	}
	delete(c.peerRefused, "c-1")
	delete(c.members, "c-3")
	if got := c.reportsTo("x", "m", "c-0", now); got != "c-0" {
		t.Errorf("without a live controller in its zone it reports to %s, want the owner", got)
	}
	c.cfg.Params.Workers.LeaseS = shorterLease + 1
	if got := c.reportsTo("y", "m", "c-0", now); got != "c-0" {
		t.Errorf("a search that the lease outlasts: reports to %s, want the owner", got)
	}
	delete(c.members, "c-2")
	if got := c.reportsTo("y", "m", "c-0", now); got != "c-1" {
		t.Errorf("with one controller less in its zone the search is longer: reports to %s, want c-1", got)
	}
	c.members["c-2"] = record.Member{Inc: 1}
	c.cfg.Params.Workers.LeaseS = shorterLease
	if to := c.sendOn("y", "m", "c-0", now); to != "c-1" && to != "c-2" {
		t.Errorf("sent on to %q", to)
	}
	if to := c.sendOn("y", "m", "c-0", now); to != "" {
		t.Errorf("sent on to %q again after it came back", to)
	}
}

// An owner that the leader does not reach records what it would rent; the
// leader carries that out under the recorded name, and the machines are the
// owner's.
func TestRentalsOfAnOwnerAlone(t *testing.T) {
	ctx := context.Background()
	state, cl := testkit.NewState(), &testkit.Cloud{}
	c, leader := newTest(t, state), newTest(t, state)
	c.cloud, leader.cloud = cl, cl
	c.submit(body(t, nil))
	if err := c.takeOver(ctx, 0, versioned[record.Part]{}, 1); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	c.planAlone(ctx, now)
	if c.own != nil {
		t.Fatal("plans for itself though the leader asked a moment ago")
	}
	c.syncedAt = now.Add(-time.Minute)
	c.planAlone(ctx, now)
	c.planAlone(ctx, now)
	var name string
	for range 1000 { // the write is another goroutine's
		entries, _, err := state.List(ctx, statestore.Urgent("test"), record.RentalPrefix)
		if err != nil {
			t.Fatal(err)
		}
		if len(entries) > 0 {
			name = record.Last(entries[0].Key)
			leader.resetFleet(entries, math.MaxUint64, now)
			break
		}
		runtime.Gosched()
	}
	if name == "" {
		t.Fatal("no rental recorded")
	}
	l := &leading{plan: fleet.NewLeader(leader.fleetConfig()), rentals: map[string]record.Rental{}}
	r := leader.fleet.Unfinished()[name]
	leader.finishRental(ctx, l, name, r.Rec, r.Version)
	if len(cl.Rentals[name]) == 0 {
		t.Fatalf("rentals %v, want %s", cl.Rentals, name)
	}
	if v, ok := leader.fleet.Machine(cl.Rentals[name][0]); !ok || v.Part != 0 {
		t.Fatalf("machine %+v, want it in the owner's part", v)
	}
	leader.mu.Lock()
	leader.takeUp(ctx, l)
	leader.mu.Unlock()
	if len(cl.Rentals) != 1 {
		t.Fatalf("rentals %v, want one only", cl.Rentals)
	}
}
