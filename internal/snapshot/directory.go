package snapshot

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// lockName is the file that is locked while snapshots are taken or pruned in its directory.
const lockName = ".lock"

// lock prevents other processes from taking or pruning snapshots in a directory until unlock is
// called or this process ends. It returns ErrLocked if another process holds the lock.
func lock(directory string) (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(directory, lockName), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err != nil {
		file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("lock %s: %w", directory, err)
	}
	return func() { file.Close() }, nil
}

// Listing is the entry of one snapshot in the list of a directory.
type Listing struct {
	Name     string    `json:"name"`
	Manifest *Manifest `json:"manifest,omitempty"` // nil if it cannot be used
	// Invalid is the error for which the manifest cannot be used. It is empty if there is none.
	Invalid string `json:"invalid,omitempty"`
}

// List returns the complete snapshots in a directory, with the oldest first. Only their manifests are
// read; a snapshot with an invalid manifest is listed with the error.
func List(directory string) ([]Listing, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	out := []Listing{}
	for _, e := range entries {
		if !e.IsDir() || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		l := Listing{Name: e.Name()}
		if l.Manifest, err = ReadManifest(directory, e.Name()); err != nil {
			l.Invalid = err.Error()
		}
		out = append(out, l)
	}
	return out, nil // ReadDir sorts by name, and names begin with their time
}

// Retention says which snapshots are kept: the newest ones, and the last one of each recent day.
type Retention struct {
	Latest int // how many of the newest snapshots are kept, 1 at least
	Days   int // for how many times 24 hours the last snapshot of each UTC day is kept, too
}

// Check returns an error if Latest or Days is too low.
func (r Retention) Check() error {
	if r.Latest < 1 {
		return fmt.Errorf("keep is %d, want 1 at least", r.Latest)
	}
	if r.Days < 0 {
		return fmt.Errorf("keep-days is %d, want 0 at least", r.Days)
	}
	return nil
}

// Expired returns the names of the snapshots in a list that are not to be kept; the list has the oldest
// first. Snapshots with invalid manifests neither expire nor count.
func (r Retention) Expired(all []Listing, now time.Time) []string {
	usable := slices.DeleteFunc(slices.Clone(all), func(l Listing) bool { return l.Manifest == nil })
	keep := map[string]bool{}
	for _, l := range usable[max(0, len(usable)-r.Latest):] {
		keep[l.Name] = true
	}
	lastOfDay := map[string]string{}
	for _, l := range usable {
		if now.Sub(l.Manifest.Taken) < time.Duration(r.Days)*24*time.Hour {
			lastOfDay[l.Manifest.Taken.UTC().Format(time.DateOnly)] = l.Name
		}
	}
	for _, name := range lastOfDay {
		keep[name] = true
	}
	var out []string
	for _, l := range usable {
		if !keep[l.Name] {
			out = append(out, l.Name)
		}
	}
	return out
}

// Prune deletes the snapshots in a directory that have expired, and returns the names of those that
// were deleted, also with an error. It returns ErrLocked while another process takes or prunes
// snapshots there.
func Prune(directory string, r Retention, now time.Time) ([]string, error) {
	if err := r.Check(); err != nil {
		return nil, err
	}
	unlock, err := lock(directory)
	if err != nil {
		return nil, err
	}
	defer unlock()
	all, err := List(directory)
	if err != nil {
		return nil, err
	}
	expired := r.Expired(all, now)
	for i, name := range expired {
		if err := os.RemoveAll(filepath.Join(directory, name)); err != nil {
			return expired[:i], err
		}
	}
	return expired, nil
}
