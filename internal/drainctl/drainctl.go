// Package drainctl does the I/O of the operators' tool for drains: it reads their records, and starts,
// pauses, resumes and cancels drains. It uses the state service alone and calls no controller.
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

// ErrUnknown is wrapped by errors about drains or machines that an operator named and that do not exist.
var ErrUnknown = errors.New("unknown")

// Client reads and changes the records of drains.
type Client struct {
	Store statestore.Store
	Now   func() time.Time
}

// readDrains reads all records of drains. The view also has the errors of malformed records.
func (c *Client) readDrains(ctx context.Context) (*drain.View, error) {
	entries, revision, err := c.Store.List(ctx, statestore.Routine("drain"), drain.Prefix)
	if err != nil {
		return nil, fmt.Errorf("read the drains: %w", err)
	}
	v := drain.NewView()
	// The view keeps malformed records apart, and List shows them as invalid.
	if err := v.Reset(entries, revision); err != nil && !errors.Is(err, drain.ErrMalformed) {
		return nil, err
	}
	return v, nil
}

// readFleet reads the records of all machines.
func (c *Client) readFleet(ctx context.Context) (*record.Fleet, error) {
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

// machinesInUse returns the machines that are not being released, by ID.
func machinesInUse(fleet *record.Fleet) map[string]record.MachineView {
	out := map[string]record.MachineView{}
	fleet.ForEach(func(id string, v record.MachineView) {
		if v.Phase == record.InUse {
			out[id] = v
		}
	})
	return out
}

// selects reports whether a drain selects a machine.
func selects(p *drain.Plan, id string, v record.MachineView) bool {
	return p.Selects(id, v.Type, v.Zone, time.UnixMilli(v.CreatedAt))
}

// Start records a drain, which the controllers then carry out. It returns an error that wraps ErrUnknown
// if a machine is named that is not in use or no machine is selected.
func (c *Client) Start(ctx context.Context, p drain.Plan) error {
	if err := c.checkPlan(ctx, &p); err != nil {
		return err
	}
	_, err := c.Store.Txn(ctx, statestore.Urgent("drain"), drain.StartTxn(p))
	return c.explainTxnError(ctx, p.Name, err)
}

// checkPlan returns an error that wraps [drain.ErrInvalid] if the plan is invalid, and one that wraps
// ErrUnknown if it names a machine that is not in use or selects no machine.
func (c *Client) checkPlan(ctx context.Context, p *drain.Plan) error {
	if err := p.Check(); err != nil {
		return err
	}
	fleet, err := c.readFleet(ctx)
	if err != nil {
		return err
	}
	machines := machinesInUse(fleet)
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

// explainTxnError returns the error for an operator if a transaction on a drain's record failed: for a
// conflict, a refusal, or an unknown result.
func (c *Client) explainTxnError(ctx context.Context, name string, err error) error {
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		v, readErr := c.readDrains(ctx)
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

// Change pauses, resumes or cancels a drain, by its new state. It returns an error that wraps ErrUnknown
// if there is no such drain, and the errors of [drain.ChangeTxn].
func (c *Client) Change(ctx context.Context, name string, to drain.State) error {
	v, err := c.readDrains(ctx)
	if err != nil {
		return err
	}
	p, ok := v.Plan(name)
	if !ok {
		return fmt.Errorf("%w drain %s", ErrUnknown, name)
	}
	txn, err := drain.ChangeTxn(p, to, c.Now())
	if err != nil {
		return err
	}
	_, err = c.Store.Txn(ctx, statestore.Urgent("drain"), txn)
	return c.explainTxnError(ctx, name, err)
}
