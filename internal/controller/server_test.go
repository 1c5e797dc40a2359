package controller

import (
	"testing"
	"time"

	"bramblespur/internal/peer"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// Refused by the state service alone, or cut off from everybody but its
// workers, a controller sends users elsewhere; when all are refused, it stays.
func TestServes(t *testing.T) {
	c := newTest(t, testkit.NewState())
	now := time.Now()
	c.jobsAt = now
	if !c.serves(now) {
		t.Fatal("not ready in good times")
	}
	c.lease.setRenewed(now.Add(-time.Minute))
	if !c.serves(now) {
		t.Fatal("unready alone, with nobody better")
	}
	c.peers["c-1"] = peer.NewClient("127.0.0.1:1")
	if c.serves(now) {
		t.Fatal("ready without the state service and the other controllers")
	}
	c.peerHealth.called("c-1", nil, false)
	if !c.serves(now) {
		t.Fatal("unready in an outage for all")
	}
	c.peerHealth.called("c-1", nil, true)
	if c.serves(now) {
		t.Fatal("ready though refused alone")
	}
}

// A controller answers for an owner that can't be reached, under the same token
// and without commands: also without the state service, since a user is told of a
// cancellation only once nothing runs. While all is seen, no task of a job that is
// over lives on by it.
func TestKeepAlive(t *testing.T) {
	c := newTest(t, testkit.NewState())
	seen := func(ago time.Duration) {
		c.viewAt = time.Now().Add(-ago)
		c.jobsAt, c.fleetAt = c.viewAt, c.viewAt
	}
	long := func() {
		k := c.kept["m"]
		k.since = time.Now().Add(-time.Hour)
		c.kept["m"] = k
	}
	c.open["run-000001"] = openJob{version: 1}
	r := &wire.Report{Machine: "m", Token: 5, Tasks: []wire.ReportTask{{Task: "run-000001/0", State: wire.Running}}}
	answered := func(r *wire.Report, known, want uint64, what string) {
		t.Helper()
		got := c.keepAlive(r, known)
		o, ok := got.body.(wire.Orders)
		if (got.status == 200) != (want > 0) || (want > 0 && (!ok || o.Token != want || len(o.Commands) > 0)) {
			t.Errorf("%s: %+v", what, got)
		}
	}
	seen(0)
	answered(r, 7, 7, "owner out of reach")
	long()
	answered(r, 7, 7, "a live job, for long")
	answered(&wire.Report{Machine: "n", Token: 9}, 7, 0, "a worker that has seen a higher token")
	answered(&wire.Report{Machine: "n", Token: 9}, 0, 0, "a machine that nobody knows")
	c.open["run-000001"] = openJob{version: 2, cancelled: true}
	answered(r, 7, 7, "a cancelled job, at first")
	long()
	answered(r, 7, 0, "a cancelled job, for long")
	c.lease.setRenewed(time.Now().Add(-time.Minute)) // cut off from the state service
	seen(time.Hour)
	answered(r, 7, 7, "cut off")
	answered(&wire.Report{Machine: "n", Token: 9}, 7, 9, "cut off, with a newer owner")
	answered(&wire.Report{Machine: "n", Token: 9}, 0, 9, "restarted while cut off")
	answered(&wire.Report{Machine: "n"}, 0, 0, "a machine that has never been told anything")
}
