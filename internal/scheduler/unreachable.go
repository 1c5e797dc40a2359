package scheduler

import (
	"time"

	"bramblespur/internal/wire"
)

// missedStartsUntilUnreachable is how many heartbeats in a row must lack a start sent before
// until its machine counts as one that no answer reaches. One answer may be
// lost or late.
const missedStartsUntilUnreachable = 2

// applyIncarnation takes in the epoch of a heartbeat. A lease that ran out although its
// worker's heartbeats were answered tells that no answer reaches the machine.
func (s *Shard) applyIncarnation(m *Machine, r *wire.Heartbeat, now time.Time) {
	if r.Session == m.contact.incarnation {
		// An epoch that outlives the lease was renewed: answers arrive.
		if !m.contact.unreachableSince.IsZero() && now.Sub(m.contact.unreachableSince) > s.cfg.Lease+s.cfg.HeartbeatInterval {
			s.markReached(m)
		}
		return
	}
	if m.contact.incarnation != 0 && !m.contact.answeredAt.IsZero() && now.Sub(m.contact.answeredAt) < s.cfg.Lease*3/4 {
		s.markUnreachable(m, now)
	}
	m.contact.incarnation = r.Session
	m.contact.answeredAt = time.Time{}
	m.contact.missedStarts = 0
}

// markUnreachable notes that no answer or command seems to reach a machine whose heartbeats
// arrive: it gets no more work, and what is there is freed as ever only by what
// proves it gone.
func (s *Shard) markUnreachable(m *Machine, now time.Time) {
	if !m.contact.unreachableSince.IsZero() {
		return
	}
	m.contact.unreachableSince = now
	s.placementDue = true
	for k, t := range m.tasks {
		if t.sent && !t.reported {
			s.stopTask(k, 0, now) // not repeated: the next heartbeat proves it absent
		}
	}
}

// markReached notes that an answer was seen to arrive at a machine.
func (s *Shard) markReached(m *Machine) {
	m.contact.missedStarts = 0
	if !m.contact.unreachableSince.IsZero() {
		m.contact.unreachableSince = time.Time{}
		s.placementDue = true
	}
}

// unreachableTooLong reports whether a machine is to be released because no answer was
// seen to reach it for longer than a lease, by which one would have shown.
func (c *Config) unreachableTooLong(m *Machine, now time.Time) bool {
	return !m.contact.unreachableSince.IsZero() && now.Sub(m.contact.unreachableSince) > c.Lease+2*c.HeartbeatInterval
}
