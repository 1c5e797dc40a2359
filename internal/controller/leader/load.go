package leader

import (
	"maps"
	"sync"
	"time"

	"bramblespur/internal/controller/membership"
)

// loadValidFor is how long a controller's report of its load is valid.
const loadValidFor = membership.PeerContactValidFor

// Load is a controller's report of its own load.
type Load struct {
	At         time.Time // when the report was received
	Recovering bool      // the controller does not keep up with its work, or has only just begun to
	HasRoom    bool      // the controller could carry another shard
}

// keepsUp reports whether the controller keeps up with its work, so that its shards may be
// transferred back to it.
func (l Load) keepsUp(now time.Time) bool { return now.Sub(l.At) < loadValidFor && !l.Recovering }

// hasRoom reports whether the controller could carry another shard.
func (l Load) hasRoom(now time.Time) bool { return now.Sub(l.At) < loadValidFor && l.HasRoom }

// Loads holds the loads that the peers last reported to the leader. Its lock is a leaf: it may be
// taken while the shards' lock is held.
type Loads struct {
	mu      sync.Mutex
	byLabel map[string]Load
}

// Record stores the load that a peer reported, in place of its last one.
func (l *Loads) Record(label string, load Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byLabel == nil {
		l.byLabel = map[string]Load{}
	}
	l.byLabel[label] = load
}

// all returns a copy of the loads by label, which the caller may change.
func (l *Loads) all() map[string]Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byLabel == nil {
		return map[string]Load{}
	}
	return maps.Clone(l.byLabel)
}
