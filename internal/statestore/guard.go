package statestore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"bramblespur/internal/wire"
)

// ErrWentBack says that an answer is of an older revision than one that was given before its
// request was made: the state service has lost data, or another one answers.
var ErrWentBack = errors.New("statestore: revision went back")

// Guard is a Store that notices when revisions fall, and that can be closed for changes.
type Guard struct {
	Store
	highest atomic.Uint64
	closed  atomic.Bool
	allowed []string
	fell    func(held, found uint64)
}

// NewGuard returns a guard of a store. While it is closed it refuses changes but of keys with
// the allowed prefixes. It tells of each answer whose revision fell.
func NewGuard(s Store, allowed []string, fell func(held, found uint64)) *Guard {
	return &Guard{Store: s, allowed: allowed, fell: fell}
}

// Highest returns the highest revision that was seen.
func (g *Guard) Highest() uint64 { return g.highest.Load() }

// Reset forgets the highest revision.
func (g *Guard) Reset() { g.highest.Store(0) }

// Close refuses changes from now on, or no longer.
func (g *Guard) Close(closed bool) { g.closed.Store(closed) }

// raise takes in a revision that was seen.
func (g *Guard) raise(revision uint64) {
	for {
		held := g.highest.Load()
		if revision <= held || g.highest.CompareAndSwap(held, revision) {
			return
		}
	}
}

// answered takes in the revision of an answer to a request that was made when the highest one
// was as given. Answers may come in any order, so only that counts.
func (g *Guard) answered(before, revision uint64) error {
	if revision < before {
		g.fell(before, revision)
		return fmt.Errorf("%w: %d, was %d", ErrWentBack, revision, before)
	}
	g.raise(revision)
	return nil
}

// Get implements Store.
func (g *Guard) Get(ctx context.Context, u Use, key string) (wire.Entry, error) {
	e, err := g.Store.Get(ctx, u, key)
	if err == nil {
		g.raise(e.Version)
	}
	return e, err
}

// List implements Store.
func (g *Guard) List(ctx context.Context, u Use, prefix string) ([]wire.Entry, uint64, error) {
	before := g.highest.Load()
	entries, revision, err := g.Store.List(ctx, u, prefix)
	if err == nil {
		err = g.answered(before, revision)
	}
	return entries, revision, err
}

// Txn implements Store.
func (g *Guard) Txn(ctx context.Context, u Use, t wire.Txn) (uint64, error) {
	if g.closed.Load() && !g.allows(t) {
		return 0, fmt.Errorf("%w: closed for changes", ErrRefused)
	}
	before := g.highest.Load()
	revision, err := g.Store.Txn(ctx, u, t)
	if err == nil && len(t.Then) > 0 { // one without changes only compares
		err = g.answered(before, revision)
	}
	return revision, err
}

// allows reports whether a transaction may be made while the guard is closed.
func (g *Guard) allows(t wire.Txn) bool {
	for _, op := range t.Then {
		if !hasPrefix(op.Put+op.Delete, g.allowed) {
			return false
		}
	}
	return true
}

func hasPrefix(key string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// Watch implements Store. A watch may wait long, so that its answer is compared only with the
// revision that it began at.
func (g *Guard) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	ch, err := g.Store.Watch(ctx, prefix, since, wait)
	if err == nil {
		err = g.answered(since, ch.Revision)
	}
	return ch, err
}
