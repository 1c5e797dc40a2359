package controller

import (
	"encoding/json"
	"errors"
	"syscall"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/sched"
	"bramblespur/internal/wire"
)

func (c *Controller) handleReport(req httpwire.Request, answer func(reply)) (reply, bool) {
	var r wire.Report
	if err := json.Unmarshal(req.Body, &r); err != nil || r.Machine == "" {
		return reply{status: 400}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.heardAny = now
	m, known := c.fleet.Machine(r.Machine)
	if !known {
		c.log.Debug("report of an unknown machine", "machine", r.Machine)
		go c.keep(&r, 0, answer) // restarted while the state service is out of reach
		return reply{}, false
	}
	if p := c.parts[m.Part]; p != nil {
		if to := c.sendOn(m.Zone, r.Machine, c.cfg.Label, now); to != "" {
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
		if to := c.sendOn(m.Zone, r.Machine, owner, now); to != "" {
			return reply{status: 421, body: wire.Redirect{Label: to}}, true
		}
	}
	if peerc == nil || !lives || !c.peerHealth.contact(owner).reachable(now) {
		c.log.Debug("report kept", "machine", r.Machine, "owner", owner, "lives", lives)
		go c.keep(&r, token, answer)
		return reply{}, false
	}
	go c.relay(&r, m, owner, token, answer) // its place is here, or it was sent on and has come back
	return reply{}, false
}

// relay answers a report with what its machine's owner says.
func (c *Controller) relay(r *wire.Report, m record.View, owner string, token uint64, answer func(reply)) {
	var rr peer.ReportReply
	err := c.peers[owner].Call("Report", *r, &rr, relayTimeout)
	if err == nil && rr.Status != 0 {
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
		to := c.sendOn(m.Zone, r.Machine, owner, time.Now())
		c.mu.Unlock()
		if to != "" {
			answer(reply{status: 421, body: wire.Redirect{Label: to}})
			return
		}
	}
	c.keep(r, token, answer)
}

// sendOn returns the controller that a worker is to be sent to, if it is not
// this one; one that was sent on and has come back stays. The lock is held.
func (c *Controller) sendOn(zone, machine, owner string, now time.Time) string {
	to := c.reportsTo(zone, machine, owner, now)
	before, sent := c.redirected[machine]
	if to == c.cfg.Label || (sent && before.label == to && now.Sub(before.at) < config.Seconds(c.cfg.Params.Workers.LeaseS)) {
		return ""
	}
	c.redirected[machine] = redirect{to, now}
	c.log.Debug("report sent on", "machine", machine, "to", to, "owner", owner)
	return to
}

// mayLeave reports whether a worker may be sent on for the sake of an owner elsewhere.
// One that has tasks and came here while its owner does not answer may have found
// that out itself, and have spent most of its lease on it: sent back it would wait for
// the owner in vain once more and lose them. Its lease is renewed here instead.
// A refused connection between controllers says nothing of the worker's, and
// without tasks there is nothing to lose. The lock is held.
func (c *Controller) mayLeave(r *wire.Report, owner string, now time.Time) bool {
	contact := c.peerHealth.contact(owner)
	return len(r.Tasks) == 0 || contact.answers(now) || contact.refuses(now)
}

// reportsTo chooses the controller that a machine reports to: one of its own
// zone, so that both are on the same side of whatever cuts the zone off, and
// the worker need not try the others one by one while its lease runs out. The
// owner itself comes first; without a live one in the zone it is the owner, and
// also where connections between controllers are refused, which says nothing of
// those between it and the worker. The lock is held.
func (c *Controller) reportsTo(zone, machine, owner string, now time.Time) string {
	if !c.searchIsLong(zone) || c.peerHealth.contact(owner).refuses(now) {
		return owner
	}
	var near []string
	for _, label := range c.cfg.Labels() {
		if !c.servesZone(label, c.zoneOf(label), zone) {
			continue
		}
		if label == owner {
			return owner
		}
		contact := c.peerHealth.contact(label)
		if label == c.cfg.Label || (contact.reachable(now) && !contact.refuses(now)) {
			near = append(near, label)
		}
	}
	if len(near) == 0 {
		return owner
	}
	return near[record.Hash(machine)%uint32(len(near))]
}

// searchIsLong reports whether a worker of a zone that is cut off from its controller
// may lose its lease before it has tried all controllers that are of no use to it, and
// comes to one of its own zone. Else relaying reports within a zone costs more than it
// saves: the load of a zone's machines then falls on its controllers, however few they
// are, and each relayed report is decoded twice. The lock is held.
func (c *Controller) searchIsLong(zone string) bool {
	inVain := 0
	if !c.servesZone(c.cfg.Label, c.cfg.Zone, zone) {
		inVain++
	}
	for _, p := range c.cfg.Peers {
		if !c.servesZone(p.Label, p.Zone, zone) {
			inVain++
		}
	}
	workers := c.cfg.Params.Workers
	search := time.Duration(inVain) * (workerWait + workerPause)
	return search+config.Seconds(workers.ReportS) >= config.Seconds(workers.LeaseS)
}

// servesZone reports whether a controller lives, hears others and is in a zone. The
// lock is held.
func (c *Controller) servesZone(label, its, zone string) bool {
	m, lives := c.members[label]
	return lives && !m.Deaf && its == zone
}

// A worker waits workerWait for an answer and tries the next controller after
// workerPause, as the protocol has it.
const (
	workerWait  = 4 * time.Second
	workerPause = time.Second
)

func (c *Controller) zoneOf(label string) string {
	for _, p := range c.cfg.Peers {
		if p.Label == label {
			return p.Zone
		}
	}
	return c.cfg.Zone
}

// keepAlive answers for an owner that can't be reached from here, as when two
// zones are cut off from each other, or that is gone and not yet replaced: the
// same token is accepted from any controller, so the worker's lease is renewed
// and its tasks live. No commands are given. While a report shows tasks of a job
// that is cancelled or over, that ends after a while, so that they end too.
func (c *Controller) keepAlive(r *wire.Report, token uint64) reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	blind := c.blind(now)
	if to, look := c.elsewhere(r.Machine, now); look {
		return reply{status: 421, body: wire.Redirect{Label: to}}
	}
	if r.Token > token {
		if !blind {
			return reply{status: 503, retryAfter: 1}
		}
		token = r.Token // given by an owner that this controller can't know of yet
	}
	if token == 0 {
		return reply{status: 503, retryAfter: 1}
	}
	k := c.kept[r.Machine]
	if now.Sub(k.last) > config.Seconds(c.cfg.Params.Workers.LeaseS) || blind || !c.mustEnd(r) {
		k.since = now
	}
	k.last = now
	c.kept[r.Machine] = k
	if now.Sub(k.since) > c.mustEndFor() {
		return reply{status: 503, retryAfter: 1}
	}
	return reply{status: 200, body: wire.Orders{Token: token, Commands: []wire.Command{}}}
}

// elsewhere says where a worker is better off than with a controller that has
// lost the state service, and whether it is to look there. Its machine's part has
// probably another owner by now, so a controller that reaches the state service
// is best. One that reaches nobody but its workers can't tell whether they are as
// cut off as it is: each is sent on once, to a controller of the zone that does
// not answer here or, alone in its zone, to search as far as its lease allows, and
// stays if it comes back. In an outage for all no place is better, nor in a zone
// cut off with several controllers. The lock is held.
func (c *Controller) elsewhere(machine string, now time.Time) (to string, look bool) {
	if !c.blind(now) || c.sure(now) {
		return "", false
	}
	var near []string // in this zone
	far, silent := 0, 0
	for _, p := range c.cfg.Peers {
		contact := c.peerHealth.contact(p.Label)
		answers := contact.answers(now)
		switch {
		case answers && contact.reachesState(now):
			return p.Label, true
		case p.Zone != c.cfg.Zone:
			far++
		case answers:
			return "", false
		default:
			near = append(near, p.Label)
		}
		if !answers {
			silent++
		}
	}
	w := c.cfg.Params.Workers
	lease, report := config.Seconds(w.LeaseS), config.Seconds(w.ReportS)
	s := c.searches[machine]
	met := s.met
	s.met = now
	c.searches[machine] = s
	// One that has just come may have spent most of its lease looking for this
	// controller: it is sent on when it has been answered here once.
	if silent == 0 || now.Sub(met) > 2*report || now.Sub(s.sent) < searchAgain*lease {
		return "", false
	}
	if len(near) > 0 {
		to = near[record.Hash(machine)%uint32(len(near))]
	} else if time.Duration(far)*(workerWait+workerPause)+2*report > lease {
		return "", false
	}
	s.sent = now
	c.searches[machine] = s
	return to, true
}

// search is when a worker last came to a controller that had lost the state
// service, and when it was sent away.
type search struct{ met, sent time.Time }

// searchAgain is after how many leases a worker is sent on once more.
const searchAgain = 3

// mustEndFor is how long leases are renewed while tasks of a job that is over
// live by them: whoever owns them may yet be heard.
func (c *Controller) mustEndFor() time.Duration {
	return config.Seconds(c.cfg.Params.Workers.LeaseS)
}

// keep answers a report for an owner out of reach. Where the lease may not be
// renewed for now, the answer is held as long as it would still be taken: what
// cut this controller off may end meanwhile, and a worker sent away would lose
// its lease asking controllers that are cut off from it.
func (c *Controller) keep(r *wire.Report, token uint64, answer func(reply)) {
	rep := c.keepAlive(r, token)
	if rep.status != 503 {
		answer(rep)
		return
	}
	for range int(keepHold / keepLook) {
		sleep(c.life, keepLook)
		c.mu.Lock()
		token = 0
		if m, known := c.fleet.Machine(r.Machine); known {
			token = max(c.partRecs[m.Part].version, m.Version)
		}
		c.mu.Unlock()
		if rep = c.keepAlive(r, token); rep.status != 503 {
			break
		}
	}
	answer(rep)
}

// A report that can't be answered is held for keepHold and looked at again each
// keepLook; with the relay before it, that stays below the 4 s after which a
// worker gives an answer up.
const (
	keepHold = 1500 * time.Millisecond
	keepLook = 250 * time.Millisecond
)

// mustEnd reports whether a report shows tasks of a job that is cancelled or
// over, as far as is known here. The lock is held.
func (c *Controller) mustEnd(r *wire.Report) bool {
	for _, t := range r.Tasks {
		ref, _, ok := sched.SplitTask(t.Task)
		if j, open := c.open[ref]; ok && t.State != wire.Exited && (!open || j.cancelled) {
			return true
		}
	}
	return false
}

// watchWait is how long a watch may be silent: short where cancellations must
// be known soon.
func (c *Controller) watchWait() time.Duration {
	spare := config.Seconds(c.cfg.Params.Workers.CancelS - c.cfg.Params.Workers.LeaseS)
	return max(min(spare/4, longestWatch), shortestWatch)
}

type kept struct{ since, last time.Time }

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
	if to, look := c.elsewhere(r.Machine, now); look {
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

// blind reports whether what others wrote, such as cancellations, may have been
// unknown here for some turns of the watch. The lock is held.
func (c *Controller) blind(now time.Time) bool {
	if c.jobsAt.IsZero() {
		return now.Sub(c.begun) > firstView
	}
	return now.Sub(c.jobsAt) > 2*c.watchWait()+callSlack
}

// firstView is how long a controller waits for its first view: workers that find
// it restarted while the state service is out of reach keep their leases.
const firstView = keepHold - keepLook

// callSlack is what a watch may be late besides its wait.
const callSlack = 2 * time.Second

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
