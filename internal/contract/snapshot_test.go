package contract

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"bramblespur/internal/snapshot"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// store is a state service with two records for each prefix, all of one revision. It answers as many
// requests for pages as pages says.
type store struct{ pages int }

var errDown = errors.New("down")

func (s *store) Get(context.Context, statestore.Purpose, string) (wire.Entry, error) {
	return wire.Entry{Key: "ctl/cluster", Value: []byte(`{"id":"C"}`), Version: 1}, nil
}

func (s *store) ListPage(_ context.Context, _ statestore.Purpose, prefix, _ string, _ int) (wire.EntryPage, error) {
	if s.pages == 0 {
		return wire.EntryPage{}, errDown
	}
	s.pages--
	return wire.EntryPage{Items: entriesOf(prefix), Revision: 9}, nil
}

func entriesOf(prefix string) []wire.Entry {
	return []wire.Entry{
		{Key: prefix + "a", Value: []byte(`{"of":"` + prefix + `"}`), Version: 2},
		{Key: prefix + "b", Value: []byte(`[1,2]`), Version: 9, Lease: 7},
	}
}

func (s *store) Txn(context.Context, statestore.Purpose, wire.Txn) (uint64, error) { return 0, errDown }

func (s *store) Watch(context.Context, string, uint64, time.Duration) (wire.Changes, error) {
	return wire.Changes{Revision: 9}, nil
}

const (
	goldenSnapshots = "testdata/snapshots"
	goldenPartial   = "testdata/partial"
)

// takeInto takes a snapshot into a directory from a store that answers the given number of pages.
func takeInto(t *testing.T, dir string, pages int) (*snapshot.Manifest, error) {
	t.Helper()
	now := time.Date(2026, 3, 9, 12, 0, 0, 0, time.UTC)
	taker := &snapshot.Taker{Source: &store{pages}, Directory: dir, Now: func() time.Time { return now },
		Sleep: func(context.Context, time.Duration) error { return errDown }}
	return taker.Take(t.Context())
}

// files returns the contents of a directory's files by their names, without the lock file.
func files(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	out := map[string][]byte{}
	paths, err := filepath.Glob(filepath.Join(dir, "*", "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			t.Fatal(err)
		}
		out[name] = b
	}
	return out
}

// copyTo writes files to a directory, for instance copies of golden files that a test changes.
func copyTo(t *testing.T, dir string, contents map[string][]byte) {
	t.Helper()
	for name, b := range contents {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, b, 0o640); err != nil {
			t.Fatal(err)
		}
	}
}

const allPages = 6 // one for each prefix

// A snapshot is written byte by byte as before, and one of the earlier version is read completely.
func TestSnapshotLayout(t *testing.T) {
	dir := t.TempDir()
	m, err := takeInto(t, dir, allPages)
	if err != nil {
		t.Fatal(err)
	}
	got := files(t, dir)
	if *update {
		copyTo(t, goldenSnapshots, got)
	}
	want := files(t, goldenSnapshots)
	if len(got) != len(want) || len(want) != allPages+1 {
		t.Errorf("%d files, want %d", len(got), len(want))
	}
	for name := range want {
		if !bytes.Equal(got[name], want[name]) {
			t.Errorf("%s: written as\n%q, want\n%q", name, got[name], want[name])
		}
	}
	c, err := snapshot.Read(goldenSnapshots, m.Name())
	if err != nil || len(c.Damaged) > 0 || len(c.Records) != 2*allPages {
		t.Fatalf("read %d records, damaged %v, error %v", len(c.Records), c.Damaged, err)
	}
	for _, prefix := range []string{"ctl/", "fleet/", "jobs/", "open/", "pipes/", "runs/"} {
		for _, e := range entriesOf(prefix) {
			if got := c.Records[e.Key]; !reflect.DeepEqual(got, e) {
				t.Errorf("read %+v, want %+v", got, e)
			}
		}
	}
}

// An interrupted snapshot is continued, whichever version began it.
func TestPartialSnapshotLayout(t *testing.T) {
	dir := t.TempDir()
	const half = allPages / 2
	if _, err := takeInto(t, dir, half); !errors.Is(err, errDown) {
		t.Fatal(err)
	}
	got := files(t, dir)
	if *update {
		copyTo(t, goldenPartial, got)
	}
	want := files(t, goldenPartial)
	if !reflect.DeepEqual(got, want) || len(want) != half+1 {
		t.Errorf("written as\n%q, want\n%q", got, want)
	}
	begun := t.TempDir()
	copyTo(t, begun, want)
	if _, err := takeInto(t, begun, allPages-half); err != nil {
		t.Errorf("continuing the interrupted snapshot: %v", err)
	}
}
