package scheduler

import (
	"fmt"
	"testing"

	"bramblespur/internal/wire"
)

func TestSpreadOverZones(t *testing.T) {
	r := newHarness(t)
	s := spec("run-000001", "b", wire.Service, "prod", 3, 1)
	s.Spread = true
	r.submit(s)
	r.addMachine("m1", "z1", false)
	r.addMachine("m2", "z1", false)
	r.heartbeats(4)
	n := 0
	for i := range 3 {
		if r.runningOn(fmt.Sprintf("run-000001/%d", i)) != "" {
			n++
		}
	}
	if n != 2 {
		t.Fatalf("%d of 3 tasks run in one zone, want 2", n)
	}
}

func TestMachineConstraints(t *testing.T) {
	r := newHarness(t)
	r.addMachine("m1", "z1", true)
	zone := "z2"
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1) // must not run on spot machines
	z := spec("run-000002", "b", wire.Array, "normal", 1, 1)
	z.Spot, z.Zone = true, &zone // bound to another zone
	r.submit(s)
	r.submit(z)
	r.heartbeats(4)
	if got := r.workers["m1"].Started; len(got) != 0 {
		t.Fatalf("started %v on a machine that neither job allows, want none", got)
	}
}

// A task of a higher priority preempts one of a lower priority, which saves a checkpoint first,
// but none of its own priority.
func TestLowerPriorityIsPreempted(t *testing.T) {
	r := newHarness(t)
	w := r.addMachine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 2, 1))
	r.heartbeats(3)
	r.submit(spec("run-000002", "b", wire.Service, "prod", 1, 1))
	r.heartbeats(6)
	if r.runningOn("run-000002/0") != "m1" {
		t.Fatalf("the prod task does not run on m1; started %v", w.Started)
	}
	if r.runningOn("run-000001/0") != "" && r.runningOn("run-000001/1") != "" {
		t.Fatal("both tasks of priority normal run, want one preempted")
	}
	// A job of the same priority preempts nothing.
	r.submit(spec("run-000003", "b", wire.Service, "prod", 2, 1))
	r.heartbeats(6)
	if r.runningOn("run-000002/0") != "m1" {
		t.Fatal("a task was preempted for a job of its own priority")
	}
}

// A team within its guarantee goes before a team without one.
func TestGuaranteeGoesFirst(t *testing.T) {
	r := newHarness(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 2, 1))
	r.submit(spec("run-000002", "a", wire.Array, "normal", 2, 1))
	w := r.addMachine("m1", "z1", false)
	r.heartbeats(3)
	if r.runningOn("run-000002/0") == "" || r.runningOn("run-000002/1") == "" {
		t.Fatalf("the tasks of the team with a guarantee do not both run; started %v", w.Started)
	}
}

// newHarnessWithSlowFetches returns a harness whose machines take 20 s to fetch an image.
func newHarnessWithSlowFetches(t testing.TB) *harness {
	t.Helper()
	r := newHarness(t)
	typ := r.cfg.Types["big"]
	typ.FetchGBps = 0.2
	r.cfg.Types["big"] = typ
	return r
}

// A service goes to a machine that caches its image, even if tasks of a lower priority have to
// be preempted there, rather than fetch the image on a free machine.
func TestServicePreemptsWhereItsImageIsCached(t *testing.T) {
	r := newHarnessWithSlowFetches(t)
	r.addMachine("m1", "z1", false)
	first := spec("run-000001", "b", wire.Service, "prod", 1, 2)
	first.Image = "web"
	r.submit(first)
	r.heartbeats(3)
	r.cancel(first)()
	r.heartbeats(3)
	r.submit(spec("run-000002", "b", wire.Array, "normal", 2, 1))
	r.heartbeats(20)
	if r.runningOn("run-000002/0") != "m1" || r.runningOn("run-000002/1") != "m1" {
		t.Fatal("the array did not start")
	}
	r.addMachine("m2", "z1", false)
	r.heartbeats(2)
	again := spec("run-000003", "b", wire.Service, "prod", 2, 1)
	again.Image = "web"
	r.submit(again)
	r.heartbeats(4)
	if a, b := r.runningOn("run-000003/0"), r.runningOn("run-000003/1"); a != "m1" || b != "m1" {
		t.Fatalf("the service's tasks are on %q and %q, want both on m1, which caches the image", a, b)
	}
	r.heartbeats(4)
	if a, b := r.runningOn("run-000002/0"), r.runningOn("run-000002/1"); a != "m2" || b != "m2" {
		t.Fatalf("the array's tasks are on %q and %q, want both on m2", a, b)
	}
}

// A service uses room made for it on a machine without its image at once. It does not wait
// there for room on a machine that caches the image.
func TestServiceUsesRoomMadeForIt(t *testing.T) {
	r := newHarnessWithSlowFetches(t)
	r.addMachine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 2, 1))
	r.heartbeats(20)
	s := spec("run-000002", "b", wire.Service, "prod", 1, 2)
	s.Image = "web"
	r.submit(s)
	r.heartbeats(4)
	if got := r.runningOn("run-000002/0"); got != "m1" {
		t.Fatalf("the service is on %q after 8 s, want m1, where tasks were preempted for it", got)
	}
}

// runWithArrivals runs for a number of heartbeats, before each of which it calls arrive with
// the heartbeat's number. Each task is done after it has run for lifetime heartbeats.
func (r *harness) runWithArrivals(heartbeats, lifetime int, arrive func(beat int)) {
	began := map[string]int{}
	for beat := range heartbeats {
		arrive(beat)
		for _, w := range r.workers {
			for name, t := range w.Tasks {
				if t.State != wire.Running {
					continue
				}
				if _, ok := began[name]; !ok {
					began[name] = beat
				}
				if beat-began[name] >= lifetime {
					w.ExitTask(name, wire.Done)
				}
			}
		}
		r.heartbeat()
	}
}

// Jobs of a low priority are done as well, although jobs of a higher priority always ask for
// more machines than there are: once placed, they are not preempted.
func TestLowPriorityIsNotStarved(t *testing.T) {
	r := newHarness(t)
	for i := range 4 {
		r.addMachine(fmt.Sprintf("m%d", i), "z1", false)
	}
	n, low := 0, 0
	done := 0
	r.runWithArrivals(400, 10, func(beat int) {
		n++
		r.submit(spec(fmt.Sprintf("run-1%05d", n), "b", wire.Gang, "urgent", 1, 2))
		if beat%40 == 0 && beat < 200 {
			low++
			r.submit(spec(fmt.Sprintf("run-2%05d", low), "b", wire.Array, "low", 2, 1))
		}
	})
	for i := range low {
		if r.jobState(fmt.Sprintf("run-2%05d", i+1)) == wire.Done {
			done++
		}
	}
	if done < low {
		t.Fatalf("%d of %d jobs of priority low are done while urgent ones kept arriving, want all", done, low)
	}
}

// A task without GPUs goes beside a task with GPUs that is not preempted for a gang, although
// other machines cache its image. It goes neither to a machine whose tasks may be preempted,
// nor to an unused one, since a gang could use either as a whole.
func TestTaskWithoutGPUsGoesBesideUnpreemptibleTasks(t *testing.T) {
	place := func(with string) string {
		r := newHarness(t)
		r.addMachine("m1", "z1", false)
		r.heartbeats(2)
		r.submit(spec("run-000001", "b", wire.Array, with, 2, 1))
		r.heartbeats(2)
		for _, id := range []string{"m2", "m3"} {
			r.addMachine(id, "z1", false)
		}
		r.heartbeats(2)
		r.submit(spec("run-000002", "b", wire.Gang, "urgent", 1, 2))
		r.heartbeats(2)
		if r.runningOn("run-000001/0") != "m1" || r.runningOn("run-000001/1") != "m1" || r.runningOn("run-000002/0") == "" {
			t.Fatalf("the array is on %q, want m1; the gang is on %q, want any machine", r.runningOn("run-000001/0"), r.runningOn("run-000002/0"))
		}
		s := spec("run-000003", "b", wire.Array, "low", 1, 0)
		s.CPUs, s.MemoryGB, s.Image = 1, 1, "step"
		for id, m := range r.shard.inventory.byID {
			if id != r.runningOn("run-000002/0") {
				r.shard.inventory.recordCachedImage(m, s.Image, 1) // all but the gang's machine cache it
			}
		}
		r.submit(s)
		r.heartbeats(2)
		switch r.runningOn("run-000003/0") {
		case "":
			t.Fatal("the task without GPUs does not run")
		case "m1":
			return "array's"
		case r.runningOn("run-000002/0"):
			return "gang's"
		}
		return "unused"
	}
	for _, priority := range []string{"normal", "low"} {
		if got := place(priority); got != "gang's" {
			t.Errorf("with an array of priority %s the task without GPUs went to the %s machine, want the gang's", priority, got)
		}
	}
}

// A need names the zones that a job's placed tasks leave to its other tasks: a job bound to
// one zone needs a machine in that zone, and a job that is spread one in another zone.
func TestNeedsNameTheZonesLeft(t *testing.T) {
	r := newHarness(t)
	one := spec("run-000001", "b", wire.Array, "prod", 3, 1)
	one.OneZone = true
	r.submit(one)
	r.addMachine("m1", "z2", false)
	r.heartbeats(4)
	spread := spec("run-000002", "b", wire.Service, "prod", 2, 1)
	spread.Spread = true
	r.submit(spread)
	r.addMachine("m2", "z1", false)
	r.heartbeats(4)
	found := 0
	for _, n := range r.shard.Summary(r.clock.Now()).Needs {
		switch n.Job {
		case "run-000001":
			found++
			if n.Zone != "z2" {
				t.Errorf("the array needs a machine in zone %q, want z2", n.Zone)
			}
		case "run-000002":
			found++
			if n.ZoneLimit != 1 || n.InZone["z1"] != 1 {
				t.Errorf("the service's need is %+v, want a zone limit of 1 and one task in z1", n)
			}
		}
	}
	if found != 2 {
		t.Errorf("the summary has needs of %d of the jobs, want 2", found)
	}
}

// A job preempts tasks and reserves machines only in zones where it may still be placed. In
// other zones no task is stopped for it and no machine is kept from other jobs.
func TestNothingIsPreemptedInAnotherZone(t *testing.T) {
	for kind, n := range map[string]int{wire.Array: 3, wire.Service: 2} {
		r := newHarness(t)
		zoneBound := spec("run-000001", "b", kind, "prod", n, 1)
		zoneBound.OneZone, zoneBound.Spread = kind == wire.Array, kind == wire.Service
		r.submit(zoneBound)
		first := map[string]string{wire.Array: "z2", wire.Service: "z1"}[kind]
		r.addMachine("m1", first, false)
		r.heartbeats(4)
		low := spec("run-000002", "b", wire.Array, "low", 2, 1)
		r.submit(low)
		r.addMachine("m2", "z1", false)
		r.heartbeats(20)
		for i := range 2 {
			name := fmt.Sprintf("run-000002/%d", i)
			if at := r.runningOn(name); at == "" || (kind == wire.Array && at != "m2") {
				t.Errorf("%s: %s is on %q: its room was reserved or preempted for a job that cannot use it", kind, name, at)
			}
		}
	}
}
