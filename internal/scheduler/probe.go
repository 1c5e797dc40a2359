package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A machine whose heartbeat is overdue is asked directly. One that answers is alive,
// whatever became of its heartbeats; one that doesn't, while others of its zone
// answer the same controller both before and after, is lost. That tells a machine
// that died or hangs from a partition between its zone, or all workers, and this
// controller, sooner than waiting for several heartbeats would, and also where most of
// a zone's machines are lost together. When a partition ends and the first machine
// answers, what the others did not answer before proves nothing.

// Probe is a question to a worker for its heartbeat.
type Probe struct{ Machine, Addr string }

// probes is the probes of all machines.
type probes struct {
	inFlight       int
	zoneAnsweredAt map[string]time.Time // when a probe of a zone's machine was last answered
}

// probeState is what is known from a machine's probes since it was last heard.
type probeState struct {
	inFlight            bool // under way
	failed              int
	endedAt             time.Time // when the last one ended
	zoneAnswered        bool      // the last one began when its zone had answered since the one before
	leaseExpired        bool      // the last one began when the machine's lease was over
	unansweredPastLease int       // so many of these in a row had no answer
}

const (
	// heartbeatSlack is how long a heartbeat may be late besides the quarter of its
	// interval that the protocol allows.
	heartbeatSlack = 500 * time.Millisecond
	// probeInterval is between two probes of one machine.
	probeInterval = 500 * time.Millisecond
	// probesUntilLost is how many probes in a row must fail: one packet may be lost.
	probesUntilLost = 2
)

// heartbeatTimeout is how long after one heartbeat the next must have come.
func (c *Config) heartbeatTimeout() time.Duration { return c.HeartbeatInterval*5/4 + heartbeatSlack }

// maxFailoverProbes is how often a machine is asked after a failover before its own heartbeat
// is awaited.
const maxFailoverProbes = 3

// awaitsFirstHeartbeat reports whether a machine was acquired and has not been heard since.
// The token can only be brought to it with the epoch that it is in, so it is
// asked first. It then reports at once, and need not wait until its next heartbeat is
// due, or until it finds its new owner.
func (s *Shard) awaitsFirstHeartbeat(m *Machine) bool {
	return m.inherited && !m.contact.fenced && m.Phase == record.InUse && m.Addr != ""
}

// probeMachines asks the machines that are overdue or were acquired, and for each zone
// in which one did not answer another one that was heard lately. While this controller
// falls behind, overdue heartbeats are its own doing, and more questions make it worse.
func (s *Shard) probeMachines(now time.Time) {
	doubted := map[string]bool{}
	for _, m := range s.inventory.byID {
		if s.awaitsFirstHeartbeat(m) && m.probes.failed < maxFailoverProbes && now.Sub(m.probes.endedAt) >= probeInterval {
			s.sendProbe(m, now)
		}
		if s.health.overloaded || !(m.contact.up || m.inherited) || m.Phase != record.InUse || m.Addr == "" || now.Sub(m.contact.lastContactAt) < s.cfg.heartbeatTimeout() {
			continue
		}
		late := s.leaseExpired(m, now)
		if !late {
			m.probes.unansweredPastLease = 0
		}
		seen := s.probes.zoneAnsweredAt[m.Zone].After(m.probes.endedAt)
		if m.probes.failed > 0 && !seen {
			doubted[m.Zone] = true
		}
		if (m.probes.failed < probesUntilLost || seen || late && m.probes.unansweredPastLease < probesUntilLost) && now.Sub(m.probes.endedAt) >= probeInterval && !s.unresponsive(m, now) {
			s.sendProbe(m, now)
		}
	}
	for zone := range doubted {
		var witness *Machine
		for _, m := range s.inventory.byID {
			if m.Zone == zone && m.contact.up && m.Addr != "" && m.probes.failed == 0 && now.Sub(m.contact.lastContactAt) < s.cfg.heartbeatTimeout() && (witness == nil || m.contact.lastContactAt.After(witness.contact.lastContactAt)) {
				witness = m
			}
		}
		if witness != nil && now.Sub(witness.probes.endedAt) >= probeInterval {
			s.sendProbe(witness, now)
		}
	}
}

func (s *Shard) sendProbe(m *Machine, now time.Time) {
	if m.probes.inFlight || s.probes.inFlight >= s.cfg.MaxProbes || !s.cfg.CommandLimiter.AllowProbe(now) {
		return
	}
	m.probes.inFlight, m.probes.zoneAnswered, m.probes.leaseExpired = true, s.probes.zoneAnsweredAt[m.Zone].After(m.probes.endedAt), s.leaseExpired(m, now)
	s.probes.inFlight++
	s.effects.Probes = append(s.effects.Probes, Probe{m.ID, m.Addr})
}

// ProbeAnswered takes in the answer to a probe, nil if none came.
func (s *Shard) ProbeAnswered(id string, r *wire.Heartbeat, now time.Time) {
	s.probes.inFlight--
	m := s.inventory.byID[id]
	if m == nil {
		return
	}
	m.probes.inFlight = false
	if r == nil {
		m.probes.failed++
		m.probes.endedAt = now
		if m.probes.leaseExpired {
			m.probes.unansweredPastLease++
		}
		return
	}
	s.probes.zoneAnsweredAt[m.Zone] = now
	s.Heartbeat(r, true, now)
	m.probes.failed, m.probes.endedAt = 0, now
	if m.inherited && !m.contact.fenced && r.Token < m.fencingToken(s) {
		m.announceToken = true
		s.inventory.commandsDue[m] = struct{}{}
	}
}

// unresponsive reports whether a machine did not answer while its zone did.
func (s *Shard) unresponsive(m *Machine, now time.Time) bool {
	return (m.contact.up || m.inherited) && now.Sub(m.contact.lastContactAt) >= s.cfg.heartbeatTimeout() && m.probes.failed >= probesUntilLost && !m.probes.inFlight &&
		m.probes.zoneAnswered && s.probes.zoneAnsweredAt[m.Zone].After(m.probes.endedAt)
}
