package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A machine whose heartbeat is overdue is probed. One that answers is alive, even if its
// heartbeats are lost. One that does not answer, while others of its zone answer this controller
// both before and after, is lost. This distinguishes a machine that died or hangs from a
// partition between this controller and the zone, or all workers. It does so sooner than waiting
// for several heartbeats would, and also if most of a zone's machines are lost together. When a
// partition ends and the first machine answers, the probes that the others failed to answer
// before prove nothing.

// Probe is a request to a worker for a heartbeat.
type Probe struct{ Machine, Addr string }

// probes is the state of all machines' probes.
type probes struct {
	inFlight       int                  // probes under way
	zoneAnsweredAt map[string]time.Time // when a probe of a zone's machine was last answered
}

// probeState is the state of a machine's probes since the machine was last known to be alive.
type probeState struct {
	inFlight            bool      // a probe is under way
	failed              int       // probes in a row that were not answered
	endedAt             time.Time // when the last probe ended
	zoneAnswered        bool      // its zone had answered between the last two probes
	leaseExpired        bool      // the machine's lease had expired when the last probe was sent
	unansweredPastLease int       // probes sent after lease expiry that were not answered, in a row
}

const (
	// heartbeatSlack is how late a heartbeat may be in addition to the quarter of its
	// interval that the protocol allows.
	heartbeatSlack = 500 * time.Millisecond
	// probeInterval is the minimum time between two probes of one machine.
	probeInterval = 500 * time.Millisecond
	// probesUntilLost is how many probes in a row must fail until a machine counts as lost: a
	// single packet may be dropped.
	probesUntilLost = 2
)

// heartbeatTimeout returns how long after a heartbeat the next one is overdue.
func (c *Config) heartbeatTimeout() time.Duration { return c.HeartbeatInterval*5/4 + heartbeatSlack }

// maxFailoverProbes is how many times a machine is probed after a failover before its own
// heartbeat is awaited.
const maxFailoverProbes = 3

// awaitsFirstHeartbeat reports whether a machine was acquired with the shard and has not reported
// our token since. The token can only be sent to it together with its current incarnation, so it
// is probed first. Once it has the token, it sends a heartbeat at once, instead of when the next
// one is due or when it finds its new owner.
func (s *Shard) awaitsFirstHeartbeat(m *Machine) bool {
	return m.inherited && !m.contact.fenced && m.Phase == record.InUse && m.Addr != ""
}

// probeMachines probes the machines that are overdue or were acquired with the shard and, for
// each zone in which one did not answer, another one that sent a heartbeat lately. While this controller
// is overloaded it probes no overdue machines: their heartbeats are late because of the overload,
// and more probes add to it.
func (s *Shard) probeMachines(now time.Time) {
	unansweredZones := map[string]bool{} // zones without an answer since a probe there failed
	for _, m := range s.inventory.byID {
		if s.awaitsFirstHeartbeat(m) && m.probes.failed < maxFailoverProbes && now.Sub(m.probes.endedAt) >= probeInterval {
			s.sendProbe(m, now)
		}
		if s.health.overloaded || !(m.contact.up || m.inherited) || m.Phase != record.InUse || m.Addr == "" || now.Sub(m.contact.lastContactAt) < s.cfg.heartbeatTimeout() {
			continue
		}
		leaseExpired := s.leaseExpired(m, now)
		if !leaseExpired {
			m.probes.unansweredPastLease = 0
		}
		zoneAnswered := s.probes.zoneAnsweredAt[m.Zone].After(m.probes.endedAt)
		if m.probes.failed > 0 && !zoneAnswered {
			unansweredZones[m.Zone] = true
		}
		if (m.probes.failed < probesUntilLost || zoneAnswered || leaseExpired && m.probes.unansweredPastLease < probesUntilLost) && now.Sub(m.probes.endedAt) >= probeInterval && !s.unresponsive(m, now) {
			s.sendProbe(m, now)
		}
	}
	for zone := range unansweredZones {
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

// sendProbe adds a probe of a machine to the effects, unless one is under way, or the limits of
// probes allow none now.
func (s *Shard) sendProbe(m *Machine, now time.Time) {
	if m.probes.inFlight || s.probes.inFlight >= s.cfg.MaxProbes || !s.cfg.CommandLimiter.AllowProbe(now) {
		return
	}
	m.probes.inFlight, m.probes.zoneAnswered, m.probes.leaseExpired = true, s.probes.zoneAnsweredAt[m.Zone].After(m.probes.endedAt), s.leaseExpired(m, now)
	s.probes.inFlight++
	s.effects.Probes = append(s.effects.Probes, Probe{m.ID, m.Addr})
}

// ProbeDone records the end of a probe: r is the worker's heartbeat, or nil if no answer came.
// It must be called once for each probe in the effects.
func (s *Shard) ProbeDone(id string, r *wire.Heartbeat, now time.Time) {
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
		s.announceToken(m)
	}
}

// unresponsive reports whether an overdue machine did not answer its last probes while other
// machines of its zone did.
func (s *Shard) unresponsive(m *Machine, now time.Time) bool {
	return (m.contact.up || m.inherited) && now.Sub(m.contact.lastContactAt) >= s.cfg.heartbeatTimeout() && m.probes.failed >= probesUntilLost && !m.probes.inFlight &&
		m.probes.zoneAnswered && s.probes.zoneAnsweredAt[m.Zone].After(m.probes.endedAt)
}
