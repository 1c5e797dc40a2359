// Package drain plans drains: it decides which machines are cordoned next and which work on them
// is evicted, within each team's disruption budget. It defines the records of drains and builds the
// transactions that change them.
//
// The package does no I/O and reads no clock: it computes the next steps from the records, the work
// and the time that it is given. internal/controller commits the transactions and carries the steps
// out.
package drain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// State is the state of a drain.
type State string

// States of a drain.
const (
	Active    State = "active"
	Paused    State = "paused"    // no further machine is cordoned or released and no work is evicted
	Cancelled State = "cancelled" // cordons are lifted
	Finished  State = "finished"  // no machine that it selects is left
)

// Terminal reports whether a drain in this state has ended.
func (s State) Terminal() bool { return s == Cancelled || s == Finished }

// Selector selects the machines that are to be drained: either those that it names, or those that
// match all of its other fields. An empty field matches every machine.
type Selector struct {
	Machines []string `json:"machines,omitempty"`
	Types    []string `json:"types,omitempty"`
	Zones    []string `json:"zones,omitempty"`
	// RentedBefore selects the machines that were provisioned before a time in milliseconds; 0 for
	// any time.
	RentedBefore int64 `json:"rented_before,omitempty"`
}

// Plan is the record of a drain that an operator asked for.
type Plan struct {
	Name     string   `json:"name"`
	Selector Selector `json:"selector"`
	// MaxConcurrent is how many machines the drain may have cordoned at a time.
	MaxConcurrent int `json:"at_once"`
	// FinishBy is the time by which the drain should have ended, in milliseconds; 0 for none.
	FinishBy int64  `json:"finish_by,omitempty"`
	Reason   string `json:"reason"`
	// Force allows evictions beyond the budgets once FinishBy is past.
	Force bool  `json:"force,omitempty"`
	State State `json:"state"`
	// Created and Ended are times in milliseconds. Machines provisioned at or after Created are never
	// selected, otherwise a drain by type would drain its own replacements.
	Created int64 `json:"created"`
	Ended   int64 `json:"ended,omitempty"`

	selectedByName map[string]bool // Selector.Machines as a set; nil before indexMachines
}

// indexMachines builds the set of the machines that are selected by name.
func (p *Plan) indexMachines() {
	p.selectedByName = make(map[string]bool, len(p.Selector.Machines))
	for _, id := range p.Selector.Machines {
		p.selectedByName[id] = true
	}
}

// Limits of a plan's fields.
const (
	maxName   = 64  // bytes
	maxReason = 200 // bytes
)

// ErrInvalid is wrapped by the errors that say what is wrong with a plan.
var ErrInvalid = errors.New("invalid drain")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Check returns an error that wraps ErrInvalid if a field of the plan is invalid or the fields
// contradict each other.
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
		return invalid("the time of creation is not set")
	case p.FinishBy != 0 && p.FinishBy <= p.Created:
		return invalid("finish-by is not after its start")
	case p.Force && p.FinishBy == 0:
		return invalid("force without finish-by")
	case !slices.Contains([]State{Active, Paused, Cancelled, Finished}, p.State):
		return invalid("unknown state %.20q", p.State)
	}
	return p.Selector.Check()
}

// CheckName returns an error that wraps ErrInvalid if a name cannot be a part of a key.
func CheckName(name string) error {
	if name == "" || len(name) > maxName || strings.ContainsAny(name, "/ \t\r\n") {
		return invalid("name %.70q is empty, too long, or holds a space or a slash", name)
	}
	return nil
}

// Check returns an error that wraps ErrInvalid if the selector selects every machine or its fields
// contradict each other.
func (s *Selector) Check() error {
	filters := len(s.Types) + len(s.Zones)
	if s.RentedBefore != 0 {
		filters++
	}
	switch {
	case len(s.Machines) > 0 && filters > 0:
		return invalid("machines are named, so type, zone and age cannot select them as well")
	case len(s.Machines) == 0 && filters == 0:
		return invalid("no machine is selected")
	case s.RentedBefore < 0:
		return invalid("rented-before is a negative time, want milliseconds since 1970")
	}
	return nil
}

// Selects reports whether a machine of an ID, type and zone that was provisioned at a time is to be
// drained.
func (p *Plan) Selects(id, machineType, zone string, provisionedAt time.Time) bool {
	s := &p.Selector
	if provisionedAt.UnixMilli() >= p.Created {
		return false
	}
	switch {
	case len(s.Machines) > 0 && p.selectedByName != nil:
		return p.selectedByName[id]
	case len(s.Machines) > 0:
		return slices.Contains(s.Machines, id)
	}
	return (len(s.Types) == 0 || slices.Contains(s.Types, machineType)) &&
		(len(s.Zones) == 0 || slices.Contains(s.Zones, zone)) &&
		(s.RentedBefore == 0 || provisionedAt.UnixMilli() < s.RentedBefore)
}

// pastDeadline reports whether the time by which the drain should have ended is past.
func (p *Plan) pastDeadline(now time.Time) bool {
	return p.FinishBy != 0 && now.UnixMilli() >= p.FinishBy
}
