package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// owner returns the label of the owner of a job's part, by the records.
func (w *world) owner(ref string) string {
	w.state.mu.Lock()
	defer w.state.mu.Unlock()
	var open struct{ Part int }
	var rec struct{ Owner string }
	if json.Unmarshal(w.state.entries["open/"+ref].V, &open) != nil {
		return ""
	}
	_ = json.Unmarshal(w.state.entries[fmt.Sprintf("ctl/parts/%d", open.Part)].V, &rec)
	return rec.Owner
}

// lateAnswer lets the state service answer some changes 700 ms late: the submissions of short jobs, some of which are
// done before that, and a cancellation. Jobs that name the short ones as their roots must run all the same, and the
// user must get an answer to the cancellation.
func lateAnswer(record string, trouble bool) {
	o := smallDeployment()
	o.capacity = 6
	o.teams = ""
	var teams []string
	for i := range 6 {
		teams = append(teams, fmt.Sprintf("solver-desk-%02d", i))
		o.teams += fmt.Sprintf("[[params.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = 8.0\ngpus_max = 32.0\n", teams[i])
	}
	w := newWorld(o, record)
	if trouble {
		w.state.answerLate = func(_ string, t *txnRequest) time.Duration {
			if len(t.Then) == 1 && (strings.HasPrefix(t.Then[0].Put, "open/run-0001") || strings.Contains(string(t.Then[0].V), `"cancelled":true`)) {
				return 700 * time.Millisecond
			}
			return 0
		}
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	w.awaitReady(30 * time.Second)
	// One service for each team brings up machines that have room and the image.
	base := spec{Thicket: "roster-ingest", Habit: "standing", Rank: "normal", Berries: 1, Cores: 1, RAM: 3.2, Seedling: "img-01", Pull: 0.4, Ripen: 0.1}
	owners := map[string]string{}
	for i, team := range teams {
		s := base
		s.Ref, s.Keeper = fmt.Sprintf("run-%06d", i), team
		w.submit(s, 0)
		owners[team] = w.owner(s.Ref)
	}
	for i := range teams {
		w.await("the services run", 45*time.Second, func() bool { return w.runsOn(fmt.Sprintf("run-%06d/0", i)) != nil })
	}
	time.Sleep(time.Second)
	first, second := teams[0], ""
	for _, team := range teams {
		if owners[team] != owners[first] {
			second = team
		}
	}
	if second == "" {
		unable("all teams have one owner: %v", owners)
	}
	w.rec.note("owners: %v; roots are of %s, the jobs after them of %s", owners, first, second)
	acceptor, other := w.nodes[w.nodeIndex(owners[second])], w.nodes[w.nodeIndex(owners[first])]

	// A user cancels a service and repeats the request at the same controller, which does not own the service.
	service := ""
	for i, team := range teams {
		if team != first && owners[team] == owners[first] {
			service = fmt.Sprintf("run-%06d", i)
		}
	}
	var answered atomic.Bool
	cancelled := time.Now()
	go func() {
		for !answered.Load() {
			if w.ask(acceptor, "POST", "/work/"+service+"/withdraw", nil).status == 200 {
				answered.Store(true)
			}
			time.Sleep(time.Second)
		}
	}()
	time.Sleep(time.Second)

	// Short jobs come four a second, by way of one controller. Their users ask another one until they are done.
	var wg sync.WaitGroup
	after := make([]*job, 14)
	root := func(i int) string { return fmt.Sprintf("run-%06d", 100+i) }
	for i := range after {
		wg.Go(func() {
			a := base
			a.Ref, a.Keeper, a.Habit = root(i), first, "batch"
			ja := w.submitTo(acceptor, a, 50*time.Millisecond)
			w.await(a.Ref+" done", 30*time.Second, func() bool {
				time.Sleep(time.Second)
				return w.status(other, a.Ref).bloom == "done"
			})
			if !ja.isDone(0) {
				w.breakRule("not_done: %s", a.Ref)
			}
		})
		time.Sleep(250 * time.Millisecond)
	}
	wg.Wait()
	// The users submit the last jobs of their pipelines when the others are over.
	for i := range after {
		b := base
		b.Ref, b.Keeper, b.Habit, b.Roots = fmt.Sprintf("run-%06d", 200+i), second, "batch", []string{root(i)}
		after[i] = w.submitTo(other, b, 50*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
	begin := time.Now()
	for waiting := 1; (waiting > 0 || !answered.Load()) && time.Since(begin) < 91*time.Second; time.Sleep(2 * time.Second) {
		waiting = 0
		for _, j := range after {
			if !j.isDone(0) {
				waiting++
				w.status(other, j.spec.Ref)
			}
		}
	}
	for _, j := range after {
		if !j.isDone(0) {
			w.breakRule("%s has waited for %.0f s since its root was done, although machines have room for it", j.spec.Ref, time.Since(begin).Seconds())
		}
	}
	if !answered.Load() && w.ask(other, "POST", "/work/"+service+"/withdraw", nil).status == 200 {
		w.breakRule("the cancellation of %s has not been answered for %.0f s, although another controller answers it", service, time.Since(cancelled).Seconds())
	}
	w.finish()
}

// submitTo submits a job to one controller until it is accepted.
func (w *world) submitTo(n *node, s spec, runs ...time.Duration) *job {
	j := &job{spec: s, runs: runs, done: map[int]bool{}}
	w.mu.Lock()
	w.jobs[s.Ref] = j
	w.mu.Unlock()
	body, _ := json.Marshal(s)
	for range 20 {
		if a := w.ask(n, "POST", "/work", body); a.status == 200 || a.status == 201 {
			return j
		}
		time.Sleep(time.Second)
	}
	unable("%s not accepted", s.Ref)
	return nil
}
