// Package cloud is the client of the cloud's API, which provisions and releases machines. Each call waits
// until this controller's share of the cloud's rate limit allows it.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/wire"
)

// ErrNoCapacity means that the cloud has no machine of the requested type, zone and price model.
var ErrNoCapacity = errors.New("cloud: no capacity")

// API is the interface of the cloud that controllers use.
type API interface {
	// Types returns the machine types with their current prices.
	Types(ctx context.Context) ([]wire.MachineType, error)
	// Provision provisions machines and returns their IDs. A repeated request returns the same
	// machines. The error is ErrNoCapacity if the cloud has no such machines.
	Provision(ctx context.Context, r wire.ProvisionRequest) ([]string, error)
	// Release releases machines. Once it has succeeded, nothing runs on them.
	Release(ctx context.Context, ids []string) error
	// List returns all machines. The cloud's list lags behind its other responses.
	List(ctx context.Context) ([]wire.ListedMachine, error)
	// SetRate sets this controller's share of the cloud's rate limit, in calls per second.
	SetRate(rps float64)
}

// Client implements API over HTTP. It is safe for concurrent use.
type Client struct {
	http  *httpwire.Client
	limit *rate.Limiter
}

// callTimeout limits the time of one call, as a connection can be cut off without notice.
const callTimeout = 5 * time.Second

// New returns a client of the cloud at addr that makes at most rps calls per second.
func New(addr string, rps float64) *Client {
	return &Client{http: httpwire.NewClient(addr, 2), limit: rate.NewLimiter(rate.Limit(rps), burst(rps))}
}

// burst returns the number of calls that may be made at once: those of two seconds, which the cloud
// allows.
func burst(rps float64) int { return max(1, int(2*rps)) }

// SetRate implements API.
func (c *Client) SetRate(rps float64) {
	if c.limit.Limit() != rate.Limit(rps) {
		c.limit.SetLimit(rate.Limit(rps))
		c.limit.SetBurst(burst(rps))
	}
}

var _ API = (*Client)(nil)

// call sends a request with the JSON of in, unless that is nil, and decodes the response into out, unless
// that is nil. It waits for the rate limit first.
func (c *Client) call(ctx context.Context, method, target string, in, out any) error {
	if err := c.limit.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode request to cloud: %w", err)
		}
	}
	resp, err := c.http.Do(ctx, method, target, body)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if resp.Status != http.StatusOK {
		if lacksCapacity(resp) {
			return ErrNoCapacity
		}
		return fmt.Errorf("cloud: %s %s: status %d, want 200", method, target, resp.Status)
	}
	if out != nil {
		if err := json.Unmarshal(resp.Body, out); err != nil {
			return fmt.Errorf("cloud's response: %w", err)
		}
	}
	return nil
}

// lacksCapacity reports whether the response is a refusal for lack of capacity.
func lacksCapacity(resp httpwire.Response) bool {
	const noCapacity = "no capacity"
	var e struct {
		Error string `json:"error"`
	}
	return json.Unmarshal(resp.Body, &e) == nil && resp.Status == http.StatusServiceUnavailable && e.Error == noCapacity
}

// Types implements API.
func (c *Client) Types(ctx context.Context) ([]wire.MachineType, error) {
	var t wire.MachineTypes
	if err := c.call(ctx, "GET", "/machine_types", nil, &t); err != nil {
		return nil, err
	}
	return t.Types, nil
}

// Provision implements API.
func (c *Client) Provision(ctx context.Context, r wire.ProvisionRequest) ([]string, error) {
	var n wire.MachineNames
	if err := c.call(ctx, "POST", "/rentals", r, &n); err != nil {
		return nil, err
	}
	return n.Machines, nil
}

// Release implements API.
func (c *Client) Release(ctx context.Context, ids []string) error {
	return c.call(ctx, "POST", "/rentals/return", wire.MachineNames{Machines: ids}, nil)
}

// MaxPage is the largest number of machines in one page of the list.
const MaxPage = 500

// List implements API.
func (c *Client) List(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	first := fmt.Sprintf("/rentals?page=%d", MaxPage)
	target := first
	for {
		var p wire.MachineList
		if err := c.call(ctx, "GET", target, nil, &p); err != nil {
			return nil, err
		}
		all = append(all, p.Machines...)
		if !p.More || len(p.Machines) == 0 {
			return all, nil
		}
		target = first + "&since=" + url.QueryEscape(p.Machines[len(p.Machines)-1].ID)
	}
}
