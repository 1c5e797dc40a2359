package membership

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"bramblespur/internal/peer"
)

const (
	// PeerContactValidFor is how long the outcome of a call to another controller is taken
	// to describe its present state.
	PeerContactValidFor = 3 * time.Second
	// unreachableAfter is how long after its last answer another controller counts as out
	// of reach.
	unreachableAfter = 6 * time.Second
	// PingTimeout is the timeout of a short call to another controller.
	PingTimeout = 900 * time.Millisecond
)

// PeerContact summarizes the outcomes of calls to another controller. The zero value is that
// of a controller that was never called.
type PeerContact struct {
	answeredAt     time.Time // time of the last answer
	answeringSince time.Time // since when every call was answered; zero: the last call failed
	// refusedAt is when the peer last refused a connection: it is dead, or connections
	// between controllers are refused.
	refusedAt             time.Time
	stateServiceReachedAt time.Time // time of the last answer by which the peer reaches the state service
}

// AnsweredWithin reports whether the peer answered less than d ago.
func (p PeerContact) AnsweredWithin(d time.Duration, now time.Time) bool {
	return now.Sub(p.answeredAt) < d
}

// Reachable reports whether the peer answered recently enough not to count as out of reach.
func (p PeerContact) Reachable(now time.Time) bool {
	return p.AnsweredWithin(unreachableAfter, now)
}

// Answers reports whether the peer answered within PeerContactValidFor.
func (p PeerContact) Answers(now time.Time) bool {
	return p.AnsweredWithin(PeerContactValidFor, now)
}

// ReachesStateService reports whether the peer answered within PeerContactValidFor that it
// reaches the state service.
func (p PeerContact) ReachesStateService(now time.Time) bool {
	return now.Sub(p.stateServiceReachedAt) < PeerContactValidFor
}

// Refuses reports whether the peer refused a connection within PeerContactValidFor.
func (p PeerContact) Refuses(now time.Time) bool {
	return now.Sub(p.refusedAt) < PeerContactValidFor
}

// AnsweringFor returns for how long the peer has answered every call; 0 if the last call
// failed.
func (p PeerContact) AnsweringFor(now time.Time) time.Duration {
	if p.answeringSince.IsZero() {
		return 0
	}
	return now.Sub(p.answeringSince)
}

// PeerHealth holds the contacts with the other controllers. It is safe for concurrent use; its
// lock is a leaf, below the shards' lock.
type PeerHealth struct {
	mu       sync.Mutex
	contacts map[string]PeerContact // by label
}

// NewPeerHealth returns the PeerHealth of a process that has not called any peer yet.
func NewPeerHealth() *PeerHealth {
	return &PeerHealth{contacts: map[string]PeerContact{}}
}

// Contact returns the contact with a peer; zero if the peer was never called.
func (h *PeerHealth) Contact(label string) PeerContact {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contacts[label]
}

// RecordCall records the outcome of a call to a peer that ended at the time now: its error or,
// without an error, whether the peer answered that it reaches the state service.
func (h *PeerHealth) RecordCall(label string, err error, reachesStateService bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.contacts[label]
	if err != nil {
		p.callFailed(err, now)
	} else {
		p.callAnswered(reachesStateService, now)
	}
	h.contacts[label] = p
}

// RecordRefusal records that a peer refused a connection for a relayed heartbeat. It leaves
// the outcomes of other calls as they are.
func (h *PeerHealth) RecordRefusal(label string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.contacts[label]
	p.refusedAt = now
	h.contacts[label] = p
}

func (p *PeerContact) callFailed(err error, now time.Time) {
	p.answeringSince = time.Time{}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.refusedAt = now
	}
}

func (p *PeerContact) callAnswered(reachesStateService bool, now time.Time) {
	p.answeredAt = now
	if p.answeringSince.IsZero() {
		p.answeringSince = now
	}
	if reachesStateService {
		p.stateServiceReachedAt = now
	}
}

// Ping asks all peers at once whether they reach the state service, and records the outcome of
// each call. It returns when all calls have ended, after PingTimeout at the latest.
func (h *PeerHealth) Ping(from string, peers map[string]peer.Caller) {
	var wg sync.WaitGroup
	for label, caller := range peers {
		wg.Go(func() {
			var reachesStateService bool
			err := caller.Call("Ping", from, &reachesStateService, PingTimeout)
			h.RecordCall(label, err, reachesStateService, time.Now())
		})
	}
	wg.Wait()
}
