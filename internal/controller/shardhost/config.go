package shardhost

import (
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/policy"
	"bramblespur/internal/ratelimit"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// Defaults of the shards' timers and limits.
const (
	// missedHeartbeats is the number of heartbeat intervals that, with silenceMargin added, a
	// machine may send no heartbeat before it counts as lost.
	missedHeartbeats = 3
	silenceMargin    = 2 * time.Second
	socketsPerProbe  = 32 // number of sockets for each probe of a silent machine that may be under way
	// bootFactor is the multiple of the nominal boot time after which a machine that has not
	// come up is replaced.
	bootFactor   = 3
	preemptAfter = 2 * time.Second // until then a free machine of another shard may arrive
	// completionsDelay is the batch delay of completions in jobs that go on: the workers retain
	// the completions until they are recorded. The end of a job is recorded without delay.
	completionsDelay = 3 * time.Second
	startsDelay      = 150 * time.Millisecond // batch delay of starts
	releasesDelay    = 2 * time.Second        // batch delay of releases: unused machines cost little in that time
)

// policyKinds maps the kinds of jobs on the wire to their names in the policy.
var policyKinds = map[string]string{wire.Array: "array", wire.Gang: "gang", wire.Service: "service"}

// SchedulerConfig returns the configuration of all shards, derived from the settings, the policy,
// the rate limit of restarts and the machine types.
func SchedulerConfig(params *config.Params, pol *policy.Policy, restartLimiter *ratelimit.Limiter, types []wire.MachineType) *scheduler.Config {
	heartbeat := config.Seconds(params.Workers.HeartbeatS)
	limits := params.State.LowestLimits()
	c := &scheduler.Config{
		Teams:                map[string]scheduler.Team{},
		Types:                map[string]wire.MachineType{},
		HeartbeatInterval:    heartbeat,
		Lease:                config.Seconds(params.Workers.LeaseS),
		SilentAfter:          heartbeat*missedHeartbeats + silenceMargin,
		BootFactor:           bootFactor,
		PreemptAfter:         preemptAfter,
		GangWait:             config.Seconds(params.Workers.GangWaitS),
		MaxProbes:            max(1, params.Resources.MaxSockets/socketsPerProbe),
		TxnOps:               limits.TxnOps,
		ValueBytes:           limits.MaxValueBytes(),
		PlacementsPerRecord:  scheduler.PlacementsPerRecord(params.State.ValueKB),
		CompletionBatchDelay: completionsDelay,
		StartBatchDelay:      startsDelay,
		ReleaseBatchDelay:    releasesDelay,
		CommandLimiter:       restartLimiter,
		Urgency:              urgency(pol),
	}
	for _, t := range params.Teams {
		c.Teams[t.Name] = scheduler.Team{
			Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MaxCPUs: t.CPUsMax, MaxGPUs: t.GPUsMax,
			Share: pol.Share(policy.Team{Team: t.Name, CPUs: t.CPUs, GPUs: t.GPUs}),
		}
	}
	for _, t := range types {
		c.Types[t.Name] = t
	}
	return c
}

// urgency returns a function that computes by the policy how urgent a job is, given how long it
// has waited and its deadline, nil if it has none.
func urgency(pol *policy.Policy) func(spec *wire.Spec, waited time.Duration, deadline *float64) float64 {
	return func(spec *wire.Spec, waited time.Duration, deadline *float64) float64 {
		job := policy.Job{
			Class: spec.Class, Team: spec.Team, Kind: policyKinds[spec.Kind], Tasks: spec.Tasks,
			WaitedS: waited.Seconds(), EstimateS: spec.EstimateS,
		}
		if deadline != nil {
			job.HasDeadline, job.DeadlineS = true, *deadline
		}
		return pol.Urgency(job)
	}
}
