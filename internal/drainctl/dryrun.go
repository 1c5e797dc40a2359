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

// Step is machines that would go together, and the units that run there now, by team.
type Step struct {
	Machines    []string       `json:"machines"`
	UnitsByTeam map[string]int `json:"interrupts,omitempty"`
}

// DryRun returns the steps of a drain as things stand, and writes nothing.
func (c *Client) DryRun(ctx context.Context, p drain.Plan, s *drain.Settings) ([]Step, error) {
	if err := c.checkPlan(ctx, &p); err != nil {
		return nil, err
	}
	fleet, err := c.fleet(ctx)
	if err != nil {
		return nil, err
	}
	work, err := c.unitsByMachine(ctx)
	if err != nil {
		return nil, err
	}
	var selected []*drain.Machine
	zones := map[string]int{}
	for id, v := range inService(fleet) {
		zones[v.Zone]++
		if selects(&p, id, v) {
			selected = append(selected, &drain.Machine{ID: id, Type: v.Type, Zone: v.Zone, ProvisionedAt: time.UnixMilli(v.CreatedAt), Units: work[id]})
		}
	}
	var steps []Step
	for _, batch := range drain.Batches(selected, p.MaxConcurrent, zones, s) {
		steps = append(steps, Step{batch, unitsByTeam(batch, work)})
	}
	return steps, nil
}

// unitsByTeam counts the units on some machines by team.
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

// unitsByMachine reads what is placed where, by machine.
func (c *Client) unitsByMachine(ctx context.Context) (map[string][]*drain.Unit, error) {
	use := statestore.Routine("drain")
	open, _, err := c.Store.List(ctx, use, record.ActiveJobPrefix)
	if err != nil {
		return nil, fmt.Errorf("read the jobs: %w", err)
	}
	slots, _, err := c.Store.List(ctx, use, record.PlacementsPrefix)
	if err != nil {
		return nil, fmt.Errorf("read the placements: %w", err)
	}
	specs := map[string]*wire.Spec{}
	for _, e := range open {
		var o record.ActiveJob
		if err := json.Unmarshal(e.Value, &o); err != nil {
			return nil, fmt.Errorf("record %s: %w", e.Key, err)
		}
		specs[record.LastElement(e.Key)] = &o.Spec
	}
	w := workReader{specs: specs, units: map[drain.UnitID]*drain.Unit{}, on: map[string]map[drain.UnitID]*drain.Unit{}}
	for _, e := range slots {
		var s record.Placements
		if err := json.Unmarshal(e.Value, &s); err != nil {
			return nil, fmt.Errorf("record %s: %w", e.Key, err)
		}
		w.addPlacements(&s)
	}
	return w.byMachine(), nil
}

// workReader gathers units from records of placements.
type workReader struct {
	specs map[string]*wire.Spec
	units map[drain.UnitID]*drain.Unit
	on    map[string]map[drain.UnitID]*drain.Unit // by machine
}

func (w *workReader) addPlacements(s *record.Placements) {
	for name, run := range s.Ranges {
		ref, _, ok := record.SplitRangeName(name)
		spec := w.specs[ref]
		if !ok || spec == nil {
			continue // its end is recorded
		}
		for i, place := range run.Placed {
			w.addTask(spec, i, place.Machine)
		}
	}
}

func (w *workReader) addTask(spec *wire.Spec, task int, machine string) {
	id := drain.UnitID{Job: spec.Ref, Task: task}
	tasks := 1
	if spec.Kind == wire.Gang {
		id.Task, tasks = drain.WholeGang, spec.Tasks
	}
	if w.units[id] == nil {
		w.units[id] = &drain.Unit{UnitID: id, Team: spec.Team, Class: spec.Class, Tasks: tasks, Service: spec.Kind == wire.Service}
	}
	if w.on[machine] == nil {
		w.on[machine] = map[drain.UnitID]*drain.Unit{}
	}
	w.on[machine][id] = w.units[id]
}

func (w *workReader) byMachine() map[string][]*drain.Unit {
	out := map[string][]*drain.Unit{}
	for machine, units := range w.on {
		out[machine] = slices.Collect(maps.Values(units))
	}
	return out
}
