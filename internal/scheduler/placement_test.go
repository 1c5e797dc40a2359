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
		t.Fatalf("%d of 3 in one zone, want 2", n)
	}
}

func TestMachineConstraints(t *testing.T) {
	r := newHarness(t)
	r.addMachine("m1", "z1", true)
	zone := "z2"
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1) // no spot
	z := spec("run-000002", "b", wire.Array, "normal", 1, 1)
	z.Spot, z.Zone = true, &zone // wrong zone
	r.submit(s)
	r.submit(z)
	r.heartbeats(4)
	if got := r.workers["m1"].Started; len(got) != 0 {
		t.Fatalf("started %v on a machine that no job allows", got)
	}
}

// Higher work takes the place of lower, which saves first.
func TestLowerPriorityIsPreempted(t *testing.T) {
	r := newHarness(t)
	w := r.addMachine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 2, 1))
	r.heartbeats(3)
	r.submit(spec("run-000002", "b", wire.Service, "prod", 1, 1))
	r.heartbeats(6)
	if r.runningOn("run-000002/0") != "m1" {
		t.Fatalf("prod task waits: %v", w.Started)
	}
	if r.runningOn("run-000001/0") != "" && r.runningOn("run-000001/1") != "" {
		t.Fatal("nothing gave way")
	}
	// Its equal does not.
	r.submit(spec("run-000003", "b", wire.Service, "prod", 2, 1))
	r.heartbeats(6)
	if r.runningOn("run-000002/0") != "m1" {
		t.Fatal("equal priority was preempted")
	}
}

// The order in which a team is served: a guarantee before borrowing.
func TestGuaranteeGoesFirst(t *testing.T) {
	r := newHarness(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 2, 1))
	r.submit(spec("run-000002", "a", wire.Array, "normal", 2, 1))
	w := r.addMachine("m1", "z1", false)
	r.heartbeats(3)
	if r.runningOn("run-000002/0") == "" || r.runningOn("run-000002/1") == "" {
		t.Fatalf("guaranteed team waits: %v", w.Started)
	}
}

// newHarnessWithSlowFetches has machines to which an image takes 20 s.
func newHarnessWithSlowFetches(t testing.TB) *harness {
	t.Helper()
	r := newHarness(t)
	typ := r.cfg.Types["big"]
	typ.FetchGBps = 0.2
	r.cfg.Types["big"] = typ
	return r
}

// A service goes to a machine that caches its image even where lower work has
// to be preempted there, rather than fetch it on a free one.
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
		t.Fatalf("on %q and %q, want both on the machine with the image", a, b)
	}
	r.heartbeats(4)
	if a, b := r.runningOn("run-000002/0"), r.runningOn("run-000002/1"); a != "m2" || b != "m2" {
		t.Fatalf("the array is on %q and %q, want it to go on elsewhere", a, b)
	}
}

// Room that was made where the image is not cached is used at once: a service
// does not wait on it for room with the image.
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
		t.Fatalf("on %q after 8 s, want the machine on which others gave way", got)
	}
}

// runWithArrivals lets tasks end after so many beats and calls arrive before each.
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
					w.End(name, wire.Done)
				}
			}
		}
		r.heartbeat()
	}
}

// Low work is served as well, though higher work asks for more than there is
// all the time, and it is not taken off again.
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
		t.Fatalf("%d of %d low jobs done while higher ones never ended", done, low)
	}
}

// Work without cards goes beside work with cards that is preempted for no gang, though
// another machine caches its image: not on one whose work may have to go, nor on one
// that a gang could use as a whole.
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
			t.Fatalf("the array is on %s, the gang on %s", r.runningOn("run-000001/0"), r.runningOn("run-000002/0"))
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
			t.Fatal("it does not run")
		case "m1":
			return "array's"
		case r.runningOn("run-000002/0"):
			return "gang's"
		}
		return "unused"
	}
	for _, priority := range []string{"normal", "low"} {
		if got := place(priority); got != "gang's" {
			t.Errorf("beside an array of priority %s it went to the %s machine", priority, got)
		}
	}
}

// What a job's tasks that run leave to the others is told to the leader: a job of
// one zone waits for a machine there, and one that is spread for one elsewhere.
func TestNeedsNameTheZonesLeft(t *testing.T) {
	r := newHarness(t)
	one := spec("run-000001", "b", wire.Array, "prod", 3, 1)
	one.OneZone = true
	r.submit(one)
	r.addMachine("m1", "z2", false)
	r.heartbeats(4)
	apart := spec("run-000002", "b", wire.Service, "prod", 2, 1)
	apart.Spread = true
	r.submit(apart)
	r.addMachine("m2", "z1", false)
	r.heartbeats(4)
	found := 0
	for _, n := range r.shard.Summary(r.clock.Now()).Needs {
		switch n.Job {
		case "run-000001":
			found++
			if n.Zone != "z2" {
				t.Errorf("the array's other task is wanted in %q, want z2", n.Zone)
			}
		case "run-000002":
			found++
			if n.ZoneLimit != 1 || n.InZone["z1"] != 1 {
				t.Errorf("the service's need: %+v, want one a zone with one in z1", n)
			}
		}
	}
	if found != 2 {
		t.Errorf("%d needs told, want 2", found)
	}
}

// Room is made, and machines are reserved, only where a job may still go: work in
// another zone is neither stopped nor kept from others for it.
func TestNothingIsPreemptedInAnotherZone(t *testing.T) {
	for kind, n := range map[string]int{wire.Array: 3, wire.Service: 2} {
		r := newHarness(t)
		bound := spec("run-000001", "b", kind, "prod", n, 1)
		bound.OneZone, bound.Spread = kind == wire.Array, kind == wire.Service
		r.submit(bound)
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
				t.Errorf("%s: %s is on %q: its place was kept or taken for what can't use it", kind, name, at)
			}
		}
	}
}
