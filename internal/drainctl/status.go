package drainctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"bramblespur/internal/drain"
)

// Summary is a drain in short.
type Summary struct {
	Name             string      `json:"name"`
	State            drain.State `json:"state"`
	MachinesLeft     int         `json:"machines_left"`
	MachinesCordoned int         `json:"machines_cordoned"`
	MaxConcurrent    int         `json:"at_once"`
	FinishBy         string      `json:"finish_by,omitempty"`
	Late             bool        `json:"late,omitempty"`
	Reason           string      `json:"reason,omitempty"`
	Invalid          string      `json:"invalid,omitempty"` // why its record makes no sense
}

// Hold is how long machines were held up for a reason, all together.
type Hold struct {
	Reason  drain.HoldReason `json:"reason"`
	Seconds float64          `json:"machine_seconds"`
}

// TeamStatus is what a drain did to a team, and what the team has in use of its budget.
type TeamStatus struct {
	Team            string  `json:"team"`
	Evicted         int     `json:"evicted"`
	Forced          int     `json:"forced,omitempty"`
	LostTaskSeconds float64 `json:"lost_task_seconds"`
	InterruptedNow  int     `json:"interrupted_now"`
}

// Status is a drain in detail.
type Status struct {
	Summary
	Plan             drain.Plan        `json:"plan"`
	MachinesReturned int               `json:"machines_returned"`
	CordonedMachines []CordonedMachine `json:"cordoned,omitempty"`
	Teams            []TeamStatus      `json:"teams,omitempty"`
	Holds            []Hold            `json:"held,omitempty"`
	Progress         []drain.Progress  `json:"-"`
}

// CordonedMachine is a machine that is cordoned for a drain.
type CordonedMachine struct {
	Machine string `json:"machine"`
	Since   string `json:"since"`
}

// List returns all drains, and the records of such that make no sense.
func (c *Client) List(ctx context.Context) ([]Summary, error) {
	v, err := c.view(ctx)
	if err != nil {
		return nil, err
	}
	fleet, err := c.fleet(ctx)
	if err != nil {
		return nil, err
	}
	machines := inService(fleet)
	out := []Summary{}
	for _, p := range v.Plans() {
		s := c.summary(v, &p.Rec)
		for id, m := range machines {
			if selects(&p.Rec, id, m) {
				s.MachinesLeft++
			}
		}
		out = append(out, s)
	}
	invalid := v.Invalid()
	for _, key := range slices.Sorted(maps.Keys(invalid)) {
		out = append(out, Summary{Name: key[len(drain.Prefix):], State: "invalid", Invalid: invalid[key].Error()})
	}
	return out, nil
}

func (c *Client) summary(v *drain.View, p *drain.Plan) Summary {
	s := Summary{Name: p.Name, State: p.State, MaxConcurrent: p.MaxConcurrent, Reason: p.Reason}
	if p.FinishBy != 0 {
		s.FinishBy = formatTime(p.FinishBy)
		s.Late = !p.State.Terminal() && c.Now().UnixMilli() > p.FinishBy
	}
	for _, at := range v.Cordons().Rec.Machines {
		if at.Drain == p.Name {
			s.MachinesCordoned++
		}
	}
	return s
}

// formatTime writes a time as operators read it.
func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

// Show returns a drain in detail.
func (c *Client) Show(ctx context.Context, name string) (*Status, error) {
	v, err := c.view(ctx)
	if err != nil {
		return nil, err
	}
	p, ok := v.Plan(name)
	if !ok {
		return nil, fmt.Errorf("%w drain %s", ErrUnknown, name)
	}
	fleet, err := c.fleet(ctx)
	if err != nil {
		return nil, err
	}
	s := &Status{Summary: c.summary(v, &p.Rec), Plan: p.Rec, Progress: v.AllProgress(name)}
	for id, m := range inService(fleet) {
		if selects(&p.Rec, id, m) {
			s.MachinesLeft++
		}
	}
	s.CordonedMachines = cordonedFor(v, name)
	s.addProgress(v)
	return s, nil
}

func cordonedFor(v *drain.View, name string) []CordonedMachine {
	var out []CordonedMachine
	all := v.Cordons().Rec.Machines
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if all[id].Drain == name {
			out = append(out, CordonedMachine{id, formatTime(all[id].Since)})
		}
	}
	return out
}

// addProgress sums up what the shards did.
func (s *Status) addProgress(v *drain.View) {
	teams := map[string]*TeamStatus{}
	held := map[drain.HoldReason]float64{}
	for _, c := range s.Progress {
		s.MachinesReturned += c.Returned
		for team, total := range c.Teams {
			if teams[team] == nil {
				teams[team] = &TeamStatus{Team: team, InterruptedNow: len(v.Ledger(team).Rec.Open)}
			}
			teams[team].Evicted += total.Evicted
			teams[team].Forced += total.Forced
			teams[team].LostTaskSeconds += total.LostS
		}
		for reason, seconds := range c.HoldSeconds {
			held[reason] += seconds
		}
	}
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		s.Teams = append(s.Teams, *teams[team])
	}
	for _, reason := range slices.Sorted(maps.Keys(held)) {
		s.Holds = append(s.Holds, Hold{reason, held[reason]})
	}
}
