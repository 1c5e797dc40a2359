package main

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/wire"
)

// drainState returns the recorded state of a drain, empty if there is no valid record.
func (l *loopback) drainState(name string) drain.State {
	e, _ := l.world.State.Entry(drain.PlanKey(name))
	var p drain.Plan
	if json.Unmarshal(e.Value, &p) != nil {
		return ""
	}
	return p.State
}

// Real processes on real sockets drain all machines. Meanwhile one process after another is killed, or
// refused by the state service. The workers count interruptions by themselves and never find that a
// team is interrupted beyond its disruption budget.
func TestDrainOverLoopback(t *testing.T) {
	const seed = 1
	l := newLoopback(t, seed)
	base := wire.Spec{Class: "c", Team: "wide", Kind: wire.Array, Priority: "normal", Tasks: 6, CPUs: 6, GPUs: 1, MemoryGB: 24,
		Image: "img", ImageGB: 1, EstimateS: 5, CheckpointS: 3, SaveS: 0.3}
	array, gang, others := base, base, base
	array.Ref = "run-000001"
	gang.Ref, gang.Kind, gang.Tasks, gang.CPUs, gang.GPUs, gang.OneZone = "run-000002", wire.Gang, 2, 14, 2, true
	others.Ref, others.Team, others.Tasks = "run-000003", "other", 4
	for _, spec := range []wire.Spec{array, gang, others} {
		l.submit(spec)
	}
	interruptions := l.world.CountInterruptions(1, 3, loopbackBudgetWindow)
	plan := drain.Plan{Name: "all", Selector: drain.Selector{Types: []string{"big"}}, MaxConcurrent: 3, Reason: "test",
		State: drain.Active, Created: time.Now().UnixMilli()}
	if err := l.world.State.Put(drain.StartTxn(plan)); err != nil {
		t.Fatal(err)
	}
	r := rand.New(rand.NewPCG(seed, 1))
	for round := 0; l.drainState("all") != drain.Finished; round++ {
		label := loopbackLabels[r.IntN(len(loopbackLabels))]
		if round%2 == 0 {
			l.kill(label)
			time.Sleep(time.Duration(100+r.IntN(3000)) * time.Millisecond)
			l.start(label)
		} else {
			l.world.State.Refuse(label, true)
			time.Sleep(time.Duration(500+r.IntN(5000)) * time.Millisecond)
			l.world.State.Refuse(label, false)
		}
		time.Sleep(10 * time.Second)
		if round > 60 {
			t.Fatalf("the drain has not finished, its state is %s", l.drainState("all"))
		}
	}
	if interruptions.Voluntary("wide") == 0 {
		t.Error("the drain interrupted no task of team wide")
	}
	for _, violation := range append(interruptions.Violations(), l.checker.Violations()...) {
		t.Error(violation)
	}
}
