package clusterview

import (
	"context"
	"errors"
	"time"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/retry"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// batchDelay is how long a watch waits after it received changes, so that changes close
	// together share one response.
	batchDelay = 300 * time.Millisecond
	// retryDelay is about how long a watch waits before it repeats a failed request.
	retryDelay = 400 * time.Millisecond
)

// Handler applies the records and changes that a watch receives to a view. Its
// methods are called one at a time, without a lock held.
type Handler interface {
	// Reset applies a list of all records as of a revision, which was requested at a time, and
	// records that the view has reached that revision, unless the generation is no longer the one
	// given. Nothing that is older may be applied in between.
	Reset(entries []wire.Entry, revision uint64, generation int, at time.Time)
	// Apply applies one change from the reply to a request that was sent at a time.
	Apply(change wire.Change, at time.Time)
	// SetAsOf records that the view includes all changes made before a time.
	SetAsOf(at time.Time)
	// SetRevision records the revision that the view has reached, unless the generation is no
	// longer the one given.
	SetRevision(revision uint64, generation int)
	// Generation returns a number that changes when all records are to be listed again.
	Generation() int
}

// Watch keeps the view of the records under a prefix up to date.
type Watch struct {
	Store   statestore.Store
	Prefix  string        // of the keys
	Wait    time.Duration // how long the state service may hold a request until there are changes
	Handler Handler
}

// Run lists the records and follows their changes until the context ends. It lists
// the records again if it missed changes or the handler's generation changes.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		at := time.Now()
		entries, revision, err := w.Store.List(ctx, statestore.Urgent("view"), w.Prefix)
		if err != nil {
			retry.Sleep(ctx, retry.Jitter(retryDelay))
			continue
		}
		generation := w.Handler.Generation()
		w.Handler.Reset(entries, revision, generation, at)
		w.follow(ctx, revision, generation)
	}
}

// follow applies the changes since a revision until the records are to be listed
// again or the context ends.
func (w *Watch) follow(ctx context.Context, revision uint64, generation int) {
	for ctx.Err() == nil && w.Handler.Generation() == generation {
		at := time.Now()
		changes, err := w.Store.Watch(ctx, w.Prefix, revision, w.Wait)
		if errors.Is(err, statestore.ErrTooOld) || errors.Is(err, httpwire.ErrTooLarge) {
			return // the list is smaller than all changes since the revision
		}
		if err != nil {
			retry.Sleep(ctx, retry.Jitter(retryDelay))
			continue
		}
		for _, change := range changes.Events {
			w.Handler.Apply(change, at)
		}
		revision = max(revision, changes.Revision)
		w.Handler.SetAsOf(at)
		w.Handler.SetRevision(revision, generation)
		if len(changes.Events) > 0 {
			retry.Sleep(ctx, batchDelay)
		}
	}
}
