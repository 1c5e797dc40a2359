package controller

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"bramblespur/internal/agent"
	"bramblespur/internal/cloud"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/controller/shardhost"
	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// shardEnvironment adapts a Controller to shardhost.Environment.
type shardEnvironment struct{ c *Controller }

var _ shardhost.Environment = shardEnvironment{}

// Lifetime implements shardhost.Environment.
func (e shardEnvironment) Lifetime() context.Context { return e.c.lifetime }

// Store implements shardhost.Environment.
func (e shardEnvironment) Store() statestore.Store { return e.c.store }

// Agents implements shardhost.Environment.
func (e shardEnvironment) Agents() agent.API { return e.c.agents }

// Cloud implements shardhost.Environment.
func (e shardEnvironment) Cloud() cloud.API { return e.c.cloud }

// CheckResponse implements shardhost.Environment.
func (e shardEnvironment) CheckResponse(machine string, err error, check func() error) error {
	return e.c.messages.Reply("reply of a worker", machine, err, check)
}

// PipelineEnds implements shardhost.Environment.
func (e shardEnvironment) PipelineEnds(ctx context.Context, pipeline *record.Pipeline, active []string) ([]record.PipelineJobEnd, error) {
	return e.c.terminalStates.MissingPipelineEnds(ctx, e.c.store, statestore.Urgent("read back"), pipeline, active)
}

// OwnershipLocked implements shardhost.Environment.
func (e shardEnvironment) OwnershipLocked(id int) (shardhost.Ownership, bool) {
	return e.c.cluster.Shard(id)
}

// SetOwnershipLocked implements shardhost.Environment.
func (e shardEnvironment) SetOwnershipLocked(id int, rec record.Shard, version uint64) {
	e.c.setShardRecordLocked(id, rec, version)
}

// OwnersLocked implements shardhost.Environment.
func (e shardEnvironment) OwnersLocked() map[int]string { return e.c.cluster.Owners() }

// LiveMembersLocked implements shardhost.Environment.
func (e shardEnvironment) LiveMembersLocked() []string { return e.c.cluster.LiveMembers() }

// ViewLocked implements shardhost.Environment.
func (e shardEnvironment) ViewLocked(now time.Time) (known, recent bool) {
	return e.c.cluster.Loaded(), now.Sub(e.c.cluster.AsOf()) < 2*e.c.watchWait()
}

// MachinesOfShardLocked implements shardhost.Environment.
func (e shardEnvironment) MachinesOfShardLocked(id int) []clusterview.Machine {
	return e.c.machines.OfShard(id)
}

// ActiveJobLocked implements shardhost.Environment.
func (e shardEnvironment) ActiveJobLocked(ref string) (shard int, version uint64, known bool) {
	job, known := e.c.activeJobs.Job(ref)
	return job.Shard, job.Version, known
}

// JobEndSeenLocked implements shardhost.Environment.
func (e shardEnvironment) JobEndSeenLocked(ref string, version uint64) bool {
	return e.c.activeJobs.HasSeenEnd(ref, version)
}

// InheritDependenciesLocked implements shardhost.Environment.
func (e shardEnvironment) InheritDependenciesLocked(shard *scheduler.Shard) {
	for _, ref := range e.c.activeJobs.OfShard(shard.ID()) {
		shard.SetInheritedUrgency(ref, e.c.activeJobs.Urgency(ref))
	}
}

// UpgradedLocked implements shardhost.Environment.
func (e shardEnvironment) UpgradedLocked() bool { return e.c.allUpgraded() }

// AllRangesSizedLocked implements shardhost.Environment.
func (e shardEnvironment) AllRangesSizedLocked() bool { return e.c.sizedRangesRequired() }

// Incarnation implements shardhost.Environment.
func (e shardEnvironment) Incarnation() uint64 { return e.c.lease.Current().Incarnation }

// LeaseTime implements shardhost.Environment.
func (e shardEnvironment) LeaseTime() time.Duration { return membership.LeaseTTL }

// LeaseCertain implements shardhost.Environment.
func (e shardEnvironment) LeaseCertain(now time.Time) bool { return e.c.leaseCertain(now) }

// MayStartTasksLocked implements shardhost.Environment.
func (e shardEnvironment) MayStartTasksLocked(now time.Time) bool {
	return !e.c.activeJobsStaleLocked(now) && e.c.leaseCertain(now)
}

// UptimeLocked implements shardhost.Environment.
func (e shardEnvironment) UptimeLocked(now time.Time) time.Duration { return now.Sub(e.c.startedAt) }

// DataLossDetectionEnabled implements shardhost.Environment.
func (e shardEnvironment) DataLossDetectionEnabled() bool { return e.c.dataLoss.Enabled() }

// SafeModeLocked implements shardhost.Environment.
func (e shardEnvironment) SafeModeLocked() bool { return e.c.dataLoss.ActiveLocked() }

// ReportIfStaleLocked implements shardhost.Environment.
func (e shardEnvironment) ReportIfStaleLocked(key string, held, found uint64, now time.Time) {
	e.c.dataLoss.ReportIfStaleLocked(key, held, found, now)
}

// CheckReread implements shardhost.Environment.
func (e shardEnvironment) CheckReread(ctx context.Context, key string, held uint64, entry *wire.Entry) (bool, error) {
	return e.c.staleReads.CheckReread(ctx, key, held, entry)
}

// LookUpMissingRecords implements shardhost.Environment.
func (e shardEnvironment) LookUpMissingRecords(shard *scheduler.Shard, task scheduler.Unrecorded) {
	e.c.staleReads.LookUpMissing(shard, task)
}

// AcquiredLocked implements shardhost.Environment.
func (e shardEnvironment) AcquiredLocked(shard *scheduler.Shard, now time.Time) {
	e.c.reconciliation.BeginLocked(shard, now)
}

// BeforeStepLocked implements shardhost.Environment.
func (e shardEnvironment) BeforeStepLocked(shard *scheduler.Shard) {
	e.c.drainer.RefreshCordonsLocked(shard)
}

// AfterStepLocked implements shardhost.Environment.
func (e shardEnvironment) AfterStepLocked(interruptions []scheduler.Interruption, contradictions []scheduler.Contradiction, now time.Time) {
	e.c.drainer.RecordInterruptionsLocked(interruptions, now)
	e.c.reconciliation.RecordContradictionsLocked(contradictions)
}

// CommittedLocked implements shardhost.Environment.
func (e shardEnvironment) CommittedLocked(txn wire.Txn, revision uint64, now time.Time) {
	e.c.applyOwnWritesLocked(txn, revision, now)
}

// RespondToParkedLocked implements shardhost.Environment.
func (e shardEnvironment) RespondToParkedLocked(machine string, now time.Time) bool {
	if !e.c.longPolls.ParkedLocked(machine) {
		return false
	}
	e.c.longPolls.ReleaseLocked(machine, now)
	return true
}

// applyOwnWritesLocked applies the changes of a transaction that was committed at a revision to this
// controller's views and shards, before the watch delivers them. If the answer to the transaction came
// so late that the watch was faster, the views keep what they have. It also notifies the owners of
// dependent jobs of terminal records. The caller holds the shards' lock.
func (c *Controller) applyOwnWritesLocked(t wire.Txn, rev uint64, now time.Time) {
	for _, op := range t.Then {
		e := wire.Change{Put: op.Put, Value: op.Value, Delete: op.Delete, Version: rev}
		switch key := op.Put + op.Delete; {
		case strings.HasPrefix(key, record.FleetPrefix):
			c.applyMachineAheadLocked(e, now)
		case strings.HasPrefix(key, record.ActiveJobPrefix):
			c.applyActiveJobAheadLocked(e, now)
		case strings.HasPrefix(key, record.FinishedJobPrefix):
			var j record.FinishedJob
			if err := json.Unmarshal(op.Value, &j); err != nil {
				c.log.Error("malformed terminal record", "key", key, "err", err)
				continue
			}
			c.notifyDependentsLocked(record.LastElement(key), op)
			c.applyTerminalRecordLocked(record.LastElement(key), j, now)
		}
	}
}
