package recovery

import (
	"maps"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/wire"
)

// Source is where a piece of evidence comes from.
type Source string

// Sources.
const (
	FromStore      Source = "store"
	FromController Source = "controller"
	FromSnapshot   Source = "snapshot"
	FromHeartbeat  Source = "report"
	FromOperator   Source = "operator"
)

// Heartbeats are the newest heartbeats of workers, by machine.
type Heartbeats map[string]wire.Heartbeat

// Add keeps a heartbeat if it is newer; late and doubled ones come in any order.
func (rs Heartbeats) Add(r *wire.Heartbeat) {
	if old, ok := rs[r.Machine]; !ok || reconcile.PositionOf(r).After(reconcile.PositionOf(&old)) {
		rs[r.Machine] = *r
	}
}

// ActiveJob is what a controller knows of an unfinished job.
type ActiveJob struct {
	Version   uint64
	Cancelled bool
}

// View is what a controller knew of all unfinished jobs up to a revision; 0: it had none.
type View struct {
	Revision uint64
	Open     map[string]ActiveJob
}

// Evidence is all that is known of a cluster in safe mode.
type Evidence struct {
	Mode     SafeMode
	Revision uint64 // of the store, when it was read
	Store    map[string]wire.Entry
	// Held is the newest of what controllers hold, by key, and View the latest of their views.
	Held map[string]wire.Entry
	View View
	// Snapshot is empty if there is none.
	Snapshot         map[string]wire.Entry
	SnapshotRevision uint64
	Heartbeats       Heartbeats
	Listed           map[string]wire.ListedMachine // the cloud's machines
	Decisions        map[string]Decision           // by key
}

// AddHeld adds the records that a controller holds; version 0 is not known, of one that never
// changes.
func (e *Evidence) AddHeld(all []wire.Entry) {
	if e.Held == nil {
		e.Held = map[string]wire.Entry{}
	}
	for _, h := range all {
		if old, ok := e.Held[h.Key]; !ok || h.Version > old.Version {
			e.Held[h.Key] = h
		}
	}
}

// newest returns the newest of what is known of a record, and where that is from. The store
// goes first, then the controllers: they saw what a snapshot may be too old for.
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

// keys returns all keys of which anything is known.
func (e *Evidence) keys() map[string]bool {
	out := map[string]bool{}
	for _, records := range []map[string]wire.Entry{e.Store, e.Held, e.Snapshot} {
		for key := range maps.Keys(records) {
			out[key] = true
		}
	}
	return out
}
