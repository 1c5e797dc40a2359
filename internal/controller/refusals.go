package controller

import (
	"log/slog"
	"sync"
	"time"
)

// refusals logs what is refused since it makes no sense: once for each kind and
// sender, so that a sender that goes on doing so can't fill the log.
type refusals struct {
	mu    sync.Mutex
	since time.Time // when told was begun
	told  map[refusal]bool
}

// refusal is what was refused and who sent it.
type refusal struct{ kind, sender string }

const (
	// tellAgain is after how long the same is logged once more.
	tellAgain = time.Hour
	// maxTold bounds the lines in that time and the memory for it: a sender may use any
	// number of names.
	maxTold = 256
	// maxSender bounds the bytes of a sender's name in the log.
	maxSender = 64
)

// tell logs a refusal, unless it was logged before.
func (r *refusals) tell(log *slog.Logger, kind, sender string, err error) {
	k := refusal{kind, sender[:min(len(sender), maxSender)]}
	if r.isNew(k, time.Now()) {
		log.Warn("refused", "kind", kind, "from", k.sender, "err", err)
	}
}

// isNew reports whether a refusal is to be logged, and takes it in.
func (r *refusals) isNew(k refusal, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.since) > tellAgain {
		r.since, r.told = now, map[refusal]bool{}
	}
	if r.told[k] || len(r.told) >= maxTold {
		return false
	}
	r.told[k] = true
	return true
}
