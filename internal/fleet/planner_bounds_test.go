package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// largeNeeds returns the summaries of shards with needs of so many tasks each.
func largeNeeds(shards, needs, tasks int) []Summary {
	var summaries []Summary
	for shard := range shards {
		summary := Summary{Part: shard}
		for i := range needs {
			n := need(i%2 == 0, tasks, time.Duration(i)*time.Second)
			n.Job, n.Gang, n.OneZone = fmt.Sprintf("j%d-%d", shard, i), i%3 == 1, i%6 == 1
			if i%4 == 3 {
				n.ZoneLimit = (tasks + 1) / 2
			}
			summary.Needs = append(summary.Needs, n)
		}
		summaries = append(summaries, summary)
	}
	return summaries
}

// planBytes returns how many bytes a plan allocates.
func planBytes(summaries []Summary) uint64 {
	var before, after runtime.MemStats
	planner := newTestPlanner()
	runtime.ReadMemStats(&before)
	planner.Plan(summaries, start)
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a plan whose memory grows with the tasks that wait: four jobs of the largest size
// ended every leader in turn. A plan holds as many machines as can be requested, and its memory
// depends on the number of jobs only.
func TestPlanDoesNotGrowWithTasks(t *testing.T) {
	for _, size := range []struct{ shards, needs int }{{1, 1}, {1, 4}, {3, 20}, {7, 64}} {
		t.Run(fmt.Sprintf("%d-%d", size.shards, size.needs), func(t *testing.T) {
			_, requests := newTestPlanner().Plan(largeNeeds(size.shards, size.needs, 100000), start)
			perPool := map[pool]int{}
			for _, r := range requests {
				perPool[r.pool()]++
			}
			for pool, n := range perPool {
				if limit := newTestPlanner().cfg.MaxRequests; n > limit {
					t.Errorf("%d requests for %v, want %d at most", n, pool, limit)
				}
			}
			if len(perPool) == 0 {
				t.Error("nothing is requested")
			}
			few, many := planBytes(largeNeeds(size.shards, size.needs, 1000)), planBytes(largeNeeds(size.shards, size.needs, 100000))
			if many > 2*few {
				t.Errorf("a plan allocates %d bytes for jobs of 1,000 tasks, %d for jobs of 100,000", few, many)
			}
		})
	}
}

// A gang that needs more machines than one plan requests gets the rest from later plans: those that
// its shard has by then count.
func TestLargeGangIsProvisionedByPlans(t *testing.T) {
	planner := newTestPlanner()
	gang := need(false, 2*400, 0)
	gang.Gang = true
	summary := Summary{Part: 0, Needs: []Need{gang}}
	for range 4 {
		_, requests := planner.Plan([]Summary{summary}, start)
		for _, r := range requests {
			for range r.Shards {
				booting := Machine{Type: r.Type, Zone: r.Zone, CPUs: 16, GPUs: 2, MemoryGB: 64}
				summary.Machines = append(summary.Machines, booting)
			}
		}
	}
	if n := len(summary.Machines); n != 400 {
		t.Errorf("%d machines for a gang that needs 400", n)
	}
}
