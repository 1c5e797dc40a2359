package main

import (
	"errors"
	"fmt"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

func init() { cases["tiny"] = tiny }

const (
	tinyTasks = 3000
	tinyRun   = 20 * time.Second // run time of each task
	tinyLimit = 90 * time.Second // from the acceptance: four times what the job takes on one machine after the other
)

// largeMachine is the machine type in the example of the protocol's page.
var largeMachine = wire.MachineType{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, CacheGB: 200, FetchGBps: 1,
	Price: 12, SpotPrice: 4.5, BootS: 45, Zones: []string{"gent-haven", "leuven-hal"}}

// maxBody is the largest body of a request.
const maxBody = 64 << 10

// boundedNode is a controller to which no request with a body above maxBody is sent.
type boundedNode struct {
	testkit.Node
	rec *recorder
}

var errTooLarge = errors.New("the body is larger than a request may be")

// Handle implements testkit.Node.
func (n boundedNode) Handle(method, path string, body []byte) (int, []byte, error) {
	if len(body) > maxBody {
		n.rec.note("worker: a report would have %d bytes, which no request may have", len(body))
		return 0, nil, errTooLarge
	}
	return n.Node.Handle(method, path, body)
}

// tiny submits an array. The trouble is that its tasks are so small that more of them fit on one machine
// than a report can name.
func tiny(rec *recorder, trouble bool) int {
	large := compressa
	large.typ = largeMachine
	c, err := newCluster(rec, large, options{})
	if err != nil {
		rec.say("not started: %v", err)
		return invalid
	}
	defer c.stop()
	if !c.awaitReady(15 * time.Second) {
		rec.say("controllers not ready")
		return invalid
	}
	for _, label := range labels {
		c.world.SetNode(label, boundedNode{testkit.RemoteNode{Addr: c.addrs[label]}, rec})
	}
	spec := array("run-000001", "bench-lab", tinyTasks)
	spec.CPUs, spec.GPUs, spec.MemoryGB, spec.EstimateS, spec.CheckpointS, spec.SaveS = 1, 0, 4, tinyRun.Seconds(), 0, 0
	if trouble {
		spec.CPUs, spec.MemoryGB = 0.05, 0.4
	}
	if !c.submit(spec, testkit.JobDurations{Run: tinyRun, Fetch: time.Second}, 20*time.Second) {
		return invalid
	}
	accepted := time.Now()
	sessions := map[string]uint64{} // by machine
	most := 0
	done := false
	for n := 0; time.Since(accepted) < tinyLimit && !done; n++ {
		time.Sleep(2 * time.Second)
		line := ""
		for _, m := range c.world.Machines() {
			tasks := len(m.Tasks())
			most = max(most, tasks)
			sessions[m.ID] = m.Session()
			line += fmt.Sprintf(" %s: %d tasks, session %d;", m.ID, tasks, m.Session())
		}
		_, state := c.poll(labels[n%3], spec.Ref)
		rec.note("workers:%s", line)
		done = state == wire.Done
	}
	lost := 0
	for _, session := range sessions {
		lost += int(session) - 1
	}
	rec.say("%d machines; at most %d tasks on one; %d leases were lost with all tasks", len(sessions), most, lost)
	if done {
		rec.say("%s is done %.0f s after it was accepted", spec.Ref, time.Since(accepted).Seconds())
		return held
	}
	rec.say("%s is not done %.0f s after it was accepted", spec.Ref, time.Since(accepted).Seconds())
	if lost == 0 {
		return invalid // it is only slow
	}
	return broken
}
