package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A machine whose report is overdue is asked directly. One that answers is alive,
// whatever became of its reports; one that doesn't, while others of its zone
// answer the same controller both before and after, is lost. That tells a machine
// that died or hangs from a cut between its zone, or all workers, and this
// controller, sooner than waiting for several reports would, and also where most of
// a zone's machines are lost together. When a cut ends and the first machine
// answers, what the others did not answer before proves nothing.

// Probe is a question to a worker for its report.
type Probe struct{ Machine, Addr string }

// probing is what is known from a machine's probes since it was last heard.
type probing struct {
	asked  bool // under way
	failed int
	at     time.Time // when the last one ended
	fair   bool      // the last one began when its zone had answered since the one before
	late   bool      // the last one began when the machine's lease was over
	vain   int       // so many of these in a row had no answer
}

const (
	// overdueSlack is how long a report may be late besides the quarter of its
	// interval that the protocol allows.
	overdueSlack = 500 * time.Millisecond
	// probePause is between two probes of one machine.
	probePause = 500 * time.Millisecond
	// probesLost is how many probes in a row must fail: one packet may be lost.
	probesLost = 2
)

// reportDue is how long after one report the next must have come.
func (s *Shard) reportDue() time.Duration { return s.cfg.Report*5/4 + overdueSlack }

// greets is how often a machine is asked after a take-over before its own report
// is awaited.
const greets = 3

// unmet reports whether a machine was taken over and has not been heard since.
// The token can only be brought to it with the session that it is in, so it is
// asked first. It then reports at once, and need not wait until its next report is
// due, or until it finds its new owner.
func (s *Shard) unmet(m *Machine) bool {
	return m.inherited && !m.fenced && m.Phase == record.InUse && m.Addr != ""
}

// probe asks the machines that are overdue or were taken over, and for each zone
// in which one did not answer another one that was heard lately. While this controller
// falls behind, overdue reports are its own doing, and more questions make it worse.
func (s *Shard) probe(now time.Time) {
	doubted := map[string]bool{}
	for _, m := range s.machines {
		if s.unmet(m) && m.probes.failed < greets && now.Sub(m.probes.at) >= probePause {
			s.ask(m, now)
		}
		if s.behind || !(m.up || m.inherited) || m.Phase != record.InUse || m.Addr == "" || now.Sub(m.heard) < s.reportDue() {
			continue
		}
		late := s.leaseOver(m, now)
		if !late {
			m.probes.vain = 0
		}
		seen := s.zoneSeen[m.Zone].After(m.probes.at)
		if m.probes.failed > 0 && !seen {
			doubted[m.Zone] = true
		}
		if (m.probes.failed < probesLost || seen || late && m.probes.vain < probesLost) && now.Sub(m.probes.at) >= probePause && !s.unanswering(m, now) {
			s.ask(m, now)
		}
	}
	for zone := range doubted {
		var witness *Machine
		for _, m := range s.machines {
			if m.Zone == zone && m.up && m.Addr != "" && m.probes.failed == 0 && now.Sub(m.heard) < s.reportDue() && (witness == nil || m.heard.After(witness.heard)) {
				witness = m
			}
		}
		if witness != nil && now.Sub(witness.probes.at) >= probePause {
			s.ask(witness, now)
		}
	}
}

func (s *Shard) ask(m *Machine, now time.Time) {
	if m.probes.asked || s.asked >= s.cfg.Probes || !s.cfg.Pace.AllowProbe(now) {
		return
	}
	m.probes.asked, m.probes.fair, m.probes.late = true, s.zoneSeen[m.Zone].After(m.probes.at), s.leaseOver(m, now)
	s.asked++
	s.out.Probes = append(s.out.Probes, Probe{m.ID, m.Addr})
}

// Probed takes in the answer to a probe, nil if none came.
func (s *Shard) Probed(id string, r *wire.Heartbeat, now time.Time) {
	s.asked--
	m := s.machines[id]
	if m == nil {
		return
	}
	m.probes.asked = false
	if r == nil {
		m.probes.failed++
		m.probes.at = now
		if m.probes.late {
			m.probes.vain++
		}
		return
	}
	s.zoneSeen[m.Zone] = now
	s.Report(r, true, now)
	m.probes.failed, m.probes.at = 0, now
	if m.inherited && !m.fenced && r.Token < m.token(s) {
		m.announceToken = true
		s.index.toPush[m] = struct{}{}
	}
}

// unanswering reports whether a machine did not answer while its zone did.
func (s *Shard) unanswering(m *Machine, now time.Time) bool {
	return (m.up || m.inherited) && now.Sub(m.heard) >= s.reportDue() && m.probes.failed >= probesLost && !m.probes.asked &&
		m.probes.fair && s.zoneSeen[m.Zone].After(m.probes.at)
}
