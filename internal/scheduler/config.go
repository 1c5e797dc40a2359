package scheduler

import (
	"time"

	"bramblespur/internal/ratelimit"
	"bramblespur/internal/wire"
)

// Team is a team's guarantee and limit (0: none) and its share.
type Team struct {
	Name             string
	CPUs, GPUs       float64 // guaranteed
	MaxCPUs, MaxGPUs float64
	Share            float64
}

// Config is what a shard's core needs to know.
type Config struct {
	Teams             map[string]Team
	Types             map[string]wire.MachineType
	HeartbeatInterval time.Duration // interval of heartbeats
	Lease             time.Duration // workers' lease
	// SilentAfter is when a machine counts as lost while others are heard.
	SilentAfter time.Duration
	// BootFactor times a type's boot time is how long a machine may boot.
	BootFactor float64
	// PreemptAfter is how long a task waits for a free machine from elsewhere
	// before it takes the place of lower work.
	PreemptAfter time.Duration
	// GangWait is how long a gang's task that has its image waits for the others.
	GangWait time.Duration
	// MaxProbes is how many machines may be asked for their heartbeats at a time.
	MaxProbes int
	// TxnOps and ValueBytes are the limits to write by: the changes in a
	// transaction and the size of a record.
	TxnOps, ValueBytes int
	// PlacementsPerRecord bounds the tasks whose placements share one unsized record.
	PlacementsPerRecord int
	// CompletionBatchDelay is how long completions wait for others to share their write.
	CompletionBatchDelay time.Duration
	// StartBatchDelay and ReleaseBatchDelay are the same for starts and for machines
	// released.
	StartBatchDelay, ReleaseBatchDelay time.Duration
	// Urgency orders a team's jobs of one priority; smaller goes first. The
	// deadline, in seconds from when it began to wait, is its own or the one that
	// those which need it leave.
	Urgency func(spec *wire.Spec, waited time.Duration, deadline *float64) float64
	// CommandLimiter holds orders back after a restart; nil: they are never held back.
	CommandLimiter *ratelimit.Limiter
}
