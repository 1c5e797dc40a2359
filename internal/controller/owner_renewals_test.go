package controller

import (
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// A controller renews the lease of a worker whose owner is out of reach, under the owner's token
// and without commands. It does so without the state service too, since a cancellation is answered
// only once no task runs. While its views are recent, it does not for long renew the lease of a
// worker with tasks of a job that has ended or is cancelled.
func TestLeaseIsRenewedForOwner(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	viewsOfAge := func(age time.Duration) {
		setViewsAsOf(c, time.Now().Add(-age))
	}
	blockedForLong := func() {
		r := c.renewals["m"]
		r.blockedSince = time.Now().Add(-time.Hour)
		c.renewals["m"] = r
	}
	setActiveJob(c, "run-000001", record.ActiveJob{}, 1)
	r := &wire.Heartbeat{Machine: "m", Token: 5, Tasks: []wire.HeartbeatTask{{Task: "run-000001/0", State: wire.Running}}}
	expect := func(r *wire.Heartbeat, known, want uint64, what string) {
		t.Helper()
		got := c.renewForOwner(r, known)
		o, ok := got.Body.(wire.CommandBatch)
		if (got.Status == 200) != (want > 0) || (want > 0 && (!ok || o.Token != want || len(o.Commands) > 0)) {
			t.Errorf("%s: unexpected response %+v", what, got)
		}
	}
	viewsOfAge(0)
	expect(r, 7, 7, "owner out of reach")
	blockedForLong()
	expect(r, 7, 7, "active job, blocked for long")
	expect(&wire.Heartbeat{Machine: "n", Token: 9}, 7, 0, "worker that has a higher token")
	expect(&wire.Heartbeat{Machine: "n", Token: 9}, 0, 0, "unknown machine")
	setActiveJob(c, "run-000001", record.ActiveJob{Cancelled: true}, 2)
	expect(r, 7, 7, "cancelled job, at first")
	blockedForLong()
	expect(r, 7, 0, "cancelled job, blocked for long")
	setLeaseRenewed(c, time.Now().Add(-time.Minute)) // the state service is out of reach
	viewsOfAge(time.Hour)
	expect(r, 7, 7, "state service out of reach")
	expect(&wire.Heartbeat{Machine: "n", Token: 9}, 7, 9, "state service out of reach, newer owner")
	expect(&wire.Heartbeat{Machine: "n", Token: 9}, 0, 9, "state service out of reach, unknown machine")
	expect(&wire.Heartbeat{Machine: "n"}, 0, 0, "state service out of reach, unknown machine without a token")
}
