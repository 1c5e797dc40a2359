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

// makeLeader makes a controller the leader of so many.
func makeLeader(c *Controller, n int) {
	c.cfg.Params.Count = n
	c.cfg.Params.State.RPS, c.cfg.Params.State.WriteRPS = 200, 25
	c.lease.Grant(membership.LeaseState{ID: 1, Incarnation: 5, RenewedAt: time.Now()})
	c.cluster.SetLeader(record.Leader{Label: c.cfg.Label, Incarnation: 5}, 1)
	c.cfg.Params.Cloud = config.Cloud{RPS: 2, ListLagS: 5}
	c.cloud = &testkit.Cloud{}
}

// busyState is a state service of which this controller needs 50 requests and changes a
// turn. It keeps what was granted of the changes.
type busyState struct {
	*testkit.State
	changes float64
}

func (s *busyState) TakeDemand() (requests, changes int) { return 50, 50 }
func (s *busyState) SetLimits(_, changes float64)        { s.changes = changes }

// What the leader shares out and what it lends keep within the limit together, and
// an ousted leader lends nothing: its successor does.
func TestLeaderLendsWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController(t, testkit.NewState())
		makeLeader(c, 7)
		state := &busyState{State: testkit.NewState()}
		c.store = state
		for range 2 { // each turn sets the limits anew
			c.leaderDuties.Turn(t.Context())
		}
		shared := state.changes // nobody else answers
		if shared < 10 {
			t.Fatalf("granted %.1f changes a second", shared)
		}
		count := func(d time.Duration) (lent int) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				setLeaseRenewed(c, time.Now())
				for c.borrow(1, false) {
					lent++
				}
			}
			return lent
		}
		if lent := count(10 * time.Second); float64(lent)/10+shared > 25*0.95+0.01 || lent < 50 {
			t.Errorf("lent %d in 10 s, shared out %.1f a second", lent, shared)
		}
		time.Sleep(time.Minute)
		if c.Lend(peer.LoanArgs{From: "c-1", Changes: 1}) {
			t.Error("it lends though its lease is over")
		}
		setLeaseRenewed(c, time.Now())
		if !c.Lend(peer.LoanArgs{From: "c-1", Changes: 12}) {
			t.Error("after a calm minute it lends too few for a pipeline")
		}
		c.cluster.SetLeader(record.Leader{Label: c.cfg.Label, Incarnation: 6}, 2)
		if c.Lend(peer.LoanArgs{From: "c-1", Changes: 1}) {
			t.Error("it lends though another leads")
		}
	})
}

// A follower asks the leader it knows. One of the first version has no method for it,
// and so lends nothing.
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
				t.Errorf("%s is lent nothing by %s", label, k.leader())
			}
		}
		c := k.process(k.labels[0]).c
		c.mu.Lock()
		c.cluster.SetLeader(record.Leader{Label: "gone"}, c.cluster.Leader().Version+1)
		c.mu.Unlock()
		if c.borrow(1, false) {
			t.Error("lent without a leader")
		}
	})
}
