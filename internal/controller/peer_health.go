package controller

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// peerFresh is how old a sign of another controller may be to count.
	peerFresh = 3 * time.Second
	// unreachableAfter is how long another controller may leave calls unanswered before
	// it counts as out of reach.
	unreachableAfter = 6 * time.Second
)

// peerContact is what calls to another controller have shown of it. The zero value is a
// controller that was never called.
type peerContact struct {
	answeredAt     time.Time // last answer
	answeringSince time.Time // answers without a failure since; zero: the last call failed
	// refusedAt is when the peer last refused a connection: it is dead, or connections
	// between controllers are refused.
	refusedAt      time.Time
	stateReachedAt time.Time // last answer that said that the peer reaches the state service
}

// answeredWithin reports whether the peer answered less than d ago.
func (p peerContact) answeredWithin(d time.Duration, now time.Time) bool {
	return now.Sub(p.answeredAt) < d
}

// reachable reports whether the peer answered before it would count as out of reach.
func (p peerContact) reachable(now time.Time) bool {
	return p.answeredWithin(unreachableAfter, now)
}

// answers reports whether the peer answered lately.
func (p peerContact) answers(now time.Time) bool {
	return p.answeredWithin(peerFresh, now)
}

// reachesState reports whether the peer lately said that it reaches the state service.
func (p peerContact) reachesState(now time.Time) bool {
	return now.Sub(p.stateReachedAt) < peerFresh
}

// refuses reports whether the peer lately refused a connection.
func (p peerContact) refuses(now time.Time) bool {
	return now.Sub(p.refusedAt) < peerFresh
}

// answeringFor returns how long the peer has answered every call.
func (p peerContact) answeringFor(now time.Time) time.Duration {
	if p.answeringSince.IsZero() {
		return 0
	}
	return now.Sub(p.answeringSince)
}

// peerHealth keeps the contacts with the other controllers, by label, under a lock of
// its own, which is a leaf.
type peerHealth struct {
	mu       sync.Mutex
	contacts map[string]peerContact
}

func newPeerHealth() *peerHealth {
	return &peerHealth{contacts: map[string]peerContact{}}
}

// contact returns what is known of a peer.
func (h *peerHealth) contact(label string) peerContact {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contacts[label]
}

// called takes in the outcome of a call to a peer: its error, or else whether the peer
// said that it reaches the state service.
func (h *peerHealth) called(label string, err error, stateReached bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.contacts[label]
	switch {
	case err != nil:
		p.answeringSince = time.Time{}
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.refusedAt = now
		}
	default:
		p.answeredAt = now
		if p.answeringSince.IsZero() {
			p.answeringSince = now
		}
		if stateReached {
			p.stateReachedAt = now
		}
	}
	h.contacts[label] = p
}

// refused takes in that a peer refused a connection for a report, which says nothing of
// calls of other kinds.
func (h *peerHealth) refused(label string) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.contacts[label]
	p.refusedAt = now
	h.contacts[label] = p
}
