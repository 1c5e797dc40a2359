package wire

import (
	"encoding/json"
)

// Entry is a key of the store with its value, version and lease.
type Entry struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"notch"`
	Lease   uint64          `json:"tether,omitempty"`
}

// Change returns the change that wrote the entry.
func (e Entry) Change() Change {
	return Change{Put: e.Key, Value: e.Value, Version: e.Version}
}

// EntryPage is one page of entries.
type EntryPage struct {
	Items    []Entry `json:"entries"`
	More     bool    `json:"truncated"`
	Revision uint64  `json:"ring"`
}

// Condition compares the version of a key; 0 is that of a key that does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"notch"`
}

// Op is one write of a transaction: a put or a delete.
type Op struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"tether,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// Txn is a transaction: all of Then is applied if all of If holds, else nothing.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Op        `json:"then"`
}

// TxnResult is the outcome of a transaction: its revision, or the conditions that failed.
type TxnResult struct {
	Revision uint64   `json:"ring"`
	Failed   []string `json:"failed,omitempty"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// LeaseGrant is a new lease.
type LeaseGrant struct {
	Lease uint64 `json:"tether"`
}

// Change is one event of a watch.
type Change struct {
	Put     string          `json:"put"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"notch"`
	Delete  string          `json:"remove"`
}

// Changes are the events after a revision, up to Revision.
type Changes struct {
	Revision uint64   `json:"ring"`
	Events   []Change `json:"news"`
}
