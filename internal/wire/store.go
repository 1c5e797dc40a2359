package wire

import (
	"encoding/json"
)

// Entry is a key of the state service with its value, its version and the lease it is attached to, 0
// if none.
type Entry struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"notch"`
	Lease   uint64          `json:"tether,omitempty"`
}

// Change returns the watch event for the write of the entry.
func (e Entry) Change() Change {
	return Change{Put: e.Key, Value: e.Value, Version: e.Version}
}

// EntryPage is one page of a listing, which was read at Revision. More is set if further pages follow.
type EntryPage struct {
	Items    []Entry `json:"entries"`
	More     bool    `json:"truncated"`
	Revision uint64  `json:"ring"`
}

// Condition holds if the key has this version; the version of a key that does not exist is 0.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"notch"`
}

// Op is one write of a transaction: it puts Value under the key Put, attached to Lease if that is not
// 0, or deletes the key Delete.
type Op struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"tether,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// Txn is a transaction: all writes in Then are applied if all conditions in If hold, otherwise none.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Op        `json:"then"`
}

// TxnResult is the outcome of a transaction: its revision, or the keys whose conditions failed.
type TxnResult struct {
	Revision uint64   `json:"ring"`
	Failed   []string `json:"failed,omitempty"`
}

// LeaseRequest asks for a lease that expires after this time unless it is renewed.
type LeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// LeaseGrant returns the ID of a new lease.
type LeaseGrant struct {
	Lease uint64 `json:"tether"`
}

// Change is one event of a watch: Put is the key written, with its Value and Version, or Delete the
// key deleted.
type Change struct {
	Put     string          `json:"put"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"notch"`
	Delete  string          `json:"remove"`
}

// Changes is the response to a watch: the events after the requested revision, up to Revision.
type Changes struct {
	Revision uint64   `json:"ring"`
	Events   []Change `json:"news"`
}
