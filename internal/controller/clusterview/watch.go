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
	// batchDelay is how long a watch waits after changes, so that those close
	// together share one response.
	batchDelay = 300 * time.Millisecond
	// retryDelay is about how long a watch waits after a failed request.
	retryDelay = 400 * time.Millisecond
)

// Handler applies what a watch learns to a view. Its methods are called one at a
// time, without a lock held.
type Handler interface {
	// Reset applies all records as of a revision, listed at some time.
	Reset(entries []wire.Entry, revision uint64, at time.Time)
	// Apply applies one change, of a request made at some time.
	Apply(change wire.Change, at time.Time)
	// SetAsOf records that the view includes all changes made before a time.
	SetAsOf(at time.Time)
	// SetRevision records the revision that the view has reached, unless the
	// generation has changed.
	SetRevision(revision uint64, generation int)
	// Generation changes when all records are to be listed anew.
	Generation() int
}

// Watch keeps the view of the records with a prefix up to date.
type Watch struct {
	Store   statestore.Store
	Prefix  string
	Wait    time.Duration // how long the state service may hold a request for changes
	Handler Handler
}

// Run lists the records and follows their changes until the context ends. When
// changes were missed, or the handler's generation changes, it lists them anew.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		at := time.Now()
		entries, revision, err := w.Store.List(ctx, statestore.Urgent("view"), w.Prefix)
		if err != nil {
			retry.Sleep(ctx, retry.Jitter(retryDelay))
			continue
		}
		generation := w.Handler.Generation()
		w.Handler.Reset(entries, revision, at)
		w.Handler.SetRevision(revision, generation)
		w.follow(ctx, revision, generation)
	}
}

// follow applies changes since a revision until the records are to be listed anew.
func (w *Watch) follow(ctx context.Context, revision uint64, generation int) {
	for ctx.Err() == nil && w.Handler.Generation() == generation {
		at := time.Now()
		changes, err := w.Store.Watch(ctx, w.Prefix, revision, w.Wait)
		if errors.Is(err, statestore.ErrTooOld) || errors.Is(err, httpwire.ErrTooLarge) {
			return // a list is smaller than all that happened since
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
