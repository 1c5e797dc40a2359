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

// source is a state service whose pages are small and to which something happens before each
// request.
type source struct {
	*testkit.State
	before   func(request int) error
	requests int
}

func (s *source) meet() error {
	s.requests++
	if s.before == nil {
		return nil
	}
	return s.before(s.requests)
}

// smallPage is the most keys in a page of the stand-in.
const smallPage = 3

func (s *source) ListPage(ctx context.Context, purpose statestore.Purpose, prefix, after string, _ int) (wire.EntryPage, error) {
	if err := s.meet(); err != nil {
		return wire.EntryPage{}, err
	}
	return s.State.ListPage(ctx, purpose, prefix, after, smallPage)
}

func (s *source) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	if err := s.meet(); err != nil {
		return wire.Changes{}, err
	}
	return s.State.Watch(ctx, prefix, since, wait)
}

// rig takes snapshots of a store with some records of each kind.
type rig struct {
	t     *testing.T
	clock *testkit.Clock
	src   *source
	taker *Taker
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, clock: testkit.NewClock(), src: &source{State: testkit.NewState()}}
	for n := range 40 {
		prefixes := record.Prefixes()
		r.src.Put(fmt.Sprintf("%s%02d", prefixes[n%len(prefixes)], n), map[string]int{"n": n})
	}
	r.taker = &Taker{Source: r.src, Directory: t.TempDir(), AnswerTimeout: 10 * time.Second, Now: r.clock.Now,
		Sleep: func(_ context.Context, d time.Duration) error { r.clock.Advance(d); return nil }}
	return r
}

func (r *rig) take() *Manifest {
	r.t.Helper()
	m, err := r.taker.Take(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	return m
}

func (r *rig) read(m *Manifest) *Contents {
	r.t.Helper()
	c, err := Read(r.taker.Directory, m.Name())
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

// names returns what is in the directory, without the lock.
func (r *rig) names() []string {
	r.t.Helper()
	entries, err := os.ReadDir(r.taker.Directory)
	if err != nil {
		r.t.Fatal(err)
	}
	var out []string
	for _, e := range entries {
		if e.Name() != lockName {
			out = append(out, e.Name())
		}
	}
	return out
}

// at returns the records as of a revision, by the log of all changes.
func (r *rig) at(revision uint64) map[string]wire.Entry {
	r.t.Helper()
	changes, err := r.src.State.Watch(r.t.Context(), "", 0, 0)
	if err != nil {
		r.t.Fatal(err)
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

func (r *rig) same(got, want map[string]wire.Entry) {
	r.t.Helper()
	equal := func(a, b wire.Entry) bool { return a.Version == b.Version && bytes.Equal(a.Value, b.Value) }
	if !maps.EqualFunc(got, want, equal) {
		r.t.Errorf("%d records differ from the %d there were:\n%v\n%v", len(got), len(want), got, want)
	}
}

// A snapshot has every record as it was at one revision, whatever changed while it was read.
func TestSnapshotIsOfOneRevision(t *testing.T) {
	r := newRig(t)
	r.src.before = func(n int) error {
		r.src.Put(fmt.Sprintf("%s%02d", record.FinishedJobPrefix, n%9), n)
		r.src.Put(fmt.Sprintf("%snew%02d", record.ActiveJobPrefix, n), n)
		if _, err := r.src.Txn(t.Context(), purpose, wire.Txn{Then: []wire.Op{{Delete: fmt.Sprintf("%s%02d", record.ActiveJobPrefix, n)}}}); err != nil {
			return err
		}
		return nil
	}
	m := r.take()
	if m.Span != nil {
		t.Errorf("it spans %+v", m.Span)
	}
	r.same(r.read(m).Records, r.at(m.Revision))
	if got := r.names(); !slices.Equal(got, []string{m.Name()}) {
		t.Errorf("the directory has %v", got)
	}
}

// What was read before a snapshot was cut off is not read again, at whichever request that
// was; and what was written last may have been cut in the middle.
func TestSnapshotIsResumed(t *testing.T) {
	whole := newRig(t)
	whole.take()
	for cut := 2; cut <= whole.src.requests; cut++ {
		r := newRig(t)
		ctx, end := context.WithCancel(t.Context())
		r.taker.Sleep = func(context.Context, time.Duration) error { return ctx.Err() }
		r.src.before = func(n int) error {
			if n >= cut && ctx.Err() == nil {
				end()
			}
			return ctx.Err()
		}
		if _, err := r.taker.Take(ctx); err == nil {
			t.Fatalf("cut %d: taken all the same", cut)
		}
		pages, err := filepath.Glob(filepath.Join(r.taker.Directory, partialName, "*.pages"))
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range pages {
			file, err := os.OpenFile(p, os.O_APPEND|os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(file, `{"entries":[{"pa`); err != nil || file.Close() != nil {
				t.Fatal("can't cut a page off")
			}
		}
		r.src.before, r.src.requests = nil, 0
		m := r.take()
		want := max(whole.src.requests-cut+1, len(record.Prefixes())) // changes are always asked for
		if r.src.requests > want {
			t.Errorf("cut %d: %d requests to go on, want %d at most", cut, r.src.requests, want)
		}
		r.same(r.read(m).Records, r.at(m.Revision))
	}
}

// A partial snapshot of another cluster, or an old one, is not gone on with.
func TestSnapshotBeginsAnew(t *testing.T) {
	for name, change := range map[string]func(r *rig){
		"other cluster": func(r *rig) { r.src.Put(record.ClusterKey, Cluster{"other"}) },
		"too old":       func(r *rig) { r.clock.Advance(2 * maxResumeAge) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			s, err := openSpool(r.taker.Directory, "this", r.clock.Now())
			if err != nil {
				t.Fatal(err)
			}
			stale := wire.EntryPage{Items: []wire.Entry{{Key: record.FinishedJobPrefix + "stale", Value: json.RawMessage("1"), Version: 1}}, Revision: 1}
			if err := s.appendPage(record.FinishedJobPrefix, stale); err != nil {
				t.Fatal(err)
			}
			r.src.Put(record.ClusterKey, Cluster{"this"})
			change(r)
			m := r.take()
			r.same(r.read(m).Records, r.at(m.Revision))
		})
	}
}

// Changes that are no longer kept make the section be read again; if that never helps, the
// snapshot says so.
func TestSnapshotWhoseChangesAreNotKept(t *testing.T) {
	r := newRig(t)
	r.src.KeepChanges = 5
	writes := 20
	r.src.before = func(int) error {
		if writes--; writes >= 0 {
			r.src.Put(record.ActiveJobPrefix+"00", writes)
		}
		return nil
	}
	m := r.take()
	if m.Span != nil {
		t.Errorf("it spans %+v though the changes came to an end", m.Span)
	}
	r.src.before = func(int) error {
		for n := range 6 {
			r.src.Put(record.ActiveJobPrefix+"00", n)
		}
		return nil
	}
	r.clock.Advance(time.Minute)
	if m = r.take(); m.Span == nil || m.Span.To < m.Span.From {
		t.Errorf("it spans %+v", m.Span)
	}
}

// Without an answer it gives up in time, and leaves what it has read for the next one.
func TestSnapshotWithoutStore(t *testing.T) {
	r := newRig(t)
	r.src.Down = true
	began := r.clock.Now()
	_, err := r.taker.Take(t.Context())
	if !errors.Is(err, statestore.ErrRefused) || r.clock.Now().Sub(began) > r.taker.AnswerTimeout+time.Second {
		t.Errorf("after %v: %v", r.clock.Now().Sub(began), err)
	}
	r.src.Down = false
	refused := 0
	r.src.before = func(n int) error {
		if n%2 == 0 {
			refused++
			return statestore.ErrRefused
		}
		return nil
	}
	m := r.take()
	r.same(r.read(m).Records, r.at(m.Revision))
	if refused == 0 {
		t.Error("nothing was refused")
	}
}

// fullDisk takes so many bytes.
type fullDisk struct {
	sectionFile
	left *int
}

func (f fullDisk) Write(b []byte) (int, error) {
	if *f.left -= len(b); *f.left < 0 {
		return 0, syscall.ENOSPC
	}
	return f.sectionFile.Write(b)
}

// A full disk at any byte leaves nothing half written, and what was there stays.
func TestSnapshotOnFullDisk(t *testing.T) {
	r := newRig(t)
	first := r.take()
	for room := 0; room < int(first.Bytes()); room += 97 {
		r.clock.Advance(time.Minute)
		left := room
		r.taker.writer = func(path string) (sectionFile, error) {
			file, err := createSection(path)
			return fullDisk{file, &left}, err
		}
		if _, err := r.taker.Take(t.Context()); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("room for %d bytes: %v", room, err)
		}
		if got := r.names(); !slices.Equal(got, []string{partialName, first.Name()}) {
			t.Fatalf("room for %d bytes: the directory has %v", room, got)
		}
	}
	r.taker.writer = nil
	r.take()
}

// Two at once, a name that is taken, and a directory that is not there.
func TestSnapshotRefusals(t *testing.T) {
	r := newRig(t)
	unlock, err := lock(r.taker.Directory)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.taker.Take(t.Context()); !errors.Is(err, ErrLocked) {
		t.Errorf("beside another: %v", err)
	}
	unlock()
	r.take()
	if _, err := r.taker.Take(t.Context()); !errors.Is(err, ErrExists) {
		t.Errorf("under the same name: %v", err)
	}
	r.taker.Directory = filepath.Join(r.taker.Directory, "none")
	if _, err := r.taker.Take(t.Context()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("without a directory: %v", err)
	}
	r.src.Put(record.ClusterKey, "nonsense")
	r.taker.Directory = t.TempDir()
	if _, err := r.taker.Take(t.Context()); err == nil {
		t.Error("taken of a cluster whose id makes no sense")
	}
}

// Whatever byte of a file is changed or cut off, that section is told as damaged and the
// others can be read.
func TestDamagedSnapshot(t *testing.T) {
	r := newRig(t)
	m := r.take()
	want := len(r.read(m).Records)
	dir := filepath.Join(r.taker.Directory, m.Name())
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
				c := r.read(m)
				if len(c.Damaged) != 1 || c.Damaged[0].Section != sec.Prefix || len(c.Records) != want-sec.Records {
					t.Fatalf("%s changed at %d: %v, %d records", sec.File, at, c.Damaged, len(c.Records))
				}
			}
		}
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		if c := r.read(m); len(c.Damaged) != 1 || !errors.Is(c.Damaged[0], os.ErrNotExist) {
			t.Errorf("%s missing: %v", sec.File, c.Damaged)
		}
		if err := os.WriteFile(path, intact, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func TestManifestThatMakesNoSense(t *testing.T) {
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
				t.Errorf("%v", err)
			}
			if all, err := List(dir); err != nil || len(all) != 1 || all[0].Invalid == "" {
				t.Errorf("listed as %v, %v", all, err)
			}
		})
	}
	for _, name := range []string{"", "none", "../x", ".partial"} {
		if _, err := Read(t.TempDir(), name); !errors.Is(err, ErrUnknown) {
			t.Errorf("%q: %v", name, err)
		}
	}
	escape := &Manifest{Layout: 1, Cluster: "c", Revision: 4, Sections: []Section{{Prefix: "ctl/", File: "../other"}}}
	if _, err := readSection(t.TempDir(), escape.Sections[0]); err == nil {
		t.Error("a file outside of the snapshot is read")
	}
}

// The newest are kept, and of some days the last one each.
func TestRetention(t *testing.T) {
	now := time.Date(2026, 3, 9, 12, 0, 0, 0, time.UTC)
	var all []Listing
	for hours := 240; hours >= 0; hours -= 6 {
		m := &Manifest{Taken: now.Add(-time.Duration(hours) * time.Hour), Revision: uint64(300 - hours)}
		all = append(all, Listing{Name: m.Name(), Manifest: m})
	}
	all = append(all, Listing{Name: "broken", Invalid: "no manifest"})
	kept := len(all) - 1 - len(Retention{Latest: 3, Days: 4}.Expired(all, now))
	if kept != 3+4 { // today's last is among the newest, and of the fifth day a part counts
		t.Errorf("%d are kept, want 7", kept)
	}
	expired := Retention{Latest: 1}.Expired(all, now)
	if len(expired) != len(all)-2 || slices.Contains(expired, "broken") || slices.Contains(expired, all[len(all)-2].Name) {
		t.Errorf("of %d, %d expire", len(all), len(expired))
	}
	for _, r := range []Retention{{}, {Latest: -1}, {Latest: 1, Days: -1}} {
		if _, err := Prune(t.TempDir(), r, now); err == nil {
			t.Errorf("%+v is taken", r)
		}
	}
}

func TestPruneDeletes(t *testing.T) {
	r := newRig(t)
	var last *Manifest
	for range 3 {
		r.clock.Advance(time.Minute)
		last = r.take()
	}
	gone, err := Prune(r.taker.Directory, Retention{Latest: 1}, r.clock.Now())
	if err != nil || len(gone) != 2 || !slices.Equal(r.names(), []string{last.Name()}) {
		t.Errorf("pruned %v, %v; left %v", gone, err, r.names())
	}
}
