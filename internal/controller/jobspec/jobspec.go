// Package jobspec parses and validates what users submit: specifications of jobs and of
// pipelines. It is pure: it knows no state beyond its arguments, and reports what is wrong
// as an *InvalidError or an *InfeasibleError.
package jobspec

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// MaxTasks is the protocol's limit on the tasks of a job.
const MaxTasks = 100000

// Prefixes of references, which digits follow.
const (
	jobPrefix      = "run-"
	pipelinePrefix = "pipe-"
)

// How many digits a reference has.
const (
	minReferenceDigits = 6
	maxReferenceDigits = 18
)

// limitTolerance is what rounding may add to the sum of a gang's resources.
const limitTolerance = 1e-6

var (
	kinds      = []string{wire.Array, wire.Gang, wire.Service}
	priorities = []string{"prod", "urgent", "normal", "low"}
)

// An InvalidError says that a submission is malformed, so that no controller would ever
// accept it.
type InvalidError struct {
	Field  string // what is wrong, empty if it is the submission as a whole
	Reason string
}

func (e *InvalidError) Error() string {
	if e.Field == "" {
		return "invalid specification: " + e.Reason
	}
	return fmt.Sprintf("invalid specification: %s: %s", e.Field, e.Reason)
}

func invalid(field, reason string) error { return &InvalidError{Field: field, Reason: reason} }

// ValidJobReference reports whether a job's reference is well-formed.
func ValidJobReference(ref string) bool { return validReference(ref, jobPrefix) }

// ValidPipelineReference reports whether a pipeline's reference is well-formed.
func ValidPipelineReference(ref string) bool { return validReference(ref, pipelinePrefix) }

func validReference(ref, prefix string) bool {
	digits, ok := strings.CutPrefix(ref, prefix)
	if !ok || len(digits) < minReferenceDigits || len(digits) > maxReferenceDigits {
		return false
	}
	for _, d := range digits {
		if d < '0' || d > '9' {
			return false
		}
	}
	return true
}

// ParseJob parses and validates the specification of a job. Every required field must be
// there and not null. The dependencies of the result are sorted and named once.
func ParseJob(body []byte) (*wire.Spec, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, invalid("", err.Error())
	}
	for _, field := range wire.RequiredFields {
		if value, ok := fields[field]; !ok || string(value) == "null" {
			return nil, invalid(field, "missing or null")
		}
	}
	spec := new(wire.Spec)
	if err := json.Unmarshal(body, spec); err != nil {
		return nil, invalid("", err.Error())
	}
	if err := Validate(spec); err != nil {
		return nil, err
	}
	slices.Sort(spec.DependsOn)
	spec.DependsOn = slices.Compact(spec.DependsOn)
	return spec, nil
}

// Validate checks the values of a specification's fields.
func Validate(spec *wire.Spec) error {
	switch {
	case !ValidJobReference(spec.Ref):
		return invalid("reference", "malformed")
	case spec.Class == "" || spec.Team == "" || spec.Image == "":
		return invalid("class, team or image", "empty")
	case !slices.Contains(kinds, spec.Kind):
		return invalid("kind", "unknown")
	case !slices.Contains(priorities, spec.Priority):
		return invalid("priority", "unknown")
	case spec.Tasks < 1 || spec.Tasks > MaxTasks:
		return invalid("tasks", "out of range")
	case !validAmounts(spec):
		return invalid("amounts", "negative or not finite")
	}
	for _, dependency := range spec.DependsOn {
		if !ValidJobReference(dependency) {
			return invalid("dependencies", "malformed reference")
		}
	}
	return nil
}

// validAmounts checks the amounts of resources and of time in a specification.
func validAmounts(spec *wire.Spec) bool {
	return isAmount(spec.CPUs) && isAmount(spec.GPUs) && isAmount(spec.MemoryGB) && isAmount(spec.ImageGB) &&
		isAmount(spec.EstimateS) && isAmount(spec.CheckpointS) && isAmount(spec.SaveS) &&
		(spec.DeadlineS == nil || isAmount(*spec.DeadlineS))
}

// isAmount reports whether a number may be an amount: NaN is none.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// An InfeasibleError says that a well-formed job could never run under the present
// settings.
type InfeasibleError struct {
	Job    string
	Reason string
}

func (e *InfeasibleError) Error() string {
	return fmt.Sprintf("job %s can never run: %s", e.Job, e.Reason)
}

// CheckFeasible returns an *InfeasibleError for a job that fits no machine type or is
// above its team's limits. Without any team in the settings there are no such limits.
func CheckFeasible(spec *wire.Spec, machineTypes []wire.MachineType, teams []config.Team) error {
	if !slices.ContainsFunc(machineTypes, func(t wire.MachineType) bool { return fits(spec, &t) }) {
		return &InfeasibleError{Job: spec.Ref, Reason: "no machine type has room for a task"}
	}
	if len(teams) > 0 && !withinTeamLimits(spec, teams) {
		return &InfeasibleError{Job: spec.Ref, Reason: "unknown team, or above its limits"}
	}
	return nil
}

// fits reports whether an empty machine of a type could run a task of a job.
func fits(spec *wire.Spec, t *wire.MachineType) bool {
	return (spec.Types == nil || slices.Contains(spec.Types, t.Name)) &&
		spec.CPUs <= t.CPUs && spec.GPUs <= t.GPUs && spec.MemoryGB <= t.MemoryGB &&
		(spec.Zone == nil || slices.Contains(t.Zones, *spec.Zone))
}

// withinTeamLimits reports whether a team's limits leave room for what a job must run at
// once: a single task of an array, else all of them.
func withinTeamLimits(spec *wire.Spec, teams []config.Team) bool {
	concurrent := float64(spec.Tasks)
	if spec.Kind == wire.Array {
		concurrent = 1
	}
	i := slices.IndexFunc(teams, func(t config.Team) bool { return t.Name == spec.Team })
	if i < 0 {
		return false
	}
	team := &teams[i]
	return (team.CPUsMax <= 0 || concurrent*spec.CPUs <= team.CPUsMax+limitTolerance) &&
		(team.GPUsMax <= 0 || concurrent*spec.GPUs <= team.GPUsMax+limitTolerance)
}

// A Pipeline is a parsed pipeline with the specifications of its jobs, in the same order as
// in its record.
type Pipeline struct {
	Ref    string
	Record record.Pipeline
	Jobs   []*wire.Spec
}

// ParsePipeline parses and validates the specification of a pipeline, the jobs in it
// included. They name no dependencies of their own, as its links say what follows what, and
// are all of one team.
func ParsePipeline(body []byte) (*Pipeline, error) {
	var w wire.Pipeline
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, invalid("", err.Error())
	}
	if !ValidPipelineReference(w.Ref) {
		return nil, invalid("reference", "malformed")
	}
	if len(w.Jobs) == 0 {
		return nil, invalid("jobs", "none")
	}
	p := &Pipeline{Ref: w.Ref, Record: record.Pipeline{Links: w.Links, Choices: w.Choices}}
	for _, raw := range w.Jobs {
		spec, err := ParseJob(raw)
		if err != nil {
			return nil, err
		}
		if len(spec.DependsOn) > 0 {
			return nil, invalid("jobs", "dependencies within a pipeline")
		}
		p.Jobs = append(p.Jobs, spec)
		p.Record.Jobs = append(p.Record.Jobs, spec.Ref)
	}
	team := p.Jobs[0].Team
	if slices.ContainsFunc(p.Jobs, func(spec *wire.Spec) bool { return spec.Team != team }) {
		return nil, invalid("jobs", "of several teams")
	}
	return p, validateStructure(&p.Record)
}

// validateStructure checks a pipeline's links, and that each choice that they leave is
// stated once and names branches of that choice.
func validateStructure(rec *record.Pipeline) error {
	net, err := rec.Net()
	if err != nil {
		return invalid("links", err.Error())
	}
	unstated := net.Choices()
	for _, choice := range rec.Choices {
		branches, ok := unstated[choice.At]
		if !ok {
			return invalid("choices", "no choice there, or stated twice")
		}
		if !slices.Contains(branches, choice.Done) || (choice.Cancelled != "" && !slices.Contains(branches, choice.Cancelled)) {
			return invalid("choices", "names a job that is no branch")
		}
		delete(unstated, choice.At)
	}
	if len(unstated) > 0 {
		return invalid("choices", "not all are stated")
	}
	return nil
}
