package testkit

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/wire"
)

// CloudClient is the client of the cloud in one controller process. It implements cloud.API.
type CloudClient struct {
	w        *World
	from     string          // label of the controller
	lifetime context.Context // ends with the process
}

var _ cloud.API = (*CloudClient)(nil)

// CloudClient returns a client for the process of the controller from that lives as long as ctx.
func (w *World) CloudClient(ctx context.Context, from string) *CloudClient {
	return &CloudClient{w, from, ctx}
}

const cloudTimeout = 5 * time.Second

// Types implements cloud.API.
func (c *CloudClient) Types(context.Context) ([]wire.MachineType, error) {
	return Call(c.w.Net, c.from, CloudEndpoint, cloudTimeout, func() ([]wire.MachineType, error) { return c.w.types, c.lifetime.Err() })
}

// Provision implements cloud.API: a repeated request name returns the same machines.
func (c *CloudClient) Provision(_ context.Context, r wire.ProvisionRequest) ([]string, error) {
	return Call(c.w.Net, c.from, CloudEndpoint, cloudTimeout, func() ([]string, error) {
		if err := c.lifetime.Err(); err != nil {
			return nil, err
		}
		return c.w.provision(r)
	})
}

// provision creates machines, which boot later, and returns their IDs.
func (w *World) provision(r wire.ProvisionRequest) ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ids, ok := w.provisioned[r.Request]; ok {
		return ids, nil
	}
	if w.noCapacity {
		return nil, cloud.ErrNoCapacity
	}
	var ids []string
	for range r.Count {
		w.machineCount++
		id := fmt.Sprintf("i-%06d", w.machineCount)
		ids = append(ids, id)
		for _, t := range w.types {
			if t.Name == r.Type {
				w.bootLater(newAgent(w, id, t, r.Zone, r.Spot))
			}
		}
	}
	w.provisioned[r.Request] = ids
	return ids, nil
}

// bootLater adds a machine that is up after the boot time, unless it is released before. The lock is
// held.
func (w *World) bootLater(a *Agent) {
	a.gone = true
	if w.assignAddr != nil {
		a.addr = w.assignAddr(a)
	}
	w.agents[a.ID] = a
	boot := w.bootTime
	w.goroutines.Go(func() {
		if !w.Sleep(boot) {
			return
		}
		w.mu.Lock()
		still := w.agents[a.ID] == a
		w.mu.Unlock()
		a.mu.Lock()
		a.gone, a.leaseStart = !still, time.Now()
		a.mu.Unlock()
		if still {
			a.run()
		}
	})
}

// SetBoot sets the boot time of machines provisioned from now on, and whether the cloud has no capacity.
func (w *World) SetBoot(d time.Duration, full bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bootTime, w.noCapacity = d, full
}

// Release implements cloud.API: the machines are gone before it returns.
func (c *CloudClient) Release(_ context.Context, ids []string) error {
	_, err := Call(c.w.Net, c.from, CloudEndpoint, cloudTimeout, func() (struct{}, error) {
		if err := c.lifetime.Err(); err != nil {
			return struct{}{}, err
		}
		for _, id := range ids {
			c.w.mu.Lock()
			a := c.w.agents[id]
			delete(c.w.agents, id)
			c.w.mu.Unlock()
			if a != nil {
				a.mu.Lock()
				a.released = !a.gone
				a.mu.Unlock()
				a.Die()
			}
		}
		return struct{}{}, nil
	})
	return err
}

// List implements cloud.API.
func (c *CloudClient) List(context.Context) ([]wire.ListedMachine, error) {
	return Call(c.w.Net, c.from, CloudEndpoint, cloudTimeout, func() ([]wire.ListedMachine, error) {
		c.w.mu.Lock()
		defer c.w.mu.Unlock()
		var out []wire.ListedMachine
		for _, a := range c.w.agents {
			out = append(out, wire.ListedMachine{ID: a.ID, Addr: a.addr, Type: a.Type, Zone: a.Zone, Spot: a.Spot, State: wire.Running})
		}
		slices.SortFunc(out, func(a, b wire.ListedMachine) int { return strings.Compare(a.ID, b.ID) })
		return out, c.lifetime.Err()
	})
}

// SetRate implements cloud.API.
func (c *CloudClient) SetRate(float64) {}
