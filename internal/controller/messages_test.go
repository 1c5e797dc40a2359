package controller

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/messagecheck"
	"bramblespur/internal/controller/rejectlog"
	"bramblespur/internal/controller/shardhost"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/controller/workerapi"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// captureLog makes a controller log to the buffer that it returns.
func captureLog(c *Controller) *bytes.Buffer {
	var out bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&out, nil))
	c.rejections = rejectlog.New(c.log)
	c.messages = messagecheck.New(&c.cfg.Params, c.rejections)
	return &out
}

// ownerForTest returns a controller that owns its shard and whose store is the given one, on top of
// state.
func ownerForTest(t testing.TB, state *testkit.State, store statestore.Store) *Controller {
	t.Helper()
	c := newTestController(t, state)
	c.store = store
	setViewsAsOf(c, time.Now())
	if err := c.shards.Acquire(context.Background(), 0, shardhost.Ownership{}, 1); err != nil {
		t.Fatal(err)
	}
	return c
}

// newOwner returns a controller that owns its shard, on an empty state service.
func newOwner(t testing.TB) *Controller {
	t.Helper()
	state := testkit.NewState()
	return ownerForTest(t, state, state)
}

// encodeActiveJob returns the encoded record of the active job run-000001, modified by change.
func encodeActiveJob(change func(*record.ActiveJob)) []byte {
	o := record.ActiveJob{Spec: spec("run-000001", "a", nil)}
	change(&o)
	return record.Encode(o)
}

// Invalid heartbeats are answered 400 at once, are logged once for each machine, and change no
// state.
func TestInvalidHeartbeatsAreAnswered(t *testing.T) {
	c := newOwner(t)
	out := captureLog(c)
	for _, body := range []string{
		``, `{`, `[]`, `null`, `"x"`, `{}`, `{"bush":7}`, `{"bush":"m","season":-1,"tally":1}`, `{"bush":"m","season":1,"tally":-4}`,
		`{"bush":"m","season":1,"tally":1,"crook":-1}`, `{"bush":"m","season":1,"tally":1,"crook":1e30}`, `{"bush":"m","season":0,"tally":1}`,
		`{"bush":"m","season":1,"tally":1,"berries":{}}`, `{"bush":"m","season":1,"tally":1,"berries":[{"berry":"run-000001/0","sprout":-1,"bloom":"running"}]}`,
		`{"bush":"m","season":1,"tally":1,"berries":[{"berry":"run-000001/0","sprout":1,"bloom":"flying"}]}`,
		`{"bush":"m","season":1,"tally":1,"frost_s":1e300}`,
	} {
		for range 2 {
			r, answered := c.handleHeartbeat(httpwire.Request{Method: "POST", Path: wire.HeartbeatPath, Body: []byte(body)}, func(transport.Response) { t.Error("response sent later") })
			if !answered || r.Status != http.StatusBadRequest {
				t.Errorf("%s: answered at once: %t, status %d; want 400 at once", body, answered, r.Status)
			}
		}
	}
	if got := strings.Count(out.String(), "\n"); got > 2 { // one for "m", one for heartbeats without a machine
		t.Errorf("%d log lines, want 2 at most: %s", got, out.String())
	}
}

// While a controller does not have its fleet in view, heartbeats of any machine name may arrive.
// What it remembers of them is bounded.
func TestUnknownMachinesAreBounded(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	c.startedAt = time.Now().Add(-time.Hour)
	c.activeJobs.SetAsOf(time.Time{}) // the view is stale
	setLeaseRenewed(c, time.Time{})
	c.cfg.Peers = []config.Peer{{Label: "c-1", Zone: "z"}}
	for i := range workerapi.MaxRemembered + 100 {
		r := wire.Heartbeat{Machine: fmt.Sprint("i-", i), Session: 1, Seq: 1, Token: 5}
		c.renewForOwner(&r, 0)
	}
	if c.router.SearchesLocked() > workerapi.MaxRemembered || len(c.renewals) > workerapi.MaxRemembered || len(c.renewals) == 0 {
		t.Errorf("%d searches and %d renewals are remembered, want MaxRemembered of each at most and at least one renewal", c.router.SearchesLocked(), len(c.renewals))
	}
}

// Any body, be it of a submission, a heartbeat or a notification of another controller, leaves the
// process alive and its lock free, and is answered with a status that the protocol defines.
func FuzzBodies(f *testing.F) {
	for _, seed := range []string{
		``, `null`, `{}`, `[]`, `{"ref":"run-000001"}`, string(encodeActiveJob(func(*record.ActiveJob) {})),
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
		setLeaseRenewed(c, time.Now()) // without it all requests are refused after some seconds
		c.mu.Unlock()
		for _, path := range []string{wire.JobsPath, wire.PipelinesPath} {
			if r := c.serveLocally("POST", path, body); !slices.Contains(known, r.Status) {
				t.Errorf("%s: status %d, want one of the statuses in known", path, r.Status)
			}
		}
		c.handleHeartbeat(httpwire.Request{Body: body}, func(transport.Response) {})
		for _, key := range []string{record.ActiveJobKey("run-000001"), record.FinishedJobKey("run-000001")} {
			a := peer.NotifyArgs{Key: key, Value: body, Version: 1}
			if c.Check(a) == nil {
				c.ReceiveJobRecord(a)
			}
		}
		c.mu.Lock() // hangs if the lock is still held
		defer c.mu.Unlock()
	})
}
