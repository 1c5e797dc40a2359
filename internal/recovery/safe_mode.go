// Package recovery holds the rules for a state service that has lost data. It distinguishes lost
// data from ordinary changes, keeps the safe mode on which all controllers agree after a loss, and
// plans how the records are restored from the evidence that is left. The package is pure.
package recovery

import (
	"fmt"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Keys of the records of this package.
const (
	Prefix      = "ctl/recovery/"
	SafeModeKey = Prefix + "safe-mode"
)

// FindingKind is the kind of a finding.
type FindingKind string

// Kinds of findings. None of them occurs as long as the state service keeps the writes that it has
// confirmed.
const (
	RevisionRegressed FindingKind = "revision fell"
	TokenAheadOfStore FindingKind = "token ahead of the store"
	RecordMissing     FindingKind = "record gone"
	RecordStale       FindingKind = "record older"
)

// Finding is evidence that the state service has lost data.
type Finding struct {
	Kind FindingKind `json:"kind"`
	// Key is the key of the record that is missing or stale, the task or machine without a record,
	// or the machine that has the token. It is empty if the revision regressed.
	Key string `json:"key,omitempty"`
	// Held is the version, revision, token or attempt that was known before, and Found what the
	// store has now; 0: nothing.
	Held  uint64 `json:"held"`
	Found uint64 `json:"found"`
}

// String describes the finding in one line.
func (f Finding) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s: %d, was %d", f.Kind, f.Found, f.Held)
	}
	return fmt.Sprintf("%s: %s is at %d, was %d", f.Kind, f.Key, f.Found, f.Held)
}

// CompareVersions compares the version of a record in the store with the version that was held. A
// record can only become newer, so a lower version is a finding and CompareVersions returns true.
// Found is 0 if the record is missing.
func CompareVersions(key string, held, found uint64) (Finding, bool) {
	switch {
	case found >= held:
		return Finding{}, false
	case found == 0:
		return Finding{RecordMissing, key, held, 0}, true
	}
	return Finding{RecordStale, key, held, found}, true
}

// SafeMode is the record by which controllers agree that nothing may be done until operators have
// recovered the state service's data.
type SafeMode struct {
	Active bool `json:"active"`
	// Epoch is the number of safe modes so far. A controller in safe mode leaves it once the record
	// says that this epoch or a later one has ended.
	Epoch int     `json:"epoch"`
	Since int64   `json:"since"` // when it began, in Unix milliseconds
	By    string  `json:"by"`    // label of the controller that began it
	Sign  Finding `json:"sign"`  // the finding for which it began
	// Floor is the highest revision or token that was seen. The store's revision must be above it
	// before a command is sent.
	Floor uint64 `json:"floor"`
	Ended int64  `json:"ended,omitempty"` // in Unix milliseconds; 0: not ended
}

// SafeModeState is one controller's copy of the latest safe mode. Each controller keeps its own, even
// if the record is lost. It is not safe for concurrent use.
type SafeModeState struct {
	mode SafeMode
}

// Active reports whether the safe mode is active, so that nothing may be done.
func (h *SafeModeState) Active() bool { return h.mode.Active }

// Mode returns the latest safe mode, which may have ended.
func (h *SafeModeState) Mode() SafeMode { return h.mode }

// Begin begins a safe mode for a finding, and reports false if one is active already. The label is
// that of this controller.
func (h *SafeModeState) Begin(label string, f Finding, floor uint64, nowMillis int64) (began bool) {
	if h.mode.Active {
		return false
	}
	h.mode = SafeMode{Active: true, Epoch: h.mode.Epoch + 1, Since: nowMillis, By: label, Sign: f, Floor: max(floor, f.Held)}
	return true
}

// RaiseFloor raises the floor to a revision or token that was seen, unless it is higher already.
func (h *SafeModeState) RaiseFloor(floor uint64) { h.mode.Floor = max(h.mode.Floor, floor) }

// ApplyRecord applies the present record, nil if there is none. It reports whether a safe mode began
// or ended for this controller.
func (h *SafeModeState) ApplyRecord(r *SafeMode) (began, ended bool) {
	switch {
	case r == nil || r.Epoch < h.mode.Epoch:
		return false, false // the record is lost, or not written yet: the own copy counts
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

// RecordUpdate returns the transaction that brings the present record r, nil if there is none, up to
// date with an active safe mode. It returns false if the record is not behind.
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
