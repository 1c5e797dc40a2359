// Package drainctl is what an operator's tool does about drains: it reads their records
// and asks for changes, by the state service's published protocol alone.
package drainctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
)

// ErrUnknown says that something an operator named is not there.
var ErrUnknown = errors.New("unknown")

// Client reads and changes the records of drains.
type Client struct {
	Store statestore.Store
	Now   func() time.Time
}

// view reads all records of drains.
func (c *Client) view(ctx context.Context) (*drain.View, error) {
	entries, rev, err := c.Store.List(ctx, statestore.Routine("drain"), drain.Prefix)
	if err != nil {
		return nil, fmt.Errorf("read the drains: %w", err)
	}
	v := drain.NewView()
	// What is malformed is kept apart and shown as such.
	if err := v.Reset(entries, rev); err != nil && !errors.Is(err, drain.ErrMalformed) {
		return nil, err
	}
	return v, nil
}

// fleet reads the records of all machines.
func (c *Client) fleet(ctx context.Context) (*record.Fleet, error) {
	entries, _, err := c.Store.List(ctx, statestore.Routine("drain"), record.FleetPrefix)
	if err != nil {
		return nil, fmt.Errorf("read the machines: %w", err)
	}
	fleet, err := record.FleetOf(entries)
	if err != nil {
		return nil, fmt.Errorf("read the machines: %w", err)
	}
	return fleet, nil
}

// inService returns the machines that have not been given back, as a selector sees them.
func inService(fleet *record.Fleet) map[string]record.MachineView {
	out := map[string]record.MachineView{}
	fleet.ForEach(func(id string, v record.MachineView) {
		if v.Phase == record.InUse {
			out[id] = v
		}
	})
	return out
}

// selects reports whether a drain is about a machine.
func selects(p *drain.Plan, id string, v record.MachineView) bool {
	return p.Selects(id, v.Type, v.Zone, time.UnixMilli(v.CreatedAt))
}

// Start asks for a drain.
func (c *Client) Start(ctx context.Context, p drain.Plan) error {
	if err := c.checkPlan(ctx, &p); err != nil {
		return err
	}
	_, err := c.Store.Txn(ctx, statestore.Urgent("drain"), drain.StartTxn(p))
	return c.explainConflict(ctx, p.Name, err)
}

// checkPlan refuses a drain that makes no sense, or selects nothing that is there.
func (c *Client) checkPlan(ctx context.Context, p *drain.Plan) error {
	if err := p.Check(); err != nil {
		return err
	}
	fleet, err := c.fleet(ctx)
	if err != nil {
		return err
	}
	machines := inService(fleet)
	for _, id := range p.Selector.Machines {
		if _, ok := machines[id]; !ok {
			return fmt.Errorf("%w machine %s", ErrUnknown, id)
		}
	}
	for id, v := range machines {
		if selects(p, id, v) {
			return nil
		}
	}
	return fmt.Errorf("%w machines: none is selected", ErrUnknown)
}

// explainConflict tells what a failed transaction means to an operator.
func (c *Client) explainConflict(ctx context.Context, name string, err error) error {
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		v, readErr := c.view(ctx)
		if readErr != nil {
			return readErr
		}
		if p, ok := v.Plan(name); ok {
			return fmt.Errorf("there is a drain %s already, it is %s", name, p.Rec.State)
		}
		return fmt.Errorf("the record of drain %s has changed: try again", name)
	case errors.Is(err, statestore.ErrInvalid):
		return fmt.Errorf("the state service does not take the record of drain %s, perhaps for its size: %w", name, err)
	case errors.Is(err, statestore.ErrRefused):
		return fmt.Errorf("not asked for: %w", err)
	}
	return fmt.Errorf("it is not known whether that was recorded, see \"drain show %s\": %w", name, err)
}

// Change pauses, resumes or cancels a drain.
func (c *Client) Change(ctx context.Context, name string, to drain.State) error {
	v, err := c.view(ctx)
	if err != nil {
		return err
	}
	p, ok := v.Plan(name)
	if !ok {
		return fmt.Errorf("%w drain %s", ErrUnknown, name)
	}
	t, err := drain.ChangeTxn(p, to, c.Now())
	if err != nil {
		return err
	}
	_, err = c.Store.Txn(ctx, statestore.Urgent("drain"), t)
	return c.explainConflict(ctx, name, err)
}
