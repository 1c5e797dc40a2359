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

// ErrRevisionRegressed says that an answer is of an older revision than one that was given before its
// request was made: the state service has lost data, or another one answers.
var ErrRevisionRegressed = errors.New("statestore: revision went back")

// Guard is a Store that notices when revisions fall, and that can be closed for changes.
type Guard struct {
	Store
	highestRevision  atomic.Uint64
	readOnly         atomic.Bool
	writablePrefixes []string
	onRegression     func(held, found uint64)
}

// NewGuard returns a guard of a store. While it is closed it refuses changes but of keys with
// the allowed prefixes. It tells of each answer whose revision fell.
func NewGuard(s Store, allowed []string, fell func(held, found uint64)) *Guard {
	return &Guard{Store: s, writablePrefixes: allowed, onRegression: fell}
}

// HighestRevision returns the highest revision that was seen.
func (g *Guard) HighestRevision() uint64 { return g.highestRevision.Load() }

// ForgetRevision forgets the highest revision.
func (g *Guard) ForgetRevision() { g.highestRevision.Store(0) }

// SetReadOnly refuses changes from now on, or no longer.
func (g *Guard) SetReadOnly(closed bool) { g.readOnly.Store(closed) }

// observe takes in a revision that was seen.
func (g *Guard) observe(revision uint64) {
	for {
		held := g.highestRevision.Load()
		if revision <= held || g.highestRevision.CompareAndSwap(held, revision) {
			return
		}
	}
}

// checkRevision takes in the revision of an answer to a request that was made when the highest one
// was as given. Answers may come in any order, so only that counts.
func (g *Guard) checkRevision(before, revision uint64) error {
	if revision < before {
		g.onRegression(before, revision)
		return fmt.Errorf("%w: %d, was %d", ErrRevisionRegressed, revision, before)
	}
	g.observe(revision)
	return nil
}

// Get implements Store.
func (g *Guard) Get(ctx context.Context, purpose Purpose, key string) (wire.Entry, error) {
	e, err := g.Store.Get(ctx, purpose, key)
	if err == nil {
		g.observe(e.Version)
	}
	return e, err
}

// List implements Store.
func (g *Guard) List(ctx context.Context, purpose Purpose, prefix string) ([]wire.Entry, uint64, error) {
	before := g.highestRevision.Load()
	entries, revision, err := g.Store.List(ctx, purpose, prefix)
	if err == nil {
		err = g.checkRevision(before, revision)
	}
	return entries, revision, err
}

// Txn implements Store.
func (g *Guard) Txn(ctx context.Context, purpose Purpose, t wire.Txn) (uint64, error) {
	if g.readOnly.Load() && !g.permits(t) {
		return 0, fmt.Errorf("%w: closed for changes", ErrRefused)
	}
	before := g.highestRevision.Load()
	revision, err := g.Store.Txn(ctx, purpose, t)
	if err == nil && len(t.Then) > 0 { // one without changes only compares
		err = g.checkRevision(before, revision)
	}
	return revision, err
}

// permits reports whether a transaction may be made while the guard is closed.
func (g *Guard) permits(t wire.Txn) bool {
	for _, op := range t.Then {
		if !hasAnyPrefix(op.Put+op.Delete, g.writablePrefixes) {
			return false
		}
	}
	return true
}

func hasAnyPrefix(key string, prefixes []string) bool {
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
		err = g.checkRevision(since, ch.Revision)
	}
	return ch, err
}
