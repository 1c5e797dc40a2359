package leader

import (
	"maps"
	"sync"
	"time"

	"bramblespur/internal/controller/membership"
)

// loadValidFor is how old a controller's word on its load may be to count.
const loadValidFor = membership.PeerFreshFor

// Load is what a controller says of its own load.
type Load struct {
	At         time.Time
	Recovering bool // it does not keep up, or has not done so for long
	HasRoom    bool // it could carry another shard
}

// keepsUp reports whether the controller may have its shards back.
func (l Load) keepsUp(now time.Time) bool { return now.Sub(l.At) < loadValidFor && !l.Recovering }

// hasRoom reports whether the controller could carry another shard.
func (l Load) hasRoom(now time.Time) bool { return now.Sub(l.At) < loadValidFor && l.HasRoom }

// Loads is what the peers last told the leader of their load. Its lock is a leaf: it may be
// taken while the shards' lock is held.
type Loads struct {
	mu      sync.Mutex
	byLabel map[string]Load
}

// Record takes in what a peer told.
func (l *Loads) Record(label string, load Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byLabel == nil {
		l.byLabel = map[string]Load{}
	}
	l.byLabel[label] = load
}

// all returns a copy that may be changed.
func (l *Loads) all() map[string]Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byLabel == nil {
		return map[string]Load{}
	}
	return maps.Clone(l.byLabel)
}
