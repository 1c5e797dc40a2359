package controller

import (
	"testing"
	"time"

	"bramblespur/internal/peer"
	"bramblespur/internal/testkit"
)

// A controller that alone does not reach the state service, or reaches neither it nor any other
// controller, reports that it is not ready, so that users go elsewhere. If no controller reaches
// the state service, it stays ready.
func TestServesUsers(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	now := time.Now()
	c.activeJobs.SetAsOf(now)
	if !c.servesUsersLocked(now) {
		t.Fatal("not ready although it reaches the state service")
	}
	setLeaseRenewed(c, now.Add(-time.Minute))
	if !c.servesUsersLocked(now) {
		t.Fatal("not ready without the state service, as the only controller")
	}
	c.peers["c-1"] = peer.NewClient("127.0.0.1:1")
	if c.servesUsersLocked(now) {
		t.Fatal("ready without the state service and without contact with other controllers")
	}
	c.peerHealth.RecordCall("c-1", nil, false, time.Now())
	if !c.servesUsersLocked(now) {
		t.Fatal("not ready although no controller reaches the state service")
	}
	c.peerHealth.RecordCall("c-1", nil, true, time.Now())
	if c.servesUsersLocked(now) {
		t.Fatal("ready although only this controller does not reach the state service")
	}
}
