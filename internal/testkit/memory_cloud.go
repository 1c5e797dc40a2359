package testkit

import (
	"context"
	"fmt"
	"sync"

	"bramblespur/internal/cloud"
	"bramblespur/internal/wire"
)

// Cloud provisions machines without limit, or none while Full is set. It implements cloud.API; its
// list of machines is always empty.
type Cloud struct {
	mu          sync.Mutex
	n           int
	Provisioned map[string][]string // machines by the name of the provision request
	Released    []string            // released machines, in order
	Full        bool                // no capacity
	Offer       []wire.MachineType  // machine types
}

var _ cloud.API = (*Cloud)(nil)

// Types implements cloud.API.
func (c *Cloud) Types(context.Context) ([]wire.MachineType, error) { return c.Offer, nil }

// Provision implements cloud.API: a repeated request name returns the same machines.
func (c *Cloud) Provision(_ context.Context, r wire.ProvisionRequest) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ids, ok := c.Provisioned[r.Request]; ok {
		return ids, nil
	}
	if c.Full {
		return nil, cloud.ErrNoCapacity
	}
	var ids []string
	for range r.Count {
		c.n++
		ids = append(ids, fmt.Sprintf("i-%06d", c.n))
	}
	if c.Provisioned == nil {
		c.Provisioned = map[string][]string{}
	}
	c.Provisioned[r.Request] = ids
	return ids, nil
}

// Release implements cloud.API.
func (c *Cloud) Release(_ context.Context, ids []string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Released = append(c.Released, ids...)
	return nil
}

// List implements cloud.API.
func (c *Cloud) List(context.Context) ([]wire.ListedMachine, error) { return nil, nil }

// SetRate implements cloud.API.
func (c *Cloud) SetRate(float64) {}
