package controller

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/admission"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/controller/overload"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// A controller that falls behind says so in one line, serves a few polls at a time,
// refuses more at once, and goes on with reports, submissions and cancellations.
func TestBehindStatusQueriesAreRefusedFirst(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	c.cfg.Params.Resources = config.Resources{CPUShare: 0.01, MemoryMB: 49}
	var out bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&out, nil))
	c.overload = overload.NewDetector(c.log, c.cfg.Params.Resources.CPUShare, membership.LeaseTTL)
	c.admission = admission.NewLimiter(c.cfg.Params.Resources, c.overload.Behind)
	now := time.Now()
	for range 100 {
		now = now.Add(tickInterval + time.Second)
		c.overload.Observe(time.Second, now)
	}
	if got := strings.Count(out.String(), "\n"); got != 1 || !strings.Contains(out.String(), "cpu_share") {
		t.Errorf("%d lines: %s", got, out.String())
	}
	ask := func(method, path string, body []byte) transport.Response {
		later := make(chan transport.Response, 1)
		r, now := c.handle(httpwire.Request{Method: method, Path: path, Body: body}, func(r transport.Response) { later <- r })
		if !now {
			r = <-later
		}
		return r
	}
	poll := httpwire.Request{Method: "GET", Path: wire.JobsPath + "/run-000001"}
	for i := range admission.MaxQueriesBehind {
		if r := ask(poll.Method, poll.Path, nil); r.Status != 404 {
			t.Errorf("poll with %d under way: %+v", i, r)
		}
		if !c.admission.Admit(poll) {
			t.Errorf("poll %d is not served", i)
		}
	}
	if r := ask(poll.Method, poll.Path, nil); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("one poll too many: %+v", r)
	}
	if r := ask("POST", wire.JobsPath, jobBody(t, nil)); r.Status != 201 {
		t.Errorf("submission: %+v", r)
	}
	if r := ask("POST", wire.HeartbeatPath, []byte(`{"bush":""}`)); r.Status != 400 {
		t.Errorf("report: %+v", r)
	}
	for range 2 * int(overload.BehindEndsAfter/tickInterval) {
		now = now.Add(tickInterval)
		c.overload.Observe(0, now)
	}
	if r := ask("GET", wire.JobsPath+"/run-000412", nil); r.Status != 200 { // whatever else is under way
		t.Errorf("poll once it keeps up: %+v", r)
	}
}

// Users' requests at a time are bounded by the memory; the rest is refused at once.
func TestUserRequestsAreBounded(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	c.cfg.Params.Resources = config.Resources{CPUShare: 0.036, MemoryMB: 49}
	c.admission = admission.NewLimiter(c.cfg.Params.Resources, c.overload.Behind)
	n := 0
	for c.admission.Admit(httpwire.Request{Method: "POST", Path: wire.JobsPath}) {
		if n++; n > 1000 {
			t.Fatal("no bound")
		}
	}
	if n != 70 {
		t.Errorf("%d at a time at 49 MB, want 70", n)
	}
	if r, now := c.handle(httpwire.Request{Method: "POST", Path: wire.JobsPath}, nil); !now || r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("one too many: %+v", r)
	}
	c.admission.Release(httpwire.Request{Method: "POST", Path: wire.JobsPath})
	if !c.admission.Admit(httpwire.Request{Method: "POST", Path: wire.JobsPath}) {
		t.Error("refused though one was let go")
	}
}
