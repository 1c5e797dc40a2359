package scheduler

import (
	"testing"

	"bramblespur/internal/wire"
)

// What is charged and refunded is what limits and guarantees are held against; a team without
// a guarantee is over it with all that it uses.
func TestQuotasFollowUsage(t *testing.T) {
	q := quotas{used: map[string]*usage{}, cfg: &Config{Teams: map[string]Team{
		"a": {Name: "a", GPUs: 2, MaxGPUs: 3},
		"b": {Name: "b"},
	}}}
	gpu := func(team string) *Job {
		s := spec("run-000001", team, wire.Array, "normal", 4, 1)
		return &Job{spec: &s}
	}
	a, b := gpu("a"), gpu("b")
	for used, want := range []struct{ guaranteed, limit, over bool }{
		{true, true, false}, {true, true, false}, {false, true, false}, {false, false, true},
	} {
		if got := q.withinGuarantee(a, 1); got != want.guaranteed {
			t.Errorf("%d used: one more within the guarantee %t", used, got)
		}
		if got := q.withinLimit(a, 1); got != want.limit {
			t.Errorf("%d used: one more within the limit %t", used, got)
		}
		if got := q.overGuarantee("a"); got != want.over {
			t.Errorf("%d used: over the guarantee %t", used, got)
		}
		q.charge(a.spec)
	}
	if q.withinGuarantee(b, 0) || !q.withinLimit(b, 100) || !q.overGuarantee("b") {
		t.Error("a team without a guarantee or a limit has one")
	}
	if q.othersOverGuarantee("a") {
		t.Error("a team that uses nothing counts as over its guarantee")
	}
	q.charge(b.spec)
	if !q.othersOverGuarantee("a") {
		t.Error("the other team is over its guarantee, and does not count")
	}
	for range 4 {
		q.refund(a.spec)
	}
	if !q.withinGuarantee(a, 2) || q.load("a") != 0 {
		t.Errorf("after all was refunded the load is %v", q.load("a"))
	}
}

// Capacity is how many tasks fit by the scarcest kind of room, at most as many as asked for.
func TestCapacityIsBoundByTheScarcestRoom(t *testing.T) {
	task := wire.Spec{CPUs: 2, GPUs: 1, MemoryGB: 0.1}
	room := resources{cpus: 16, gpus: 3, mem: 0.3}
	for most, want := range map[int]int{0: 0, 2: 2, 5: 3} {
		if got := room.capacity(&task, most); got != want {
			t.Errorf("%d of %d fit, want %d", got, most, want)
		}
	}
	if got := room.minus(&task, 3).plus(&task).capacity(&task, 5); got != 1 {
		t.Errorf("%d fit where one ended, want 1", got)
	}
}
