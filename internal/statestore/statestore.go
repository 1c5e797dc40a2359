// Package statestore is the client of the state service.
package statestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync"
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

// Answered reports whether a call's outcome is known and would be no other if it were made
// again at once: it succeeded, or was answered with what is wrong about it.
func Answered(err error) bool {
	var conflict *ConflictError
	return err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrTooOld) || errors.Is(err, ErrInvalid) || errors.As(err, &conflict)
}

// ConflictError tells which conditions of a transaction failed.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("statestore: conflict on %v", e.Keys) }

// Purpose says what a request is for. Urgent work (starts, acceptances, leases) may
// use the whole budget, routine work (polls, housekeeping) leaves a part of it
// free.
type Purpose struct {
	Name    string
	Routine bool
}

// Urgent and Routine name a purpose.
func Urgent(purpose string) Purpose  { return Purpose{Name: purpose} }
func Routine(purpose string) Purpose { return Purpose{Name: purpose, Routine: true} }

// Store is what controllers need of the state service.
type Store interface {
	Get(ctx context.Context, u Purpose, key string) (wire.Entry, error)
	List(ctx context.Context, u Purpose, prefix string) ([]wire.Entry, uint64, error)
	// ListPage reads up to so many keys with a prefix that come after one, none for the first.
	ListPage(ctx context.Context, u Purpose, prefix, after string, limit int) (wire.EntryPage, error)
	Txn(ctx context.Context, u Purpose, t wire.Txn) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error)
	// SetLimits sets this controller's part of the service's limits, a second.
	SetLimits(rps, writeRPS float64)
	// TakeDemand returns the requests and changes made since the last call, and
	// those that wait for the budget.
	TakeDemand() (requests, changes int)
	// Backlog is how long the changes that wait now will take.
	Backlog() time.Duration
	// TakeUsage returns what was used since the last call, by purpose.
	TakeUsage() map[string]Usage
}

// Usage is what requests of one purpose used.
type Usage struct {
	Requests, Puts, Deletes, Refused int
	Bytes                            int // of requests and answers
}

// Client is a Store over HTTP.
type Client struct {
	requestScheduler
	requests   *httpwire.Client
	watches    *httpwire.Client
	writeBurst int // of changes

	usageMu sync.Mutex
	usage   map[string]Usage
}

// New returns a client that keeps to an equal share of the service's budget, which
// so many controllers have together. Changes beyond it may come from a lender, which
// is optional.
func New(addr string, controllers int, rps, writeRPS float64, lender Lender) *Client {
	n := float64(controllers)
	c := &Client{
		writeBurst: localWriteBurst(controllers, writeRPS),
		requests:   httpwire.NewClient(addr, 4), watches: httpwire.NewClient(addr, 4),
		requestScheduler: requestScheduler{requestTokens: rate.NewLimiter(0, 0), writeTokens: rate.NewLimiter(0, 0), lender: lender},
		usage:            map[string]Usage{},
	}
	c.SetLimits(rps/n, writeRPS/n)
	return c
}

var _ Store = (*Client)(nil)

// SetLimits implements Store. Bursts of requests are of half a second's worth: the
// service allows a second's for all controllers together. A process begins with
// nothing saved up.
func (c *Client) SetLimits(rps, writeRPS float64) {
	c.setLimit(c.requestTokens, rps, max(minRequestBurst, int(rps/2)))
	c.setLimit(c.writeTokens, writeRPS, c.writeBurst)
}

// minRequestBurst is the burst of requests of the smallest budget.
const minRequestBurst = 3

// TakeDemand implements Store.
func (c *Client) TakeDemand() (requests, changes int) { return c.takeDemand() }

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

func (c *Client) addUsage(purpose string, add Usage) {
	c.usageMu.Lock()
	defer c.usageMu.Unlock()
	n := c.usage[purpose]
	n.Requests += add.Requests
	n.Puts += add.Puts
	n.Deletes += add.Deletes
	n.Refused += add.Refused
	n.Bytes += add.Bytes
	c.usage[purpose] = n
}

// callTimeout bounds one request: answers normally take milliseconds, at times
// a few hundred, and a connection can hang in silence.
const callTimeout = 2500 * time.Millisecond

// admit waits for this controller's part of the limits, for a request and its
// changes, if it makes any. What is refused has used nothing.
func (c *Client) admit(ctx context.Context, writes int, purpose Purpose) error {
	if !c.requestScheduler.admit(ctx, writes, purpose) {
		c.addUsage(purpose.Name, Usage{Refused: 1})
		return fmt.Errorf("%w: request budget used up", ErrRefused)
	}
	return nil
}

func (c *Client) query(ctx context.Context, purpose Purpose, method, target string, in, out any) (int, []byte, error) {
	return c.execute(ctx, purpose, method, target, Usage{}, in, out)
}

// execute makes a request that changes as many keys as counted.
func (c *Client) execute(ctx context.Context, purpose Purpose, method, target string, used Usage, in, out any) (int, []byte, error) {
	writes := used.Puts + used.Deletes
	if writes > 0 { // changes wait as long as their caller does
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
			return 0, nil, fmt.Errorf("encode: %w", err)
		}
	}
	resp, err := c.requests.Do(ctx, method, target, body)
	used.Requests, used.Bytes = 1, len(body)+len(resp.Body)
	if resp.Status == 429 {
		used.Refused = 1
	}
	c.addUsage(purpose.Name, used)
	return c.decode(resp, err, out)
}

func (c *Client) decode(resp httpwire.Response, err error, out any) (int, []byte, error) {
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
func (c *Client) Get(ctx context.Context, purpose Purpose, key string) (wire.Entry, error) {
	var e wire.Entry
	status, _, err := c.query(ctx, purpose, "GET", "/store/"+key, nil, &e)
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

// MaxPage is the most keys in a page.
const MaxPage = 1000

// List reads all keys with a prefix, and the revision of the first page.
func (c *Client) List(ctx context.Context, purpose Purpose, prefix string) ([]wire.Entry, uint64, error) {
	var all []wire.Entry
	var rev uint64
	after := ""
	for {
		p, err := c.ListPage(ctx, purpose, prefix, after, MaxPage)
		if err != nil {
			return nil, 0, err
		}
		if rev == 0 {
			rev = p.Revision
		}
		all = append(all, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return all, rev, nil
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
	if err == nil && status != 200 {
		err = fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return p, err
}

// Txn applies a transaction and returns its revision.
func (c *Client) Txn(ctx context.Context, purpose Purpose, t wire.Txn) (uint64, error) {
	if t.If == nil {
		t.If = []wire.Condition{}
	}
	var used Usage
	for _, op := range t.Then {
		if op.Delete != "" {
			used.Deletes++
		} else {
			used.Puts++
		}
	}
	var r wire.TxnResult
	status, body, err := c.execute(ctx, purpose, "POST", "/txn", used, t, &r)
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
	status, _, err := c.query(ctx, Urgent("lease"), "POST", "/holds", wire.LeaseRequest{TTLMillis: ttl.Milliseconds()}, &g)
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
	status, _, err := c.query(ctx, Urgent("lease"), "POST", "/holds/"+strconv.FormatUint(lease, 10)+"/renew", nil, nil)
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
	case status == 410:
		return ch, ErrTooOld
	case status != 200:
		return ch, fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return ch, nil
}
