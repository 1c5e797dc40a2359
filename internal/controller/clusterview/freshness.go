package clusterview

import (
	"sync"
	"time"
)

// freshness tells how recent a view is. It is embedded in each view.
type freshness struct {
	mu       sync.Mutex
	asOf     time.Time
	revision uint64
}

// AsOf returns a time since which the view has been true or at which it became
// so; it is zero before the records were first listed.
func (f *freshness) AsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}

// Loaded reports whether the records were listed at all.
func (f *freshness) Loaded() bool { return !f.AsOf().IsZero() }

// SetAsOf records that the view was true at a time or later.
func (f *freshness) SetAsOf(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf = at
}

// Revision returns the revision of the state service that the view has reached.
func (f *freshness) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// SetRevision records the revision that the view has reached.
func (f *freshness) SetRevision(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = revision
}

// forget makes the view one that was never listed.
func (f *freshness) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf, f.revision = time.Time{}, 0
}
