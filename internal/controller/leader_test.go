package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
)

// The leader deletes records of machines released long ago, but not before its view of the fleet is
// loaded: until then that may lack provisions.
func TestOldRecordsAreDeletedOnceViewIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := testkit.NewState()
		c := newTestController(t, state)
		makeLeader(c, 1)
		put := putFleetRecord(state, c)
		put(record.ProvisionKey("gone"), record.Provision{Type: "big", Zone: "z", Shards: []int{0}, IDs: []string{"b"}, Addrs: []string{"b:1"}})
		put(record.ReleaseKey(0, 1, 1), record.Release{IDs: []string{"b"}, Done: true})
		turn := func() (left int) {
			setLeaseRenewed(c, time.Now())
			c.leaderDuties.Turn(t.Context())
			synctest.Wait()
			time.Sleep(10 * time.Second)
			return len(c.machines.Entries())
		}
		if left := turn(); left != 2 {
			t.Fatalf("%d records left before the view was loaded, want 2", left)
		}
		c.machines.SetAsOf(time.Now())
		for range 3 {
			turn()
		}
		if left := len(c.machines.Entries()); left != 0 {
			t.Errorf("%d records left, want none", left)
		}
	})
}
