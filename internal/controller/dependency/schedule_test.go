package dependency

import (
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func TestOwnDependencyIsReadAtOnce(t *testing.T) {
	s := NewSchedule()
	if !s.Due("run-000001", true, now) {
		t.Error("not read at once")
	}
	s.Retry("run-000001", now)
	if s.Due("run-000001", true, now.Add(retryDelay-1)) {
		t.Error("read again before the pause is over")
	}
	if !s.Due("run-000001", true, now.Add(retryDelay)) {
		t.Error("not read again after the pause")
	}
}

func TestOwnersAreGivenTimeForTheirs(t *testing.T) {
	s := NewSchedule()
	if s.Due("run-000001", false, now) {
		t.Error("read before its owner had time for it")
	}
	if !s.Due("run-000001", false, now.Add(2*OwnerGrace)) {
		t.Error("never read")
	}
	// A shard that came to be ours does not wait for that.
	other := NewSchedule()
	other.Due("run-000002", false, now)
	if !other.Due("run-000002", true, now) {
		t.Error("awaited by a shard that is ours now, and not read at once")
	}
}

func TestPruneForgetsWhatNothingAwaits(t *testing.T) {
	s := NewSchedule()
	s.Due("run-000001", true, now)
	s.Due("run-000002", true, now)
	s.Prune(func(job string) bool { return job == "run-000002" })
	if s.Len() != 1 {
		t.Errorf("%d reads scheduled, want 1", s.Len())
	}
}
