package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan makes a plan for seven shards with 4000 machines in all, almost all of them in
// use, and with as many needs as a summary holds.
func BenchmarkPlan(b *testing.B) {
	const shards, machines, needs = 7, 4000, 64
	var summaries []Summary
	for p := range shards {
		summary := Summary{Part: p, Arriving: 0.3, ArrivingSpot: 0.3}
		for i := range machines / shards {
			m := idleMachine(fmt.Sprintf("i-%d-%06d", p, i), []string{"z1", "z2"}[i%2], i%3 == 0)
			m.Images = []string{"img-1", "img-2", fmt.Sprint("img-", i%16)}
			if i%20 > 0 {
				m.Tasks, m.CPUs, m.GPUs, m.Idle, m.TopRank = 2, 4, 0, 0, 1+i%3
			}
			summary.Machines = append(summary.Machines, m)
		}
		for i := range needs {
			n := need(i%2 == 0, 10, time.Duration(i)*time.Second)
			n.Job, n.Image, n.Rank = fmt.Sprint("j", p, i), fmt.Sprint("img-", i%16), 1+i%3
			if i%3 == 1 {
				n.Gang, n.OneZone, n.Count, n.GPUs = true, true, 8, 2
			}
			summary.Needs = append(summary.Needs, n)
		}
		summaries = append(summaries, summary)
	}
	b.ReportAllocs()
	for now := start; b.Loop(); now = now.Add(time.Second) {
		newTestPlanner().Plan(summaries, now)
	}
}
