package fleet

import (
	"testing"
	"time"
)

// busyMachine holds so many tasks and has no room left.
func busyMachine(id, zone string, tasks int) Machine {
	return Machine{ID: id, Type: "big", Zone: zone, Up: true, Usable: true, Tasks: tasks, TopRank: 2}
}

// starving is the need of a job of which nothing has run for minutes.
func starving(count int) Need {
	n := need(true, count, 3*time.Minute)
	n.Starved = true
	return n
}

// withoutCloud is a leader whom the cloud has refused machines of all kinds.
func withoutCloud() *Planner {
	l := newTestPlanner()
	for _, zone := range l.cfg.Zones {
		for _, spot := range []bool{false, true} {
			l.CapacityRefused(ProvisionRequest{Type: "big", Zone: zone, Spot: spot}, start)
		}
	}
	return l
}

func rebalanced(orders []Order) (out []Order) {
	for _, o := range orders {
		if o.Emptied {
			out = append(out, o)
		}
	}
	return out
}

// Work of a shard without machines starves for as long as others have any work, if
// nothing can be provisioned: its shard gets those that are soonest empty, one at a time,
// until it has about as many.
func TestStarvingShardGetsMachines(t *testing.T) {
	service := busyMachine("service", "z1", 1)
	service.Lasting = true
	full := []Machine{service, busyMachine("a", "z1", 2), busyMachine("b", "z2", 1), busyMachine("c", "z2", 2), busyMachine("d", "z1", 2)}
	sums := func(n Need, given ...string) []Summary {
		s := []Summary{{Part: 0, Needs: []Need{n}}, {Part: 1, Needs: []Need{need(false, 9, time.Minute)}}}
		for _, m := range full {
			for _, id := range given {
				if m.ID == id {
					m.Leaving, m.Moving, m.To = true, true, 0
				}
			}
			s[1].Machines = append(s[1].Machines, m)
		}
		return s
	}
	orders, _ := withoutCloud().Plan(sums(starving(5)), start.Add(time.Second))
	if got := rebalanced(orders); len(got) != 1 || got[0] != (Order{Part: 1, Machine: "b", To: 0, Emptied: true}) {
		t.Fatalf("orders %v, want the machine with the fewest tasks", orders)
	}
	orders, _ = withoutCloud().Plan(sums(starving(5), "b"), start.Add(time.Second))
	if got := rebalanced(orders); len(got) != 1 || got[0].Machine == "service" || got[0].Machine == "b" {
		t.Fatalf("orders %v, want a second machine: the other shard has three", orders)
	}
	orders, _ = withoutCloud().Plan(sums(starving(5), "b", "a"), start.Add(time.Second))
	if got := rebalanced(orders); len(got) != 0 {
		t.Fatalf("orders %v, though both shards have two", orders)
	}
	waits := starving(5)
	waits.Starved = false
	if orders, _ := withoutCloud().Plan(sums(waits), start.Add(time.Second)); len(rebalanced(orders)) != 0 {
		t.Fatalf("orders %v for work that has not waited for long", orders)
	}
	if orders, _ := newTestPlanner().Plan(sums(starving(5)), start); len(rebalanced(orders)) != 0 {
		t.Fatalf("orders %v, though machines can be provisioned", orders)
	}
}

// A starving gang of one zone gets machines of one zone, and none where it would
// need more than its shard's share.
func TestStarvingGangGetsMachinesOfOneZone(t *testing.T) {
	gang := Need{Job: "g", CPUs: 14, GPUs: 2, MemoryGB: 50, OneZone: true, Gang: true, Count: 2, Rank: 2, Waited: 3 * time.Minute, Starved: true}
	others := []Machine{busyMachine("a", "z1", 1), busyMachine("b", "z2", 1), busyMachine("c", "z2", 1), busyMachine("d", "z2", 1)}
	own := Machine{ID: "own", Type: "big", Zone: "z1", Up: true, Usable: true, CPUs: 16, GPUs: 2, MemoryGB: 64, Idle: time.Second}
	for count, want := range map[int]string{2: "a", 4: ""} {
		gang.Count = count
		sums := []Summary{{Part: 0, Needs: []Need{gang}, Machines: []Machine{own}}, {Part: 1, Needs: []Need{need(false, 3, 0)}, Machines: others}}
		orders, _ := withoutCloud().Plan(sums, start.Add(time.Second))
		got := ""
		for _, o := range rebalanced(orders) {
			got += o.Machine
		}
		if got != want {
			t.Errorf("gang of %d: served by %q, want %q", count, got, want)
		}
	}
}
