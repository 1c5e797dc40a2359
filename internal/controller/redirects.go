package controller

import (
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// redirect is where a worker was last sent.
type redirect struct {
	label string
	at    time.Time
}

// redirectMemory is how long a redirect is remembered.
const redirectMemory = time.Minute

// workerRedirects remembers where each machine's worker was last sent, so that one that
// comes back is not sent to the same place at once again. The controller's lock guards it.
type workerRedirects map[string]redirect

// lately reports whether a machine's worker was sent to a controller less than d ago.
func (w workerRedirects) lately(machine, label string, d time.Duration, now time.Time) bool {
	last, sent := w[machine]
	return sent && last.label == label && now.Sub(last.at) < d
}

// expire forgets old redirects.
func (w workerRedirects) expire(now time.Time) {
	for machine, r := range w {
		if now.Sub(r.at) > redirectMemory {
			delete(w, machine)
		}
	}
}

// redirectTo returns the controller that a worker is to be sent to, if it is not
// this one; one that was sent on and has come back stays. The lock is held.
func (c *Controller) redirectTo(zone, machine, owner string, now time.Time) string {
	to := c.reportsTo(zone, machine, owner, now)
	if to == c.cfg.Label || c.redirects.lately(machine, to, config.Seconds(c.cfg.Params.Workers.LeaseS), now) {
		return ""
	}
	c.redirects[machine] = redirect{to, now}
	c.log.Debug("report sent on", "machine", machine, "to", to, "owner", owner)
	return to
}

// mayLeave reports whether a worker may be sent on for the sake of an owner elsewhere.
// One that has tasks and came here while its owner does not answer may have found
// that out itself, and have spent most of its lease on it: sent back it would wait for
// the owner in vain once more and lose them. Its lease is renewed here instead.
// A refused connection between controllers says nothing of the worker's, and
// without tasks there is nothing to lose. Nor does an owner's silence say anything
// where this controller itself falls behind: then the worker is better off anywhere else.
// The lock is held.
func (c *Controller) mayLeave(r *wire.Heartbeat, owner string, now time.Time) bool {
	contact := c.peerHealth.Contact(owner)
	return len(r.Tasks) == 0 || c.overload.Behind() || contact.Answers(now) || contact.Refuses(now)
}

// reportsTo chooses the controller that a machine reports to: one of its own
// zone, so that both are on the same side of whatever cuts the zone off, and
// the worker need not try the others one by one while its lease runs out. The
// owner itself comes first; without a live one in the zone it is the owner, and
// also where connections between controllers are refused, which says nothing of
// those between it and the worker. The lock is held.
func (c *Controller) reportsTo(zone, machine, owner string, now time.Time) string {
	if !c.searchIsLong(zone) || c.peerHealth.Contact(owner).Refuses(now) {
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
		contact := c.peerHealth.Contact(label)
		if label == c.cfg.Label || (contact.Reachable(now) && !contact.Refuses(now)) {
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
func (c *Controller) servesZone(label, controllerZone, zone string) bool {
	m, lives := c.cluster.Member(label)
	return lives && !m.Isolated && controllerZone == zone
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

// betterController says where a worker is better off than with a controller that has
// lost the state service, and whether it is to look there. Its machine's part has
// probably another owner by now, so a controller that reaches the state service
// is best. One that reaches nobody but its workers can't tell whether they are as
// cut off as it is: each is sent on once, to a controller of the zone that does
// not answer here or, alone in its zone, to search as far as its lease allows, and
// stays if it comes back. In an outage for all no place is better, nor in a zone
// cut off with several controllers. The lock is held.
func (c *Controller) betterController(machine string, now time.Time) (to string, look bool) {
	if !c.activeJobsStale(now) || c.sure(now) {
		return "", false
	}
	var near []string // in this zone
	far, silent := 0, 0
	for _, p := range c.cfg.Peers {
		contact := c.peerHealth.Contact(p.Label)
		answers := contact.Answers(now)
		switch {
		case answers && contact.ReachesStateService(now):
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
	s, here := c.searches[machine]
	if !here && len(c.searches) >= maxRemembered {
		return "", false
	}
	last := s.reportedAt
	s.reportedAt = now
	c.searches[machine] = s
	// One that has just come may have spent most of its lease looking for this
	// controller: it is sent on when it has been answered here once.
	if silent == 0 || now.Sub(last) > 2*report || now.Sub(s.sentAt) < searchAgain*lease {
		return "", false
	}
	if len(near) > 0 {
		to = near[record.Hash(machine)%uint32(len(near))]
	} else if time.Duration(far)*(workerWait+workerPause)+2*report > lease {
		return "", false
	}
	s.sentAt = now
	c.searches[machine] = s
	return to, true
}

// workerSearch is when a worker last reported to a controller that had lost the state
// service, and when it was sent away to search for another. The controller's lock guards
// it.
type workerSearch struct{ reportedAt, sentAt time.Time }

// maxRemembered is of how many machines a controller remembers what it answered them
// when it does not know its fleet: any name may come then, and memory is small. It is
// several times as many as one controller has.
const maxRemembered = 8192

// searchAgain is after how many leases a worker is sent on once more.
const searchAgain = 3
