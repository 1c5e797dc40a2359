package scheduler

import (
	"fmt"
	"testing"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// The records of an unrecorded task are looked up once. The task stays undecided until it is explained,
// or is confirmed and other machines have had the time to report unrecorded tasks, too.
func TestUnrecordedTaskIsUndecidedUntilExplainedOrOld(t *testing.T) {
	const interval = 2 * time.Second
	now := testkit.NewClock().Now()
	task := func(name string) *wire.HeartbeatTask { return &wire.HeartbeatTask{Task: name, State: wire.Running} }
	var d dataLossDetection
	d.enable()
	if undecided, added := d.suspect("m1", task("run-000001/0"), interval, now); !undecided || !added {
		t.Fatalf("first report: undecided %t, looked up %t, want both", undecided, added)
	}
	if undecided, added := d.suspect("m1", task("run-000001/0"), interval, now.Add(time.Hour)); !undecided || added {
		t.Fatalf("second report: undecided %t, looked up %t, want only undecided", undecided, added)
	}
	if d.confirm("run-000001/0") {
		t.Error("records count as lost after the reports of one machine")
	}
	if !d.undecided(now.Add(heartbeatsToConfirmLoss*interval-1), interval) || d.undecided(now.Add(heartbeatsToConfirmLoss*interval), interval) {
		t.Error("a confirmed task is not undecided for exactly heartbeatsToConfirmLoss intervals")
	}
	d.suspect("m2", task("run-000001/1"), interval, now)
	if !d.confirm("run-000001/1") {
		t.Error("records do not count as lost after the reports of two machines")
	}
	d.suspect("m3", task("run-000001/2"), interval, now)
	d.explain("run-000001/2")
	if undecided, added := d.suspect("m3", task("run-000001/2"), interval, now); undecided || added {
		t.Errorf("explained task: undecided %t, looked up %t, want neither", undecided, added)
	}
}

// The suspected tasks are bounded; further tasks are undecided and not looked up.
func TestUnrecordedTasksAreBounded(t *testing.T) {
	now := testkit.NewClock().Now()
	var d dataLossDetection
	d.enable()
	for i := range maxUnrecordedTasks + 1 {
		d.suspect("m1", &wire.HeartbeatTask{Task: fmt.Sprint("run-000001/", i)}, time.Second, now)
	}
	if undecided, added := d.suspect("m1", &wire.HeartbeatTask{Task: "run-000002/0"}, time.Second, now); !undecided || added || len(d.suspected) != maxUnrecordedTasks {
		t.Errorf("undecided %t, looked up %t, want only undecided; %d tasks are suspected", undecided, added, len(d.suspected))
	}
}
