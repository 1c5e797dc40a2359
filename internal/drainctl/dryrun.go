package drainctl

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Step is one batch of machines that a drain would cordon together.
type Step struct {
	Machines    []string       `json:"machines"`             // IDs
	UnitsByTeam map[string]int `json:"interrupts,omitempty"` // number of units of work on them now
}

// DryRun returns the steps that a drain would take with the present machines and placements, without
// starting it. It returns the errors of Start for an unusable plan.
func (c *Client) DryRun(ctx context.Context, p drain.Plan, settings *drain.Settings) ([]Step, error) {
	if err := c.checkPlan(ctx, &p); err != nil {
		return nil, err
	}
	fleet, err := c.readFleet(ctx)
	if err != nil {
		return nil, err
	}
	work, err := c.readUnits(ctx)
	if err != nil {
		return nil, err
	}
	var selected []*drain.Machine
	zones := map[string]int{}
	for id, v := range machinesInUse(fleet) {
		zones[v.Zone]++
		if selects(&p, id, v) {
			selected = append(selected, &drain.Machine{ID: id, Type: v.Type, Zone: v.Zone, ProvisionedAt: time.UnixMilli(v.CreatedAt), Units: work[id]})
		}
	}
	var steps []Step
	for _, batch := range drain.Batches(selected, p.MaxConcurrent, zones, settings) {
		steps = append(steps, Step{batch, unitsByTeam(batch, work)})
	}
	return steps, nil
}

// unitsByTeam returns the number of units of work on some machines, by team. A gang on several of them
// counts once.
func unitsByTeam(machines []string, work map[string][]*drain.Unit) map[string]int {
	seen := map[drain.UnitID]bool{}
	out := map[string]int{}
	for _, id := range machines {
		for _, u := range work[id] {
			if !seen[u.UnitID] {
				seen[u.UnitID] = true
				out[u.Team]++
			}
		}
	}
	return out
}

// readUnits reads the jobs and their placements, and returns the units of work on each machine.
func (c *Client) readUnits(ctx context.Context) (map[string][]*drain.Unit, error) {
	purpose := statestore.Routine("drain")
	jobs, _, err := c.Store.List(ctx, purpose, record.ActiveJobPrefix)
	if err != nil {
		return nil, fmt.Errorf("read the jobs: %w", err)
	}
	placements, _, err := c.Store.List(ctx, purpose, record.PlacementsPrefix)
	if err != nil {
		return nil, fmt.Errorf("read the placements: %w", err)
	}
	specs := map[string]*wire.Spec{}
	for _, e := range jobs {
		var job record.ActiveJob
		if err := json.Unmarshal(e.Value, &job); err != nil {
			return nil, fmt.Errorf("record %s: %w", e.Key, err)
		}
		specs[record.LastElement(e.Key)] = &job.Spec
	}
	collector := unitCollector{specs: specs, units: map[drain.UnitID]*drain.Unit{}, unitsByMachine: map[string]map[drain.UnitID]*drain.Unit{}}
	for _, e := range placements {
		var p record.Placements
		if err := json.Unmarshal(e.Value, &p); err != nil {
			return nil, fmt.Errorf("record %s: %w", e.Key, err)
		}
		collector.addPlacements(&p)
	}
	return collector.byMachine(), nil
}

// unitCollector collects the units of work from placement records.
type unitCollector struct {
	specs          map[string]*wire.Spec // of the active jobs, by reference
	units          map[drain.UnitID]*drain.Unit
	unitsByMachine map[string]map[drain.UnitID]*drain.Unit // by machine, then by ID of the unit
}

// addPlacements adds the units of a placement record.
func (c *unitCollector) addPlacements(p *record.Placements) {
	for name, taskRange := range p.Ranges {
		ref, _, ok := record.SplitRangeName(name)
		spec := c.specs[ref]
		if !ok || spec == nil {
			continue // the job has finished
		}
		for i, placed := range taskRange.Placed {
			c.addTask(spec, i, placed.Machine)
		}
	}
}

// addTask adds the unit to which a task on a machine belongs: the whole gang, or the task alone.
func (c *unitCollector) addTask(spec *wire.Spec, task int, machine string) {
	id := drain.UnitID{Job: spec.Ref, Task: task}
	tasks := 1
	if spec.Kind == wire.Gang {
		id.Task, tasks = drain.WholeGang, spec.Tasks
	}
	if c.units[id] == nil {
		c.units[id] = &drain.Unit{UnitID: id, Team: spec.Team, Class: spec.Class, Tasks: tasks, Service: spec.Kind == wire.Service}
	}
	if c.unitsByMachine[machine] == nil {
		c.unitsByMachine[machine] = map[drain.UnitID]*drain.Unit{}
	}
	c.unitsByMachine[machine][id] = c.units[id]
}

// byMachine returns the units on each machine, in no order.
func (c *unitCollector) byMachine() map[string][]*drain.Unit {
	out := map[string][]*drain.Unit{}
	for machine, units := range c.unitsByMachine {
		out[machine] = slices.Collect(maps.Values(units))
	}
	return out
}
