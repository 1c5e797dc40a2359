package drainctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"bramblespur/internal/drain"
)

// Summary is the short form of a drain, or a malformed record of drains. For the latter only Name, State
// and Invalid are set, and Name is the record's key without [drain.Prefix].
type Summary struct {
	Name             string      `json:"name"`
	State            drain.State `json:"state"`               // "invalid" if the record is malformed
	MachinesLeft     int         `json:"machines_left"`       // selected machines that are not being released
	MachinesCordoned int         `json:"machines_cordoned"`   // machines cordoned for it now
	MaxConcurrent    int         `json:"at_once"`             // machines that it may have cordoned at a time
	FinishBy         string      `json:"finish_by,omitempty"` // time in RFC 3339; empty for none
	Late             bool        `json:"late,omitempty"`      // FinishBy is past and the drain has not ended
	Reason           string      `json:"reason,omitempty"`    // the operator's reason
	Invalid          string      `json:"invalid,omitempty"`   // why the record is malformed
}

// Hold is the time for which a drain was held up for a reason.
type Hold struct {
	Reason  drain.HoldReason `json:"reason"`
	Seconds float64          `json:"machine_seconds"` // summed over machines
}

// TeamStatus sums up the evictions of a team's work by a drain.
type TeamStatus struct {
	Team            string  `json:"team"`
	Evicted         int     `json:"evicted"`           // evictions
	Forced          int     `json:"forced,omitempty"`  // evictions beyond the budget
	LostTaskSeconds float64 `json:"lost_task_seconds"` // work lost, summed over tasks
	InterruptedNow  int     `json:"interrupted_now"`   // open disruptions of the team by all drains
}

// Status is the detailed form of a drain.
type Status struct {
	Summary
	Plan             drain.Plan        `json:"plan"`
	MachinesReturned int               `json:"machines_returned"`  // cordoned machines released so far
	CordonedMachines []CordonedMachine `json:"cordoned,omitempty"` // sorted by ID
	Teams            []TeamStatus      `json:"teams,omitempty"`    // with evictions, sorted by name
	Holds            []Hold            `json:"held,omitempty"`     // sorted by reason
	Progress         []drain.Progress  `json:"-"`                  // on each shard
}

// CordonedMachine is a machine that is cordoned for a drain.
type CordonedMachine struct {
	Machine string `json:"machine"` // ID
	Since   string `json:"since"`   // time in RFC 3339
}

// List returns all drains, the oldest first, and after them the malformed records, sorted by key.
func (c *Client) List(ctx context.Context) ([]Summary, error) {
	v, err := c.readDrains(ctx)
	if err != nil {
		return nil, err
	}
	fleet, err := c.readFleet(ctx)
	if err != nil {
		return nil, err
	}
	machines := machinesInUse(fleet)
	out := []Summary{}
	for _, p := range v.Plans() {
		s := c.summarize(v, &p.Rec)
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

// summarize returns the summary of a drain without its MachinesLeft.
func (c *Client) summarize(v *drain.View, p *drain.Plan) Summary {
	s := Summary{Name: p.Name, State: p.State, MaxConcurrent: p.MaxConcurrent, Reason: p.Reason}
	if p.FinishBy != 0 {
		s.FinishBy = formatTime(p.FinishBy)
		s.Late = !p.State.Terminal() && c.Now().UnixMilli() > p.FinishBy
	}
	for _, cordon := range v.Cordons().Rec.Machines {
		if cordon.Drain == p.Name {
			s.MachinesCordoned++
		}
	}
	return s
}

// formatTime formats a time in Unix milliseconds as RFC 3339 in UTC.
func formatTime(unixMillis int64) string {
	return time.UnixMilli(unixMillis).UTC().Format(time.RFC3339)
}

// Show returns the detailed form of a drain. It returns an error that wraps ErrUnknown if there is no such
// drain or its record is malformed.
func (c *Client) Show(ctx context.Context, name string) (*Status, error) {
	v, err := c.readDrains(ctx)
	if err != nil {
		return nil, err
	}
	p, ok := v.Plan(name)
	if !ok {
		return nil, fmt.Errorf("%w drain %s", ErrUnknown, name)
	}
	fleet, err := c.readFleet(ctx)
	if err != nil {
		return nil, err
	}
	s := &Status{Summary: c.summarize(v, &p.Rec), Plan: p.Rec, Progress: v.AllProgress(name)}
	for id, m := range machinesInUse(fleet) {
		if selects(&p.Rec, id, m) {
			s.MachinesLeft++
		}
	}
	s.CordonedMachines = machinesCordonedFor(v, name)
	s.addProgress(v)
	return s, nil
}

// machinesCordonedFor returns the machines that are cordoned for a drain, sorted by ID.
func machinesCordonedFor(v *drain.View, name string) []CordonedMachine {
	var out []CordonedMachine
	all := v.Cordons().Rec.Machines
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if all[id].Drain == name {
			out = append(out, CordonedMachine{id, formatTime(all[id].Since)})
		}
	}
	return out
}

// addProgress adds the totals of the drain's progress on all shards.
func (s *Status) addProgress(v *drain.View) {
	teams := map[string]*TeamStatus{}
	held := map[drain.HoldReason]float64{}
	for _, progress := range s.Progress {
		s.MachinesReturned += progress.Returned
		for team, impact := range progress.Teams {
			if teams[team] == nil {
				teams[team] = &TeamStatus{Team: team, InterruptedNow: len(v.Ledger(team).Rec.Open)}
			}
			teams[team].Evicted += impact.Evicted
			teams[team].Forced += impact.Forced
			teams[team].LostTaskSeconds += impact.LostS
		}
		for reason, seconds := range progress.HoldSeconds {
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
