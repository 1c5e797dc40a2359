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

// Spec is a job as its user submits it.
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
	// DependsOn are the jobs that have to complete before any task of this one starts.
	DependsOn []string `json:"roots,omitempty"`
}

// Status is the answer to a status query of a job.
type Status struct {
	Ref     string `json:"ref"`
	State   string `json:"bloom"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// JobState is the answer to a submission or a cancellation.
type JobState struct {
	Ref   string `json:"ref"`
	State string `json:"bloom"`
}

// Pipeline is several jobs as their user submits them together.
type Pipeline struct {
	Ref     string            `json:"ref"`
	Jobs    []json.RawMessage `json:"jobs"` // each as for POST /work
	Links   []Link            `json:"links"`
	Choices []Choice          `json:"choices"`
}

// Link releases one of To once one of From has ended.
type Link struct {
	From []string `json:"from"`
	To   []string `json:"to"`
}

// Choice names the job that is released after At, by how At ends. Without Cancelled the cancellation
// of At ends the branch.
type Choice struct {
	At        string `json:"at"`
	Done      string `json:"done"`
	Cancelled string `json:"aborted,omitempty"`
}

// PipelineStatus is the answer to a status query of a pipeline.
type PipelineStatus struct {
	Ref   string     `json:"ref"`
	State string     `json:"bloom"`
	Jobs  []JobState `json:"jobs"`
}

// RequiredFields are the fields of a Spec that may be neither missing nor null.
var RequiredFields = []string{"ref", "thicket", "keeper", "habit", "rank", "berries", "cores", "cards", "ram_gb",
	"same_place", "scatter", "windfall", "seedling", "pull_gb", "ripen_s", "graft_s", "press_s"}
