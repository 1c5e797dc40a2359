// Package admission bounds the users' requests that a controller serves at a time. What can't
// be admitted is answered at once with when to come back; nothing is queued.
package admission

import (
	"sync"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
)

const (
	// requestsPerMB is how many requests are served at a time for each MB of memory: one
	// of the largest size takes half of that with its copies.
	requestsPerMB = 2
	minRequests   = 20
	// MaxQueriesBehind is how many status queries are served at a time while the process
	// falls behind.
	MaxQueriesBehind = 4
)

// Limiter counts the requests being served. It is safe for concurrent use; its lock is a leaf.
type Limiter struct {
	maxRequests int
	behind      func() bool // whether the process falls behind; takes no lock but its own

	mu       sync.Mutex
	requests int
	queries  int // those of them that only ask for a status
}

// NewLimiter returns a limiter for a process with certain resources.
func NewLimiter(r config.Resources, behind func() bool) *Limiter {
	most := int((r.MemoryMB - config.NonRuntimeMB) * requestsPerMB)
	return &Limiter{maxRequests: max(minRequests, most), behind: behind}
}

// Admit admits a request unless there are too many. An admitted one must be released.
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

// Release records that an admitted request was answered.
func (l *Limiter) Release(req httpwire.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests--
	if isQuery(req) {
		l.queries--
	}
}

func isQuery(req httpwire.Request) bool { return req.Method == "GET" }
