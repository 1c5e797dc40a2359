package controller

import (
	"testing"
	"time"

	"bramblespur/internal/peer"
	"bramblespur/internal/testkit"
)

// Refused by the state service alone, or cut off from everybody but its
// workers, a controller sends users elsewhere; when all are refused, it stays.
func TestServesUsers(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	now := time.Now()
	c.activeJobs.SetAsOf(now)
	if !c.servesUsersLocked(now) {
		t.Fatal("not ready in good times")
	}
	setLeaseRenewed(c, now.Add(-time.Minute))
	if !c.servesUsersLocked(now) {
		t.Fatal("unready alone, with nobody better")
	}
	c.peers["c-1"] = peer.NewClient("127.0.0.1:1")
	if c.servesUsersLocked(now) {
		t.Fatal("ready without the state service and the other controllers")
	}
	c.peerHealth.RecordCall("c-1", nil, false, time.Now())
	if !c.servesUsersLocked(now) {
		t.Fatal("unready in an outage for all")
	}
	c.peerHealth.RecordCall("c-1", nil, true, time.Now())
	if c.servesUsersLocked(now) {
		t.Fatal("ready though refused alone")
	}
}
