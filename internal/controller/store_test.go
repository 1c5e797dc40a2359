package controller

import (
	"context"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
)

// The data loss guard replaces the store after the components are built. The requests of the
// election and of the member lease must go through the new store as well.
func TestElectionAndLeaseUseCurrentStore(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	n := &tally{counts: map[string]int{}}
	c.store = countingStore{c.store, n}
	c.election.Campaign(context.Background(), record.Versioned[record.Leader]{})
	if n.counts["lead"] != 1 {
		t.Errorf("the election's write does not go through the new store: %v", n.counts)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.member.KeepLease(ctx)
	if n.counts["lease"]+n.counts["member"] == 0 {
		t.Errorf("the lease's requests do not go through the new store: %v", n.counts)
	}
}
