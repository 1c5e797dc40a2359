package scheduler

import (
	"time"

	"bramblespur/internal/wire"
)

// unreachableAfter is how many reports in a row must lack a start sent before
// until its machine counts as one that no answer reaches. One answer may be
// lost or late.
const unreachableAfter = 2

// applyEpoch takes in the session of a report. A lease that ran out although its
// worker's reports were answered tells that no answer reaches the machine.
func (s *Shard) applyEpoch(m *Machine, r *wire.Heartbeat, now time.Time) {
	if r.Session == m.epoch {
		// A session that outlives the lease was renewed: answers arrive.
		if !m.unreachableSince.IsZero() && now.Sub(m.unreachableSince) > s.cfg.Lease+s.cfg.HeartbeatInterval {
			s.markReached(m)
		}
		return
	}
	if m.epoch != 0 && !m.answeredAt.IsZero() && now.Sub(m.answeredAt) < s.cfg.Lease*3/4 {
		s.markUnreachable(m, now)
	}
	m.epoch = r.Session
	m.answeredAt = time.Time{}
	m.missedStarts = 0
}

// markUnreachable notes that no answer or command seems to reach a machine whose reports
// arrive: it gets no more work, and what is there is freed as ever only by what
// proves it gone.
func (s *Shard) markUnreachable(m *Machine, now time.Time) {
	if !m.unreachableSince.IsZero() {
		return
	}
	m.unreachableSince = now
	s.placementDue = true
	for k, t := range m.tasks {
		if t.sent && !t.reported {
			s.stopTask(k, 0, now) // not repeated: the next report proves it absent
		}
	}
}

// markReached notes that an answer was seen to arrive at a machine.
func (s *Shard) markReached(m *Machine) {
	m.missedStarts = 0
	if !m.unreachableSince.IsZero() {
		m.unreachableSince = time.Time{}
		s.placementDue = true
	}
}

// staysUnreachable reports whether a machine is to be given back because no answer was
// seen to reach it for longer than a lease, by which one would have shown.
func (s *Shard) staysUnreachable(m *Machine, now time.Time) bool {
	return !m.unreachableSince.IsZero() && now.Sub(m.unreachableSince) > s.cfg.Lease+2*s.cfg.HeartbeatInterval
}
