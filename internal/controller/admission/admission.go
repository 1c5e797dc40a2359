// Package admission bounds the number of users' requests that a controller serves at a time. A
// request that cannot be admitted is answered at once with the time after which to repeat it.
// Nothing is queued.
package admission

import (
	"sync"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
)

const (
	// requestsPerMB is how many requests are served at a time for each MB of memory: a
	// request of the largest size takes half a MB with its copies.
	requestsPerMB = 2
	// minRequests is how many requests are served at a time however little memory there is.
	minRequests = 20
	// MaxQueriesBehind is how many status queries are served at a time while the process
	// is behind.
	MaxQueriesBehind = 4
)

// Limiter counts the requests being served. It is safe for concurrent use; its lock is a leaf.
type Limiter struct {
	maxRequests int
	behind      func() bool // reports whether the process is behind; takes no lock but its own

	mu       sync.Mutex
	requests int // being served
	queries  int // the status queries among them
}

// NewLimiter returns a Limiter for a process with resources r. The function behind reports whether
// the process is behind; it is called without the Limiter's lock held.
func NewLimiter(r config.Resources, behind func() bool) *Limiter {
	forMemory := int((r.MemoryMB - config.NonRuntimeMB) * requestsPerMB)
	return &Limiter{maxRequests: max(minRequests, forMemory), behind: behind}
}

// Admit reports whether a request may be served, and if so counts it until Release is called, which
// the caller must do once the request is answered.
func (l *Limiter) Admit(req httpwire.Request) bool {
	behind := l.behind()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests >= l.maxRequests {
		return false
	}
	if isQuery(req) {
		if behind && l.queries >= MaxQueriesBehind {
			return false
		}
		l.queries++
	}
	l.requests++
	return true
}

// Release records that an admitted request has been answered.
func (l *Limiter) Release(req httpwire.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests--
	if isQuery(req) {
		l.queries--
	}
}

// isQuery reports whether a request is a status query.
func isQuery(req httpwire.Request) bool { return req.Method == "GET" }
