// Package dependency decides when the terminal records of dependencies are read: of jobs
// that others await and that are not active any more. Usually whoever wrote such a record
// tells the owners of what awaits it; reading serves those who were not told.
package dependency

import (
	"time"

	"bramblespur/internal/retry"
)

const (
	// retryDelay is the pause after a dependency had neither an active record in the view
	// nor a terminal one: the view is behind.
	retryDelay = time.Second
	// OwnerGrace is how long the owner has to end what depends on a cancelled job, before
	// any controller does.
	OwnerGrace = 4 * time.Second
)

// Schedule says when each dependency's terminal record is read next. It has no lock: all
// its methods are called with the shards' lock held.
type Schedule struct {
	next map[string]time.Time // by job
}

// NewSchedule returns a schedule without any reads.
func NewSchedule() *Schedule { return &Schedule{next: map[string]time.Time{}} }

// Due reports whether a dependency is to be read now, and schedules the read after that.
// What an own shard awaits is read at once, what only others await after their owners had
// time for it.
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
		at = now // the shard came to be ours meanwhile
	}
	if now.Before(at) {
		return false
	}
	s.next[job] = now.Add(retry.Jitter(OwnerGrace))
	return true
}

// Retry schedules a read again that found no terminal record.
func (s *Schedule) Retry(job string, now time.Time) { s.next[job] = now.Add(retryDelay) }

// Prune forgets the dependencies that nothing awaits any more.
func (s *Schedule) Prune(awaited func(job string) bool) {
	for job := range s.next {
		if !awaited(job) {
			delete(s.next, job)
		}
	}
}

// Len returns how many reads are scheduled.
func (s *Schedule) Len() int { return len(s.next) }
