// Package recoverctl is what an operator's tool does about a state service that lost data: it
// gathers the evidence, records decisions, and applies a plan.
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

// purpose is the purpose of recovery's requests. They are what everybody waits for.
var purpose = statestore.Urgent("recover")

const (
	// retryTimeout is how long a request is repeated that has no answer.
	retryTimeout    = 15 * time.Second
	retryPause      = 300 * time.Millisecond
	evidenceTimeout = 5 * time.Second // for one page of a controller's evidence
)

// Client recovers a cluster.
type Client struct {
	Store  statestore.Store
	Peers  map[string]peer.Caller // the controllers, by label
	Cloud  cloud.API
	Limits recovery.Limits
	Now    func() time.Time
}

// withRetry repeats a request while it has no answer.
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

// readRecord reads a record; it returns nil and version 0 if there is none.
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

// Mode returns the record of the safe mode and its version, nil if there is none.
func (c *Client) Mode(ctx context.Context) (*recovery.SafeMode, uint64, error) {
	return readRecord[recovery.SafeMode](ctx, c, recovery.SafeModeKey)
}

// Decide records an operator's choice about an undecided record.
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
		t := recovery.DecisionTxn(old, version, mode.Epoch, key, choice)
		_, err = withRetry(ctx, c, func() (uint64, error) { return c.Store.Txn(ctx, purpose, t) })
		if !errors.As(err, new(*statestore.ConflictError)) {
			return err
		}
	}
}
