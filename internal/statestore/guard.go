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

// ErrRevisionRegressed is returned if the revision of a response is lower than one that was seen
// before its request was made: the state service has lost data, or it is a different one.
var ErrRevisionRegressed = errors.New("statestore: revision regressed")

// Guard is a Store that detects responses whose revision has regressed, and that can be made
// read-only. It is safe for concurrent use.
type Guard struct {
	Store
	highestRevision  atomic.Uint64
	readOnly         atomic.Bool
	writablePrefixes []string
	onRegression     func(held, found uint64)
}

// NewGuard returns a guard of a store. While it is read-only, it refuses transactions that write
// any key without one of the writable prefixes. It calls onRegression, with the highest revision
// held before and the one found, for each response whose revision has regressed.
func NewGuard(s Store, writablePrefixes []string, onRegression func(held, found uint64)) *Guard {
	return &Guard{Store: s, writablePrefixes: writablePrefixes, onRegression: onRegression}
}

// HighestRevision returns the highest revision seen so far.
func (g *Guard) HighestRevision() uint64 { return g.highestRevision.Load() }

// ForgetRevision discards the highest revision, so that any revision is accepted next.
func (g *Guard) ForgetRevision() { g.highestRevision.Store(0) }

// SetReadOnly makes the store read-only, or writable again.
func (g *Guard) SetReadOnly(readOnly bool) { g.readOnly.Store(readOnly) }

// observe raises the highest revision to one that was seen, if that is higher.
func (g *Guard) observe(revision uint64) {
	for {
		held := g.highestRevision.Load()
		if revision <= held || g.highestRevision.CompareAndSwap(held, revision) {
			return
		}
	}
}

// checkRevision compares the revision of a response with the highest one seen before its request
// was made. Responses may arrive in any order, so revisions seen since then do not count.
func (g *Guard) checkRevision(before, revision uint64) error {
	if revision < before {
		g.onRegression(before, revision)
		return fmt.Errorf("%w: response has revision %d, but %d was seen before", ErrRevisionRegressed, revision, before)
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
		return 0, fmt.Errorf("%w: the store is read-only for this transaction", ErrRefused)
	}
	before := g.highestRevision.Load()
	revision, err := g.Store.Txn(ctx, purpose, t)
	if err == nil && len(t.Then) > 0 { // without writes it only compares, and its revision is not checked
		err = g.checkRevision(before, revision)
	}
	return revision, err
}

// permits reports whether a transaction may be made while the store is read-only: all keys that
// it writes have writable prefixes.
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

// Watch implements Store. A watch may wait for a long time, so its response is compared only with
// the revision at which it started.
func (g *Guard) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	ch, err := g.Store.Watch(ctx, prefix, since, wait)
	if err == nil {
		err = g.checkRevision(since, ch.Revision)
	}
	return ch, err
}
