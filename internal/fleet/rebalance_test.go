package fleet

import (
	"testing"
	"time"
)

// busyMachine is a machine with a number of tasks and no room left.
func busyMachine(id, zone string, tasks int) Machine {
	return Machine{ID: id, Type: "big", Zone: zone, Up: true, Usable: true, Tasks: tasks, TopRank: 2}
}

// starving is the need of a job that has not run any task for minutes.
func starving(count int) Need {
	n := need(true, count, 3*time.Minute)
	n.Starved = true
	return n
}

// plannerWithoutCapacity is a planner to which the cloud has refused machines of all pools.
func plannerWithoutCapacity() *Planner {
	planner := newTestPlanner()
	for _, zone := range planner.cfg.Zones {
		for _, spot := range []bool{false, true} {
			planner.CapacityRefused(ProvisionRequest{Type: "big", Zone: zone, Spot: spot}, start)
		}
	}
	return planner
}

// rebalanceOrders returns the orders that transfer machines once their tasks have ended.
func rebalanceOrders(orders []Order) (out []Order) {
	for _, o := range orders {
		if o.Emptied {
			out = append(out, o)
		}
	}
	return out
}

// While nothing can be provisioned, the work of a shard without machines would starve for as long as
// the other shards have work. So the shard gets machines from them, one at a time and those that are
// likely to be empty first, until it has about as many.
func TestStarvingShardGetsMachines(t *testing.T) {
	service := busyMachine("service", "z1", 1)
	service.Lasting = true
	full := []Machine{service, busyMachine("a", "z1", 2), busyMachine("b", "z2", 1), busyMachine("c", "z2", 2), busyMachine("d", "z1", 2)}
	summaries := func(n Need, transferred ...string) []Summary {
		s := []Summary{{Part: 0, Needs: []Need{n}}, {Part: 1, Needs: []Need{need(false, 9, time.Minute)}}}
		for _, m := range full {
			for _, id := range transferred {
				if m.ID == id {
					m.Leaving, m.Moving, m.To = true, true, 0
				}
			}
			s[1].Machines = append(s[1].Machines, m)
		}
		return s
	}
	orders, _ := plannerWithoutCapacity().Plan(summaries(starving(5)), start.Add(time.Second))
	if got := rebalanceOrders(orders); len(got) != 1 || got[0] != (Order{Part: 1, Machine: "b", To: 0, Emptied: true}) {
		t.Fatalf("orders %v, want the transfer of b, which has the fewest tasks", orders)
	}
	orders, _ = plannerWithoutCapacity().Plan(summaries(starving(5), "b"), start.Add(time.Second))
	if got := rebalanceOrders(orders); len(got) != 1 || got[0].Machine == "service" || got[0].Machine == "b" {
		t.Fatalf("orders %v, want the transfer of a second machine, since the other shard has three", orders)
	}
	orders, _ = plannerWithoutCapacity().Plan(summaries(starving(5), "b", "a"), start.Add(time.Second))
	if got := rebalanceOrders(orders); len(got) != 0 {
		t.Fatalf("orders %v, want no transfer while both shards have two machines", orders)
	}
	notStarving := starving(5)
	notStarving.Starved = false
	if orders, _ := plannerWithoutCapacity().Plan(summaries(notStarving), start.Add(time.Second)); len(rebalanceOrders(orders)) != 0 {
		t.Fatalf("orders %v, want no transfer for work that does not starve", orders)
	}
	if orders, _ := newTestPlanner().Plan(summaries(starving(5)), start); len(rebalanceOrders(orders)) != 0 {
		t.Fatalf("orders %v, want no transfer while machines can be provisioned", orders)
	}
}

// A starving gang that needs a single zone gets machines of one zone. It gets none if it needs more
// than its shard's fair share.
func TestStarvingGangGetsMachinesOfOneZone(t *testing.T) {
	gang := Need{Job: "g", CPUs: 14, GPUs: 2, MemoryGB: 50, OneZone: true, Gang: true, Count: 2, Rank: 2, Waited: 3 * time.Minute, Starved: true}
	others := []Machine{busyMachine("a", "z1", 1), busyMachine("b", "z2", 1), busyMachine("c", "z2", 1), busyMachine("d", "z2", 1)}
	own := Machine{ID: "own", Type: "big", Zone: "z1", Up: true, Usable: true, CPUs: 16, GPUs: 2, MemoryGB: 64, Idle: time.Second}
	for count, want := range map[int]string{2: "a", 4: ""} {
		gang.Count = count
		summaries := []Summary{{Part: 0, Needs: []Need{gang}, Machines: []Machine{own}}, {Part: 1, Needs: []Need{need(false, 3, 0)}, Machines: others}}
		orders, _ := plannerWithoutCapacity().Plan(summaries, start.Add(time.Second))
		got := ""
		for _, o := range rebalanceOrders(orders) {
			got += o.Machine
		}
		if got != want {
			t.Errorf("gang of %d: machines transferred %q, want %q", count, got, want)
		}
	}
}
