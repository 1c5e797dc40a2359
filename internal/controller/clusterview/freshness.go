package clusterview

import (
	"sync"
	"time"

	"bramblespur/internal/wire"
)

// freshness records how recent a view is. It is embedded in each view. Its lock is
// a leaf of its own, below that of the view.
type freshness struct {
	mu       sync.Mutex
	asOf     time.Time         // see AsOf
	revision uint64            // see Revision
	deleted  map[string]uint64 // revisions of the deletions after that revision, by key
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
	for key, deletedAt := range f.deleted {
		if deletedAt <= revision {
			delete(f.deleted, key)
		}
	}
}

// noteDeletion records that a key was deleted at a revision, and that the view applied that.
func (f *freshness) noteDeletion(key string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.revision {
		return
	}
	if f.deleted == nil {
		f.deleted = map[string]uint64{}
	}
	f.deleted[key] = max(f.deleted[key], revision)
}

// deletedSince reports whether the view applied a deletion of a key after a revision, ahead of the
// revision that the view has reached.
func (f *freshness) deletedSince(key string, revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deleted[key] > revision
}

// includes reports whether the view has applied a change, or whatever came after it: the change may
// be older than a deletion of its key, of which the view holds no version.
func (f *freshness) includes(change wire.Change) bool {
	return change.Version <= f.Revision() || f.deletedSince(change.Put+change.Delete, change.Version)
}

// forget resets the view to one whose records were never listed.
func (f *freshness) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf, f.revision, f.deleted = time.Time{}, 0, nil
}
