package scheduler

import (
	"fmt"
	"testing"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// A task that the records do not know is looked for once, and stays undecided until it is
// explained, or is confirmed and other machines have had the time to tell the same.
func TestUnrecordedTaskIsUndecidedUntilExplainedOrOld(t *testing.T) {
	const interval = 2 * time.Second
	now := testkit.NewClock().Now()
	task := func(name string) *wire.HeartbeatTask { return &wire.HeartbeatTask{Task: name, State: wire.Running} }
	var d dataLossDetection
	d.enable()
	if undecided, added := d.suspect("m1", task("run-000001/0"), interval, now); !undecided || !added {
		t.Fatalf("undecided %t, looked for %t", undecided, added)
	}
	if undecided, added := d.suspect("m1", task("run-000001/0"), interval, now.Add(time.Hour)); !undecided || added {
		t.Fatalf("once more: undecided %t, looked for %t", undecided, added)
	}
	if d.confirm("run-000001/0") {
		t.Error("one machine is enough for records to be lost")
	}
	if !d.undecided(now.Add(heartbeatsToConfirmLoss*interval-1), interval) || d.undecided(now.Add(heartbeatsToConfirmLoss*interval), interval) {
		t.Error("it is not decided when other machines have had their time")
	}
	d.suspect("m2", task("run-000001/1"), interval, now)
	if !d.confirm("run-000001/1") {
		t.Error("two machines are not enough for records to be lost")
	}
	d.suspect("m3", task("run-000001/2"), interval, now)
	d.explain("run-000001/2")
	if undecided, added := d.suspect("m3", task("run-000001/2"), interval, now); undecided || added {
		t.Errorf("explained: undecided %t, looked for %t", undecided, added)
	}
}

// What is remembered is bounded; beyond that nothing is decided.
func TestUnrecordedTasksAreBounded(t *testing.T) {
	now := testkit.NewClock().Now()
	var d dataLossDetection
	d.enable()
	for i := range maxUnrecordedTasks + 1 {
		d.suspect("m1", &wire.HeartbeatTask{Task: fmt.Sprint("run-000001/", i)}, time.Second, now)
	}
	if undecided, added := d.suspect("m1", &wire.HeartbeatTask{Task: "run-000002/0"}, time.Second, now); !undecided || added || len(d.suspected) != maxUnrecordedTasks {
		t.Errorf("undecided %t, looked for %t, %d remembered", undecided, added, len(d.suspected))
	}
}
