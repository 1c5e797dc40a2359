// Package scheduler implements scheduling for one shard: it owns the ledger of the shard's
// tasks and machines, its queues, placement, preemption and its demand for machines. It starts
// no goroutines, takes no locks and does no input or output; the caller holds the lock of the
// shards during each call.
//
// # Usage
//
// Events and the current time are passed to methods of Shard: records (Load, SetJob,
// SetMachine, the Read methods), heartbeats of workers (Heartbeat, ProbeDone,
// CommandDone), orders of the leader (ApplyFleetOrder) and the outcomes of transactions
// (Applied, Conflict, Refused, TooLarge, Unknown). After any of them, and when time has passed,
// Step does the work that is due and returns Effects, which lists everything that the caller
// has to carry out.
//
// # Invariants
//
//   - No task runs unrecorded: a placement is first written by a transaction, and only once
//     that has succeeded does the response to a heartbeat carry the start command.
//   - A placed task keeps its machine, its resources and its quota until its machine has proven
//     that the task is gone, or the machine itself is proven gone.
//   - Each write is conditional on the shard's record, so that a shard whose ownership was lost
//     can no longer write.
//   - All tasks of a gang are recorded before one of them starts.
//   - Handling a heartbeat or a placement examines only the machines and jobs that the inventory
//     finds for it, never all of them.
//
// # Files
//
//   - task, Job and Machine hold the state; task_ledger.go has the transitions
//     pending → placed → completed and back to pending.
//   - placementLedger (placement_records.go) assigns ranges of tasks to placement records;
//     record_writes.go and write_outcomes.go write these records.
//   - inventory finds machines by free resources, cached image and priority.
//   - placement.go orders the jobs, candidates.go filters and packs machines,
//     score.go ranks them, preemption.go frees resources, feasibility.go and
//     reserveForGang serve gangs.
//   - heartbeat.go and reconcile.go compare the reports of workers with the ledger;
//     machine_health.go, probe.go and unreachable.go find lost machines.
//   - data_loss.go, unreadable_records.go and reconciliation_progress.go serve a
//     shard that was just acquired.
package scheduler
