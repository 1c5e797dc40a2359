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

// ErrRevisionRegressed says that a response is of an older revision than one that was seen before
// its request was made: the store has lost data, or it is another store.
var ErrRevisionRegressed = errors.New("statestore: revision went back")

// Guard is a Store that detects revisions that went back, and that can be made read-only. It is
// safe for concurrent use.
type Guard struct {
	Store
	highestRevision  atomic.Uint64
	readOnly         atomic.Bool
	writablePrefixes []string
	onRegression     func(held, found uint64)
}

// NewGuard returns a guard of a store. While it is read-only it refuses writes but of keys with
// the writable prefixes. It calls onRegression for each response whose revision went back.
func NewGuard(s Store, writablePrefixes []string, onRegression func(held, found uint64)) *Guard {
	return &Guard{Store: s, writablePrefixes: writablePrefixes, onRegression: onRegression}
}

// HighestRevision returns the highest revision that was seen.
func (g *Guard) HighestRevision() uint64 { return g.highestRevision.Load() }

// ForgetRevision forgets the highest revision.
func (g *Guard) ForgetRevision() { g.highestRevision.Store(0) }

// SetReadOnly makes the store read-only, or writable again.
func (g *Guard) SetReadOnly(readOnly bool) { g.readOnly.Store(readOnly) }

// observe raises the highest revision that was seen.
func (g *Guard) observe(revision uint64) {
	for {
		held := g.highestRevision.Load()
		if revision <= held || g.highestRevision.CompareAndSwap(held, revision) {
			return
		}
	}
}

// checkRevision checks the revision of a response against the highest one that was seen before
// its request. Responses may come in any order, so it isn't compared with what was seen since.
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
	if err == nil && len(t.Then) > 0 { // one without writes only compares
		err = g.checkRevision(before, revision)
	}
	return revision, err
}

// permits reports whether a transaction may be made while the store is read-only.
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

// Watch implements Store. A watch may wait long, so that its response is compared only with the
// revision that it began at.
func (g *Guard) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	ch, err := g.Store.Watch(ctx, prefix, since, wait)
	if err == nil {
		err = g.checkRevision(since, ch.Revision)
	}
	return ch, err
}
