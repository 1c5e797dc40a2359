package snapshot

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"bramblespur/internal/wire"
)

// partialName is the directory of the spool of an incomplete snapshot, beside the complete ones. The
// next Take resumes it.
const partialName = ".partial"

// maxResumeAge is the age up to which an incomplete snapshot is resumed. The changes since it was begun
// have to be read, too, and the store keeps them for a limited time only.
const maxResumeAge = time.Hour

// spool stores the pages of an incomplete snapshot in a directory: a file for each section, with a page
// on each line.
type spool struct {
	dir   string
	began time.Time // when reading began, before any interruption
}

// spoolHeader is the content of the header file of a spool.
type spoolHeader struct {
	Cluster string    `json:"cluster"` // ID of the cluster
	Began   time.Time `json:"began"`
}

const spoolHeaderName = "begun.json"

// openSpool opens the spool in a directory of snapshots if it is of the same cluster and younger than
// maxResumeAge. Otherwise it deletes that spool and creates an empty one.
func openSpool(directory, cluster string, now time.Time) (*spool, error) {
	s := &spool{dir: filepath.Join(directory, partialName)}
	header := filepath.Join(s.dir, spoolHeaderName)
	var h spoolHeader
	if b, err := os.ReadFile(header); err == nil && json.Unmarshal(b, &h) == nil &&
		h.Cluster == cluster && now.Sub(h.Began) < maxResumeAge {
		s.began = h.Began
		return s, nil
	}
	if err := os.RemoveAll(s.dir); err != nil {
		return nil, err
	}
	if err := os.Mkdir(s.dir, 0o750); err != nil {
		return nil, err
	}
	s.began = now
	b, err := json.Marshal(spoolHeader{cluster, now})
	if err != nil {
		return nil, err
	}
	return s, os.WriteFile(header, b, 0o640)
}

// remove deletes the spool.
func (s *spool) remove() error { return os.RemoveAll(s.dir) }

// path returns the path of the file with the pages of a section.
func (s *spool) path(prefix string) string { return filepath.Join(s.dir, sectionName(prefix)+".pages") }

// sectionName returns the prefix of a section in the form that file names contain: without the last
// slash and with hyphens for the others.
func sectionName(prefix string) string {
	return strings.ReplaceAll(strings.TrimSuffix(prefix, "/"), "/", "-")
}

// discard deletes the pages of a section.
func (s *spool) discard(prefix string) error {
	err := os.Remove(s.path(prefix))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// appendPage appends a page to the file of a section.
func (s *spool) appendPage(prefix string, p wire.EntryPage) error {
	b, err := json.Marshal(p)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(s.path(prefix), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return err
	}
	_, err = file.Write(append(b, '\n'))
	return errors.Join(err, file.Close())
}

// section holds the records with one prefix that have been read so far.
type section struct {
	prefix        string
	firstRevision uint64                // of the store at the first page; 0: no page has been read
	lastRevision  uint64                // highest revision of the store at a page
	lastKey       string                // last key that was read, after which the next page begins
	complete      bool                  // all pages have been read
	entries       map[string]wire.Entry // by key
}

// addPage adds the records of the next page.
func (s *section) addPage(p wire.EntryPage) {
	if s.firstRevision == 0 {
		s.firstRevision = p.Revision
	}
	s.lastRevision = max(s.lastRevision, p.Revision)
	for _, e := range p.Items {
		s.entries[e.Key] = e
		s.lastKey = e.Key
	}
	s.complete = !p.More || len(p.Items) == 0
}

// apply applies a change that was made after the first page was read. A change that a later page
// already contained is skipped: the record then has the version of the change or a newer one.
func (s *section) apply(c wire.Change) {
	key := c.Put + c.Delete
	if entry, ok := s.entries[key]; ok && entry.Version >= c.Version {
		return
	}
	if c.Delete != "" {
		delete(s.entries, key)
		return
	}
	s.entries[key] = wire.Entry{Key: key, Value: c.Value, Version: c.Version, Lease: s.entries[key].Lease}
}

// load reads the pages of a section. A last line that is incomplete, because the process ended while it
// wrote, is cut off. If another line is malformed, the file is deleted and the section returned is empty.
func (s *spool) load(prefix string) (*section, error) {
	out := &section{prefix: prefix, entries: map[string]wire.Entry{}}
	file, err := os.OpenFile(s.path(prefix), os.O_RDWR, 0)
	if errors.Is(err, os.ErrNotExist) {
		return out, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	in := bufio.NewReader(file)
	var complete int64 // bytes of the complete lines
	for {
		line, err := in.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		var p wire.EntryPage
		if err := json.Unmarshal(bytes.TrimSpace(line), &p); err != nil {
			return &section{prefix: prefix, entries: map[string]wire.Entry{}}, s.discard(prefix)
		}
		out.addPage(p)
		complete += int64(len(line))
	}
	if err := file.Truncate(complete); err != nil {
		return nil, fmt.Errorf("cut off pages of %s: %w", prefix, err)
	}
	return out, nil
}
