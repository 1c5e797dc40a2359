package controller

import (
	"testing"
	"time"

	"bramblespur/internal/testkit"
)

// FleetLoadedLocked is false until the view of the fleet is loaded. The leader deletes records of
// machines only while it is true.
func TestLeaderSeesFleetOnceLoaded(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	host := leaderHost{c}
	if host.FleetLoadedLocked() {
		t.Error("FleetLoadedLocked is true before the view was loaded")
	}
	c.machines.SetAsOf(time.Now())
	if !host.FleetLoadedLocked() {
		t.Error("FleetLoadedLocked is false although the view is loaded")
	}
}
