package recoverctl

import (
	"context"
	"errors"

	"bramblespur/internal/recovery"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Apply applies a plan and ends the safe mode. It calls progress after each transaction with the number
// of transactions done and that of all. After an error it may be called again with the same plan. It
// returns the errors of [recovery.Plan.Check], [recovery.ErrOtherPlanApplied] if another plan is being
// applied, and [recovery.ErrStoreChanged] if a record has changed since the plan was made.
func (c *Client) Apply(ctx context.Context, p *recovery.Plan, progress func(done, all int)) error {
	mode, _, err := c.Mode(ctx)
	if err != nil {
		return err
	}
	if err := p.Check(mode); err != nil {
		if done, readErr := c.alreadyFinished(ctx, p, mode); readErr == nil && done {
			return nil // an earlier Apply ended the safe mode, but the answer was lost
		}
		return err
	}
	if err := c.claimPlan(ctx, p); err != nil {
		return err
	}
	batches := p.Batches(c.Limits)
	for i, txn := range batches {
		if err := c.applyBatch(ctx, txn); err != nil {
			return err
		}
		progress(i+1, len(batches))
	}
	if err := c.raiseRevision(ctx, p.Floor); err != nil {
		return err
	}
	return c.endSafeMode(ctx, p)
}

// alreadyFinished reports whether the safe mode has ended with this plan applied. mode is the record of
// the safe mode, nil if there is none.
func (c *Client) alreadyFinished(ctx context.Context, p *recovery.Plan, mode *recovery.SafeMode) (bool, error) {
	if mode == nil || mode.Active || mode.Epoch != p.Epoch {
		return false, nil
	}
	applied, _, err := readRecord[recovery.Applied](ctx, c, recovery.ApplyKey)
	return err == nil && applied != nil && applied.Digest == p.Digest(), err
}

// claimPlan records the plan as the one that is being applied. It returns [recovery.ErrOtherPlanApplied]
// if another one is.
func (c *Client) claimPlan(ctx context.Context, p *recovery.Plan) error {
	for {
		old, version, err := readRecord[recovery.Applied](ctx, c, recovery.ApplyKey)
		if err != nil {
			return err
		}
		txn, needed, err := p.ClaimTxn(old, version)
		if err != nil || !needed {
			return err
		}
		_, err = withRetry(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, purpose, txn) })
		if !errors.As(err, new(*statestore.ConflictError)) {
			return err
		}
	}
}

// applyBatch applies a transaction of a plan, unless it has been applied before. It returns
// [recovery.ErrStoreChanged] if the records are neither as before nor as after the transaction.
func (c *Client) applyBatch(ctx context.Context, txn wire.Txn) error {
	_, err := withRetry(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, purpose, txn) })
	if !errors.As(err, new(*statestore.ConflictError)) {
		return err
	}
	now := map[string]wire.Entry{}
	for _, op := range txn.Then {
		key := op.Put + op.Delete
		e, err := withRetry(ctx, c, func() (wire.Entry, error) { return c.Store.Get(ctx, purpose, key) })
		switch {
		case err == nil:
			now[key] = e
		case !errors.Is(err, statestore.ErrNotFound):
			return err
		}
	}
	if !recovery.AlreadyApplied(txn, now) {
		return recovery.ErrStoreChanged
	}
	return nil
}

// raiseRevision raises the store's revision above the floor. Since fencing tokens are revisions, all
// later tokens are then above those that were issued before the loss.
func (c *Client) raiseRevision(ctx context.Context, floor uint64) error {
	for {
		revision, err := withRetry(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, purpose, recovery.RaiseRevisionTxn(floor)) })
		if err != nil || revision > floor {
			return err
		}
	}
}

// endSafeMode ends the safe mode of the plan, unless it has ended. It returns [recovery.ErrStoreChanged]
// if its record is missing, is of another safe mode, or changes at the same time.
func (c *Client) endSafeMode(ctx context.Context, p *recovery.Plan) error {
	mode, version, err := c.Mode(ctx)
	if err != nil {
		return err
	}
	if mode == nil || mode.Epoch != p.Epoch {
		return recovery.ErrStoreChanged // the record was lost, or another loss was detected
	}
	if !mode.Active {
		return nil
	}
	if mode.Floor > p.Floor {
		if err := c.raiseRevision(ctx, mode.Floor); err != nil {
			return err
		}
	}
	txn := recovery.EndSafeModeTxn(*mode, version, c.Now().UnixMilli())
	_, err = withRetry(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, purpose, txn) })
	if errors.As(err, new(*statestore.ConflictError)) {
		return recovery.ErrStoreChanged // a controller raised the floor: the plan may be applied again
	}
	return err
}
