// Package snapshot copies all records of the key-value store into files, and reads them back.
//
// A snapshot is a directory with one Parquet file for each section, which holds the records
// with one prefix, and a manifest that names the files with their checksums. It appears under
// its name only once it is complete and on disk.
//
// A [Taker] reads the prefixes page by page into a spool beside the snapshots, so that it can resume
// after a crash. Then it applies the changes that were made in the meantime, up to one revision.
//
// Other versions of this package read the same manifests, sections and spools, so that their layouts
// must stay compatible. Tests compare them with golden files.
package snapshot

import (
	"errors"
	"fmt"
	"time"
)

// Layout is the version of the layout in which this package writes snapshots. It does not read
// snapshots of later versions.
const Layout = 1

// Manifest describes a snapshot.
type Manifest struct {
	Layout  int       `json:"layout"`
	Cluster string    `json:"cluster"` // ID of the cluster to which the records belong
	Began   time.Time `json:"began"`   // when reading began, before any interruption
	Taken   time.Time `json:"taken"`   // when all records had been read
	// Revision is the revision of the store whose state the records show.
	Revision uint64 `json:"revision"`
	// Span is set if the records are not all of one revision.
	Span     *Span     `json:"span,omitempty"`
	Requests int       `json:"requests"` // requests of the [Taker.Take] that completed it
	Sections []Section `json:"sections"`
}

// Span says that a snapshot could not be brought to one revision: the records of a section are each as
// they were at some revision between From and To.
type Span struct {
	From   uint64 `json:"from"`
	To     uint64 `json:"to"`
	Reason string `json:"reason"` // for operators
}

// Section describes the file with the records of one prefix.
type Section struct {
	Prefix  string `json:"prefix"`
	File    string `json:"file"`    // its name in the directory of the snapshot
	Records int    `json:"records"` // number of records in the file
	Bytes   int64  `json:"bytes"`   // size of the file
	SHA256  string `json:"sha256"`  // of the file, in hexadecimal
}

// Errors of this package. All but ErrLocked are returned wrapped.
var (
	ErrLocked       = errors.New("another snapshot is being taken in this directory")
	ErrExists       = errors.New("a snapshot of this name exists")
	ErrUnknown      = errors.New("no such snapshot")
	ErrOtherCluster = errors.New("the snapshot is of another cluster")
	ErrNewerLayout  = errors.New("the snapshot's layout is newer than this version")
)

// DamageError is the error for a section of a snapshot that cannot be read, or for its manifest.
type DamageError struct {
	Section string // prefix of the section, or ManifestSection
	Reason  error
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("section %s is damaged: %v", e.Section, e.Reason)
}

// Unwrap returns the reason.
func (e *DamageError) Unwrap() error { return e.Reason }

// ManifestSection is the name of the manifest in a DamageError.
const ManifestSection = "manifest"

// nameLayout is the format of the time in a snapshot's name.
const nameLayout = "20060102T150405Z"

// Name returns the name of the snapshot's directory. It begins with the time, so that names sort by age.
func (m *Manifest) Name() string {
	return fmt.Sprintf("%s-r%d", m.Taken.UTC().Format(nameLayout), m.Revision)
}

// Records returns the number of records in all sections.
func (m *Manifest) Records() int {
	n := 0
	for _, s := range m.Sections {
		n += s.Records
	}
	return n
}

// Bytes returns the size of the files of all sections.
func (m *Manifest) Bytes() int64 {
	var n int64
	for _, s := range m.Sections {
		n += s.Bytes
	}
	return n
}
