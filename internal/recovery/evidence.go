package recovery

import (
	"maps"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/wire"
)

// Source is the origin of a piece of evidence.
type Source string

// Sources.
const (
	FromStore      Source = "store"
	FromController Source = "controller"
	FromSnapshot   Source = "snapshot"
	FromHeartbeat  Source = "report"
	FromOperator   Source = "operator"
)

// Heartbeats holds the newest heartbeat of each worker, by machine.
type Heartbeats map[string]wire.Heartbeat

// Add keeps a heartbeat if it is newer than the one that is held. Heartbeats may arrive late, twice
// and out of order.
func (h Heartbeats) Add(r *wire.Heartbeat) {
	if old, ok := h[r.Machine]; !ok || reconcile.PositionOf(r).After(reconcile.PositionOf(&old)) {
		h[r.Machine] = *r
	}
}

// ActiveJob is an active job in a controller's view.
type ActiveJob struct {
	Version   uint64 // of its active record
	Cancelled bool
}

// View is a controller's view of all active jobs, up to a revision; 0: the controller had no view.
type View struct {
	Revision uint64
	Open     map[string]ActiveJob // by the reference of the job
}

// Evidence is all that was gathered about a cluster in safe mode.
type Evidence struct {
	Mode     SafeMode
	Revision uint64                // of the store, when it was read
	Store    map[string]wire.Entry // the records in the store, by key
	// Held has the newest records that controllers hold, by key, and View is the latest of their views.
	Held map[string]wire.Entry
	View View
	// Snapshot has the records of the snapshot, by key. It is empty if there is no snapshot.
	Snapshot         map[string]wire.Entry
	SnapshotRevision uint64
	Heartbeats       Heartbeats
	Listed           map[string]wire.ListedMachine // machines that the cloud lists, by ID
	Decisions        map[string]Decision           // of operators, by the key of the record
}

// AddHeld adds records that a controller holds, and keeps the newest by key. Version 0 is that of a
// record whose version is not known, as it never changes.
func (e *Evidence) AddHeld(held []wire.Entry) {
	if e.Held == nil {
		e.Held = map[string]wire.Entry{}
	}
	for _, entry := range held {
		if old, ok := e.Held[entry.Key]; !ok || entry.Version > old.Version {
			e.Held[entry.Key] = entry
		}
	}
}

// newest returns the newest copy of a record and its source, and false if there is no copy. Of copies
// with the same version the one in the store is preferred, then that of a controller: controllers saw
// changes for which a snapshot may be too old.
func (e *Evidence) newest(key string) (wire.Entry, Source, bool) {
	best, from, ok := e.Store[key], FromStore, false
	_, ok = e.Store[key]
	if h, held := e.Held[key]; held && (!ok || h.Version > best.Version) {
		best, from, ok = h, FromController, true
	}
	if s, kept := e.Snapshot[key]; kept && (!ok || s.Version > best.Version) {
		best, from, ok = s, FromSnapshot, true
	}
	return best, from, ok
}

// keys returns the keys of all records of which there is a copy.
func (e *Evidence) keys() map[string]bool {
	out := map[string]bool{}
	for _, records := range []map[string]wire.Entry{e.Store, e.Held, e.Snapshot} {
		for key := range maps.Keys(records) {
			out[key] = true
		}
	}
	return out
}
