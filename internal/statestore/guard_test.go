package statestore

import (
	"context"
	"errors"
	"testing"
	"time"

	"bramblespur/internal/wire"
)

// fixedRevisionStore answers every request with the same revision and counts transactions.
type fixedRevisionStore struct {
	Store
	revision uint64
	txns     int
}

func (s *fixedRevisionStore) List(context.Context, Purpose, string) ([]wire.Entry, uint64, error) {
	return nil, s.revision, nil
}

func (s *fixedRevisionStore) Txn(context.Context, Purpose, wire.Txn) (uint64, error) {
	s.txns++
	return s.revision, nil
}

func (s *fixedRevisionStore) Watch(context.Context, string, uint64, time.Duration) (wire.Changes, error) {
	return wire.Changes{Revision: s.revision}, nil
}

// A response with a lower revision than an earlier one is reported and returned as an error.
func TestGuardDetectsRegressedRevision(t *testing.T) {
	put := wire.Txn{Then: []wire.Op{{Put: "k"}}}
	for name, send := range map[string]func(g *Guard) error{
		"list":  func(g *Guard) error { _, _, err := g.List(t.Context(), Purpose{}, ""); return err },
		"txn":   func(g *Guard) error { _, err := g.Txn(t.Context(), Purpose{}, put); return err },
		"watch": func(g *Guard) error { _, err := g.Watch(t.Context(), "", 7, 0); return err },
	} {
		s, regressions := &fixedRevisionStore{revision: 7}, 0
		g := NewGuard(s, nil, func(held, found uint64) {
			if regressions++; held != 7 || found != 6 {
				t.Errorf("%s: reported revision %d held and %d found, want 7 and 6", name, held, found)
			}
		})
		for range 2 {
			if err := send(g); err != nil {
				t.Errorf("%s at the same revision: %v", name, err)
			}
		}
		s.revision = 6
		if err := send(g); !errors.Is(err, ErrRevisionRegressed) || regressions != 1 || g.HighestRevision() != 7 {
			t.Errorf("%s: error %v, %d regressions reported, highest revision %d; want ErrRevisionRegressed, 1 and 7", name, err, regressions, g.HighestRevision())
		}
		g.ForgetRevision()
		if _, _, err := g.List(t.Context(), Purpose{}, ""); err != nil {
			t.Errorf("%s: after ForgetRevision a lower revision is refused: %v", name, err)
		}
	}
}

// A watch is compared only with the revision at which it started, since other requests may be answered
// while it waits.
func TestGuardComparesWatchWithItsStart(t *testing.T) {
	s := &fixedRevisionStore{revision: 9}
	g := NewGuard(s, nil, func(uint64, uint64) { t.Error("a regression was reported") })
	if _, _, err := g.List(t.Context(), Purpose{}, ""); err != nil {
		t.Fatal(err)
	}
	s.revision = 8
	if _, err := g.Watch(t.Context(), "", 5, 0); err != nil {
		t.Error(err)
	}
}

// While the guard is read-only, only keys with the writable prefixes may be written.
func TestReadOnlyGuard(t *testing.T) {
	s := &fixedRevisionStore{revision: 9}
	g := NewGuard(s, []string{"allowed/"}, nil)
	g.SetReadOnly(true)
	for _, op := range []wire.Op{{Put: "other"}, {Delete: "other"}} {
		if _, err := g.Txn(t.Context(), Purpose{}, wire.Txn{Then: []wire.Op{{Put: "allowed/a"}, op}}); !errors.Is(err, ErrRefused) {
			t.Errorf("%+v: error %v, want ErrRefused", op, err)
		}
	}
	if s.txns != 0 {
		t.Error("a refused transaction reached the store")
	}
	if _, err := g.Txn(t.Context(), Purpose{}, wire.Txn{Then: []wire.Op{{Delete: "allowed/a"}}}); err != nil || s.txns != 1 {
		t.Errorf("a write with a writable prefix: %v", err)
	}
	g.SetReadOnly(false)
	if _, err := g.Txn(t.Context(), Purpose{}, wire.Txn{Then: []wire.Op{{Put: "other"}}}); err != nil {
		t.Errorf("a write once the guard is writable again: %v", err)
	}
}
