package wire

import (
	"encoding/json"
)

// Job kinds.
const (
	Array   = "batch"
	Gang    = "ensemble"
	Service = "standing"
)

// Job states.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "aborted"
)

// Spec is a job as its user submits it. CPUs, GPUs and MemoryGB are those of one task; durations are in
// seconds.
type Spec struct {
	Ref         string   `json:"ref"`
	Class       string   `json:"thicket"`
	Team        string   `json:"keeper"`
	Kind        string   `json:"habit"`
	Priority    string   `json:"rank"`
	Tasks       int      `json:"berries"`
	CPUs        float64  `json:"cores"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"ram_gb"`
	Types       []string `json:"stocks"`
	Zone        *string  `json:"patch"`
	OneZone     bool     `json:"same_place"`
	Spread      bool     `json:"scatter"`
	Spot        bool     `json:"windfall"`
	Image       string   `json:"seedling"`
	ImageGB     float64  `json:"pull_gb"`
	EstimateS   float64  `json:"ripen_s"`
	CheckpointS float64  `json:"graft_s"`
	SaveS       float64  `json:"press_s"`
	DeadlineS   *float64 `json:"harvest_s"`
	// DependsOn lists the jobs that must complete before any task of this one starts.
	DependsOn []string `json:"roots,omitempty"`
}

// Status is the response to a status query of a job. Done and Running count its tasks.
type Status struct {
	Ref     string `json:"ref"`
	State   string `json:"bloom"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// JobState is the response to a submission or a cancellation, and the state of one job in a
// PipelineStatus.
type JobState struct {
	Ref   string `json:"ref"`
	State string `json:"bloom"`
}

// Pipeline is a set of jobs that a user submits together, with the dependencies between them.
type Pipeline struct {
	Ref     string            `json:"ref"`
	Jobs    []json.RawMessage `json:"jobs"` // each encoded as for POST /work
	Links   []Link            `json:"links"`
	Choices []Choice          `json:"choices"`
}

// Link releases one of To once one of From has ended.
type Link struct {
	From []string `json:"from"`
	To   []string `json:"to"`
}

// Choice names the job that is released after At ends: Done if At completes, Cancelled if At is
// cancelled. If Cancelled is empty, the cancellation of At ends the branch.
type Choice struct {
	At        string `json:"at"`
	Done      string `json:"done"`
	Cancelled string `json:"aborted,omitempty"`
}

// PipelineStatus is the response to a status query of a pipeline.
type PipelineStatus struct {
	Ref   string     `json:"ref"`
	State string     `json:"bloom"`
	Jobs  []JobState `json:"jobs"`
}

// RequiredFields are the JSON names of the fields of a Spec that may be neither missing nor null.
var RequiredFields = []string{"ref", "thicket", "keeper", "habit", "rank", "berries", "cores", "cards", "ram_gb",
	"same_place", "scatter", "windfall", "seedling", "pull_gb", "ripen_s", "graft_s", "press_s"}
