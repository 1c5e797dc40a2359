package controller

import (
	"testing"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

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
		c.activeJobs.SetAsOf(now.Add(-time.Hour))
		if !x.sure {
			setLeaseRenewed(c, c.activeJobs.AsOf())
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
				c.peerHealth.RecordCall(label, nil, heard == "well", now)
			}
		}
		if to, look := c.betterController("m", now); look && to != "far" {
			t.Errorf("%s: sent to %q though its lease may be nearly over", name, to)
		}
		now = now.Add(time.Second) // it was answered and is back
		if to, look := c.betterController("m", now); to != x.want || look != x.look {
			t.Errorf("%s: sent to %q %t, want %q %t", name, to, look, x.want, x.look)
		}
		if _, look := c.betterController("m", now.Add(time.Second)); look && x.want != "far" {
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
	labels := []string{"c-0", "c-1", "c-2", "c-3"}
	for _, l := range labels {
		setMember(c, l, record.Member{Incarnation: 1})
	}
	allAnswer := func() {
		c.peerHealth = membership.NewPeerHealth()
		for _, l := range labels {
			c.peerHealth.RecordCall(l, nil, false, now)
		}
	}
	allAnswer()
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
	c.peerHealth.RecordRefusal("c-1", now)
	if got := c.reportsTo("z", "m", "c-1", now); got != "c-1" {
		t.Errorf("with the owner refusing connections from here the machine reports to %s, want the owner", got)
	}
	allAnswer()
	deleteMember(c, "c-3")
	if got := c.reportsTo("x", "m", "c-0", now); got != "c-0" {
		t.Errorf("without a live controller in its zone it reports to %s, want the owner", got)
	}
	c.cfg.Params.Workers.LeaseS = shorterLease + 1
	if got := c.reportsTo("y", "m", "c-0", now); got != "c-0" {
		t.Errorf("a search that the lease outlasts: reports to %s, want the owner", got)
	}
	deleteMember(c, "c-2")
	if got := c.reportsTo("y", "m", "c-0", now); got != "c-1" {
		t.Errorf("with one controller less in its zone the search is longer: reports to %s, want c-1", got)
	}
	setMember(c, "c-2", record.Member{Incarnation: 1})
	c.cfg.Params.Workers.LeaseS = shorterLease
	if to := c.redirectTo("y", "m", "c-0", now); to != "c-1" && to != "c-2" {
		t.Errorf("sent on to %q", to)
	}
	if to := c.redirectTo("y", "m", "c-0", now); to != "" {
		t.Errorf("sent on to %q again after it came back", to)
	}
}

// A controller answers for an owner that can't be reached, under the same token
// and without commands: also without the state service, since a user is told of a
// cancellation only once nothing runs. While all is seen, no task of a job that is
// over lives on by it.
func TestKeepAlive(t *testing.T) {
	c := newTest(t, testkit.NewState())
	seen := func(ago time.Duration) {
		setViewsAsOf(c, time.Now().Add(-ago))
	}
	long := func() {
		r := c.renewals["m"]
		r.blockedSince = time.Now().Add(-time.Hour)
		c.renewals["m"] = r
	}
	setActiveJob(c, "run-000001", record.ActiveJob{}, 1)
	r := &wire.Heartbeat{Machine: "m", Token: 5, Tasks: []wire.HeartbeatTask{{Task: "run-000001/0", State: wire.Running}}}
	answered := func(r *wire.Heartbeat, known, want uint64, what string) {
		t.Helper()
		got := c.renewForOwner(r, known)
		o, ok := got.Body.(wire.Orders)
		if (got.Status == 200) != (want > 0) || (want > 0 && (!ok || o.Token != want || len(o.Commands) > 0)) {
			t.Errorf("%s: %+v", what, got)
		}
	}
	seen(0)
	answered(r, 7, 7, "owner out of reach")
	long()
	answered(r, 7, 7, "a live job, for long")
	answered(&wire.Heartbeat{Machine: "n", Token: 9}, 7, 0, "a worker that has seen a higher token")
	answered(&wire.Heartbeat{Machine: "n", Token: 9}, 0, 0, "a machine that nobody knows")
	setActiveJob(c, "run-000001", record.ActiveJob{Cancelled: true}, 2)
	answered(r, 7, 7, "a cancelled job, at first")
	long()
	answered(r, 7, 0, "a cancelled job, for long")
	setLeaseRenewed(c, time.Now().Add(-time.Minute)) // cut off from the state service
	seen(time.Hour)
	answered(r, 7, 7, "cut off")
	answered(&wire.Heartbeat{Machine: "n", Token: 9}, 7, 9, "cut off, with a newer owner")
	answered(&wire.Heartbeat{Machine: "n", Token: 9}, 0, 9, "restarted while cut off")
	answered(&wire.Heartbeat{Machine: "n"}, 0, 0, "a machine that has never been told anything")
}
