// Package recovery is pure: it tells a state service that lost data from one that changed,
// holds what controllers agree on while it has, and rebuilds the records from evidence.
package recovery

import (
	"fmt"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Keys of recovery's records.
const (
	Prefix      = "ctl/recovery/"
	SafeModeKey = Prefix + "safe-mode"
)

// FindingKind is a kind of finding.
type FindingKind string

// Findings that tell of lost data. None of them comes about while it keeps what it
// has confirmed.
const (
	RevisionRegressed FindingKind = "revision fell"
	TokenAheadOfStore FindingKind = "token ahead of the store"
	RecordMissing     FindingKind = "record gone"
	RecordStale       FindingKind = "record older"
)

// Finding is evidence that the state service has lost data.
type Finding struct {
	Kind FindingKind `json:"kind"`
	// Key is the record that tells it, if one does, or the machine with the token.
	Key string `json:"key,omitempty"`
	// Held is the version, revision or token that was known, Found what the store has.
	Held  uint64 `json:"held"`
	Found uint64 `json:"found"`
}

// String describes a finding in a line.
func (s Finding) String() string {
	if s.Key == "" {
		return fmt.Sprintf("%s: %d, was %d", s.Kind, s.Found, s.Held)
	}
	return fmt.Sprintf("%s: %s is at %d, was %d", s.Kind, s.Key, s.Found, s.Held)
}

// CompareVersions returns the finding that a record's version gives, if any: what was held of it can only
// have become newer.
func CompareVersions(key string, held, found uint64) (Finding, bool) {
	switch {
	case found >= held:
		return Finding{}, false
	case found == 0:
		return Finding{RecordMissing, key, held, 0}, true
	}
	return Finding{RecordStale, key, held, found}, true
}

// SafeMode is the record by which controllers agree that nothing may be done until the state
// has been recovered.
type SafeMode struct {
	Active bool `json:"active"`
	// Epoch counts losses: who holds a safe mode leaves it once the record tells that this
	// epoch or a later one is over.
	Epoch int     `json:"epoch"`
	Since int64   `json:"since"` // milliseconds
	By    string  `json:"by"`    // who noticed it
	Sign  Finding `json:"sign"`
	// Floor is the highest revision or token that was seen: the store's revision must be
	// above it before an order goes out.
	Floor uint64 `json:"floor"`
	Ended int64  `json:"ended,omitempty"`
}

// SafeModeState is one controller's knowledge of safe modes. It is held by each alone, whatever
// becomes of the record.
type SafeModeState struct {
	mode SafeMode
}

// Active reports whether nothing may be done.
func (h *SafeModeState) Active() bool { return h.mode.Active }

// Mode returns what is held.
func (h *SafeModeState) Mode() SafeMode { return h.mode }

// Begin begins a safe mode for a sign, unless there is one.
func (h *SafeModeState) Begin(label string, s Finding, floor uint64, nowMillis int64) (began bool) {
	if h.mode.Active {
		return false
	}
	h.mode = SafeMode{Active: true, Epoch: h.mode.Epoch + 1, Since: nowMillis, By: label, Sign: s, Floor: max(floor, s.Held)}
	return true
}

// RaiseFloor takes in a revision or token that was seen.
func (h *SafeModeState) RaiseFloor(floor uint64) { h.mode.Floor = max(h.mode.Floor, floor) }

// ApplyRecord takes in the record as it stands, nil if there is none. It reports whether a safe mode
// began or ended here.
func (h *SafeModeState) ApplyRecord(r *SafeMode) (began, ended bool) {
	switch {
	case r == nil || r.Epoch < h.mode.Epoch:
		return false, false // lost, or not written yet: what is held counts
	case r.Active && !h.mode.Active && r.Epoch > h.mode.Epoch:
		h.mode = *r
		return true, false
	case !r.Active && h.mode.Active:
		h.mode = *r
		return false, true
	case r.Epoch > h.mode.Epoch, r.Active == h.mode.Active && r.Floor > h.mode.Floor:
		floor := h.mode.Floor
		h.mode = *r
		h.RaiseFloor(floor)
	}
	return false, false
}

// RecordUpdate returns the transaction that brings the record up to what is held, if it is behind.
func (h *SafeModeState) RecordUpdate(r *SafeMode, version uint64) (wire.Txn, bool) {
	if !h.mode.Active {
		return wire.Txn{}, false
	}
	if r != nil && r.Epoch >= h.mode.Epoch && (!r.Active || r.Floor >= h.mode.Floor) {
		return wire.Txn{}, false
	}
	return wire.Txn{If: []wire.Condition{{Key: SafeModeKey, Version: version}},
		Then: []wire.Op{{Put: SafeModeKey, Value: record.Encode(h.mode)}}}, true
}
