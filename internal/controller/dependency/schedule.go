// Package dependency schedules reads of the terminal records of dependencies: jobs that are
// no longer active and that active jobs depend on. Usually the controller that writes such a
// record notifies the owners of the dependent jobs. The reads serve controllers that were not
// notified.
package dependency

import (
	"time"

	"bramblespur/internal/retry"
)

const (
	// retryDelay is the delay before the next read of a dependency that had neither an
	// active record in the view nor a terminal record: the view is behind.
	retryDelay = time.Second
	// OwnerGrace is how long the owner of a job that depends on a cancelled one has to end
	// it, before any other controller does.
	OwnerGrace = 4 * time.Second
)

// Schedule holds the time of the next read of each dependency's terminal record. It has no
// lock: all its methods must be called with the shards' lock held.
type Schedule struct {
	next map[string]time.Time // time of the next read, by the dependency's ref
}

// NewSchedule returns a schedule without any reads.
func NewSchedule() *Schedule { return &Schedule{next: map[string]time.Time{}} }

// Due reports whether a dependency's terminal record is to be read now, and if so schedules
// the read after that. A dependency of a job in a shard of this controller, as awaitedHere
// says, is read at once. One of other controllers' jobs only is read after about OwnerGrace,
// so that their owners have time to read it.
func (s *Schedule) Due(job string, awaitedHere bool, now time.Time) bool {
	at, scheduled := s.next[job]
	if !scheduled {
		at = now
		if !awaitedHere {
			at = now.Add(retry.Jitter(OwnerGrace))
		}
		s.next[job] = at
	}
	if awaitedHere && at.Sub(now) > retryDelay {
		at = now // this controller has acquired a shard that awaits the dependency
	}
	if now.Before(at) {
		return false
	}
	s.next[job] = now.Add(retry.Jitter(OwnerGrace))
	return true
}

// Retry schedules the next read after one that returned no terminal record.
func (s *Schedule) Retry(job string, now time.Time) { s.next[job] = now.Add(retryDelay) }

// Prune drops the dependencies that no job awaits any more.
func (s *Schedule) Prune(awaited func(job string) bool) {
	for job := range s.next {
		if !awaited(job) {
			delete(s.next, job)
		}
	}
}

// Len returns the number of scheduled reads.
func (s *Schedule) Len() int { return len(s.next) }
