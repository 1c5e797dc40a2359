package recoverctl

import (
	"context"
	"errors"

	"bramblespur/internal/recovery"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Apply carries a plan out and ends the safe mode. It may be repeated after any cut.
func (c *Client) Apply(ctx context.Context, p *recovery.Plan, progress func(done, all int)) error {
	mode, _, err := c.Mode(ctx)
	if err != nil {
		return err
	}
	if err := p.Check(mode); err != nil {
		if done, readErr := c.alreadyFinished(ctx, p, mode); readErr == nil && done {
			return nil // the last answer was lost
		}
		return err
	}
	if err := c.claimPlan(ctx, p); err != nil {
		return err
	}
	batches := p.Batches(c.Limits)
	for i, t := range batches {
		if err := c.applyBatch(ctx, t); err != nil {
			return err
		}
		progress(i+1, len(batches))
	}
	if err := c.raiseRevision(ctx, p.Floor); err != nil {
		return err
	}
	return c.endSafeMode(ctx, p)
}

// alreadyFinished reports whether a plan was carried out to its end before.
func (c *Client) alreadyFinished(ctx context.Context, p *recovery.Plan, mode *recovery.SafeMode) (bool, error) {
	if mode == nil || mode.Active || mode.Epoch != p.Epoch {
		return false, nil
	}
	applied, _, err := readRecord[recovery.Applied](ctx, c, recovery.ApplyKey)
	return err == nil && applied != nil && applied.Digest == p.Digest(), err
}

// claimPlan makes a plan the one that is applied.
func (c *Client) claimPlan(ctx context.Context, p *recovery.Plan) error {
	for {
		old, version, err := readRecord[recovery.Applied](ctx, c, recovery.ApplyKey)
		if err != nil {
			return err
		}
		t, needed, err := p.ClaimTxn(old, version)
		if err != nil || !needed {
			return err
		}
		_, err = withRetry(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, purpose, t) })
		if !errors.As(err, new(*statestore.ConflictError)) {
			return err
		}
	}
}

// applyBatch carries a transaction out, unless that was done before.
func (c *Client) applyBatch(ctx context.Context, t wire.Txn) error {
	_, err := withRetry(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, purpose, t) })
	if !errors.As(err, new(*statestore.ConflictError)) {
		return err
	}
	now := map[string]wire.Entry{}
	for _, op := range t.Then {
		key := op.Put + op.Delete
		e, err := withRetry(ctx, c, func() (wire.Entry, error) { return c.Store.Get(ctx, purpose, key) })
		switch {
		case err == nil:
			now[key] = e
		case !errors.Is(err, statestore.ErrNotFound):
			return err
		}
	}
	if !recovery.AlreadyApplied(t, now) {
		return recovery.ErrStoreChanged
	}
	return nil
}

// raiseRevision makes the store's revision rise above all tokens that were given: the next ones are
// its revisions.
func (c *Client) raiseRevision(ctx context.Context, floor uint64) error {
	for {
		revision, err := withRetry(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, purpose, recovery.RaiseRevisionTxn(floor)) })
		if err != nil || revision > floor {
			return err
		}
	}
}

// endSafeMode ends the safe mode.
func (c *Client) endSafeMode(ctx context.Context, p *recovery.Plan) error {
	mode, version, err := c.Mode(ctx)
	if err != nil {
		return err
	}
	if mode == nil || mode.Epoch != p.Epoch {
		return recovery.ErrStoreChanged // the record was lost, or another loss was noticed
	}
	if !mode.Active {
		return nil
	}
	if mode.Floor > p.Floor {
		if err := c.raiseRevision(ctx, mode.Floor); err != nil {
			return err
		}
	}
	t := recovery.EndSafeModeTxn(*mode, version, c.Now().UnixMilli())
	_, err = withRetry(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, purpose, t) })
	if errors.As(err, new(*statestore.ConflictError)) {
		return recovery.ErrStoreChanged // the floor was raised: apply it once more
	}
	return err
}
