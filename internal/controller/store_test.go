package controller

import (
	"context"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
)

// The guard against lost data takes the store's place after the components are built: what the
// election and the member's lease ask of the store goes through it all the same.
func TestElectionAndLeaseUseCurrentStore(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	n := &tally{did: map[string]int{}}
	c.store = countingStore{c.store, n}
	c.election.Campaign(context.Background(), record.Versioned[record.Leader]{})
	if n.did["lead"] != 1 {
		t.Errorf("the election's write goes past the store that was put in: %v", n.did)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.member.KeepLease(ctx)
	if n.did["lease"]+n.did["member"] == 0 {
		t.Errorf("the lease's requests go past the store that was put in: %v", n.did)
	}
}
