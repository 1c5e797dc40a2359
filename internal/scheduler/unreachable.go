package scheduler

import (
	"time"

	"bramblespur/internal/wire"
)

// missedStartsUntilUnreachable is how many heartbeats in a row must lack a task whose start was sent
// until the machine counts as unreachable: a single response may be lost or late.
const missedStartsUntilUnreachable = 2

// applyIncarnation applies the incarnation of a heartbeat. If the lease of the one before expired
// although its heartbeats were answered, no response seems to reach the machine.
func (s *Shard) applyIncarnation(m *Machine, r *wire.Heartbeat, now time.Time) {
	if r.Session == m.contact.incarnation {
		// The lease of an incarnation that outlives it was renewed: responses arrive.
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

// markUnreachable records that no response or command seems to reach a machine whose heartbeats
// arrive. It gets no more work. As always, a task there is freed only once it is proven gone.
func (s *Shard) markUnreachable(m *Machine, now time.Time) {
	if !m.contact.unreachableSince.IsZero() {
		return
	}
	m.contact.unreachableSince = now
	s.placementDue = true
	for k, t := range m.tasks {
		if t.sent && !t.reported {
			s.stopTask(k, 0, now) // its start is not repeated, so that the next heartbeat proves it absent
		}
	}
}

// markReached records that a response or command is known to have reached a machine.
func (s *Shard) markReached(m *Machine) {
	m.contact.missedStarts = 0
	if !m.contact.unreachableSince.IsZero() {
		m.contact.unreachableSince = time.Time{}
		s.placementDue = true
	}
}

// unreachableTooLong reports whether a machine is to be released because it has been unreachable
// for longer than a lease: by then a response that arrived would have shown.
func (c *Config) unreachableTooLong(m *Machine, now time.Time) bool {
	return !m.contact.unreachableSince.IsZero() && now.Sub(m.contact.unreachableSince) > c.Lease+2*c.HeartbeatInterval
}
