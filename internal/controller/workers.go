package controller

import (
	"encoding/json"
	"errors"
	"syscall"
	"time"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/sched"
	"bramblespur/internal/wire"
)

func (c *Controller) handleReport(req httpwire.Request, answer func(reply)) (reply, bool) {
	var r wire.Report
	err := json.Unmarshal(req.Body, &r)
	if err == nil {
		err = r.Check()
	}
	if err != nil {
		c.refusals.tell(c.log, "report", r.Machine, err)
		return reply{status: 400}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.lastReportAt = now
	if c.safeMode.holder.Active() {
		return c.renewInSafeMode(&r), true
	}
	c.suspectToken(&r)
	m, known := c.fleet.Machine(r.Machine)
	if !known {
		c.log.Debug("report of an unknown machine", "machine", r.Machine)
		c.suspectMachine(&r)
		token := uint64(0) // restarted while the state service is out of reach
		if c.safeMode.on {
			token = r.Token // its record may be lost: its tasks live until that is known
		}
		go c.answerForOwner(&r, token, answer)
		return reply{}, false
	}
	if p := c.parts[m.Part]; p != nil {
		if to := c.redirectTo(m.Zone, r.Machine, c.cfg.Label, now); to != "" {
			return reply{status: 421, body: wire.Redirect{Label: to}}, true
		}
		rep := c.ownReport(p, &r, now)
		if o, ok := rep.body.(wire.Orders); ok && len(o.Commands) == 0 {
			if d := c.mayHold(p, r.Machine, now); d > 0 {
				c.hold(p, r.Machine, d, answer)
				return reply{}, false
			}
		}
		return rep, true
	}
	part := c.partRecs[m.Part]
	owner := part.rec.Owner
	peerc := c.peers[owner]
	token := max(part.version, m.Version)
	_, lives := c.members[owner]
	if peerc != nil && lives && c.mayLeave(&r, owner, now) {
		if to := c.redirectTo(m.Zone, r.Machine, owner, now); to != "" {
			return reply{status: 421, body: wire.Redirect{Label: to}}, true
		}
	}
	if peerc == nil || !lives || !c.peerHealth.contact(owner).reachable(now) {
		c.log.Debug("report kept", "machine", r.Machine, "owner", owner, "lives", lives)
		go c.answerForOwner(&r, token, answer)
		return reply{}, false
	}
	go c.relay(&r, m, owner, token, answer) // its place is here, or it was sent on and has come back
	return reply{}, false
}

// relay answers a report with what its machine's owner says.
func (c *Controller) relay(r *wire.Report, m record.View, owner string, token uint64, answer func(reply)) {
	var rr peer.ReportReply
	err := c.peers[owner].Call("Report", *r, &rr, relayTimeout)
	err = c.sensible("answer to a relayed report", owner, err, func() error { return checkReportReply(&rr) })
	if err == nil {
		rep := reply{status: rr.Status, retryAfter: 1}
		if rr.Status == 200 {
			rep = reply{status: 200, body: rr.Orders}
		}
		answer(rep)
		return
	}
	c.log.Debug("report not relayed", "machine", r.Machine, "owner", owner, "err", err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.peerHealth.refused(owner)
		c.mu.Lock()
		to := c.redirectTo(m.Zone, r.Machine, owner, time.Now())
		c.mu.Unlock()
		if to != "" {
			answer(reply{status: 421, body: wire.Redirect{Label: to}})
			return
		}
	}
	c.answerForOwner(r, token, answer)
}

// held is a report's answer kept back in case a start comes for its machine.
type held struct {
	part   *sched.Part
	answer func(reply)
	timer  *time.Timer
}

// holdTogether makes held answers that are due one shortly after the other go out in
// one turn: each turn costs a small machine more than the answer does.
const holdTogether = 100 * time.Millisecond

// together shortens a wait so that it ends with those of others.
func together(since, d time.Duration) time.Duration {
	if d <= holdTogether {
		return d
	}
	return d - (since+d)%holdTogether
}

// mayHold returns how long an answer may be held. A strained controller holds none: a held answer costs it a timer and another turn, while a start only waits for
// the machine's next report. The lock is held.
func (c *Controller) mayHold(p *sched.Part, machine string, now time.Time) time.Duration {
	if c.pressure.strained {
		return 0
	}
	return p.Hold(machine, now)
}

// hold keeps an answer back for at most d. The lock is held.
func (c *Controller) hold(p *sched.Part, machine string, d time.Duration, answer func(reply)) {
	c.release(machine, time.Now()) // an older one: its worker has gone on
	h := &held{part: p, answer: answer}
	h.timer = time.AfterFunc(together(time.Since(c.begun), d), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.held[machine] == h {
			c.release(machine, time.Now())
		}
	})
	c.held[machine] = h
}

// release gives a held answer. The lock is held.
func (c *Controller) release(machine string, now time.Time) {
	h := c.held[machine]
	if h == nil {
		return
	}
	delete(c.held, machine)
	h.timer.Stop()
	rep := reply{status: 503, retryAfter: 1}
	if c.parts[h.part.ID()] == h.part {
		c.lookUp(h.part, now)
		if o, ok := h.part.Held(machine, now); ok {
			rep = reply{status: 200, body: o}
		}
	}
	go h.answer(rep)
}

// ownReport answers a report of one of our machines. The lock is held.
func (c *Controller) ownReport(p *sched.Part, r *wire.Report, now time.Time) reply {
	if to, look := c.betterController(r.Machine, now); look {
		return reply{status: 421, body: wire.Redirect{Label: to}}
	}
	c.lookUp(p, now)
	orders, verdict := p.Report(r, false, now)
	c.pump(p, now)
	switch verdict {
	case sched.Answered:
		return reply{status: 200, body: orders}
	case sched.Deposed:
		// A 200 would be dropped by the worker while its lease runs out.
		go c.rereadPart(p.ID())
		return reply{status: 421, body: wire.Redirect{}}
	}
	return reply{status: 503, retryAfter: 1}
}

// Report implements peer.Handler: a report relayed by another controller.
func (c *Controller) Report(r wire.Report) peer.ReportReply {
	c.mu.Lock()
	now := time.Now()
	m, known := c.fleet.Machine(r.Machine)
	p := c.parts[m.Part]
	if !known || p == nil {
		c.mu.Unlock()
		return peer.ReportReply{Status: 503}
	}
	rep := c.ownReport(p, &r, now)
	if o, ok := rep.body.(wire.Orders); ok && len(o.Commands) == 0 {
		if d := min(c.mayHold(p, r.Machine, now), relayHold); d > 0 {
			done := make(chan reply, 1)
			c.hold(p, r.Machine, d, func(r reply) { done <- r })
			c.mu.Unlock()
			return relayed(<-done)
		}
	}
	c.mu.Unlock()
	return relayed(rep)
}

func relayed(rep reply) peer.ReportReply {
	out := peer.ReportReply{Status: rep.status}
	if o, ok := rep.body.(wire.Orders); ok {
		out.Orders = o
	}
	return out
}

// relayHold is how long an answer to a relayed report may be held, well below
// relayTimeout.
const relayHold = 1200 * time.Millisecond
