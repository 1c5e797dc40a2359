package jobspec

import (
	"encoding/json"
	"errors"
	"math"
	"testing"

	"bramblespur/internal/config"
	"bramblespur/internal/wire"
)

// trainingJob returns a well-formed specification.
func trainingJob() *wire.Spec {
	return &wire.Spec{Ref: "run-000412", Class: "train", Team: "a", Kind: wire.Array, Priority: "normal", Tasks: 2,
		CPUs: 8, GPUs: 1, MemoryGB: 16, Image: "img", ImageGB: 6.2}
}

func TestValidateNamesTheField(t *testing.T) {
	if err := Validate(trainingJob()); err != nil {
		t.Fatal(err)
	}
	for field, change := range map[string]func(*wire.Spec){
		"reference":            func(s *wire.Spec) { s.Ref = "run-00041x" },
		"class, team or image": func(s *wire.Spec) { s.Image = "" },
		"kind":                 func(s *wire.Spec) { s.Kind = "x" },
		"priority":             func(s *wire.Spec) { s.Priority = "" },
		"tasks":                func(s *wire.Spec) { s.Tasks = MaxTasks + 1 },
		"amounts":              func(s *wire.Spec) { s.CPUs = math.NaN() },
		"dependencies":         func(s *wire.Spec) { s.DependsOn = []string{"pipe-000001"} },
	} {
		spec := trainingJob()
		change(spec)
		var err *InvalidError
		if !errors.As(Validate(spec), &err) || err.Field != field {
			t.Errorf("a specification with a wrong %s is rejected with error %v, want an InvalidError with that field", field, err)
		}
	}
}

func TestValidReferences(t *testing.T) {
	for ref, want := range map[string]bool{
		"run-000001": true, "run-00001": false, "run-123456789012345678": true, "run-1234567890123456789": false,
		"run--00001": false, "pipe-000001": false, "": false,
	} {
		if got := ValidJobReference(ref); got != want {
			t.Errorf("ValidJobReference(%q) = %t, want %t", ref, got, want)
		}
	}
	if !ValidPipelineReference("pipe-000001") || ValidPipelineReference("run-000001") {
		t.Error("ValidPipelineReference does not accept exactly the prefix pipe-")
	}
}

// One task of an array has to fit the team's limits, but all tasks of a gang together.
func TestFeasibility(t *testing.T) {
	machineTypes := []wire.MachineType{{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, Zones: []string{"z"}}}
	teams := []config.Team{{Name: "a", GPUsMax: 4}}
	zone := "elsewhere"
	for name, x := range map[string]struct {
		change func(*wire.Spec)
		teams  []config.Team
		want   bool
	}{
		"fits":                    {func(*wire.Spec) {}, teams, true},
		"array above the limit":   {func(s *wire.Spec) { s.Tasks = 5 }, teams, true},
		"gang at the limit":       {func(s *wire.Spec) { s.Kind, s.Tasks = wire.Gang, 4 }, teams, true},
		"gang above the limit":    {func(s *wire.Spec) { s.Kind, s.Tasks = wire.Gang, 5 }, teams, false},
		"unknown team":            {func(s *wire.Spec) { s.Team = "b" }, teams, false},
		"without teams no limits": {func(s *wire.Spec) { s.Team = "b" }, nil, true},
		"too large":               {func(s *wire.Spec) { s.CPUs = 17 }, teams, false},
		"unknown type":            {func(s *wire.Spec) { s.Types = []string{"x"} }, teams, false},
		"no such zone":            {func(s *wire.Spec) { s.Zone = &zone }, teams, false},
	} {
		spec := trainingJob()
		x.change(spec)
		err := CheckFeasible(spec, machineTypes, x.teams)
		var infeasible *InfeasibleError
		if (err == nil) != x.want || (err != nil && !errors.As(err, &infeasible)) {
			t.Errorf("%s: unexpected result %v", name, err)
		}
	}
}

func TestMalformedBodiesAreInvalid(t *testing.T) {
	for _, body := range []string{"", "{", "[]", "null", "{}", `"x"`} {
		var invalid *InvalidError
		if _, err := ParseJob([]byte(body)); !errors.As(err, &invalid) {
			t.Errorf("ParseJob(%q) returns %v, want an InvalidError", body, err)
		}
		if _, err := ParsePipeline([]byte(body)); !errors.As(err, &invalid) {
			t.Errorf("ParsePipeline(%q) returns %v, want an InvalidError", body, err)
		}
	}
}

// Duplicate dependencies are removed, and a pipeline's jobs must not have dependencies.
func TestDependenciesAreSortedAndUnique(t *testing.T) {
	spec := trainingJob()
	spec.DependsOn = []string{"run-000002", "run-000001", "run-000002"}
	body, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseJob(body)
	if err != nil {
		t.Fatal(err)
	}
	if len(got.DependsOn) != 2 || got.DependsOn[0] != "run-000001" || got.DependsOn[1] != "run-000002" {
		t.Errorf("dependencies %v, want [run-000001 run-000002]", got.DependsOn)
	}
	pipeline, err := json.Marshal(wire.Pipeline{Ref: "pipe-000001", Jobs: []json.RawMessage{body}})
	if err != nil {
		t.Fatal(err)
	}
	var invalid *InvalidError
	if _, err := ParsePipeline(pipeline); !errors.As(err, &invalid) || invalid.Field != "jobs" {
		t.Errorf("a pipeline whose job has dependencies is rejected with error %v, want an InvalidError of field jobs", err)
	}
}
