package workerapi

import (
	"log/slog"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

const (
	// A worker waits responseTimeout for a response and tries the next controller after
	// retryPause, as the protocol has it.
	responseTimeout = 4 * time.Second
	retryPause      = time.Second
	// redirectMemory is how long a redirect is remembered.
	redirectMemory = time.Minute
	// searchAgainLeases is after how many leases a worker is sent on once more.
	searchAgainLeases = 3
	// MaxRemembered is of how many machines a controller remembers what it responded
	// when it does not know its fleet: any name may come then, and memory is small. It is
	// several times as many as one controller has.
	MaxRemembered = 8192
)

// Process is what a Router needs of the process that it serves.
type Process interface {
	// Behind reports whether the process falls behind.
	Behind() bool
	// ActiveJobsStaleLocked reports whether the view of active jobs is stale, as when
	// the state service is out of reach. The shards' lock is held.
	ActiveJobsStaleLocked(now time.Time) bool
}

// redirect is where a worker was last sent.
type redirect struct {
	label string
	at    time.Time
}

// workerSearch is when a worker last reported to a controller that had lost the state
// service, and when it was sent away to search for another.
type workerSearch struct{ reportedAt, sentAt time.Time }

// Router decides to which controller a machine's worker reports. It remembers where each
// worker was last sent, so that one that comes back is not sent to the same controller at
// once again, and which workers searched for another while the state service was out of
// reach. The shards' lock guards it.
type Router struct {
	settings *config.Settings
	cluster  *clusterview.Cluster
	peers    *membership.PeerHealth
	lease    *membership.Lease
	process  Process
	log      *slog.Logger

	redirects map[string]redirect     // by machine
	searches  map[string]workerSearch // by machine
}

// NewRouter returns a router that has sent no worker anywhere.
func NewRouter(settings *config.Settings, cluster *clusterview.Cluster, peers *membership.PeerHealth, lease *membership.Lease,
	process Process, log *slog.Logger) *Router {
	return &Router{settings: settings, cluster: cluster, peers: peers, lease: lease, process: process, log: log,
		redirects: map[string]redirect{}, searches: map[string]workerSearch{}}
}

// ExpireLocked forgets old redirects, and the searches where this controller has the state
// service.
func (r *Router) ExpireLocked(now time.Time) {
	for machine, last := range r.redirects {
		if now.Sub(last.at) > redirectMemory {
			delete(r.redirects, machine)
		}
	}
	if !r.process.ActiveJobsStaleLocked(now) {
		clear(r.searches)
	}
}

// SearchesLocked returns how many workers' searches are remembered.
func (r *Router) SearchesLocked() int { return len(r.searches) }

// RedirectLocked returns the controller that a worker is to be sent to, if it is not
// this one; one that was sent on and has come back stays.
func (r *Router) RedirectLocked(zone, machine, owner string, now time.Time) string {
	to := r.reportsTo(zone, machine, owner, now)
	if to == r.settings.Label || r.sentLately(machine, to, now) {
		return ""
	}
	r.redirects[machine] = redirect{to, now}
	r.log.Debug("heartbeat redirected", "machine", machine, "to", to, "owner", owner)
	return to
}

// sentLately reports whether a machine's worker was sent to a controller less than a lease
// ago.
func (r *Router) sentLately(machine, label string, now time.Time) bool {
	last, sent := r.redirects[machine]
	return sent && last.label == label && now.Sub(last.at) < config.Seconds(r.settings.Params.Workers.LeaseS)
}

// MayRedirectLocked reports whether a worker may be sent on for the sake of an owner
// elsewhere. One that has tasks and came here while its owner does not answer may have found
// that out itself, and have spent most of its lease on it: sent back it would wait for
// the owner in vain once more and lose them. Its lease is renewed here instead.
// A refused connection between controllers says nothing of the worker's, and
// without tasks there is nothing to lose. Nor does an owner's silence say anything
// where this controller itself falls behind: then the worker is better off anywhere else.
func (r *Router) MayRedirectLocked(h *wire.Heartbeat, owner string, now time.Time) bool {
	contact := r.peers.Contact(owner)
	return len(h.Tasks) == 0 || r.process.Behind() || contact.Answers(now) || contact.Refuses(now)
}

// reportsTo chooses the controller that a machine reports to: one of its own
// zone, so that both are on the same side of whatever partitions the zone, and
// the worker need not try the others one by one while its lease expires. The
// owner itself comes first; without a live one in the zone it is the owner, and
// also where connections between controllers are refused, which says nothing of
// those between it and the worker.
func (r *Router) reportsTo(zone, machine, owner string, now time.Time) string {
	if !r.searchIsLong(zone) || r.peers.Contact(owner).Refuses(now) {
		return owner
	}
	var near []string
	for _, label := range r.settings.Labels() {
		if !r.servesZone(label, r.zoneOf(label), zone) {
			continue
		}
		if label == owner {
			return owner
		}
		contact := r.peers.Contact(label)
		if label == r.settings.Label || (contact.Reachable(now) && !contact.Refuses(now)) {
			near = append(near, label)
		}
	}
	if len(near) == 0 {
		return owner
	}
	return choose(near, machine)
}

// choose spreads the workers of machines over controllers, each always to the same.
func choose(labels []string, machine string) string {
	return labels[record.Hash(machine)%uint32(len(labels))]
}

// searchIsLong reports whether a worker of a zone that is partitioned from its controller
// may lose its lease before it has tried all controllers that are of no use to it, and
// comes to one of its own zone. Else relaying heartbeats within a zone costs more than it
// saves: the load of a zone's machines then falls on its controllers, however few they
// are, and each relayed heartbeat is decoded twice.
func (r *Router) searchIsLong(zone string) bool {
	inVain := 0
	if !r.servesZone(r.settings.Label, r.settings.Zone, zone) {
		inVain++
	}
	for _, p := range r.settings.Peers {
		if !r.servesZone(p.Label, p.Zone, zone) {
			inVain++
		}
	}
	workers := r.settings.Params.Workers
	search := time.Duration(inVain) * (responseTimeout + retryPause)
	return search+config.Seconds(workers.ReportS) >= config.Seconds(workers.LeaseS)
}

// servesZone reports whether a controller is alive, is not isolated and is in a zone.
func (r *Router) servesZone(label, controllerZone, zone string) bool {
	m, alive := r.cluster.Member(label)
	return alive && !m.Isolated && controllerZone == zone
}

func (r *Router) zoneOf(label string) string {
	for _, p := range r.settings.Peers {
		if p.Label == label {
			return p.Zone
		}
	}
	return r.settings.Zone
}

// neighbours is how the other controllers are heard.
type neighbours struct {
	reachingState string   // one that reaches the state service, if any does
	answering     bool     // another of this zone answers
	near          []string // those of this zone that don't answer
	far           int      // those of other zones
	silent        int      // those that don't answer
}

// neighbours looks at the other controllers up to the first that decides.
func (r *Router) neighbours(now time.Time) neighbours {
	var n neighbours
	for _, p := range r.settings.Peers {
		contact := r.peers.Contact(p.Label)
		answers := contact.Answers(now)
		switch {
		case answers && contact.ReachesStateService(now):
			n.reachingState = p.Label
			return n
		case p.Zone != r.settings.Zone:
			n.far++
		case answers:
			n.answering = true
			return n
		default:
			n.near = append(n.near, p.Label)
		}
		if !answers {
			n.silent++
		}
	}
	return n
}

// BetterControllerLocked tells where a worker is better off than with a controller that has
// lost the state service, and whether it is to look there. Its machine's shard has
// probably another owner by now, so a controller that reaches the state service
// is best. One that reaches nobody but its workers can't tell whether they are as
// isolated as it is: each is sent on once, to a controller of the zone that does
// not answer here or, alone in its zone, to search as far as its lease allows, and
// stays if it comes back. In an outage for all no place is better, nor in a
// partitioned zone with several controllers.
func (r *Router) BetterControllerLocked(machine string, now time.Time) (to string, look bool) {
	if !r.process.ActiveJobsStaleLocked(now) || r.lease.Current().CertainlyValid(now) {
		return "", false
	}
	n := r.neighbours(now)
	if n.reachingState != "" {
		return n.reachingState, true
	}
	if n.answering {
		return "", false
	}
	return r.search(machine, n, now)
}

// search sends a worker to search for another controller, if it may.
func (r *Router) search(machine string, n neighbours, now time.Time) (to string, look bool) {
	workers := r.settings.Params.Workers
	lease, interval := config.Seconds(workers.LeaseS), config.Seconds(workers.ReportS)
	s, known := r.searches[machine]
	if !known && len(r.searches) >= MaxRemembered {
		return "", false
	}
	last := s.reportedAt
	s.reportedAt = now
	r.searches[machine] = s
	// One that has just come may have spent most of its lease looking for this
	// controller: it is sent on when it has been responded to here once.
	if n.silent == 0 || now.Sub(last) > 2*interval || now.Sub(s.sentAt) < searchAgainLeases*lease {
		return "", false
	}
	if len(n.near) > 0 {
		to = choose(n.near, machine)
	} else if time.Duration(n.far)*(responseTimeout+retryPause)+2*interval > lease {
		return "", false
	}
	s.sentAt = now
	r.searches[machine] = s
	return to, true
}
