package record

import (
	"bramblespur/internal/wire"
)

// ActiveJob is a job that is not terminal.
type ActiveJob struct {
	Spec       wire.Spec `json:"spec"`
	Shard      int       `json:"part"`
	AcceptedAt int64     `json:"at"` // Unix milliseconds
	Cancelled  bool      `json:"cancelled,omitempty"`
	// Pipeline is the reference of the pipeline with which the job was submitted, empty for none.
	Pipeline string `json:"pipe,omitempty"`
	// AwaitsDependencies says that the job may not start yet, because the jobs on which it
	// depends have not ended.
	AwaitsDependencies bool `json:"held,omitempty"`
}

// FinishedJob is the terminal state of a job.
type FinishedJob struct {
	State      string `json:"state"`
	Tasks      int    `json:"n,omitempty"`
	FinishedAt int64  `json:"at,omitempty"` // Unix milliseconds, 0 if unknown
}
