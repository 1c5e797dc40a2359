// Package snapshot copies all records of the key-value store into files, and reads them back.
//
// A snapshot is a directory with one Parquet file for each section, which holds the records
// with one prefix, and a manifest that names the files with their checksums. It appears under
// its name only once it is complete and on disk.
//
// A [Taker] reads the prefixes page by page into a spool beside the snapshots, so that it can resume
// after a crash, and then applies the changes since, up to one revision. The layouts of manifest,
// sections and spool are a contract with other versions, which tests hold by golden files.
package snapshot

import (
	"errors"
	"fmt"
	"time"
)

// Layout is the version of the files' layout that this package writes. It reads no later one.
const Layout = 1

// Manifest describes a snapshot.
type Manifest struct {
	Layout  int       `json:"layout"`
	Cluster string    `json:"cluster"` // whose records these are
	Began   time.Time `json:"began"`
	Taken   time.Time `json:"taken"`
	// Revision is the store's revision as of which the records are.
	Revision uint64 `json:"revision"`
	// Span is set if the records are not all as of one revision.
	Span     *Span     `json:"span,omitempty"`
	Requests int       `json:"requests"` // used to read it
	Sections []Section `json:"sections"`
}

// Span says that the records of a section are each as of some revision between two.
type Span struct {
	From   uint64 `json:"from"`
	To     uint64 `json:"to"`
	Reason string `json:"reason"`
}

// Section is a file of a snapshot.
type Section struct {
	Prefix  string `json:"prefix"`
	File    string `json:"file"`
	Records int    `json:"records"`
	Bytes   int64  `json:"bytes"`
	SHA256  string `json:"sha256"`
}

// Errors.
var (
	ErrLocked       = errors.New("another snapshot is being taken in this directory")
	ErrExists       = errors.New("a snapshot of this name exists")
	ErrUnknown      = errors.New("no such snapshot")
	ErrOtherCluster = errors.New("the snapshot is of another cluster")
	ErrNewerLayout  = errors.New("the snapshot's layout is newer than this version")
)

// DamageError says which section of a snapshot can't be read, and why.
type DamageError struct {
	Section string // a prefix, or the manifest
	Reason  error
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("section %s is damaged: %v", e.Section, e.Reason)
}

// Unwrap returns the reason.
func (e *DamageError) Unwrap() error { return e.Reason }

// ManifestSection stands for the manifest in a DamageError.
const ManifestSection = "manifest"

// nameLayout is the layout of the time in a snapshot's name.
const nameLayout = "20060102T150405Z"

// Name returns the name of a snapshot's directory, by which snapshots sort by time.
func (m *Manifest) Name() string {
	return fmt.Sprintf("%s-r%d", m.Taken.UTC().Format(nameLayout), m.Revision)
}

// Records is how many records a snapshot holds.
func (m *Manifest) Records() int {
	n := 0
	for _, s := range m.Sections {
		n += s.Records
	}
	return n
}

// Bytes is the size of a snapshot's sections.
func (m *Manifest) Bytes() int64 {
	var n int64
	for _, s := range m.Sections {
		n += s.Bytes
	}
	return n
}
