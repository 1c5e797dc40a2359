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
	missedHeartbeats = 3               // before a machine counts as lost,
	silenceMargin    = 2 * time.Second // and this on top of them
	socketsPerProbe  = 32              // one in so many sockets may be used to probe a silent machine
	bootFactor       = 3               // of the nominal boot time, before a machine is replaced
	preemptAfter     = 2 * time.Second // a free machine of another shard may come first
	// completionsDelay is the batch delay of completions of jobs that go on: their workers
	// retain them until they are recorded. The end of a job is recorded at once.
	completionsDelay = 3 * time.Second
	startsDelay      = 150 * time.Millisecond // the batch delay of starts
	releasesDelay    = 2 * time.Second        // and of releases: unused machines cost little in that time
)

// policyKinds are the names that the policy has for kinds of jobs.
var policyKinds = map[string]string{wire.Array: "array", wire.Gang: "gang", wire.Service: "service"}

// SchedulerConfig returns the configuration of all shards from the settings, the policy, the
// rate limit of restarts and the machine types.
func SchedulerConfig(params *config.Params, pol *policy.Policy, restartPace *ratelimit.Limiter, types []wire.MachineType) *scheduler.Config {
	heartbeat := config.Seconds(params.Workers.ReportS)
	limits := params.State.Tight()
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
		ValueBytes:           limits.Bytes(),
		PlacementsPerRecord:  scheduler.PlacementsPerRecord(params.State.ValueKB),
		CompletionBatchDelay: completionsDelay,
		StartBatchDelay:      startsDelay,
		ReleaseBatchDelay:    releasesDelay,
		Pace:                 restartPace,
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

// urgency asks the policy how urgent a job is that has waited for a time.
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
