package sched

import (
	"time"

	"bramblespur/internal/wire"
)

// muteAfterMissed is how many reports in a row must lack a start sent before
// until its machine counts as one that no answer reaches. One answer may be
// lost or late.
const muteAfterMissed = 2

// session takes in the session of a report. A lease that ran out although its
// worker's reports were answered tells that no answer reaches the machine.
func (p *Part) session(m *Machine, r *wire.Report, now time.Time) {
	if r.Session == m.session {
		// A session that outlives the lease was renewed: answers arrive.
		if !m.muteAt.IsZero() && now.Sub(m.muteAt) > p.cfg.Lease+p.cfg.Report {
			p.reached(m)
		}
		return
	}
	if m.session != 0 && !m.answered.IsZero() && now.Sub(m.answered) < p.cfg.Lease*3/4 {
		p.mute(m, now)
	}
	m.session = r.Session
	m.answered = time.Time{}
	m.missed = 0
}

// mute notes that no answer or command seems to reach a machine whose reports
// arrive: it gets no more work, and what is there is freed as ever only by what
// proves it gone.
func (p *Part) mute(m *Machine, now time.Time) {
	if !m.muteAt.IsZero() {
		return
	}
	m.muteAt = now
	p.changed = true
	for k, t := range m.on {
		if t.sent && !t.seen {
			p.stop(k, 0, now) // not repeated: the next report proves it absent
		}
	}
}

// reached notes that an answer was seen to arrive at a machine.
func (p *Part) reached(m *Machine) {
	m.missed = 0
	if !m.muteAt.IsZero() {
		m.muteAt = time.Time{}
		p.changed = true
	}
}

// hopeless reports whether a machine is to be given back because no answer was
// seen to reach it for longer than a lease, by which one would have shown.
func (p *Part) hopeless(m *Machine, now time.Time) bool {
	return !m.muteAt.IsZero() && now.Sub(m.muteAt) > p.cfg.Lease+2*p.cfg.Report
}
