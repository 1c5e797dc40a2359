// Package rejectlog logs the messages and requests that a controller rejects as malformed:
// once for each kind and sender within an hour, so that a sender that keeps sending them
// can't fill the log.
package rejectlog

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// window is how long the same kind and sender are not logged again.
	window = time.Hour
	// maxPerWindow bounds the lines in that time and the memory for them: a sender may
	// use any number of names.
	maxPerWindow = 256
	// maxSenderBytes bounds the length of a sender's name in the log.
	maxSenderBytes = 64
)

// Log writes each kind of rejection once per sender and window. It is safe for concurrent
// use; its lock is a leaf.
type Log struct {
	logger *slog.Logger

	mu          sync.Mutex
	windowStart time.Time
	logged      map[rejection]bool // since windowStart
}

// rejection is what was rejected and who sent it.
type rejection struct{ kind, sender string }

// New returns a log of rejections that writes to a logger.
func New(logger *slog.Logger) *Log { return &Log{logger: logger} }

// Reject logs that a message of a kind was rejected, unless that was logged lately.
func (l *Log) Reject(kind, sender string, err error) {
	r := rejection{kind, sender[:min(len(sender), maxSenderBytes)]}
	if l.firstOccurrence(r, time.Now()) {
		l.logger.Warn("rejected", "kind", kind, "from", r.sender, "err", err)
	}
}

// firstOccurrence reports whether a rejection is new in its window, and remembers it.
func (l *Log) firstOccurrence(r rejection, now time.Time) bool {
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
