package workerapi

import (
	"log/slog"
	"testing"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// testRouter is the router of c-0 in zone z, whose lease stands, in a process under the
// test's control.
type testRouter struct {
	*Router
	behind, stale bool
}

func (r *testRouter) Behind() bool { return r.behind }

func (r *testRouter) ActiveJobsStaleLocked(time.Time) bool { return r.stale }

func newTestRouter(t *testing.T) *testRouter {
	t.Helper()
	settings := &config.Settings{Label: "c-0", Zone: "z", Params: config.Params{Count: 1, Workers: config.Workers{ReportS: 2, LeaseS: 20, CancelS: 40}}}
	lease := &membership.Lease{}
	lease.Grant(membership.LeaseState{ID: 1, RenewedAt: time.Now()})
	r := &testRouter{}
	r.Router = NewRouter(settings, clusterview.NewCluster(), membership.NewPeerHealth(), lease, r, slog.New(slog.DiscardHandler))
	return r
}

func (r *testRouter) setMember(t *testing.T, label string) {
	t.Helper()
	r.apply(t, wire.Change{Put: record.MemberPrefix + label, Value: record.Encode(record.Member{Incarnation: 1})})
}

func (r *testRouter) deleteMember(t *testing.T, label string) {
	t.Helper()
	r.apply(t, wire.Change{Delete: record.MemberPrefix + label})
}

func (r *testRouter) apply(t *testing.T, change wire.Change) {
	t.Helper()
	if _, err := r.cluster.Apply(change); err != nil {
		t.Fatal(err)
	}
}

// A controller that has lost the state service sends workers to one that has not;
// one that reaches nobody else lets each look for another once, and keeps those
// that come back. In an outage for all, and in a partitioned zone with several
// controllers, they stay.
func TestWorkersAreSentToABetterController(t *testing.T) {
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
		"partitioned zone":          {peers{"near": "refused", "far": ""}, false, "", false},
		"reaches workers alone":     {peers{"near": "", "far": ""}, false, "near", true},
		"alone in its zone":         {peers{"far": "", "far2": ""}, false, "", true},
		"alone, search is too long": {peers{"far": "", "far2": "", "far3": "", "far4": ""}, false, "", false},
	} {
		r := newTestRouter(t)
		now := time.Now()
		r.stale = true
		if !x.sure {
			r.lease.Grant(membership.LeaseState{ID: 1, RenewedAt: now.Add(-time.Hour)})
		}
		for label, heard := range x.peers {
			zone := "z"
			if label != "near" {
				zone = "y"
			}
			r.settings.Peers = append(r.settings.Peers, config.Peer{Label: label, Zone: zone})
			if heard != "" {
				r.peers.RecordCall(label, nil, heard == "well", now)
			}
		}
		if to, look := r.BetterControllerLocked("m", now); look && to != "far" {
			t.Errorf("%s: sent to %q though its lease may be nearly over", name, to)
		}
		now = now.Add(time.Second) // it was answered and is back
		if to, look := r.BetterControllerLocked("m", now); to != x.want || look != x.look {
			t.Errorf("%s: sent to %q %t, want %q %t", name, to, look, x.want, x.look)
		}
		if _, look := r.BetterControllerLocked("m", now.Add(time.Second)); look && x.want != "far" {
			t.Errorf("%s: sent away again though it came back", name)
		}
	}
}

// A machine reports to a controller of its zone, the owner if that is one, so
// that a partition between zones does not separate them.
func TestReportsToControllerOfItsZone(t *testing.T) {
	r := newTestRouter(t)
	now := time.Now()
	if got := r.reportsTo("y", "m", "c-0", now); got != "c-0" {
		t.Errorf("where leases outlast a search for another controller it reports to %s, want the owner", got)
	}
	r.settings.Params.Count = 4
	r.settings.Peers = []config.Peer{{Label: "c-1", Zone: "y"}, {Label: "c-2", Zone: "y"}, {Label: "c-3", Zone: "x"}}
	labels := []string{"c-0", "c-1", "c-2", "c-3"}
	for _, l := range labels {
		r.setMember(t, l)
	}
	allAnswer := func() {
		r.peers = membership.NewPeerHealth()
		for _, l := range labels {
			r.peers.RecordCall(l, nil, false, now)
		}
	}
	allAnswer()
	if got := r.reportsTo("y", "m", "c-0", now); got != "c-0" {
		t.Errorf("two controllers are tried in vain, within a lease: reports to %s, want the owner", got)
	}
	// Of four controllers two are of no use to zone y and three to the others: 10 and
	// 15 s of search and 2 s between reports.
	const shorterLease = 12
	r.settings.Params.Workers.LeaseS = shorterLease
	for _, x := range []struct{ zone, owner, want string }{
		{"z", "c-1", "c-0"}, {"y", "c-2", "c-2"}, {"x", "c-0", "c-3"}, {"w", "c-1", "c-1"},
	} {
		if got := r.reportsTo(x.zone, "m", x.owner, now); got != x.want {
			t.Errorf("zone %s, owner %s: reports to %s, want %s", x.zone, x.owner, got, x.want)
		}
	}
	r.peers.RecordRefusal("c-1", now)
	if got := r.reportsTo("z", "m", "c-1", now); got != "c-1" {
		t.Errorf("with the owner refusing connections from here the machine reports to %s, want the owner", got)
	}
	allAnswer()
	r.deleteMember(t, "c-3")
	if got := r.reportsTo("x", "m", "c-0", now); got != "c-0" {
		t.Errorf("without a live controller in its zone it reports to %s, want the owner", got)
	}
	r.settings.Params.Workers.LeaseS = shorterLease + 1
	if got := r.reportsTo("y", "m", "c-0", now); got != "c-0" {
		t.Errorf("a search that the lease outlasts: reports to %s, want the owner", got)
	}
	r.deleteMember(t, "c-2")
	if got := r.reportsTo("y", "m", "c-0", now); got != "c-1" {
		t.Errorf("with one controller less in its zone the search is longer: reports to %s, want c-1", got)
	}
	r.setMember(t, "c-2")
	r.settings.Params.Workers.LeaseS = shorterLease
	if to := r.RedirectLocked("y", "m", "c-0", now); to != "c-1" && to != "c-2" {
		t.Errorf("sent on to %q", to)
	}
	if to := r.RedirectLocked("y", "m", "c-0", now); to != "" {
		t.Errorf("sent on to %q again after it came back", to)
	}
}
