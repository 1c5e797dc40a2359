package fleet

import (
	"testing"
	"time"

	"bramblespur/internal/wire"
)

var testTypes = []wire.MachineType{{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, Price: 5, SpotPrice: 1, BootS: 20, Zones: []string{"z1", "z2"}}}

func newTestPlanner() *Planner {
	return NewPlanner(Config{Types: testTypes, Zones: []string{"z1", "z2"}, BalanceInterval: 30 * time.Second, PreemptAfter: 3 * time.Second, MaxProvision: 50,
		IdleTimeout: func(wire.MachineType, bool) time.Duration { return 30 * time.Second },
		Headroom:    func(arriving float64, boot time.Duration, _ bool) float64 { return arriving * boot.Seconds() / 2 }, RefusalPause: 10 * time.Second})
}

func idleMachine(id, zone string, spot bool) Machine {
	return Machine{ID: id, Type: "big", Zone: zone, Spot: spot, Up: true, Usable: true, CPUs: 16, GPUs: 2, MemoryGB: 64, Idle: time.Second}
}

func need(spot bool, count int, waited time.Duration) Need {
	return Need{Job: "j", CPUs: 6, GPUs: 1, MemoryGB: 20, Spot: spot, Count: count, Rank: 1, Waited: waited}
}

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func TestProvisionsWhatIsMissing(t *testing.T) {
	l := newTestPlanner()
	_, requests := l.Plan([]Summary{{Part: 0, Needs: []Need{need(true, 5, 0)}}}, start)
	n := 0
	for _, r := range requests {
		if !r.Spot {
			t.Errorf("provisioned %+v, though spot would do", r)
		}
		n += len(r.Shards)
	}
	if n != 3 {
		t.Fatalf("%d machines for 5 tasks of half a machine, want 3", n)
	}
	// What is booting counts.
	booting := Machine{Type: "big", Zone: "z1", CPUs: 16, GPUs: 2, MemoryGB: 64}
	if _, requests := l.Plan([]Summary{{Part: 0, Needs: []Need{need(true, 2, 0)}, Machines: []Machine{booting}}}, start); len(requests) != 0 {
		t.Fatalf("provisioned %v with a machine on its way", requests)
	}
}

func TestRefusedPoolIsLeftAlone(t *testing.T) {
	l := newTestPlanner()
	l.CapacityRefused(ProvisionRequest{Type: "big", Zone: "z1", Spot: true}, start)
	l.CapacityRefused(ProvisionRequest{Type: "big", Zone: "z2", Spot: true}, start)
	_, requests := l.Plan([]Summary{{Part: 0, Needs: []Need{need(true, 1, 0)}}}, start.Add(time.Second))
	if len(requests) != 1 || requests[0].Spot {
		t.Fatalf("requests %v, want an ordinary machine", requests)
	}
}

func TestFreeMachineMovesToDemand(t *testing.T) {
	l := newTestPlanner()
	sums := []Summary{{Part: 0, Needs: []Need{need(false, 1, time.Second)}}, {Part: 1, Machines: []Machine{idleMachine("m", "z1", false)}}}
	orders, requests := l.Plan(sums, start)
	if len(requests) != 0 || len(orders) != 1 || orders[0] != (Order{Part: 1, Machine: "m", To: 0}) {
		t.Fatalf("orders %v, requests %v", orders, requests)
	}
	// A shard that needs it itself keeps it.
	sums[1].Needs = []Need{need(false, 1, time.Second)}
	sums[1].Needs[0].Rank = 0
	orders, _ = l.Plan(sums, start.Add(time.Second))
	for _, o := range orders {
		if o.To == 0 {
			t.Fatalf("took a machine its shard waits for: %v", o)
		}
	}
}

func TestGangNeedsOneZone(t *testing.T) {
	l := newTestPlanner()
	n := Need{Job: "g", CPUs: 14, GPUs: 2, MemoryGB: 50, OneZone: true, Gang: true, Count: 2, Rank: 2, Waited: time.Second}
	sums := []Summary{{Part: 0, Needs: []Need{n}, Machines: []Machine{idleMachine("a", "z1", false), idleMachine("b", "z2", false)}}}
	_, requests := l.Plan(sums, start)
	zones := map[string]int{}
	for _, r := range requests {
		zones[r.Zone] += len(r.Shards)
	}
	if len(zones) != 1 {
		t.Fatalf("requests %v, want one zone", requests)
	}
}

func TestReleasesIdleButHeadroom(t *testing.T) {
	l := newTestPlanner()
	a, b, c := idleMachine("a", "z1", false), idleMachine("b", "z1", false), idleMachine("c", "z1", true)
	a.Idle, b.Idle, c.Idle = time.Hour, time.Hour+1, time.Second
	orders, _ := l.Plan([]Summary{{Part: 0, Machines: []Machine{a, b, c}, Arriving: 0.1}}, start)
	if len(orders) != 1 || orders[0] != (Order{Part: 0, Machine: "b", To: ReleaseToCloud}) {
		t.Fatalf("orders %v, want b back", orders)
	}
}

// The headroom is provisioned ahead where work arrives.
func TestHeadroomFollowsArrivals(t *testing.T) {
	l := newTestPlanner()
	sums := []Summary{{Part: 0}, {Part: 1, Arriving: 0.2}}
	_, requests := l.Plan(sums, start)
	n := 0
	for _, r := range requests {
		for _, p := range r.Shards {
			if p != 1 || r.Spot {
				t.Errorf("request %+v", r)
			}
			n++
		}
	}
	if n != 2 {
		t.Fatalf("%d machines ahead, want 2", n)
	}
	sums[1].Arriving = 0
	if _, requests := l.Plan(sums, start); len(requests) != 0 {
		t.Fatalf("requests %v with nothing arriving", requests)
	}
}

// For a gang of one zone only the machines that are missing there are provisioned,
// and those kept for another job don't count.
func TestGangProvisionsWhatIsMissing(t *testing.T) {
	l := newTestPlanner()
	n := Need{Job: "g", CPUs: 14, GPUs: 2, MemoryGB: 50, OneZone: true, Gang: true, Count: 4, Rank: 2, Waited: time.Second}
	sum := Summary{Part: 0, Needs: []Need{n}}
	for _, id := range []string{"a", "b", "c"} {
		m := idleMachine(id, "z2", false)
		m.For = "g"
		sum.Machines = append(sum.Machines, m)
	}
	other := idleMachine("d", "z2", false)
	other.For = "x"
	sum.Machines = append(sum.Machines, other)
	_, requests := l.Plan([]Summary{sum}, start)
	if len(requests) != 1 || requests[0].Zone != "z2" || len(requests[0].Shards) != 1 {
		t.Fatalf("requests %+v, want the one machine missing in z2", requests)
	}
}

// Of the unused machines those with the most images are kept.
func TestKeepsMachinesWithImages(t *testing.T) {
	l := newTestPlanner()
	a, b := idleMachine("a", "z1", false), idleMachine("b", "z1", false)
	a.Idle, b.Idle = time.Hour, time.Hour-time.Second
	a.Images = []string{"x", "y"}
	orders, _ := l.Plan([]Summary{{Part: 0, Machines: []Machine{a, b}, Arriving: 0.1}}, start)
	if len(orders) != 1 || orders[0].Machine != "b" {
		t.Fatalf("orders %v, want the one without images back", orders)
	}
}

// A service that is spread over zones needs a machine in another zone once one has
// as many of its tasks as it may: room where it may not go is none.
func TestSpreadNeedsAnotherZone(t *testing.T) {
	n := need(false, 1, time.Second)
	n.ZoneLimit, n.InZone = 1, map[string]int{"z1": 1}
	beside := Machine{ID: "m", Type: "big", Zone: "z1", Up: true, Usable: true, CPUs: 10, GPUs: 1, MemoryGB: 40, Tasks: 1}
	for name, sums := range map[string][]Summary{
		"room beside it":          {{Part: 0, Needs: []Need{n}, Machines: []Machine{beside}}},
		"unused in another shard": {{Part: 0, Needs: []Need{n}}, {Part: 1, Machines: []Machine{idleMachine("i", "z1", false)}}},
	} {
		orders, requests := newTestPlanner().Plan(sums, start)
		if len(orders) != 0 || len(requests) != 1 || requests[0].Zone != "z2" || len(requests[0].Shards) != 1 {
			t.Errorf("%s: orders %v, requests %v, want one machine in z2", name, orders, requests)
		}
	}
	n.Count, n.ZoneLimit, n.InZone = 4, 2, nil
	_, requests := newTestPlanner().Plan([]Summary{{Part: 0, Needs: []Need{n}}}, start)
	byZone := map[string]int{}
	for _, r := range requests {
		byZone[r.Zone] += len(r.Shards)
	}
	if byZone["z1"] != 1 || byZone["z2"] != 1 {
		t.Errorf("four tasks of half a machine, two a zone: requests %v", requests)
	}
}
