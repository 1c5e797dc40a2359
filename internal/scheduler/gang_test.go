package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/wire"
)

func TestGangStartsWhole(t *testing.T) {
	r := newHarness(t)
	s := spec("run-000001", "b", wire.Gang, "urgent", 2, 2)
	s.OneZone = true
	r.submit(s)
	r.addMachine("m1", "z1", false)
	r.addMachine("m2", "z2", false)
	r.heartbeats(4)
	if r.runningOn("run-000001/0") != "" || r.runningOn("run-000001/1") != "" {
		t.Fatal("the gang started in two zones")
	}
	r.addMachine("m3", "z2", false)
	r.heartbeats(4)
	a, b := r.runningOn("run-000001/0"), r.runningOn("run-000001/1")
	if a == b || a == "m1" || b == "m1" || a == "" || b == "" {
		t.Fatalf("the gang is on %q and %q, want m2 and m3", a, b)
	}
	// The lease of one machine expires: the whole attempt has to end before the next begins.
	lost := r.workers[a]
	r.expireLease(lost)
	r.heartbeats(5)
	x, y := r.workers[a].Tasks["run-000001/0"], r.workers[b].Tasks["run-000001/1"]
	if x == nil {
		x, y = r.workers[b].Tasks["run-000001/0"], r.workers[a].Tasks["run-000001/1"]
	}
	if x == nil || y == nil || x.Attempt != 2 || y.Attempt != 2 {
		t.Fatalf("want both tasks under attempt 2, got %+v and %+v", x, y)
	}
}

// submitGangOfTwo submits a gang of two tasks and adds the two machines that it needs.
func (r *harness) submitGangOfTwo() wire.Spec {
	r.t.Helper()
	s := spec("run-000001", "b", wire.Gang, "urgent", 2, 2)
	r.submit(s)
	r.addMachine("m1", "z1", false)
	r.addMachine("m2", "z1", false)
	return s
}

// If a task is lost while the gang waits for its last task, it is replaced under the same
// attempt.
func TestGangReplacement(t *testing.T) {
	r := newHarness(t)
	r.submitGangOfTwo()
	r.heartbeats(2)
	a, b := r.runningOn("run-000001/0"), r.runningOn("run-000001/1")
	if a == "" || b == "" {
		t.Fatal("the gang did not start")
	}
	r.workers[a].Tasks["run-000001/0"].State = wire.AwaitingGang
	r.workers[b].Tasks["run-000001/1"].State = wire.Fetching
	r.heartbeat()
	r.expireLease(r.workers[b])
	r.heartbeats(4)
	if got := r.workers[a].Tasks["run-000001/0"]; got == nil || got.Attempt != 1 || got.State != wire.AwaitingGang {
		t.Fatalf("the waiting task is %+v, want attempt 1 to wait on", got)
	}
	if got := r.workers[b].Tasks["run-000001/1"]; got == nil || got.Attempt != 1 {
		t.Fatalf("the replacement is %+v, want attempt 1", got)
	}
}

// The tasks of a gang complete together: once one task is done, the gang is done.
func TestGangDoneTogether(t *testing.T) {
	r := newHarness(t)
	spec := r.submitGangOfTwo()
	r.heartbeats(4)
	w := r.workers[r.runningOn("run-000001/0")]
	w.ExitTask("run-000001/0", wire.Done)
	r.heartbeats(1, w)
	if r.jobState(spec.Ref) != wire.Done {
		t.Fatal("the gang is not done although one of its tasks is")
	}
}

// Machines that become ready one by one are reserved for a gang that waits, so that smaller
// jobs of its priority or a lower one cannot starve it.
func TestMachinesAreReservedForGang(t *testing.T) {
	r := newHarness(t)
	g := spec("run-000001", "b", wire.Gang, "urgent", 3, 2)
	g.OneZone = true
	r.submit(g)
	for i := range 3 {
		r.submit(spec(fmt.Sprintf("run-00001%d", i), "b", wire.Gang, "urgent", 1, 2))
		r.submit(spec(fmt.Sprintf("run-00002%d", i), "b", wire.Array, "normal", 2, 1))
		r.addMachine(fmt.Sprintf("m%d", i), "z1", false)
		r.heartbeats(2)
	}
	r.heartbeats(2)
	for i := range 3 {
		if name := fmt.Sprintf("run-000001/%d", i); r.runningOn(name) == "" {
			t.Errorf("%s does not run: smaller jobs took its machine", name)
		}
	}
}

// The largest gang starts within four minutes, although smaller gangs of its priority keep
// arriving and no machine can be added.
func TestLargestGangIsNotStarved(t *testing.T) {
	r := newHarness(t)
	for i := range 4 {
		r.addMachine(fmt.Sprintf("m%d", i), "z1", false)
	}
	n := 0
	small := func(beat int) {
		if beat%2 == 0 {
			n++
			r.submit(spec(fmt.Sprintf("run-1%05d", n), "b", wire.Gang, "urgent", 1, 2))
		}
	}
	r.runWithArrivals(20, 8, small)
	large := spec("run-000001", "b", wire.Gang, "urgent", 4, 2)
	large.OneZone = true
	r.submit(large)
	r.runWithArrivals(int(4*time.Minute/r.cfg.HeartbeatInterval), 8, small)
	started := 0
	for _, w := range r.workers {
		for _, s := range w.Started {
			if strings.HasPrefix(s, large.Ref) {
				started++
			}
		}
	}
	if started < 4 {
		t.Fatalf("%d of the largest gang's 4 tasks started in four minutes, want all", started)
	}
}

// The largest gangs begin within four minutes even if for minutes more gangs wait than fit.
// Small gangs that have waited too long as well neither take machines that a larger
// gang has reserved nor overtake it.
func TestLargestGangsAreNotOvertaken(t *testing.T) {
	r := newHarness(t)
	r.cfg.Urgency = func(s *wire.Spec, waited time.Duration, _ *float64) float64 { return s.EstimateS - waited.Seconds() }
	for i := range 8 {
		r.addMachine(fmt.Sprintf("m%d", i), []string{"z1", "z2"}[i/4], false)
	}
	const largest = 4
	accepted, began := map[string]time.Time{}, map[string]time.Time{}
	submit := func(beat, tasks int) {
		s := spec(fmt.Sprintf("run-%d%05d", tasks, beat), "b", wire.Gang, "urgent", tasks, 2)
		s.OneZone = true
		accepted[s.Ref] = r.clock.Now()
		r.submit(s)
	}
	r.runWithArrivals(int(14*time.Minute/r.cfg.HeartbeatInterval), 25, func(beat int) {
		for _, w := range r.workers {
			for name := range w.Tasks {
				if ref, _, _ := SplitTask(name); began[ref].IsZero() {
					began[ref] = r.clock.Now()
				}
			}
		}
		if beat < int(6*time.Minute/r.cfg.HeartbeatInterval) {
			if beat%20 == 0 {
				submit(beat, largest)
			}
			if beat%3 == 0 {
				submit(beat, 1)
			}
		}
	})
	for ref, at := range accepted {
		first, ok := began[ref]
		if !ok {
			t.Errorf("%s never began", ref)
		} else if first.Sub(at) > 4*time.Minute && strings.HasPrefix(ref, fmt.Sprint("run-", largest)) {
			t.Errorf("%s, one of the largest gangs, began after %v, want 4 minutes at most", ref, first.Sub(at))
		}
	}
}
