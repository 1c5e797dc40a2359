package statestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/wire"
)

// connections is the number of connections that a client keeps for requests. It keeps as many
// again for watches.
const connections = 4

// Client is a Store over HTTP. It is safe for concurrent use.
type Client struct {
	requestScheduler
	requests   *httpwire.Client
	watches    *httpwire.Client
	writeBurst int // changed keys

	usageMu sync.Mutex
	usage   map[string]Usage // by name of purpose
}

// New returns a client of the state service at an address. Its initial limits are an equal share
// of rps requests and writeRPS changed keys per second, which all controllers have together.
// Writes beyond its share may come from the lender, which may be nil.
func New(addr string, controllers int, rps, writeRPS float64, lender Lender) *Client {
	c := &Client{
		requestScheduler: requestScheduler{requestTokens: rate.NewLimiter(0, 0), writeTokens: rate.NewLimiter(0, 0), lender: lender},
		requests:         httpwire.NewClient(addr, connections),
		watches:          httpwire.NewClient(addr, connections),
		writeBurst:       localWriteBurst(controllers, writeRPS),
		usage:            map[string]Usage{},
	}
	n := float64(controllers)
	c.SetLimits(rps/n, writeRPS/n)
	return c
}

var _ Store = (*Client)(nil)

// minRequestBurst is the smallest burst of requests, however small the share is.
const minRequestBurst = 3

// SetLimits implements Store. The burst of requests is half a second's worth of them: the state
// service allows a second's worth for all controllers together. A process begins with empty
// buckets.
func (c *Client) SetLimits(rps, writeRPS float64) {
	c.setLimit(c.requestTokens, rps, max(minRequestBurst, int(rps/2)))
	c.setLimit(c.writeTokens, writeRPS, c.writeBurst)
}

// TakeDemand implements Store.
func (c *Client) TakeDemand() (requests, writes int) { return c.takeDemand() }

// Backlog implements Store.
func (c *Client) Backlog() time.Duration { return c.backlog() }

// TakeUsage implements Store.
func (c *Client) TakeUsage() map[string]Usage {
	c.usageMu.Lock()
	defer c.usageMu.Unlock()
	out := c.usage
	c.usage = map[string]Usage{}
	return out
}

func (c *Client) addUsage(purpose string, used Usage) {
	c.usageMu.Lock()
	defer c.usageMu.Unlock()
	c.usage[purpose] = c.usage[purpose].add(used)
}

// callTimeout bounds one request. Answers normally take milliseconds, at times a few hundred,
// and a connection can hang without an error.
const callTimeout = 2500 * time.Millisecond

// admit waits for tokens for a request and for its writes, if it makes any. It returns ErrRefused,
// and uses no tokens, if the request cannot be admitted before its deadline.
func (c *Client) admit(ctx context.Context, writes int, purpose Purpose) error {
	if !c.requestScheduler.admit(ctx, writes, purpose) {
		c.addUsage(purpose.Name, Usage{Refused: 1})
		return fmt.Errorf("%w: request budget used up", ErrRefused)
	}
	return nil
}

// query makes a request that changes no key.
func (c *Client) query(ctx context.Context, purpose Purpose, method, target string, in, out any) (int, []byte, error) {
	return c.execute(ctx, purpose, method, target, Usage{}, in, out)
}

// execute makes a request that puts and deletes as many keys as counted in used. A write waits for
// tokens as long as its caller's context allows; a query's wait counts towards callTimeout. It returns the
// status and the body of the response; see decode.
func (c *Client) execute(ctx context.Context, purpose Purpose, method, target string, used Usage, in, out any) (int, []byte, error) {
	writes := used.writes()
	if writes > 0 {
		if err := c.admit(ctx, writes, purpose); err != nil {
			return 0, nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if writes == 0 {
		if err := c.admit(ctx, 0, purpose); err != nil {
			return 0, nil, err
		}
	}
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return 0, nil, fmt.Errorf("encode request: %w", err)
		}
	}
	resp, err := c.requests.Do(ctx, method, target, body)
	used.Requests, used.Bytes = 1, len(body)+len(resp.Body)
	if resp.Status == http.StatusTooManyRequests {
		used.Refused = 1
	}
	c.addUsage(purpose.Name, used)
	return c.decode(resp, err, out)
}

// decode decodes a successful response into out, and returns ErrRefused for a request that was
// certainly not executed. Responses with other statuses are returned for the caller to interpret.
func (c *Client) decode(resp httpwire.Response, err error, out any) (int, []byte, error) {
	if errors.Is(err, httpwire.ErrNotSent) {
		return 0, nil, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	if err != nil {
		return 0, nil, err
	}
	switch resp.Status {
	case http.StatusOK:
		if out != nil {
			if err := json.Unmarshal(resp.Body, out); err != nil {
				return 0, nil, fmt.Errorf("state service's answer: %w", err)
			}
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return resp.Status, nil, fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	}
	return resp.Status, resp.Body, nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, purpose Purpose, key string) (wire.Entry, error) {
	var e wire.Entry
	status, _, err := c.query(ctx, purpose, "GET", "/store/"+key, nil, &e)
	switch {
	case err != nil:
		return e, err
	case status == http.StatusNotFound:
		return e, ErrNotFound
	case status != http.StatusOK:
		return e, fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return e, nil
}

// MaxPage is the largest number of keys in a page of ListPage.
const MaxPage = 1000

// List implements Store.
func (c *Client) List(ctx context.Context, purpose Purpose, prefix string) ([]wire.Entry, uint64, error) {
	var all []wire.Entry
	var revision uint64
	after := ""
	for {
		p, err := c.ListPage(ctx, purpose, prefix, after, MaxPage)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = p.Revision
		}
		all = append(all, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return all, revision, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// ListPage implements Store.
func (c *Client) ListPage(ctx context.Context, purpose Purpose, prefix, after string, limit int) (wire.EntryPage, error) {
	target := fmt.Sprintf("/store?prefix=%s&page=%d", url.QueryEscape(prefix), limit)
	if after != "" {
		target += "&since=" + url.QueryEscape(after)
	}
	var p wire.EntryPage
	status, _, err := c.query(ctx, purpose, "GET", target, nil, &p)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return p, err
}

// Txn implements Store.
func (c *Client) Txn(ctx context.Context, purpose Purpose, t wire.Txn) (uint64, error) {
	if t.If == nil {
		t.If = []wire.Condition{}
	}
	var r wire.TxnResult
	status, body, err := c.execute(ctx, purpose, "POST", "/txn", writesOf(t), t, &r)
	if err != nil {
		return 0, err
	}
	switch status {
	case http.StatusOK:
		return r.Revision, nil
	case http.StatusConflict:
		if err := json.Unmarshal(body, &r); err != nil {
			return 0, fmt.Errorf("state service's answer: %w", err)
		}
		return 0, &ConflictError{Keys: r.Failed}
	}
	return 0, fmt.Errorf("%w: status %d %s", ErrInvalid, status, body)
}

// writesOf counts the changes of a transaction.
func writesOf(t wire.Txn) Usage {
	var used Usage
	for _, op := range t.Then {
		if op.Delete != "" {
			used.Deletes++
		} else {
			used.Puts++
		}
	}
	return used
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var g wire.LeaseGrant
	status, _, err := c.query(ctx, Urgent("lease"), "POST", "/holds", wire.LeaseRequest{TTLMillis: ttl.Milliseconds()}, &g)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return g.Lease, nil
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	status, _, err := c.query(ctx, Urgent("lease"), "POST", "/holds/"+strconv.FormatUint(lease, 10)+"/renew", nil, nil)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrNoLease
	case status != http.StatusOK:
		return fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	var ch wire.Changes
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if err := c.admit(ctx, 0, Urgent("watch")); err != nil {
		return ch, err
	}
	target := fmt.Sprintf("/follow?prefix=%s&since=%d&wait_ms=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	resp, err := c.watches.Do(ctx, "GET", target, nil)
	c.addUsage("watch", Usage{Requests: 1, Bytes: len(resp.Body)})
	status, _, err := c.decode(resp, err, &ch)
	switch {
	case err != nil:
		return ch, err
	case status == http.StatusGone:
		return ch, ErrTooOld
	case status != http.StatusOK:
		return ch, fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return ch, nil
}
