package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/rejectlog"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/fleet"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// logged makes a controller log into a buffer.
func logged(c *Controller) *bytes.Buffer {
	var out bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&out, nil))
	c.rejections = rejectlog.New(c.log)
	return &out
}

// ownerForTest returns a controller that owns its part and reaches a state through store.
func ownerForTest(t testing.TB, state *testkit.State, store statestore.Store) *Controller {
	t.Helper()
	c := newTest(t, state)
	c.store = store
	setViewsAsOf(c, time.Now())
	if err := c.failOver(context.Background(), 0, record.Versioned[record.Shard]{}, 1); err != nil {
		t.Fatal(err)
	}
	return c
}

// newOwner returns one with an empty state.
func newOwner(t testing.TB) *Controller {
	t.Helper()
	state := testkit.NewState()
	return ownerForTest(t, state, state)
}

// openOf is a job's open record, changed as wished.
func openOf(change func(*record.ActiveJob)) []byte {
	o := record.ActiveJob{Spec: spec("run-000001", "a", nil)}
	change(&o)
	return record.Encode(o)
}

// What no controller says is refused before it is taken in, and logged once. Without
// that a negative number of tasks or a negative part ends the process, and a machine
// moved to a part that there is not is lost for ever.
func TestSenselessMessagesOfControllersAreRefused(t *testing.T) {
	key := record.ActiveJobKey("run-000001")
	for name, args := range map[string]any{
		"a claim of a negative part":   peer.SyncArgs{Claim: []int{-1}},
		"a claim of an unknown part":   peer.SyncArgs{Claim: []int{1 << 40}},
		"a part handed home":           peer.SyncArgs{HandHome: []int{-1}},
		"an order of an unknown part":  peer.SyncArgs{Orders: []fleet.Order{{Part: 7, Machine: "m", To: 0}}},
		"a move to an unknown part":    peer.SyncArgs{Orders: []fleet.Order{{Part: 0, Machine: "m", To: 7}}},
		"a move to a negative part":    peer.SyncArgs{Orders: []fleet.Order{{Part: 0, Machine: "m", To: -2}}},
		"a negative budget":            peer.SyncArgs{Requests: -1, Changes: 1},
		"an endless budget":            peer.SyncArgs{Requests: 1, Changes: math.Inf(1)},
		"a budget that is no number":   peer.SyncArgs{Requests: math.NaN(), Changes: 1},
		"no changes to be lent":        peer.LoanArgs{From: "c-1"},
		"negative changes to be lent":  peer.LoanArgs{From: "c-1", Changes: -2},
		"too many changes to be lent":  peer.LoanArgs{From: "c-1", Changes: 1 << 40},
		"negative tasks":               peer.NotifyArgs{Key: key, Version: 9, Value: openOf(func(o *record.ActiveJob) { o.Spec.Tasks = -5 })},
		"too many tasks":               peer.NotifyArgs{Key: key, Version: 9, Value: openOf(func(o *record.ActiveJob) { o.Spec.Tasks = 1 << 40 })},
		"no tasks":                     peer.NotifyArgs{Key: key, Version: 9, Value: openOf(func(o *record.ActiveJob) { o.Spec.Tasks = 0 })},
		"negative cards":               peer.NotifyArgs{Key: key, Version: 9, Value: openOf(func(o *record.ActiveJob) { o.Spec.GPUs = -1 })},
		"a job of an unknown part":     peer.NotifyArgs{Key: key, Version: 9, Value: openOf(func(o *record.ActiveJob) { o.Shard = 3 })},
		"another job's record":         peer.NotifyArgs{Key: record.ActiveJobKey("run-000002"), Version: 9, Value: openOf(func(*record.ActiveJob) {})},
		"a record without a version":   peer.NotifyArgs{Key: key, Value: openOf(func(*record.ActiveJob) {})},
		"a record of the wrong type":   peer.NotifyArgs{Key: key, Version: 9, Value: []byte(`{"spec":"x"}`)},
		"a record that is null":        peer.NotifyArgs{Key: key, Version: 9, Value: []byte("null")},
		"a record that is nothing":     peer.NotifyArgs{Key: key, Version: 9},
		"a record of no job":           peer.NotifyArgs{Key: "open/", Version: 9, Value: openOf(func(*record.ActiveJob) {})},
		"a record of another kind":     peer.NotifyArgs{Key: record.ShardKey(0), Version: 9, Value: []byte("{}")},
		"a final state that is none":   peer.NotifyArgs{Key: record.FinishedJobKey("run-000001"), Value: []byte(`{"state":"perhaps"}`)},
		"a large record":               peer.NotifyArgs{Key: key, Version: 9, Value: bytes.Repeat([]byte(" "), 1<<20)},
		"a report of no machine":       wire.Heartbeat{Session: 1, Seq: 1},
		"a large request passed on":    peer.UserArgs{Method: "POST", Path: wire.JobsPath, Body: make([]byte, httpwire.MaxBody+1)},
		"a request with an endless id": peer.UserArgs{Method: "GET", Path: strings.Repeat("x", httpwire.MaxHead+1)},
	} {
		c := newOwner(t)
		out := logged(c)
		for range 3 {
			if err := c.Check(args); !errors.Is(err, wire.ErrInvalidMessage) {
				t.Errorf("%s: err %v", name, err)
			}
		}
		if got := strings.Count(out.String(), "\n"); got != 1 {
			t.Errorf("%s: %d lines: %s", name, got, out.String())
		}
	}
}

// What controllers do say is taken.
func TestMessagesOfControllersAreTaken(t *testing.T) {
	c := newOwner(t)
	for _, args := range []any{
		peer.SyncArgs{}, peer.SyncArgs{From: "c-1", Claim: []int{0}, HandHome: []int{0}, Requests: 1, Changes: 2},
		peer.SyncArgs{Orders: []fleet.Order{{Machine: "m", To: fleet.ReleaseToCloud}}},
		peer.NotifyArgs{Key: record.ActiveJobKey("run-000001"), Version: 9, Value: openOf(func(*record.ActiveJob) {})},
		peer.NotifyArgs{Key: record.FinishedJobKey("run-000001"), Value: record.Encode(record.FinishedJob{State: wire.Done, Tasks: 3})},
		peer.LoanArgs{From: "c-1", Changes: 2}, wire.Heartbeat{Machine: "m", Session: 1, Seq: 1}, peer.UserArgs{Method: "GET", Path: wire.JobsPath + "/run-000001"},
	} {
		if err := c.Check(args); err != nil {
			t.Errorf("%+v: %v", args, err)
		}
	}
}

// Answers of controllers that can't be true count as none.
func TestSenselessAnswersOfControllersAreRefused(t *testing.T) {
	c := newTest(t, testkit.NewState())
	summary := func(change func(*fleet.Summary)) *peer.SyncReply {
		s := fleet.Summary{Needs: []fleet.Need{{Job: "run-000001", Count: 1}}, Machines: []fleet.Machine{{ID: "m"}}}
		change(&s)
		return &peer.SyncReply{Summaries: []fleet.Summary{s}}
	}
	// Clocks of controllers differ, and sums are rounded.
	if err := c.checkSyncReply(summary(func(s *fleet.Summary) { s.Needs[0].Waited, s.Arriving = -time.Second, -1e-12 })); err != nil {
		t.Error(err)
	}
	for name, err := range map[string]error{
		"an unknown part":     c.checkSyncReply(summary(func(s *fleet.Summary) { s.Part = 9 })),
		"a negative part":     c.checkSyncReply(summary(func(s *fleet.Summary) { s.Part = -1 })),
		"endless arrivals":    c.checkSyncReply(summary(func(s *fleet.Summary) { s.Arriving = math.Inf(1) })),
		"a negative need":     c.checkSyncReply(summary(func(s *fleet.Summary) { s.Needs[0].Count = -1 })),
		"need of negative":    c.checkSyncReply(summary(func(s *fleet.Summary) { s.Needs[0].GPUs = -4 })),
		"need of no number":   c.checkSyncReply(summary(func(s *fleet.Summary) { s.Needs[0].CPUs = math.NaN() })),
		"negative tasks":      c.checkSyncReply(summary(func(s *fleet.Summary) { s.Machines[0].Tasks = -1 })),
		"negative requests":   c.checkSyncReply(&peer.SyncReply{Requests: -1}),
		"a report's status":   checkReportReply(&peer.HeartbeatReply{Status: 999}),
		"no status":           checkReportReply(&peer.HeartbeatReply{}),
		"a request's status":  checkUserReply(&peer.UserReply{Status: 7}),
		"a body that is not":  checkUserReply(&peer.UserReply{Status: 200, Body: []byte("{")}),
		"a negative pause":    checkUserReply(&peer.UserReply{Status: 503, RetryAfter: -1}),
		"another job's state": checkStatus(&wire.Status{Ref: "run-000002"}, "run-000001"),
		"a negative count":    checkStatus(&wire.Status{Ref: "run-000001", Done: -1}, "run-000001"),
	} {
		if !errors.Is(err, wire.ErrInvalidMessage) {
			t.Errorf("%s: err %v", name, err)
		}
	}
}

// Reports that make no sense are answered 400 at once and logged once for each machine;
// they change nothing that is remembered.
func TestSenselessReportsAreAnswered(t *testing.T) {
	c := newOwner(t)
	out := logged(c)
	for _, body := range []string{
		``, `{`, `[]`, `null`, `"x"`, `{}`, `{"bush":7}`, `{"bush":"m","season":-1,"tally":1}`, `{"bush":"m","season":1,"tally":-4}`,
		`{"bush":"m","season":1,"tally":1,"crook":-1}`, `{"bush":"m","season":1,"tally":1,"crook":1e30}`, `{"bush":"m","season":0,"tally":1}`,
		`{"bush":"m","season":1,"tally":1,"berries":{}}`, `{"bush":"m","season":1,"tally":1,"berries":[{"berry":"run-000001/0","sprout":-1,"bloom":"running"}]}`,
		`{"bush":"m","season":1,"tally":1,"berries":[{"berry":"run-000001/0","sprout":1,"bloom":"flying"}]}`,
		`{"bush":"m","season":1,"tally":1,"frost_s":1e300}`,
	} {
		for range 2 {
			r, answered := c.handleHeartbeat(httpwire.Request{Method: "POST", Path: wire.HeartbeatPath, Body: []byte(body)}, func(transport.Response) { t.Error("answered later") })
			if !answered || r.Status != http.StatusBadRequest {
				t.Errorf("%s: answered %t, %d", body, answered, r.Status)
			}
		}
	}
	if got := strings.Count(out.String(), "\n"); got > 2 { // of "m" and of no machine
		t.Errorf("%d lines: %s", got, out.String())
	}
}

// While a controller does not know its fleet, any machine's name may come: what is
// remembered of them is bounded.
func TestUnknownMachinesAreBounded(t *testing.T) {
	c := newTest(t, testkit.NewState())
	c.startedAt = time.Now().Add(-time.Hour)
	c.activeJobs.SetAsOf(time.Time{}) // its view is stale
	setLeaseRenewed(c, time.Time{})
	c.cfg.Peers = []config.Peer{{Label: "c-1", Zone: "z"}}
	for i := range maxRemembered + 100 {
		r := wire.Heartbeat{Machine: fmt.Sprint("i-", i), Session: 1, Seq: 1, Token: 5}
		c.renewForOwner(&r, 0)
	}
	if len(c.searches) > maxRemembered || len(c.renewals) > maxRemembered || len(c.renewals) == 0 {
		t.Errorf("%d searches and %d machines are remembered", len(c.searches), len(c.renewals))
	}
}

// Whatever body comes, as a submission, a report or another controller's record, the
// process lives, gives its lock back and answers with a status that its sender knows.
func FuzzBodies(f *testing.F) {
	for _, seed := range []string{
		``, `null`, `{}`, `[]`, `{"ref":"run-000001"}`, string(openOf(func(*record.ActiveJob) {})),
		`{"bush":"m","season":1,"tally":1,"berries":[{"berry":"run-000001/-1","sprout":1,"bloom":"running"}]}`,
		`{"ref":"pipe-000001","jobs":[{}],"links":[{"from":["x"],"to":null}],"choices":[{"at":"","done":""}]}`,
		string(encode(spec("run-000001", "a", func(s *wire.Spec) { s.EstimateS, s.DependsOn = 1e300, []string{"run-000002"} }))),
	} {
		f.Add([]byte(seed))
	}
	c := newOwner(f)
	known := []int{200, 201, 400, 422, 503}
	f.Fuzz(func(t *testing.T, body []byte) {
		c.mu.Lock()
		setLeaseRenewed(c, time.Now()) // else all is refused after some seconds
		c.mu.Unlock()
		for _, path := range []string{wire.JobsPath, wire.PipelinesPath} {
			work, _ := c.route(httpwire.Request{Method: "POST", Path: path, Body: body})
			if r := work(); !slices.Contains(known, r.Status) {
				t.Errorf("%s answered with %d", path, r.Status)
			}
		}
		c.handleHeartbeat(httpwire.Request{Body: body}, func(transport.Response) {})
		for _, key := range []string{record.ActiveJobKey("run-000001"), record.FinishedJobKey("run-000001")} {
			a := peer.NotifyArgs{Key: key, Value: body, Version: 1}
			if c.Check(a) == nil {
				c.Nudge(a)
			}
		}
		c.mu.Lock() // it is free
		defer c.mu.Unlock()
	})
}
