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

// testRouter is the router of c-0 in zone z, whose member lease is valid. It is its own
// Process.
type testRouter struct {
	*Router
	behind, stale bool // what the methods of Process report
}

func (r *testRouter) Behind() bool { return r.behind }

func (r *testRouter) ActiveJobsStaleLocked(time.Time) bool { return r.stale }

func newTestRouter(t *testing.T) *testRouter {
	t.Helper()
	settings := &config.Settings{Label: "c-0", Zone: "z", Params: config.Params{Count: 1, Workers: config.Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40}}}
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

// A controller that has lost the state service sends its workers to one that reaches it. A
// controller that reaches no other sends each worker to search once, and keeps those that
// come back. Workers stay if all controllers have lost the state service, and in a
// partitioned zone with several controllers.
func TestWorkersAreSentToABetterController(t *testing.T) {
	// peers says how each other controller answers: "well" if it reaches the state service,
	// "refused" if it answers but does not reach the state service, "" if it does not answer.
	type peers map[string]string
	for name, x := range map[string]struct {
		peers      peers
		leaseValid bool
		want       string // where the worker is sent
		leave      bool   // the worker is sent away
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
		if !x.leaseValid {
			r.lease.Grant(membership.LeaseState{ID: 1, RenewedAt: now.Add(-time.Hour)})
		}
		for label, answer := range x.peers {
			zone := "z"
			if label != "near" {
				zone = "y"
			}
			r.settings.Peers = append(r.settings.Peers, config.Peer{Label: label, Zone: zone})
			if answer != "" {
				r.peers.RecordCall(label, nil, answer == "well", now)
			}
		}
		if to, leave := r.BetterControllerLocked("m", now); leave && to != "far" {
			t.Errorf("%s: on its first heartbeat the worker is sent to %q though its lease may be nearly expired", name, to)
		}
		now = now.Add(time.Second) // the worker has received a response and reports again
		if to, leave := r.BetterControllerLocked("m", now); to != x.want || leave != x.leave {
			t.Errorf("%s: worker sent to %q, leaves %t; want %q, %t", name, to, leave, x.want, x.leave)
		}
		if _, leave := r.BetterControllerLocked("m", now.Add(time.Second)); leave && x.want != "far" {
			t.Errorf("%s: worker sent away again though it came back", name)
		}
	}
}

// A machine reports to a controller of its zone, preferably the owner, so that a partition
// between zones does not separate them.
func TestReportsToControllerOfItsZone(t *testing.T) {
	r := newTestRouter(t)
	now := time.Now()
	if got := r.reportsTo("y", "m", "c-0", now); got != "c-0" {
		t.Errorf("with a lease that outlasts the search the machine reports to %s, want the owner c-0", got)
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
		t.Errorf("with a lease that outlasts the search of two controllers the machine reports to %s, want the owner c-0", got)
	}
	// Of four controllers two are outside zone y and three outside each other zone: a search
	// takes 10 or 15 s, after 2 s between heartbeats.
	const shorterLease = 12
	r.settings.Params.Workers.LeaseS = shorterLease
	for _, x := range []struct{ zone, owner, want string }{
		{"z", "c-1", "c-0"}, {"y", "c-2", "c-2"}, {"x", "c-0", "c-3"}, {"w", "c-1", "c-1"},
	} {
		if got := r.reportsTo(x.zone, "m", x.owner, now); got != x.want {
			t.Errorf("a machine in zone %s with owner %s reports to %s, want %s", x.zone, x.owner, got, x.want)
		}
	}
	r.peers.RecordRefusal("c-1", now)
	if got := r.reportsTo("z", "m", "c-1", now); got != "c-1" {
		t.Errorf("while the owner refuses connections from here the machine reports to %s, want the owner c-1", got)
	}
	allAnswer()
	r.deleteMember(t, "c-3")
	if got := r.reportsTo("x", "m", "c-0", now); got != "c-0" {
		t.Errorf("without a live controller in its zone the machine reports to %s, want the owner c-0", got)
	}
	r.settings.Params.Workers.LeaseS = shorterLease + 1
	if got := r.reportsTo("y", "m", "c-0", now); got != "c-0" {
		t.Errorf("with a lease that just outlasts the search the machine reports to %s, want the owner c-0", got)
	}
	r.deleteMember(t, "c-2")
	if got := r.reportsTo("y", "m", "c-0", now); got != "c-1" {
		t.Errorf("with one controller less in its zone, which makes the search longer, the machine reports to %s, want c-1", got)
	}
	r.setMember(t, "c-2")
	r.settings.Params.Workers.LeaseS = shorterLease
	if to := r.RedirectLocked("y", "m", "c-0", now); to != "c-1" && to != "c-2" {
		t.Errorf("worker redirected to %q, want c-1 or c-2", to)
	}
	if to := r.RedirectLocked("y", "m", "c-0", now); to != "" {
		t.Errorf("worker redirected to %q again after it came back", to)
	}
}
