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
	// responseTimeout is how long, by the protocol, a worker waits for a response. After a
	// pause of retryPause it tries the next controller.
	responseTimeout = 4 * time.Second
	retryPause      = time.Second
	// redirectMemory is how long a redirect is remembered.
	redirectMemory = time.Minute
	// searchAgainLeases is the minimum time between two searches of a worker, in leases.
	searchAgainLeases = 3
	// MaxRemembered bounds the machines whose requests a controller remembers while it has no
	// list of machines: heartbeats may then arrive under any machine name, and memory is
	// small. The bound is several times the number of machines that one controller serves.
	MaxRemembered = 8192
)

// Process is what a Router needs of its controller's process.
type Process interface {
	// Behind reports whether the process falls behind for lack of CPU time.
	Behind() bool
	// ActiveJobsStaleLocked reports whether the view of active jobs is stale, as when
	// the state service is out of reach. The shards' lock is held.
	ActiveJobsStaleLocked(now time.Time) bool
}

// redirect is the controller that a worker was last redirected to.
type redirect struct {
	label string // of the controller
	at    time.Time
}

// workerSearch is when a worker last reported to this controller while the state service was
// out of its reach, and when this controller last sent the worker to search for another.
type workerSearch struct{ reportedAt, sentAt time.Time }

// Router decides to which controller a machine's worker reports. It remembers where each
// worker was last redirected, so that a worker that comes back is not redirected to the same
// controller again at once, and which workers searched for another controller while the
// state service was out of reach. The shards' lock guards it.
type Router struct {
	settings *config.Settings
	cluster  *clusterview.Cluster
	peers    *membership.PeerHealth
	lease    *membership.Lease // this controller's member lease
	process  Process
	log      *slog.Logger

	redirects map[string]redirect     // by machine
	searches  map[string]workerSearch // by machine
}

// NewRouter returns a router that has not redirected any worker.
func NewRouter(settings *config.Settings, cluster *clusterview.Cluster, peers *membership.PeerHealth, lease *membership.Lease,
	process Process, log *slog.Logger) *Router {
	return &Router{settings: settings, cluster: cluster, peers: peers, lease: lease, process: process, log: log,
		redirects: map[string]redirect{}, searches: map[string]workerSearch{}}
}

// ExpireLocked forgets old redirects, and all searches if the view of active jobs is fresh.
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

// SearchesLocked returns for how many workers a report or a search is remembered.
func (r *Router) SearchesLocked() int { return len(r.searches) }

// RedirectLocked returns the label of the controller that a worker is to be redirected to,
// empty if it stays here: this controller is the right one, or the worker was redirected to
// the right one less than a lease ago and has come back. It records the redirect.
func (r *Router) RedirectLocked(zone, machine, owner string, now time.Time) string {
	to := r.reportsTo(zone, machine, owner, now)
	if to == r.settings.Label || r.redirectedWithinLease(machine, to, now) {
		return ""
	}
	r.redirects[machine] = redirect{to, now}
	r.log.Debug("heartbeat redirected", "machine", machine, "to", to, "owner", owner)
	return to
}

// redirectedWithinLease reports whether a machine's worker was redirected to a controller less
// than a lease ago.
func (r *Router) redirectedWithinLease(machine, label string, now time.Time) bool {
	last, sent := r.redirects[machine]
	return sent && last.label == label && now.Sub(last.at) < config.Seconds(r.settings.Params.Workers.LeaseS)
}

// MayRedirectLocked reports whether a worker whose machine is owned by another controller may
// be redirected.
//
// A worker may not be redirected while its machine's owner does not answer this controller: it
// may have come here because the owner did not answer it either, and have spent most of its
// lease waiting. If it were redirected back, it would wait for the owner again, get no answer
// and lose its tasks. Its lease is renewed here instead. There are three exceptions. A worker
// without tasks has nothing to lose. If the owner refuses this controller's connections, that
// does not show that the worker cannot reach the owner. If this controller itself falls behind,
// the lack of answers from the owner shows nothing, and any other controller serves the worker
// better.
func (r *Router) MayRedirectLocked(h *wire.Heartbeat, owner string, now time.Time) bool {
	contact := r.peers.Contact(owner)
	return len(h.Tasks) == 0 || r.process.Behind() || contact.Answers(now) || contact.Refuses(now)
}

// reportsTo returns the label of the controller that a machine is to report to: one in the
// machine's zone, so that a partition of the zone does not separate them and the worker need
// not try the others one by one while its lease expires. The owner itself is preferred. The
// machine reports to the owner in any zone if its own zone has no live controller that this one
// reaches, if a search cannot outlast the lease (see searchMayOutlastLease), or if the owner
// refuses connections of this controller, which does not show that it refuses those of the
// worker.
func (r *Router) reportsTo(zone, machine, owner string, now time.Time) string {
	if !r.searchMayOutlastLease(zone) || r.peers.Contact(owner).Refuses(now) {
		return owner
	}
	var inZone []string
	for _, label := range r.settings.Labels() {
		if !r.servesZone(label, r.zoneOf(label), zone) {
			continue
		}
		if label == owner {
			return owner
		}
		contact := r.peers.Contact(label)
		if label == r.settings.Label || (contact.Reachable(now) && !contact.Refuses(now)) {
			inZone = append(inZone, label)
		}
	}
	if len(inZone) == 0 {
		return owner
	}
	return chooseByHash(inZone, machine)
}

// chooseByHash returns one of the given labels, and for a machine the same one each time as long as
// the labels stay the same. It spreads the machines over the controllers.
func chooseByHash(labels []string, machine string) string {
	return labels[record.Hash(machine)%uint32(len(labels))]
}

// searchMayOutlastLease reports whether a worker that a partition of its zone separates from its
// controller may lose its lease while it tries all controllers outside the zone, before it comes to
// one in the zone. If not, reporting within the zone costs more than it saves: the load of a
// zone's machines then falls on the zone's controllers, however few they are, and each relayed
// heartbeat is decoded twice.
func (r *Router) searchMayOutlastLease(zone string) bool {
	unreachable := 0 // controllers that cannot serve the worker
	if !r.servesZone(r.settings.Label, r.settings.Zone, zone) {
		unreachable++
	}
	for _, p := range r.settings.Peers {
		if !r.servesZone(p.Label, p.Zone, zone) {
			unreachable++
		}
	}
	workers := r.settings.Params.Workers
	search := time.Duration(unreachable) * (responseTimeout + retryPause)
	return search+config.Seconds(workers.HeartbeatS) >= config.Seconds(workers.LeaseS)
}

// servesZone reports whether a controller is alive, not isolated, and in a zone.
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

// peerSurvey says which of the other controllers answer this one.
type peerSurvey struct {
	reachesState string   // label of one that answers and reaches the state service, if any
	zoneAnswers  bool     // another controller of this zone answers
	silentInZone []string // labels of the controllers of this zone that do not answer
	inOtherZones int      // number of controllers of other zones
	silentPeers  int      // number of controllers that do not answer, in any zone
}

// surveyPeers looks at the other controllers. It stops at the first one that reaches the state
// service, or answers and is in this zone: the rest of the survey is then not needed.
func (r *Router) surveyPeers(now time.Time) peerSurvey {
	var survey peerSurvey
	for _, p := range r.settings.Peers {
		contact := r.peers.Contact(p.Label)
		answers := contact.Answers(now)
		switch {
		case answers && contact.ReachesStateService(now):
			survey.reachesState = p.Label
			return survey
		case p.Zone != r.settings.Zone:
			survey.inOtherZones++
		case answers:
			survey.zoneAnswers = true
			return survey
		default:
			survey.silentInZone = append(survey.silentInZone, p.Label)
		}
		if !answers {
			survey.silentPeers++
		}
	}
	return survey
}

// BetterControllerLocked returns whether a worker is to leave this controller because the state
// service is out of its reach, and the label of the controller to try, empty if the worker is to
// search for one itself.
//
// A controller that reaches the state service is best, since the machine's shard probably has
// another owner by now. If this controller reaches no other, its workers may be as isolated as
// it is, or not. Each worker is then sent away once: to a controller of this zone
// that does not answer this one or, if this controller is alone in its zone, to search for one if
// its lease is long enough for the search. A worker that comes back stays. Workers also stay if the state
// service is out of reach of all controllers, and in a partitioned zone with several
// controllers: no other controller is better then.
func (r *Router) BetterControllerLocked(machine string, now time.Time) (to string, leave bool) {
	if !r.process.ActiveJobsStaleLocked(now) || r.lease.Current().CertainlyValid(now) {
		return "", false
	}
	survey := r.surveyPeers(now)
	if survey.reachesState != "" {
		return survey.reachesState, true
	}
	if survey.zoneAnswers {
		return "", false
	}
	return r.sendToSearch(machine, survey, now)
}

// sendToSearch decides whether a worker is to search for another controller, and records its
// report and the search. The results are as of BetterControllerLocked.
func (r *Router) sendToSearch(machine string, survey peerSurvey, now time.Time) (to string, leave bool) {
	workers := r.settings.Params.Workers
	lease, interval := config.Seconds(workers.LeaseS), config.Seconds(workers.HeartbeatS)
	s, known := r.searches[machine]
	if !known && len(r.searches) >= MaxRemembered {
		return "", false
	}
	lastReport := s.reportedAt
	s.reportedAt = now
	r.searches[machine] = s
	// A worker that has just come may have spent most of its lease looking for this
	// controller: it is sent away only after it has received a response here.
	if survey.silentPeers == 0 || now.Sub(lastReport) > 2*interval || now.Sub(s.sentAt) < searchAgainLeases*lease {
		return "", false
	}
	if len(survey.silentInZone) > 0 {
		to = chooseByHash(survey.silentInZone, machine)
	} else if time.Duration(survey.inOtherZones)*(responseTimeout+retryPause)+2*interval > lease {
		return "", false
	}
	s.sentAt = now
	r.searches[machine] = s
	return to, true
}
