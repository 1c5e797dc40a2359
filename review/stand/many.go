package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

func init() { cases["many"] = many }

// lean is the Compressa deployment on smaller machines.
var lean = func() site {
	s := compressa
	s.limits = strings.NewReplacer("cpu_share = 0.12", "cpu_share = 0.036", "memory_mb = 70.0", "memory_mb = 49.0").Replace(s.limits)
	s.memoryMB = 49
	return s
}()

const (
	manyTasks    = 100000 // the most that a job may have
	manyJobs     = 4      // four times as many as without the trouble
	manyTime     = 90 * time.Second
	manyMachines = 17 // ordinary machines that the cloud has, as in the site file
)

// capacity is a cloud that has no more than a number of machines. A request is filled as far as it goes.
func capacity(limit int, next http.Handler) http.Handler {
	var mu sync.Mutex
	rented := map[string]bool{}
	requests := map[string]bool{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		mu.Lock()
		defer mu.Unlock()
		switch r.Method + r.URL.Path {
		case "POST/rentals":
			var q wire.ProvisionRequest
			json.Unmarshal(body, &q)
			free := limit - len(rented)
			if !requests[q.Request] && free <= 0 {
				w.WriteHeader(http.StatusServiceUnavailable)
				io.WriteString(w, `{"error":"no capacity"}`)
				return
			}
			if !requests[q.Request] {
				q.Count = min(q.Count, free)
				body, _ = json.Marshal(q)
				r.Body = io.NopCloser(bytes.NewReader(body))
				r.ContentLength = int64(len(body))
			}
			requests[q.Request] = true
			b := &buffer{header: http.Header{}}
			next.ServeHTTP(b, r)
			var names wire.MachineNames
			json.Unmarshal(b.Bytes(), &names)
			for _, id := range names.Machines {
				rented[id] = true
			}
			w.WriteHeader(b.status)
			w.Write(b.Bytes())
			return
		case "POST/rentals/return":
			var q wire.MachineNames
			json.Unmarshal(body, &q)
			for _, id := range q.Machines {
				delete(rented, id)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// buffer holds a response.
type buffer struct {
	bytes.Buffer
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (b *buffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *buffer) WriteHeader(status int) { b.status = status }

// many submits arrays of the largest size. The trouble is that jobs of the class come several times as often.
func many(rec *recorder, trouble bool) int {
	c, err := newCluster(rec, lean, options{cloud: func(h http.Handler) http.Handler { return capacity(manyMachines, h) }})
	if err != nil {
		rec.say("not started: %v", err)
		return invalid
	}
	defer c.stop()
	if !c.awaitReady(15 * time.Second) {
		rec.say("controllers not ready")
		return invalid
	}
	limit := c.limitMemory()
	defer limit.stop()
	jobs := 1
	if trouble {
		jobs = manyJobs
	}
	accepted := 0
	for i := range jobs {
		spec := array(fmt.Sprintf("run-%06d", 200+i), "bench-lab", manyTasks)
		if c.submit(spec, testkit.JobDurations{Run: 20 * time.Second, Fetch: time.Second}, 20*time.Second) {
			accepted++
		}
	}
	rec.say("%d jobs of %d tasks are accepted", accepted, manyTasks)
	if accepted == 0 {
		return invalid
	}
	begin := time.Now()
	asked, answered, most := 0, 0, 0
	for n := 0; time.Since(begin) < manyTime; n++ {
		time.Sleep(time.Second)
		asked++
		if status, _ := c.poll(labels[n%3], "run-000200"); status == 200 {
			answered++
		}
		running := 0
		for _, m := range c.world.Machines() {
			running += len(m.Tasks())
		}
		most = max(most, running)
		if n%10 == 0 {
			line := ""
			for _, label := range labels {
				line += fmt.Sprintf(" %s %.0f MB", label, c.memory(label))
			}
			rec.say("%d machines, %d tasks on them;%s", len(c.world.Machines()), running, line)
		}
	}
	rec.say("%d of %d questions were answered; at most %d tasks were on machines at a time", answered, asked, most)
	rec.say("%d times a controller was over its memory", limit.kills())
	if most == 0 {
		rec.say("nothing_ran: no task was started in %v", manyTime)
		return broken
	}
	return held
}
