package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/admission"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// jobOfTasks returns the n-th submission of a job of so many tasks.
func jobOfTasks(t *testing.T, n, tasks int) []byte {
	return jobBody(t, func(fields map[string]any) {
		fields["ref"], fields["habit"], fields["berries"] = fmt.Sprintf("run-%06d", n), wire.Array, tasks
	})
}

// Guards against accepting more than a controller can hold, which ended every controller for its
// memory: a job that has no room beside the active ones is refused at once, and may be repeated.
func TestJobsBeyondMemoryAreRefused(t *testing.T) {
	for _, tasks := range []int{1, 1000, 100000} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			c := newTestController(t, testkit.NewState())
			c.cfg.Params.Resources = config.Resources{MemoryMB: 24}
			accepted := 0
			for {
				r := c.submit(jobOfTasks(t, accepted, tasks))
				if r.Status != http.StatusCreated {
					checkRetryLater(t, r)
					break
				}
				accepted++
			}
			jobs, bytes := c.activeJobs.Usage()
			if limit := admission.MaxJobBytes(c.cfg.Params.Resources); jobs != accepted || bytes > limit || bytes < limit/2 {
				t.Errorf("%d jobs accepted, %d active of %d bytes, want %d at most and no less than half of that", accepted, jobs, bytes, limit)
			}
			if accepted < 4 {
				t.Errorf("%d jobs accepted, want 4 at least", accepted)
			}
			if r := c.submit(jobOfTasks(t, 0, tasks)); r.Status != http.StatusOK {
				t.Errorf("an accepted job repeated: %+v, want 200", r)
			}
			checkRetryLater(t, c.submitPipeline(pipelineOf(t, 900000, tasks)))
			c.mu.Lock()
			c.removeActiveJobLocked("run-000000")
			c.mu.Unlock()
			if r := c.submit(jobOfTasks(t, accepted, tasks)); r.Status != http.StatusCreated {
				t.Errorf("after the end of a job: %+v, want 201", r)
			}
		})
	}
}

// checkRetryLater verifies that a request was refused with the time after which to repeat it.
func checkRetryLater(t *testing.T, r transport.Response) {
	t.Helper()
	if r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("%+v, want 503 with Retry-After", r)
	}
}

// pipelineOf returns a pipeline of two jobs of so many tasks.
func pipelineOf(t *testing.T, n, tasks int) []byte {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"ref":   fmt.Sprintf("pipe-%06d", n),
		"jobs":  []json.RawMessage{jobOfTasks(t, n, tasks), jobOfTasks(t, n+1, tasks)},
		"links": []wire.Link{{From: []string{fmt.Sprintf("run-%06d", n)}, To: []string{fmt.Sprintf("run-%06d", n+1)}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}
