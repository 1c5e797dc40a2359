// Package drain is pure: it decides which machines are drained next and whose work may be
// interrupted for it, within each team's disruption budget. Records, work and the time go
// in, the next steps come out; internal/controller writes and carries them out.
package drain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// State says whether a drain goes on.
type State string

// States of a drain.
const (
	Active    State = "active"
	Paused    State = "paused"    // nothing new is cordoned, evicted or returned
	Cancelled State = "cancelled" // cordons are lifted
	Finished  State = "finished"  // no machine that it selects is left
)

// Terminal reports whether a drain in this state has come to its end.
func (s State) Terminal() bool { return s == Cancelled || s == Finished }

// Selector names the machines that are to be drained: either by their names or by what
// all of the other fields say.
type Selector struct {
	Machines []string `json:"machines,omitempty"`
	Types    []string `json:"types,omitempty"`
	Zones    []string `json:"zones,omitempty"`
	// RentedBefore is a time in milliseconds; 0: at any time.
	RentedBefore int64 `json:"rented_before,omitempty"`
}

// Plan is the record of a drain that an operator asked for.
type Plan struct {
	Name     string   `json:"name"`
	Selector Selector `json:"selector"`
	// MaxConcurrent is how many machines may be cordoned at a time.
	MaxConcurrent int `json:"at_once"`
	// FinishBy is when the drain should be over, in milliseconds; 0: whenever.
	FinishBy int64  `json:"finish_by,omitempty"`
	Reason   string `json:"reason"`
	// Force lets evictions pass the budgets once FinishBy is past.
	Force bool  `json:"force,omitempty"`
	State State `json:"state"`
	// Created and Ended are times in milliseconds. Machines provisioned after Created are
	// never selected, else a drain by type would drain its own replacements.
	Created int64 `json:"created"`
	Ended   int64 `json:"ended,omitempty"`

	selectedByName map[string]bool // the selector's machines, if they were looked up before
}

// indexMachines makes the machines that are selected by name quick to find.
func (p *Plan) indexMachines() {
	p.selectedByName = make(map[string]bool, len(p.Selector.Machines))
	for _, id := range p.Selector.Machines {
		p.selectedByName[id] = true
	}
}

// Limits of a plan's fields.
const (
	maxName   = 64
	maxReason = 200
)

// ErrInvalid is what is wrong with a plan.
var ErrInvalid = errors.New("invalid drain")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Check refuses a plan that makes no sense.
func (p *Plan) Check() error {
	if err := CheckName(p.Name); err != nil {
		return err
	}
	switch {
	case p.MaxConcurrent < 1:
		return invalid("at-once is %d, want 1 or more", p.MaxConcurrent)
	case len(p.Reason) > maxReason:
		return invalid("the reason is longer than %d bytes", maxReason)
	case p.Created <= 0:
		return invalid("it has no time of creation")
	case p.FinishBy != 0 && p.FinishBy <= p.Created:
		return invalid("finish-by is not after its start")
	case p.Force && p.FinishBy == 0:
		return invalid("force without finish-by")
	case !slices.Contains([]State{Active, Paused, Cancelled, Finished}, p.State):
		return invalid("state %.20q", p.State)
	}
	return p.Selector.Check()
}

// CheckName refuses names that can't be a part of a key.
func CheckName(name string) error {
	if name == "" || len(name) > maxName || strings.ContainsAny(name, "/ \t\r\n") {
		return invalid("name %.70q is empty, too long, or holds a space or a slash", name)
	}
	return nil
}

// Check refuses a selector that selects everything, or whose fields contradict each other.
func (s *Selector) Check() error {
	filters := len(s.Types) + len(s.Zones)
	if s.RentedBefore != 0 {
		filters++
	}
	switch {
	case len(s.Machines) > 0 && filters > 0:
		return invalid("machines are named, so type, zone and age can't select them as well")
	case len(s.Machines) == 0 && filters == 0:
		return invalid("no machine is selected")
	case s.RentedBefore < 0:
		return invalid("rented-before lies before all time")
	}
	return nil
}

// Selects reports whether a machine is to be drained.
func (p *Plan) Selects(id, typ, zone string, rented time.Time) bool {
	s := &p.Selector
	if rented.UnixMilli() >= p.Created {
		return false
	}
	switch {
	case len(s.Machines) > 0 && p.selectedByName != nil:
		return p.selectedByName[id]
	case len(s.Machines) > 0:
		return slices.Contains(s.Machines, id)
	}
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) &&
		(len(s.Zones) == 0 || slices.Contains(s.Zones, zone)) &&
		(s.RentedBefore == 0 || rented.UnixMilli() < s.RentedBefore)
}

// pastDeadline reports whether a drain should be over by now.
func (p *Plan) pastDeadline(now time.Time) bool {
	return p.FinishBy != 0 && now.UnixMilli() >= p.FinishBy
}
