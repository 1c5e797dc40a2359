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

// partialName is the directory of an incomplete snapshot. It lies beside the complete ones, and the
// next Take resumes it.
const partialName = ".partial"

// maxResumeAge is how old an incomplete snapshot may be to be resumed: the changes since then have
// to be read, too, and the store keeps them for a while only.
const maxResumeAge = time.Hour

// spool holds what was read so far: a file for each section, with a page on each line.
type spool struct {
	dir   string
	began time.Time
}

// spoolHeader says of which cluster a spool is, and since when.
type spoolHeader struct {
	Cluster string    `json:"cluster"`
	Began   time.Time `json:"began"`
}

const spoolHeaderName = "begun.json"

// openSpool resumes the spool in a directory if it is of the same cluster and not too old, and begins
// a new one otherwise.
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

// remove deletes what was spooled.
func (s *spool) remove() error { return os.RemoveAll(s.dir) }

func (s *spool) path(prefix string) string { return filepath.Join(s.dir, sectionName(prefix)+".pages") }

// sectionName is a prefix as a part of a file's name.
func sectionName(prefix string) string {
	return strings.ReplaceAll(strings.TrimSuffix(prefix, "/"), "/", "-")
}

// restart deletes the pages of a section.
func (s *spool) restart(prefix string) error {
	err := os.Remove(s.path(prefix))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// appendPage appends a page of a section.
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

// section is what was read of the records with one prefix.
type section struct {
	prefix        string
	firstRevision uint64 // of the first page
	lastRevision  uint64 // of the last page
	lastKey       string // the last key that was read
	complete      bool   // all pages were read
	entries       map[string]wire.Entry
}

// addPage adds the records of a page.
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

// apply applies a change that was made after the section was begun, unless a later page has it
// already.
func (s *section) apply(c wire.Change) {
	key := c.Put + c.Delete
	if held, ok := s.entries[key]; ok && held.Version >= c.Version {
		return
	}
	if c.Delete != "" {
		delete(s.entries, key)
		return
	}
	s.entries[key] = wire.Entry{Key: key, Value: c.Value, Version: c.Version, Lease: s.entries[key].Lease}
}

// load reads the pages of a section. A line that was cut off is dropped; a malformed file is deleted
// and the section begins anew.
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
	var read int64
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
			return &section{prefix: prefix, entries: map[string]wire.Entry{}}, s.restart(prefix)
		}
		out.addPage(p)
		read += int64(len(line))
	}
	if err := file.Truncate(read); err != nil {
		return nil, fmt.Errorf("cut off pages of %s: %w", prefix, err)
	}
	return out, nil
}
