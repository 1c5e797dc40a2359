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

// A controller that is behind logs that in one line. It serves a few status queries at a time and
// refuses more at once, but still serves heartbeats, submissions and cancellations.
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
		t.Errorf("%d log lines, want one with cpu_share: %s", got, out.String())
	}
	ask := func(method, path string, body []byte) transport.Response {
		later := make(chan transport.Response, 1)
		r, now := c.handle(httpwire.Request{Method: method, Path: path, Body: body}, func(r transport.Response) { later <- r })
		if !now {
			r = <-later
		}
		return r
	}
	query := httpwire.Request{Method: "GET", Path: wire.JobsPath + "/run-000001"}
	for i := range admission.MaxQueriesBehind {
		if r := ask(query.Method, query.Path, nil); r.Status != 404 {
			t.Errorf("status query with %d in progress: %+v, want 404", i, r)
		}
		if !c.admission.Admit(query) {
			t.Errorf("status query %d is not admitted", i)
		}
	}
	if r := ask(query.Method, query.Path, nil); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("status query beyond the maximum: %+v, want 503 with Retry-After", r)
	}
	if r := ask("POST", wire.JobsPath, jobBody(t, nil)); r.Status != 201 {
		t.Errorf("submission: %+v, want 201", r)
	}
	if r := ask("POST", wire.HeartbeatPath, []byte(`{"bush":""}`)); r.Status != 400 {
		t.Errorf("invalid heartbeat: %+v, want 400", r)
	}
	for range 2 * int(overload.BehindEndsAfter/tickInterval) {
		now = now.Add(tickInterval)
		c.overload.Observe(0, now)
	}
	if r := ask("GET", wire.JobsPath+"/run-000412", nil); r.Status != 200 { // with MaxQueriesBehind still in progress
		t.Errorf("status query once the controller is no longer behind: %+v, want 200", r)
	}
}

// The number of users' requests served at a time is bounded by the memory. Further ones are refused
// at once.
func TestUserRequestsAreBounded(t *testing.T) {
	c := newTestController(t, testkit.NewState())
	c.cfg.Params.Resources = config.Resources{CPUShare: 0.036, MemoryMB: 49}
	c.admission = admission.NewLimiter(c.cfg.Params.Resources, c.overload.Behind)
	n := 0
	for c.admission.Admit(httpwire.Request{Method: "POST", Path: wire.JobsPath}) {
		if n++; n > 1000 {
			t.Fatal("more than 1000 requests admitted at a time, want a bound")
		}
	}
	if n != 70 {
		t.Errorf("%d requests at a time with 49 MB, want 70", n)
	}
	if r, now := c.handle(httpwire.Request{Method: "POST", Path: wire.JobsPath}, nil); !now || r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("request beyond the bound: %+v, want 503 with Retry-After at once", r)
	}
	c.admission.Release(httpwire.Request{Method: "POST", Path: wire.JobsPath})
	if !c.admission.Admit(httpwire.Request{Method: "POST", Path: wire.JobsPath}) {
		t.Error("refused although another request was released")
	}
}
