// Package recoverctl does the I/O of the operators' tool that recovers a state service which lost data:
// it gathers the evidence, records decisions and applies a plan. Package recovery makes the plan.
package recoverctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/peer"
	"bramblespur/internal/recovery"
	"bramblespur/internal/retry"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// purpose is the purpose of the requests of a recovery. They are urgent since the whole cluster waits for
// them.
var purpose = statestore.Urgent("recover")

const (
	retryTimeout    = 15 * time.Second       // how long a request without an answer is repeated
	retryPause      = 300 * time.Millisecond // between a failed request and the next one
	evidenceTimeout = 5 * time.Second        // for one page of a controller's evidence
)

// Client recovers a cluster. Mode and Decide need Store and Now alone; Apply needs Limits as well, and
// Gather needs Peers and Cloud.
type Client struct {
	Store  statestore.Store
	Peers  map[string]peer.Caller // the controllers, by label
	Cloud  cloud.API
	Limits recovery.Limits // of the transactions of a plan
	Now    func() time.Time
}

// withRetry repeats a request until the state service or the cloud answers it, also with an error, or
// retryTimeout is over. It then returns the last result.
func withRetry[T any](ctx context.Context, c *Client, request func() (T, error)) (T, error) {
	for end := c.Now().Add(retryTimeout); ; {
		v, err := request()
		if statestore.Answered(err) || c.Now().After(end) {
			return v, err
		}
		if !retry.Sleep(ctx, retryPause) {
			return v, ctx.Err()
		}
	}
}

// readRecord returns a record and its version, or nil and 0 if there is none.
func readRecord[T any](ctx context.Context, c *Client, key string) (*T, uint64, error) {
	e, err := withRetry(ctx, c, func() (wire.Entry, error) { return c.Store.Get(ctx, purpose, key) })
	if errors.Is(err, statestore.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	v := new(T)
	if err := json.Unmarshal(e.Value, v); err != nil {
		return nil, 0, fmt.Errorf("record %s: %w", key, err)
	}
	return v, e.Version, nil
}

// Mode returns the record of the latest safe mode, which may have ended, and its version. It returns nil
// and 0 if there is none.
func (c *Client) Mode(ctx context.Context) (*recovery.SafeMode, uint64, error) {
	return readRecord[recovery.SafeMode](ctx, c, recovery.SafeModeKey)
}

// Decide records an operator's decision about an undecided record, for the plans that are made later in
// this safe mode. It replaces an earlier decision. It returns [recovery.ErrNoSafeMode] if there is no
// safe mode.
func (c *Client) Decide(ctx context.Context, key string, choice recovery.Decision) error {
	mode, _, err := c.Mode(ctx)
	if err != nil {
		return err
	}
	if mode == nil || !mode.Active {
		return recovery.ErrNoSafeMode
	}
	for {
		old, version, err := readRecord[recovery.Decisions](ctx, c, recovery.DecisionsKey)
		if err != nil {
			return err
		}
		txn := recovery.DecisionTxn(old, version, mode.Epoch, key, choice)
		_, err = withRetry(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, purpose, txn) })
		if !errors.As(err, new(*statestore.ConflictError)) {
			return err
		}
	}
}
