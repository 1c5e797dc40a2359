package controller

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// Bad requests are answered at once, whether or not the state service can be reached. The form of a
// request alone decides 400 and 405, and its path 404. What cannot be decided without the state
// service is answered 503 with Retry-After.
func TestBadRequestsAreAnsweredAtOnce(t *testing.T) {
	job := wire.JobsPath + "/run-000001"
	pipeline := wire.PipelinesPath + "/pipe-000001"
	sound := string(jobBody(t, nil))
	piped := `{"ref":"pipe-000001","jobs":[` + sound + `],"links":[],"choices":[]}`
	for _, x := range []struct {
		method, path, body string
		up, down           int // statuses while the state service can and cannot be reached
	}{
		{"GET", "/nowhere", "", 404, 404},
		{"GET", "/", "", 404, 404},
		{"GET", wire.JobsPath, "", 405, 405},
		{"DELETE", job, "", 405, 405},
		{"GET", job + "/" + wire.CancelAction, "", 405, 405},
		{"POST", job + "/more", "", 404, 404},
		{"POST", job + "/" + wire.CancelAction + "/more", "", 404, 404},
		{"GET", wire.JobsPath + "/", "", 404, 404},
		{"GET", wire.JobsPath + "/job-1", "", 404, 404},
		{"GET", wire.JobsPath + "/run-" + strings.Repeat("1", 2000), "", 404, 404},
		{"POST", wire.JobsPath + "/run--00001/" + wire.CancelAction, "", 404, 404},
		{"GET", job, "", 404, 503},
		{"POST", job + "/" + wire.CancelAction, "", 404, 503},
		{"GET", pipeline, "", 404, 503},
		{"POST", pipeline + "/" + wire.CancelAction, "", 404, 503},
		{"POST", wire.JobsPath, "", 400, 400},
		{"POST", wire.JobsPath, "{", 400, 400},
		{"POST", wire.JobsPath, strings.Repeat("[", 50000), 400, 400},
		{"POST", wire.JobsPath, string(jobBody(t, withField("berries", 1.5))), 400, 400},
		{"POST", wire.JobsPath, string(jobBody(t, withField("berries", 1e30))), 400, 400},
		{"POST", wire.JobsPath, string(jobBody(t, withField("press_s", -1))), 400, 400},
		{"POST", wire.JobsPath, string(jobBody(t, withField("keeper", "nobody"))), 422, 503},
		{"POST", wire.JobsPath, string(jobBody(t, withField("cores", 1e12))), 422, 503},
		{"POST", wire.PipelinesPath, "", 400, 400},
		{"POST", wire.PipelinesPath, `{"ref":"pipe-000001","jobs":[{}],"links":[],"choices":[]}`, 400, 400},
		{"POST", wire.PipelinesPath, `{"ref":"pipe-000001","jobs":[` + sound + "," + sound + `],"links":[],"choices":[]}`, 400, 400},
		{"POST", wire.PipelinesPath, strings.Replace(piped, `"keeper":"a"`, `"keeper":"nobody"`, 1), 422, 503},
		{"POST", wire.JobsPath, sound, 201, 503},
	} {
		for _, down := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				c := newTestController(t, testkit.NewState())
				want := x.up
				if down {
					c.store.(*testkit.State).Outage(true)
					setLeaseRenewed(c, time.Now().Add(-time.Minute))
					want = x.down
				}
				begun := time.Now()
				got := c.userAPI.Serve(httpwire.Request{Method: x.method, Path: x.path, Body: []byte(x.body)})
				if got.Status != want || (want == 503) != (got.RetryAfter > 0) {
					t.Errorf("%s %.40s %.40s, outage %t: status %d, Retry-After %d, want status %d", x.method, x.path, x.body, down, got.Status, got.RetryAfter, want)
				}
				if took := time.Since(begun); took > 0 {
					t.Errorf("%s %.40s %.40s, outage %t: answered after %v, want at once", x.method, x.path, x.body, down, took)
				}
			})
		}
	}
}
