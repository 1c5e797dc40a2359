package statestore

import (
	"context"
	"errors"
	"testing"
	"time"

	"bramblespur/internal/wire"
)

// scriptedStore answers every request with one revision.
type scriptedStore struct {
	Store
	revision uint64
	txns     int
}

func (s *scriptedStore) List(context.Context, Purpose, string) ([]wire.Entry, uint64, error) {
	return nil, s.revision, nil
}

func (s *scriptedStore) Txn(context.Context, Purpose, wire.Txn) (uint64, error) {
	s.txns++
	return s.revision, nil
}

func (s *scriptedStore) Watch(context.Context, string, uint64, time.Duration) (wire.Changes, error) {
	return wire.Changes{Revision: s.revision}, nil
}

// A response of an older revision than one before is reported, and not passed on.
func TestGuardDetectsRegressedRevision(t *testing.T) {
	put := wire.Txn{Then: []wire.Op{{Put: "k"}}}
	for name, ask := range map[string]func(g *Guard) error{
		"list":  func(g *Guard) error { _, _, err := g.List(t.Context(), Purpose{}, ""); return err },
		"txn":   func(g *Guard) error { _, err := g.Txn(t.Context(), Purpose{}, put); return err },
		"watch": func(g *Guard) error { _, err := g.Watch(t.Context(), "", 7, 0); return err },
	} {
		s, fell := &scriptedStore{revision: 7}, 0
		g := NewGuard(s, nil, func(held, found uint64) {
			if fell++; held != 7 || found != 6 {
				t.Errorf("%s: held %d, found %d", name, held, found)
			}
		})
		for range 2 {
			if err := ask(g); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		s.revision = 6
		if err := ask(g); !errors.Is(err, ErrRevisionRegressed) || fell != 1 || g.HighestRevision() != 7 {
			t.Errorf("%s: %v, told %d times, highest %d", name, err, fell, g.HighestRevision())
		}
		g.ForgetRevision()
		if _, _, err := g.List(t.Context(), Purpose{}, ""); err != nil {
			t.Errorf("%s: %v after all was forgotten", name, err)
		}
	}
}

// A watch is compared with the revision that it began at: it may wait while others are answered.
func TestGuardComparesWatchWithItsStart(t *testing.T) {
	s := &scriptedStore{revision: 9}
	g := NewGuard(s, nil, func(uint64, uint64) { t.Error("told of a loss") })
	if _, _, err := g.List(t.Context(), Purpose{}, ""); err != nil {
		t.Fatal(err)
	}
	s.revision = 8
	if _, err := g.Watch(t.Context(), "", 5, 0); err != nil {
		t.Error(err)
	}
}

// While it is read-only only keys with the writable prefixes may be written.
func TestReadOnlyGuard(t *testing.T) {
	s := &scriptedStore{revision: 9}
	g := NewGuard(s, []string{"allowed/"}, nil)
	g.SetReadOnly(true)
	for _, op := range []wire.Op{{Put: "other"}, {Delete: "other"}} {
		if _, err := g.Txn(t.Context(), Purpose{}, wire.Txn{Then: []wire.Op{{Put: "allowed/a"}, op}}); !errors.Is(err, ErrRefused) {
			t.Errorf("%+v: %v", op, err)
		}
	}
	if s.txns != 0 {
		t.Error("a change went through")
	}
	if _, err := g.Txn(t.Context(), Purpose{}, wire.Txn{Then: []wire.Op{{Delete: "allowed/a"}}}); err != nil || s.txns != 1 {
		t.Errorf("an allowed change: %v", err)
	}
	g.SetReadOnly(false)
	if _, err := g.Txn(t.Context(), Purpose{}, wire.Txn{Then: []wire.Op{{Put: "other"}}}); err != nil {
		t.Errorf("once it is open: %v", err)
	}
}
