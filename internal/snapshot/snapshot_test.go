package snapshot

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// source is a state service with small pages.
type source struct {
	*testkit.State
	before   func(request int) error // called before each request, which fails with its error; may be nil
	requests int                     // pages and watches requested so far
}

func (s *source) beforeRequest() error {
	s.requests++
	if s.before == nil {
		return nil
	}
	return s.before(s.requests)
}

// smallPage is the maximum number of keys in a page, so that a few records take several pages.
const smallPage = 3

func (s *source) ListPage(ctx context.Context, purpose statestore.Purpose, prefix, after string, _ int) (wire.EntryPage, error) {
	if err := s.beforeRequest(); err != nil {
		return wire.EntryPage{}, err
	}
	return s.State.ListPage(ctx, purpose, prefix, after, smallPage)
}

func (s *source) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	if err := s.beforeRequest(); err != nil {
		return wire.Changes{}, err
	}
	return s.State.Watch(ctx, prefix, since, wait)
}

// fixture takes snapshots of a store with some records of each kind.
type fixture struct {
	t      *testing.T
	clock  *testkit.Clock
	source *source
	taker  *Taker
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, clock: testkit.NewClock(), source: &source{State: testkit.NewState()}}
	for n := range 40 {
		prefixes := record.Prefixes()
		f.source.Put(fmt.Sprintf("%s%02d", prefixes[n%len(prefixes)], n), map[string]int{"n": n})
	}
	f.taker = &Taker{Source: f.source, Directory: t.TempDir(), AnswerTimeout: 10 * time.Second, Now: f.clock.Now,
		Sleep: func(_ context.Context, d time.Duration) error { f.clock.Advance(d); return nil }}
	return f
}

func (f *fixture) take() *Manifest {
	f.t.Helper()
	m, err := f.taker.Take(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return m
}

func (f *fixture) read(m *Manifest) *Contents {
	f.t.Helper()
	c, err := Read(f.taker.Directory, m.Name())
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// names returns the names of the entries of the snapshots' directory, without the lock file.
func (f *fixture) names() []string {
	f.t.Helper()
	entries, err := os.ReadDir(f.taker.Directory)
	if err != nil {
		f.t.Fatal(err)
	}
	var out []string
	for _, e := range entries {
		if e.Name() != lockName {
			out = append(out, e.Name())
		}
	}
	return out
}

// recordsAt returns the records as they were at a revision, according to the log of all changes.
func (f *fixture) recordsAt(revision uint64) map[string]wire.Entry {
	f.t.Helper()
	changes, err := f.source.State.Watch(f.t.Context(), "", 0, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	out := map[string]wire.Entry{}
	for _, c := range changes.Events {
		switch {
		case c.Version > revision:
		case c.Delete != "":
			delete(out, c.Delete)
		default:
			out[c.Put] = wire.Entry{Key: c.Put, Value: c.Value, Version: c.Version}
		}
	}
	return out
}

func (f *fixture) wantRecords(got, want map[string]wire.Entry) {
	f.t.Helper()
	equal := func(a, b wire.Entry) bool { return a.Version == b.Version && bytes.Equal(a.Value, b.Value) }
	if !maps.EqualFunc(got, want, equal) {
		f.t.Errorf("the snapshot has %d records, want %d:\n%v\n%v", len(got), len(want), got, want)
	}
}

// A snapshot has every record as it was at one revision, although records are written and deleted while
// it is read.
func TestSnapshotIsOfOneRevision(t *testing.T) {
	f := newFixture(t)
	f.source.before = func(n int) error {
		f.source.Put(fmt.Sprintf("%s%02d", record.FinishedJobPrefix, n%9), n)
		f.source.Put(fmt.Sprintf("%snew%02d", record.ActiveJobPrefix, n), n)
		if _, err := f.source.Txn(t.Context(), purpose, wire.Txn{Then: []wire.Op{{Delete: fmt.Sprintf("%s%02d", record.ActiveJobPrefix, n)}}}); err != nil {
			return err
		}
		return nil
	}
	m := f.take()
	if m.Span != nil {
		t.Errorf("the snapshot has span %+v, want none", m.Span)
	}
	f.wantRecords(f.read(m).Records, f.recordsAt(m.Revision))
	if got := f.names(); !slices.Equal(got, []string{m.Name()}) {
		t.Errorf("the directory has %v, want the snapshot alone", got)
	}
}

// A snapshot that is interrupted at any request resumes without reading complete pages again, also if
// the last page in the spool is incomplete.
func TestSnapshotIsResumed(t *testing.T) {
	uninterrupted := newFixture(t)
	uninterrupted.take()
	for endAt := 2; endAt <= uninterrupted.source.requests; endAt++ {
		f := newFixture(t)
		ctx, end := context.WithCancel(t.Context())
		f.taker.Sleep = func(context.Context, time.Duration) error { return ctx.Err() }
		f.source.before = func(n int) error {
			if n >= endAt && ctx.Err() == nil {
				end()
			}
			return ctx.Err()
		}
		if _, err := f.taker.Take(ctx); err == nil {
			t.Fatalf("interrupted at request %d: a snapshot was taken", endAt)
		}
		pages, err := filepath.Glob(filepath.Join(f.taker.Directory, partialName, "*.pages"))
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range pages {
			file, err := os.OpenFile(p, os.O_APPEND|os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(file, `{"entries":[{"pa`); err != nil || file.Close() != nil {
				t.Fatal("cannot write an incomplete page")
			}
		}
		f.source.before, f.source.requests = nil, 0
		m := f.take()
		want := max(uninterrupted.source.requests-endAt+1, len(record.Prefixes())) // each section's changes are always requested
		if f.source.requests > want {
			t.Errorf("interrupted at request %d: resuming took %d requests, want at most %d", endAt, f.source.requests, want)
		}
		f.wantRecords(f.read(m).Records, f.recordsAt(m.Revision))
	}
}

// An incomplete snapshot is not resumed if it is of another cluster or too old.
func TestUnusableSpoolIsDiscarded(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"other cluster": func(f *fixture) { f.source.Put(record.ClusterKey, Cluster{"other"}) },
		"too old":       func(f *fixture) { f.clock.Advance(2 * maxResumeAge) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s, err := openSpool(f.taker.Directory, "this", f.clock.Now())
			if err != nil {
				t.Fatal(err)
			}
			stale := wire.EntryPage{Items: []wire.Entry{{Key: record.FinishedJobPrefix + "stale", Value: json.RawMessage("1"), Version: 1}}, Revision: 1}
			if err := s.appendPage(record.FinishedJobPrefix, stale); err != nil {
				t.Fatal(err)
			}
			f.source.Put(record.ClusterKey, Cluster{"this"})
			change(f)
			m := f.take()
			f.wantRecords(f.read(m).Records, f.recordsAt(m.Revision))
		})
	}
}

// A section is read again if the store no longer keeps its changes. If that does not help, the manifest
// has a span.
func TestSnapshotWhoseChangesAreNotKept(t *testing.T) {
	f := newFixture(t)
	f.source.KeepChanges = 5
	writes := 20
	f.source.before = func(int) error {
		if writes--; writes >= 0 {
			f.source.Put(record.ActiveJobPrefix+"00", writes)
		}
		return nil
	}
	m := f.take()
	if m.Span != nil {
		t.Errorf("the snapshot has span %+v, want none since the changes stopped", m.Span)
	}
	f.source.before = func(int) error {
		for n := range 6 {
			f.source.Put(record.ActiveJobPrefix+"00", n)
		}
		return nil
	}
	f.clock.Advance(time.Minute)
	if m = f.take(); m.Span == nil || m.Span.To < m.Span.From {
		t.Errorf("the snapshot has span %+v, want one with From at most To", m.Span)
	}
}

// Without an answer of the store, Take gives up after AnswerTimeout. Single failed requests are repeated.
func TestSnapshotDuringOutage(t *testing.T) {
	f := newFixture(t)
	f.source.Down = true
	began := f.clock.Now()
	_, err := f.taker.Take(t.Context())
	if !errors.Is(err, statestore.ErrRefused) || f.clock.Now().Sub(began) > f.taker.AnswerTimeout+time.Second {
		t.Errorf("gave up after %v with error %v, want a refusal after the timeout", f.clock.Now().Sub(began), err)
	}
	f.source.Down = false
	refused := 0
	f.source.before = func(n int) error {
		if n%2 == 0 {
			refused++
			return statestore.ErrRefused
		}
		return nil
	}
	m := f.take()
	f.wantRecords(f.read(m).Records, f.recordsAt(m.Revision))
	if refused == 0 {
		t.Error("no request was refused, so that the test proves nothing")
	}
}

// fullDisk is a file on a disk that gets full.
type fullDisk struct {
	sectionFile
	left *int // bytes that still fit, shared by all files
}

func (f fullDisk) Write(b []byte) (int, error) {
	if *f.left -= len(b); *f.left < 0 {
		return 0, syscall.ENOSPC
	}
	return f.sectionFile.Write(b)
}

// If the disk gets full at any byte, no incomplete snapshot is left and the earlier ones stay.
func TestSnapshotOnFullDisk(t *testing.T) {
	f := newFixture(t)
	first := f.take()
	for room := 0; room < int(first.Bytes()); room += 97 {
		f.clock.Advance(time.Minute)
		left := room
		f.taker.createFile = func(path string) (sectionFile, error) {
			file, err := createSection(path)
			return fullDisk{file, &left}, err
		}
		if _, err := f.taker.Take(t.Context()); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("room for %d bytes: error %v, want that of a full disk", room, err)
		}
		if got := f.names(); !slices.Equal(got, []string{partialName, first.Name()}) {
			t.Fatalf("room for %d bytes: the directory has %v", room, got)
		}
	}
	f.taker.createFile = nil
	f.take()
}

// Take returns an error while another process takes a snapshot, if there is a snapshot of the same name,
// without a directory and for a malformed cluster record.
func TestTakeReturnsErrors(t *testing.T) {
	f := newFixture(t)
	unlock, err := lock(f.taker.Directory)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.taker.Take(t.Context()); !errors.Is(err, ErrLocked) {
		t.Errorf("while another one is taken: error %v, want ErrLocked", err)
	}
	unlock()
	f.take()
	if _, err := f.taker.Take(t.Context()); !errors.Is(err, ErrExists) {
		t.Errorf("with the name of an earlier one: error %v, want ErrExists", err)
	}
	f.taker.Directory = filepath.Join(f.taker.Directory, "none")
	if _, err := f.taker.Take(t.Context()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("without a directory: error %v, want ErrNotExist", err)
	}
	f.source.Put(record.ClusterKey, "nonsense")
	f.taker.Directory = t.TempDir()
	if _, err := f.taker.Take(t.Context()); err == nil {
		t.Error("a snapshot was taken although the cluster record is malformed")
	}
}

// A section is reported as damaged if any byte of its file is changed, if the file is truncated and if
// it is missing. The other sections can be read.
func TestDamagedSnapshot(t *testing.T) {
	f := newFixture(t)
	m := f.take()
	want := len(f.read(m).Records)
	dir := filepath.Join(f.taker.Directory, m.Name())
	for _, sec := range m.Sections {
		path := filepath.Join(dir, sec.File)
		intact, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for at := 0; at < len(intact); at += 41 {
			flipped := slices.Clone(intact)
			flipped[at] ^= 0x20
			for _, b := range [][]byte{flipped, intact[:at]} {
				if err := os.WriteFile(path, b, 0o600); err != nil {
					t.Fatal(err)
				}
				c := f.read(m)
				if len(c.Damaged) != 1 || c.Damaged[0].Section != sec.Prefix || len(c.Records) != want-sec.Records {
					t.Fatalf("%s changed or truncated at byte %d: damaged %v, %d records", sec.File, at, c.Damaged, len(c.Records))
				}
			}
		}
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		if c := f.read(m); len(c.Damaged) != 1 || !errors.Is(c.Damaged[0], os.ErrNotExist) {
			t.Errorf("%s is missing: damaged %v, want this section alone", sec.File, c.Damaged)
		}
		if err := os.WriteFile(path, intact, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// A snapshot with an invalid manifest cannot be read, and is listed with the error. Names that are not
// plain file names are unknown.
func TestInvalidManifest(t *testing.T) {
	for name, x := range map[string]struct {
		text  string
		newer bool
	}{
		"not JSON":     {text: "nonsense"},
		"empty":        {text: "{}"},
		"newer layout": {text: `{"layout":2,"cluster":"c","revision":4,"sections":[{}]}`, newer: true},
		"no sections":  {text: `{"layout":1,"cluster":"c","revision":4}`},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.Mkdir(filepath.Join(dir, "s"), 0o700); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, "s", manifestName), []byte(x.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Read(dir, "s")
			var damage *DamageError
			if errors.Is(err, ErrNewerLayout) != x.newer || errors.As(err, &damage) == x.newer {
				t.Errorf("read with error %v", err)
			}
			if all, err := List(dir); err != nil || len(all) != 1 || all[0].Invalid == "" {
				t.Errorf("listed as %v with error %v, want one invalid snapshot", all, err)
			}
		})
	}
	for _, name := range []string{"", "none", "../x", ".partial"} {
		if _, err := Read(t.TempDir(), name); !errors.Is(err, ErrUnknown) {
			t.Errorf("snapshot %q: error %v, want ErrUnknown", name, err)
		}
	}
	escape := &Manifest{Layout: 1, Cluster: "c", Revision: 4, Sections: []Section{{Prefix: "ctl/", File: "../other"}}}
	if _, err := readSection(t.TempDir(), escape.Sections[0]); err == nil {
		t.Error("a file outside the snapshot's directory is read")
	}
}

// The newest snapshots are kept, and the last one of each of the latest days. Snapshots with invalid
// manifests neither expire nor count.
func TestRetention(t *testing.T) {
	now := time.Date(2026, 3, 9, 12, 0, 0, 0, time.UTC)
	var all []Listing
	for hours := 240; hours >= 0; hours -= 6 {
		m := &Manifest{Taken: now.Add(-time.Duration(hours) * time.Hour), Revision: uint64(300 - hours)}
		all = append(all, Listing{Name: m.Name(), Manifest: m})
	}
	all = append(all, Listing{Name: "broken", Invalid: "no manifest"})
	kept := len(all) - 1 - len(Retention{Latest: 3, Days: 4}.Expired(all, now))
	if kept != 3+4 { // today's last is among the newest three, and 4 * 24 hours reach into a fifth day
		t.Errorf("%d snapshots are kept, want 7", kept)
	}
	expired := Retention{Latest: 1}.Expired(all, now)
	if len(expired) != len(all)-2 || slices.Contains(expired, "broken") || slices.Contains(expired, all[len(all)-2].Name) {
		t.Errorf("of %d snapshots %d expire, want all but the newest and the broken one", len(all), len(expired))
	}
	for _, retention := range []Retention{{}, {Latest: -1}, {Latest: 1, Days: -1}} {
		if _, err := Prune(t.TempDir(), retention, now); err == nil {
			t.Errorf("invalid retention %+v is accepted", retention)
		}
	}
}

// Prune deletes expired snapshots and returns their names.
func TestPruneDeletes(t *testing.T) {
	f := newFixture(t)
	var last *Manifest
	for range 3 {
		f.clock.Advance(time.Minute)
		last = f.take()
	}
	deleted, err := Prune(f.taker.Directory, Retention{Latest: 1}, f.clock.Now())
	if err != nil || len(deleted) != 2 || !slices.Equal(f.names(), []string{last.Name()}) {
		t.Errorf("deleted %v with error %v, %v are left; want two deleted", deleted, err, f.names())
	}
}
