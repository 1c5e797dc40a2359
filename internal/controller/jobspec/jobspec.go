// Package jobspec parses and validates the specifications of jobs and pipelines that users
// submit. It keeps no state: the results of its functions depend on their arguments only. A
// malformed specification is reported as an *InvalidError, a job that can never run as an
// *InfeasibleError.
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

// Prefixes of references. Decimal digits follow them.
const (
	jobPrefix      = "run-"
	pipelinePrefix = "pipe-"
)

// Bounds on the number of digits of a reference.
const (
	minReferenceDigits = 6
	maxReferenceDigits = 18
)

// limitTolerance is how far rounding may take the sum of a job's resources above a limit.
const limitTolerance = 1e-6

// Values that a specification may have.
var (
	kinds      = []string{wire.Array, wire.Gang, wire.Service}
	priorities = []string{"prod", "urgent", "normal", "low"}
)

// An InvalidError says that a submission is malformed. No controller ever accepts it.
type InvalidError struct {
	Field  string // the field that is wrong; empty: the submission as a whole
	Reason string
}

func (e *InvalidError) Error() string {
	if e.Field == "" {
		return "invalid specification: " + e.Reason
	}
	return fmt.Sprintf("invalid specification: %s: %s", e.Field, e.Reason)
}

func invalid(field, reason string) error { return &InvalidError{Field: field, Reason: reason} }

// ValidJobReference reports whether a job's reference is well-formed: "run-" and 6 to 18 digits.
func ValidJobReference(ref string) bool { return validReference(ref, jobPrefix) }

// ValidPipelineReference reports whether a pipeline's reference is well-formed: "pipe-" and 6 to
// 18 digits.
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
// present and not null. The dependencies of the result are sorted and without duplicates. The
// error is an *InvalidError.
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

// Validate returns an *InvalidError if a field of a specification has an invalid value.
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
		return invalid("tasks", "out of range, want 1 to 100000")
	case !validAmounts(spec):
		return invalid("amounts", "an amount is negative or not finite")
	}
	for _, dependency := range spec.DependsOn {
		if !ValidJobReference(dependency) {
			return invalid("dependencies", "malformed reference, want run- and 6 to 18 digits")
		}
	}
	return nil
}

// validAmounts reports whether the amounts of resources and of time in a specification are
// valid.
func validAmounts(spec *wire.Spec) bool {
	return isAmount(spec.CPUs) && isAmount(spec.GPUs) && isAmount(spec.MemoryGB) && isAmount(spec.ImageGB) &&
		isAmount(spec.EstimateS) && isAmount(spec.CheckpointS) && isAmount(spec.SaveS) &&
		(spec.DeadlineS == nil || isAmount(*spec.DeadlineS))
}

// isAmount reports whether a number is a valid amount: finite and not negative. NaN is not
// valid.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// An InfeasibleError says that a well-formed job can never run under the present settings.
type InfeasibleError struct {
	Job    string // reference of the job
	Reason string
}

func (e *InfeasibleError) Error() string {
	return fmt.Sprintf("job %s can never run: %s", e.Job, e.Reason)
}

// CheckFeasible returns an *InfeasibleError for a job that fits no machine type, is of an
// unknown team, or exceeds its team's limits. If there are no teams, neither teams nor limits
// are checked.
func CheckFeasible(spec *wire.Spec, machineTypes []wire.MachineType, teams []config.Team) error {
	if !slices.ContainsFunc(machineTypes, func(t wire.MachineType) bool { return fitsMachineType(spec, &t) }) {
		return &InfeasibleError{Job: spec.Ref, Reason: "no machine type has room for a task"}
	}
	if len(teams) > 0 && !withinTeamLimits(spec, teams) {
		return &InfeasibleError{Job: spec.Ref, Reason: "the team is unknown, or the job exceeds the limits of its team"}
	}
	return nil
}

// fitsMachineType reports whether an empty machine of a type could run a task of a job.
func fitsMachineType(spec *wire.Spec, t *wire.MachineType) bool {
	return (spec.Types == nil || slices.Contains(spec.Types, t.Name)) &&
		spec.CPUs <= t.CPUs && spec.GPUs <= t.GPUs && spec.MemoryGB <= t.MemoryGB &&
		(spec.Zone == nil || slices.Contains(t.Zones, *spec.Zone))
}

// withinTeamLimits reports whether the limits of a job's team leave room for the tasks that the
// job must run at the same time: one task of an array, all tasks of any other job.
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

// A Pipeline is a parsed pipeline.
type Pipeline struct {
	Ref    string
	Record record.Pipeline
	Jobs   []*wire.Spec // in the same order as in Record
}

// ParsePipeline parses and validates the specification of a pipeline, including its jobs.
// These must not have dependencies of their own, since the pipeline's links give their order,
// and must all be of one team. The shard in the result's record is not set. The error is an
// *InvalidError.
func ParsePipeline(body []byte) (*Pipeline, error) {
	var submitted wire.Pipeline
	if err := json.Unmarshal(body, &submitted); err != nil {
		return nil, invalid("", err.Error())
	}
	if !ValidPipelineReference(submitted.Ref) {
		return nil, invalid("reference", "malformed")
	}
	if len(submitted.Jobs) == 0 {
		return nil, invalid("jobs", "none")
	}
	p := &Pipeline{Ref: submitted.Ref, Record: record.Pipeline{Links: submitted.Links, Choices: submitted.Choices}}
	for _, raw := range submitted.Jobs {
		spec, err := ParseJob(raw)
		if err != nil {
			return nil, err
		}
		if len(spec.DependsOn) > 0 {
			return nil, invalid("jobs", "a job of a pipeline has dependencies of its own, want links of the pipeline")
		}
		p.Jobs = append(p.Jobs, spec)
		p.Record.Jobs = append(p.Record.Jobs, spec.Ref)
	}
	team := p.Jobs[0].Team
	if slices.ContainsFunc(p.Jobs, func(spec *wire.Spec) bool { return spec.Team != team }) {
		return nil, invalid("jobs", "jobs of several teams, want one team")
	}
	return p, validateStructure(&p.Record)
}

// validateStructure returns an *InvalidError if a pipeline's links are invalid, or if a choice
// that they leave is not stated exactly once with branches of that choice.
func validateStructure(rec *record.Pipeline) error {
	net, err := rec.Net()
	if err != nil {
		return invalid("links", err.Error())
	}
	unstated := net.Choices()
	for _, choice := range rec.Choices {
		branches, ok := unstated[choice.At]
		if !ok {
			return invalid("choices", "a choice is stated twice, or for a job that no choice follows")
		}
		if !slices.Contains(branches, choice.Done) || (choice.Cancelled != "" && !slices.Contains(branches, choice.Cancelled)) {
			return invalid("choices", "a choice names a job that is not one of its branches")
		}
		delete(unstated, choice.At)
	}
	if len(unstated) > 0 {
		return invalid("choices", "a choice that the links leave is not stated")
	}
	return nil
}
