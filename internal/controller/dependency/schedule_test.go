package dependency

import (
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func TestOwnDependencyIsReadAtOnce(t *testing.T) {
	s := NewSchedule()
	if !s.Due("run-000001", true, now) {
		t.Error("a dependency of a shard here is not read at once")
	}
	s.Retry("run-000001", now)
	if s.Due("run-000001", true, now.Add(retryDelay-1)) {
		t.Error("read again before retryDelay is over")
	}
	if !s.Due("run-000001", true, now.Add(retryDelay)) {
		t.Error("not read again after retryDelay")
	}
}

func TestDependencyOfOtherOwnersIsReadLater(t *testing.T) {
	s := NewSchedule()
	if s.Due("run-000001", false, now) {
		t.Error("read at once although only other controllers' jobs depend on it")
	}
	if !s.Due("run-000001", false, now.Add(2*OwnerGrace)) {
		t.Error("not read within twice OwnerGrace")
	}
	// Once this controller acquires a shard that awaits the dependency, it is read at once.
	other := NewSchedule()
	other.Due("run-000002", false, now)
	if !other.Due("run-000002", true, now) {
		t.Error("not read at once although a shard here awaits it now")
	}
}

func TestPruneDropsDependenciesWithoutDependents(t *testing.T) {
	s := NewSchedule()
	s.Due("run-000001", true, now)
	s.Due("run-000002", true, now)
	s.Prune(func(job string) bool { return job == "run-000002" })
	if s.Len() != 1 {
		t.Errorf("%d reads scheduled, want 1", s.Len())
	}
}
