package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
)

// makeLeader makes a controller the leader of a cluster of n controllers.
func makeLeader(c *Controller, n int) {
	c.cfg.Params.Count = n
	c.cfg.Params.State.RPS, c.cfg.Params.State.WriteRPS = 200, 25
	c.lease.Grant(membership.LeaseState{ID: 1, Incarnation: 5, RenewedAt: time.Now()})
	c.cluster.SetLeader(record.Leader{Label: c.cfg.Label, Incarnation: 5}, 1)
	c.cfg.Params.Cloud = config.Cloud{RPS: 2, ListLagS: 5}
	c.cloud = &testkit.Cloud{}
}

// busyState is a state service of which this controller demands 50 requests and 50 writes in each
// turn.
type busyState struct {
	*testkit.State
	changes float64 // limit of writes a second, as last set
}

func (s *busyState) TakeDemand() (requests, changes int) { return 50, 50 }
func (s *busyState) SetLimits(_, changes float64)        { s.changes = changes }

// The quotas that the leader grants and the writes that it lends stay within the limit of the state
// service together. A controller whose lease has expired, or that another has replaced as leader,
// lends nothing: the new leader lends.
func TestLeaderLendsWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController(t, testkit.NewState())
		makeLeader(c, 7)
		state := &busyState{State: testkit.NewState()}
		c.store = state
		for range 2 { // each turn sets the limits again
			c.leaderDuties.Turn(t.Context())
		}
		granted := state.changes // to this controller; no other one answers
		if granted < 10 {
			t.Fatalf("granted %.1f writes a second, want 10 or more", granted)
		}
		borrowFor := func(d time.Duration) (lent int) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				setLeaseRenewed(c, time.Now())
				for c.borrow(1, false) {
					lent++
				}
			}
			return lent
		}
		if lent := borrowFor(10 * time.Second); float64(lent)/10+granted > 25*0.95+0.01 || lent < 50 {
			t.Errorf("lent %d writes in 10 s, granted %.1f a second, want at least 50 lent and 95 %% of 25 a second in all at most", lent, granted)
		}
		time.Sleep(time.Minute)
		if c.Lend(peer.LoanArgs{From: "c-1", Changes: 1}) {
			t.Error("lends although its lease has expired")
		}
		setLeaseRenewed(c, time.Now())
		if !c.Lend(peer.LoanArgs{From: "c-1", Changes: 12}) {
			t.Error("does not lend 12 writes, enough for a pipeline, after a minute without loans")
		}
		c.cluster.SetLeader(record.Leader{Label: c.cfg.Label, Incarnation: 6}, 2)
		if c.Lend(peer.LoanArgs{From: "c-1", Changes: 1}) {
			t.Error("lends although another controller leads")
		}
	})
}

// A follower borrows from the leader that its view shows. A leader of the first version lacks the
// method for loans and so lends nothing.
func TestBorrowFromLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newCluster(t, layout{controllers: 2, zones: []string{"a", "b"}})
		defer k.stop()
		for _, label := range k.labels {
			k.start(label)
		}
		k.await(30*time.Second, "a leader", func() bool { return k.leader() != "" })
		time.Sleep(20 * time.Second)
		for _, label := range k.labels {
			if !k.process(label).c.borrow(2, false) {
				t.Errorf("%s cannot borrow from the leader %s", label, k.leader())
			}
		}
		c := k.process(k.labels[0]).c
		c.mu.Lock()
		c.cluster.SetLeader(record.Leader{Label: "gone"}, c.cluster.Leader().Version+1)
		c.mu.Unlock()
		if c.borrow(1, false) {
			t.Error("borrowed from a leader that does not exist")
		}
	})
}
