// Package record defines the records that controllers keep in the key-value store: their keys,
// their Go types, and how these are encoded as JSON, decoded and checked. JSON names and keys are
// a contract with other versions; tests hold them by golden bytes.
//
// A record's version is the store's revision of its last write. Transactions compare versions, so
// that a writer acts on what it has read; version 0 is that of a record that does not exist. The
// version of a shard's record since it was acquired is the shard's fencing token, and that of an
// override record the fencing token of its machine, if higher.
//
// # Records
//
// "owner" is the controller that owns a shard; all its writes also compare the shard's record, so
// that they fail once another controller has acquired the shard. "Own version" compares the
// version of the record itself. Records of subsystems are defined in their packages.
//
//	ctl/leader             record.Leader        leader, on election: own version, under its lease. Read by all. Goes with the lease or when it steps down.
//	ctl/types              wire.MachineTypes    first controller to hear them: absent. Read by all at start. Stays.
//	ctl/members/LABEL      record.Member        that controller: unconditional, under its lease. Read by all. Goes with the lease.
//	ctl/parts/N            record.Shard         acquiring controller, or the leader to transfer it: own version. Read by all. Stays.
//	ctl/formats/LABEL      record.Format        that controller: unconditional. Read by all. Stays.
//	ctl/cluster            snapshot.Cluster     first snapshot: absent. Read by snapshots and recovery. Stays.
//	ctl/drain/plan/NAME    drain.Plan           operator: absent or own version; leader, when it is finished: own and cordons' version. Read by all. Deleted by the leader when newer ones have ended.
//	ctl/drain/ledger/TEAM  drain.Ledger         owner: own version. Read by all. Stays.
//	ctl/drain/aware/LABEL  drain.Participant    that controller: unconditional. Read by all. Deleted by it when drains are off.
//	ctl/drain/course/NAME/N  drain.Progress     owner: own version. Read by all and operators. Deleted with the plan.
//	ctl/drain/cordons      drain.Cordons        owner: own version. Read by all. Stays.
//	ctl/restart/LABEL      restart.History      that controller: own version. Read by it and operators. Stays.
//	ctl/recovery/safe-mode recovery.SafeMode    controller that detects lost data, or operator: own version. Read by all. Stays.
//	ctl/recovery/apply     recovery.Applied     operator: own version. Read by operators. Stays.
//	ctl/recovery/decisions recovery.Decisions   operator: own version. Read by operators. Stays.
//	fleet/rent/NAME        record.Provision     leader: absent, and the leader's record; owner without a leader: absent; then own version. Read by all. Deleted by the leader once its machines are released, or were refused.
//	fleet/own/ID           record.Machine       owner that transfers the machine or raises its token: own version. Read by all. Deleted by the leader before its Provision.
//	fleet/back/NAME        record.Release       owner: absent; leader, once the cloud has confirmed: own version. Read by all. Deleted by the leader after its machines' Provisions.
//	open/REF               record.ActiveJob     controller that accepts the job: it and jobs/REF absent; that accepts a cancellation: own version; owner, to release it from a pipeline: own version. Read by all. Deleted with the write of jobs/REF.
//	jobs/REF               record.FinishedJob   owner, or a controller that cancels dependents: version of open/REF. Read by all. Stays.
//	pipes/REF              record.Pipeline      controller that accepts it: absent; that accepts a cancellation, and owner at the end of its jobs: own version. Read by owner and status queries. Stays.
//	runs/N/N               record.Placements    owner: own version, and those of the jobs and machines that it starts tasks of and on. Read by owner on acquiring the shard. Deleted by the owner when nothing is left in a record of the first format.
//
// A recovery plan that an operator applies may write or delete any of them, comparing its own version,
// but those of the leader, members, shards, restarts and recovery. Two more hold bare values: ctl/recovery/raise, written only to raise the store's revision, and
// ctl/recovery/lost/REF, by which operators accept that a job is lost.
package record
