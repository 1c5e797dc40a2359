// Package rejectlog logs the messages and requests that a controller rejects. Each kind is
// logged at most once per sender within an hour, so that a sender that keeps sending malformed
// messages cannot fill the log.
package rejectlog

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// window is the time within which a kind is logged at most once per sender.
	window = time.Hour
	// maxPerWindow bounds the lines logged per window and the memory to remember them, since
	// a sender may use any number of names.
	maxPerWindow = 256
	// maxSenderBytes bounds the length of a sender's name in the log, in bytes.
	maxSenderBytes = 64
)

// Log logs each kind of rejection at most once per sender and window. It is safe for concurrent
// use. Its lock is a leaf: no other lock is taken while it is held.
type Log struct {
	logger *slog.Logger

	mu          sync.Mutex
	windowStart time.Time
	logged      map[rejection]bool // the rejections logged since windowStart
}

// rejection is the kind of a rejected message or request and its sender.
type rejection struct{ kind, sender string }

// New returns a Log that has logged nothing yet and writes to a logger.
func New(logger *slog.Logger) *Log { return &Log{logger: logger} }

// Reject logs that a message or request of a kind was rejected with err, unless the kind was
// logged for the sender in this window or the window's lines are used up.
func (l *Log) Reject(kind, sender string, err error) {
	r := rejection{kind, sender[:min(len(sender), maxSenderBytes)]}
	if l.admit(r, time.Now()) {
		l.logger.Warn("rejected", "kind", kind, "from", r.sender, "err", err)
	}
}

// admit reports whether a rejection is to be logged, and then remembers it.
func (l *Log) admit(r rejection, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) > window {
		l.windowStart, l.logged = now, map[rejection]bool{}
	}
	if l.logged[r] || len(l.logged) >= maxPerWindow {
		return false
	}
	l.logged[r] = true
	return true
}
