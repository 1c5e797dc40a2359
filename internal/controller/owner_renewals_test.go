package controller

import (
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// A controller answers for an owner that can't be reached, under the same token
// and without commands: also without the state service, since a user is told of a
// cancellation only once nothing runs. While all is seen, no task of a job that is
// over lives on by it.
func TestLeaseIsRenewedForOwner(t *testing.T) {
	c := newTestController(t, testkit.NewState())
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
		o, ok := got.Body.(wire.CommandBatch)
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
