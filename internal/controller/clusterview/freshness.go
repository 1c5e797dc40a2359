package clusterview

import (
	"sync"
	"time"
)

// freshness records how recent a view is. It is embedded in each view. Its lock is
// a leaf of its own.
type freshness struct {
	mu       sync.Mutex
	asOf     time.Time // see AsOf
	revision uint64    // see Revision
}

// AsOf returns a time such that the view includes all changes made before it. It
// is zero until the records are first listed.
func (f *freshness) AsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}

// Loaded reports whether the records have been listed.
func (f *freshness) Loaded() bool { return !f.AsOf().IsZero() }

// SetAsOf records that the view includes all changes made before a time.
func (f *freshness) SetAsOf(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf = at
}

// Revision returns the revision of the state service that the view has reached: it
// includes all changes up to it. It is 0 until the records are first listed.
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

// forget resets the view to one whose records were never listed.
func (f *freshness) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf, f.revision = time.Time{}, 0
}
