package membership

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"bramblespur/internal/peer"
)

const (
	// PeerContactValidFor is how old a sign of another controller may be to count.
	PeerContactValidFor = 3 * time.Second
	// unreachableAfter is how long another controller may leave calls unanswered before
	// it counts as out of reach.
	unreachableAfter = 6 * time.Second
	// PingTimeout is how long a short call to another controller may take.
	PingTimeout = 900 * time.Millisecond
)

// PeerContact is what calls to another controller have shown of it. The zero value is a
// controller that was never called.
type PeerContact struct {
	answeredAt     time.Time // last answer
	answeringSince time.Time // answers without a failure since; zero: the last call failed
	// refusedAt is when the peer last refused a connection: it is dead, or connections
	// between controllers are refused.
	refusedAt             time.Time
	stateServiceReachedAt time.Time // last answer that said that the peer reaches it
}

// AnsweredWithin reports whether the peer answered less than d ago.
func (p PeerContact) AnsweredWithin(d time.Duration, now time.Time) bool {
	return now.Sub(p.answeredAt) < d
}

// Reachable reports whether the peer answered before it would count as out of reach.
func (p PeerContact) Reachable(now time.Time) bool {
	return p.AnsweredWithin(unreachableAfter, now)
}

// Answers reports whether the peer answered lately.
func (p PeerContact) Answers(now time.Time) bool {
	return p.AnsweredWithin(PeerContactValidFor, now)
}

// ReachesStateService reports whether the peer lately said that it reaches the state
// service.
func (p PeerContact) ReachesStateService(now time.Time) bool {
	return now.Sub(p.stateServiceReachedAt) < PeerContactValidFor
}

// Refuses reports whether the peer lately refused a connection.
func (p PeerContact) Refuses(now time.Time) bool {
	return now.Sub(p.refusedAt) < PeerContactValidFor
}

// AnsweringFor returns how long the peer has answered every call.
func (p PeerContact) AnsweringFor(now time.Time) time.Duration {
	if p.answeringSince.IsZero() {
		return 0
	}
	return now.Sub(p.answeringSince)
}

// PeerHealth keeps the contacts with the other controllers, by label. Its lock is a leaf,
// below the shards' lock.
type PeerHealth struct {
	mu       sync.Mutex
	contacts map[string]PeerContact
}

// NewPeerHealth returns the contacts of a process that has called nobody yet.
func NewPeerHealth() *PeerHealth {
	return &PeerHealth{contacts: map[string]PeerContact{}}
}

// Contact returns what is known of a peer.
func (h *PeerHealth) Contact(label string) PeerContact {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contacts[label]
}

// RecordCall records the outcome of a call to a peer that ended at a time: its error, or
// else whether the peer said that it reaches the state service.
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

// RecordRefusal records that a peer refused a connection for a relayed heartbeat, which
// says nothing of calls of other kinds.
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

// Ping asks each peer whether it reaches the state service and records who answers.
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
