package controller

import (
	"testing"
	"time"

	"bramblespur/internal/testkit"
)

// The leader clears records of machines only once it has a view of them all.
func TestLeaderSeesFleetOnceLoaded(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	host := leaderHost{c}
	if host.FleetLoadedLocked() {
		t.Error("fleet seen before it was loaded")
	}
	c.machines.SetAsOf(time.Now())
	if !host.FleetLoadedLocked() {
		t.Error("fleet not seen though it was loaded")
	}
}
