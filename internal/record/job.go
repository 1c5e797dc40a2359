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
	// Pipeline is the pipeline that it was submitted with, if any.
	Pipeline string `json:"pipe,omitempty"`
	// AwaitsDependencies says that what it depends on has not ended yet.
	AwaitsDependencies bool `json:"held,omitempty"`
}

// FinishedJob is a job's terminal state.
type FinishedJob struct {
	State      string `json:"state"`
	Tasks      int    `json:"n,omitempty"`
	FinishedAt int64  `json:"at,omitempty"` // Unix milliseconds; 0: unknown
}
