// Package scheduler is the pure core of one shard: the ledger of its tasks and
// machines, its queues, placement, preemption and demand. It starts no
// goroutines, takes no locks and does no input or output; its caller holds
// the lock of the shards during each call.
//
// # How it is used
//
// Events and the time go in through methods of Shard: records (Load, SetJob,
// SetMachine, the Read methods), heartbeats of workers (Heartbeat,
// ProbeAnswered, CommandDone), wishes of the leader (ApplyFleetOrder) and the
// outcomes of transactions (Applied, Conflict, Refused, TooLarge, Unknown). After
// any of them, and when time has passed, Step does what is due and returns
// Effects, the one struct of all that the caller has to carry out.
//
// # Invariants
//
//   - Nothing runs that was not recorded: a placement first becomes a transaction,
//     and only when that has succeeded does a heartbeat's response carry the start.
//   - A placed task keeps its place, its resources and its quota until its machine
//     proved it gone, or is proven gone itself.
//   - Each write is conditional on the shard's record, so that one whose ownership
//     was lost writes nothing any more.
//   - Of a gang all tasks are recorded before one starts.
//   - What a heartbeat or a placement brings about looks at the machines and jobs
//     that the inventory finds for it, never at all of them.
//
// # What is where
//
//   - task, Job and Machine are the state; task_ledger.go has the transitions
//     pending → placed → completed and back to pending.
//   - placementLedger (placement_records.go) says which record tells of which tasks;
//     record_writes.go and write_outcomes.go write them.
//   - inventory finds machines by free room, cached image and priority.
//   - placement.go orders the jobs, candidates.go filters and packs machines,
//     score.go ranks them, preemption.go makes room, feasibility.go and
//     reserveForGang serve gangs.
//   - heartbeat.go and reconcile.go compare what workers report with the ledger;
//     machine_health.go, probe.go and unreachable.go find lost machines.
//   - data_loss.go, unreadable_records.go and reconciliation_progress.go serve a
//     shard that was just acquired.
package scheduler
