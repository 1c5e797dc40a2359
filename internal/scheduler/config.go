package scheduler

import (
	"time"

	"bramblespur/internal/ratelimit"
	"bramblespur/internal/wire"
)

// Team is a team's quota and its fair share.
type Team struct {
	Name             string
	CPUs, GPUs       float64 // guarantee; 0: none
	MaxCPUs, MaxGPUs float64 // limit; 0: none
	Share            float64 // fair share, relative to the shares of other teams
}

// Config holds the settings that all shards of a controller use.
type Config struct {
	Teams             map[string]Team
	Types             map[string]wire.MachineType
	HeartbeatInterval time.Duration // interval of the workers' heartbeats
	Lease             time.Duration // how long a worker's tasks outlive its last answered heartbeat
	// SilentAfter is the time without contact after which a machine counts as lost while other
	// machines of its zone respond.
	SilentAfter time.Duration
	// BootFactor is the multiple of its type's boot time that a machine may take to boot.
	BootFactor float64
	// PreemptAfter is how long a task waits for a free machine from another shard or from the
	// cloud before it preempts tasks of lower rank.
	PreemptAfter time.Duration
	// GangWait is how long a gang's task that has its image waits for the other tasks.
	GangWait time.Duration
	// MaxProbes bounds the probes in flight at a time.
	MaxProbes int
	// TxnOps and ValueBytes are the limits of the state service that writes keep to: the
	// operations in a transaction and the size of a record in bytes.
	TxnOps, ValueBytes int
	// PlacementsPerRecord bounds the tasks whose placements share one unsized record.
	PlacementsPerRecord int
	// CompletionBatchDelay is how long completions wait for more completions to share a write.
	CompletionBatchDelay time.Duration
	// StartBatchDelay and ReleaseBatchDelay are the same for starts and for releases of
	// machines.
	StartBatchDelay, ReleaseBatchDelay time.Duration
	// Urgency orders a team's jobs of one priority: smaller values first. The deadline, in
	// seconds from when the job began to wait, is the job's own or the one that its dependents
	// leave to it; nil: none.
	Urgency func(spec *wire.Spec, waited time.Duration, deadline *float64) float64
	// CommandLimiter limits the rate of commands after a restart; nil: no limit.
	CommandLimiter *ratelimit.Limiter
}
