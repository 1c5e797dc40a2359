// Package statestore is the client of the state service.
package statestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/wire"
)

// What a call can end in. An error that is none of these leaves open whether
// the request was, or later will be, carried out.
var (
	ErrNotFound = errors.New("statestore: not found")
	ErrRefused  = errors.New("statestore: not executed") // 429, 503, or never sent
	ErrTooOld   = errors.New("statestore: revision too old")
	ErrNoLease  = errors.New("statestore: no such lease")
	ErrInvalid  = errors.New("statestore: request refused as malformed")
)

// ConflictError tells which conditions of a transaction failed.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("statestore: conflict on %v", e.Keys) }

// Urgency orders requests when the budget is short.
type Urgency int

// Urgent work (starts, final states, leases) may use the whole budget, routine
// work (polls, housekeeping) leaves a part of it free.
const (
	Urgent Urgency = iota
	Routine
)

// Store is what controllers need of the state service.
type Store interface {
	Get(ctx context.Context, u Urgency, key string) (wire.Entry, error)
	List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error)
	Txn(ctx context.Context, u Urgency, t wire.Txn) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error)
}

// Client is a Store over HTTP.
type Client struct {
	http    *httpwire.Client
	watch   *httpwire.Client
	reqs    *rate.Limiter
	changes *rate.Limiter
}

// New returns a client that keeps to its share of the service's budget.
func New(addr string, rps, writeRPS float64, txnOps int) *Client {
	burst := func(r float64, min int) int { return max(int(r), min) }
	return &Client{
		http: httpwire.NewClient(addr, 4), watch: httpwire.NewClient(addr, 4),
		reqs:    rate.NewLimiter(rate.Limit(rps), burst(rps, 2)),
		changes: rate.NewLimiter(rate.Limit(writeRPS), burst(writeRPS, txnOps)),
	}
}

var _ Store = (*Client)(nil)

// callTimeout bounds one request: answers normally take milliseconds, at times
// a few hundred, and a connection can hang in silence.
const callTimeout = 2500 * time.Millisecond

// routineFloor is the share of a budget that routine work leaves free.
const routineFloor = 0.3

func admit(ctx context.Context, l *rate.Limiter, n int, u Urgency) error {
	for u == Routine && l.Tokens() < routineFloor*float64(l.Burst())+float64(n) {
		t := time.NewTimer(50 * time.Millisecond)
		select {
		case <-ctx.Done():
			t.Stop()
			return fmt.Errorf("%w: request budget used up", ErrRefused)
		case <-t.C:
		}
		if n > l.Burst()/2 {
			break
		}
	}
	if err := l.WaitN(ctx, n); err != nil {
		return fmt.Errorf("%w: request budget used up", ErrRefused)
	}
	return nil
}

func (c *Client) do(ctx context.Context, u Urgency, method, target string, in, out any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := admit(ctx, c.reqs, 1, u); err != nil {
		return 0, nil, err
	}
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return 0, nil, fmt.Errorf("encode: %w", err)
		}
	}
	resp, err := c.http.Do(ctx, method, target, body)
	return c.outcome(resp, err, out)
}

func (c *Client) outcome(resp httpwire.Response, err error, out any) (int, []byte, error) {
	if errors.Is(err, httpwire.ErrNotSent) {
		return 0, nil, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	if err != nil {
		return 0, nil, err
	}
	switch resp.Status {
	case 200:
		if out != nil {
			if err := json.Unmarshal(resp.Body, out); err != nil {
				return 0, nil, fmt.Errorf("state service's answer: %w", err)
			}
		}
	case 429, 503:
		return resp.Status, nil, fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	}
	return resp.Status, resp.Body, nil
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, u Urgency, key string) (wire.Entry, error) {
	var e wire.Entry
	status, _, err := c.do(ctx, u, "GET", "/store/"+key, nil, &e)
	switch {
	case err != nil:
		return e, err
	case status == 404:
		return e, ErrNotFound
	case status != 200:
		return e, fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return e, nil
}

// List reads all keys with a prefix, and the revision of the first page.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error) {
	var all []wire.Entry
	var rev uint64
	since := ""
	for {
		target := "/store?prefix=" + url.QueryEscape(prefix) + "&page=1000"
		if since != "" {
			target += "&since=" + url.QueryEscape(since)
		}
		var p wire.EntryPage
		status, _, err := c.do(ctx, Urgent, "GET", target, nil, &p)
		if err != nil {
			return nil, 0, err
		}
		if status != 200 {
			return nil, 0, fmt.Errorf("%w: status %d", ErrInvalid, status)
		}
		if rev == 0 {
			rev = p.Revision
		}
		all = append(all, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return all, rev, nil
		}
		since = p.Items[len(p.Items)-1].Key
	}
}

// Txn applies a transaction and returns its revision.
func (c *Client) Txn(ctx context.Context, u Urgency, t wire.Txn) (uint64, error) {
	if t.If == nil {
		t.If = []wire.Cond{}
	}
	if n := len(t.Then); n > 0 {
		if err := admit(ctx, c.changes, n, u); err != nil {
			return 0, err
		}
	}
	var r wire.TxnResult
	status, body, err := c.do(ctx, u, "POST", "/txn", t, &r)
	if err != nil {
		return 0, err
	}
	switch status {
	case 200:
		return r.Revision, nil
	case 409:
		if err := json.Unmarshal(body, &r); err != nil {
			return 0, fmt.Errorf("state service's answer: %w", err)
		}
		return 0, &ConflictError{Keys: r.Failed}
	}
	return 0, fmt.Errorf("%w: status %d %s", ErrInvalid, status, body)
}

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var g wire.LeaseGrant
	status, _, err := c.do(ctx, Urgent, "POST", "/holds", wire.LeaseRequest{TTLMillis: ttl.Milliseconds()}, &g)
	if err != nil {
		return 0, err
	}
	if status != 200 {
		return 0, fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return g.Lease, nil
}

// Renew renews a lease.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	status, _, err := c.do(ctx, Urgent, "POST", "/holds/"+strconv.FormatUint(lease, 10)+"/renew", nil, nil)
	switch {
	case err != nil:
		return err
	case status == 404:
		return ErrNoLease
	case status != 200:
		return fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return nil
}

// Watch waits for changes after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	var ch wire.Changes
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if err := admit(ctx, c.reqs, 1, Urgent); err != nil {
		return ch, err
	}
	target := fmt.Sprintf("/follow?prefix=%s&since=%d&wait_ms=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	resp, err := c.watch.Do(ctx, "GET", target, nil)
	status, _, err := c.outcome(resp, err, &ch)
	switch {
	case err != nil:
		return ch, err
	case status == 410:
		return ch, ErrTooOld
	case status != 200:
		return ch, fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return ch, nil
}
