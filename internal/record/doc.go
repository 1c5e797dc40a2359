// Package record defines the records that controllers keep in the state service: their keys,
// their Go types, and how these are encoded as JSON, decoded and checked. JSON names and keys are
// a contract with other versions of the controller; tests compare them with golden bytes.
//
// The version of a record is the state service's revision of its last write; a record that does
// not exist has version 0. Transactions compare versions, so that a write fails if the record has
// changed since the writer read it. The version of a shard's record since the shard was acquired
// is the shard's fencing token. The version of a machine's override record is the machine's fencing
// token if it is higher than the shard's.
//
// # Records
//
// Each line gives a key, the Go type of its record, who writes it on which condition, who reads it,
// and when it is deleted. The "owner" is the controller that owns a shard; all its writes also
// compare the version of the shard's record, so that they fail once another controller has acquired
// the shard. The condition "absent" means that the record must not exist, and "own version" that it
// must still have the version that the writer read. Records of subsystems are defined in their
// packages.
//
//	ctl/leader             record.Leader        leader, on election: own version, under its lease. Read by all. Goes with the lease or when it steps down.
//	ctl/types              wire.MachineTypes    first controller that receives them: absent. Read by all at start. Stays.
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
//	fleet/own/ID           record.Machine       owner that transfers the machine or raises its fencing token: own version. Read by all. Deleted by the leader before its Provision.
//	fleet/back/NAME        record.Release       owner: absent; leader, once the cloud has confirmed: own version. Read by all. Deleted by the leader after its machines' Provisions.
//	open/REF               record.ActiveJob     controller that accepts the job: it and jobs/REF absent; controller that accepts a cancellation: own version; owner, to release it from a pipeline: own version. Read by all. Deleted with the write of jobs/REF.
//	jobs/REF               record.FinishedJob   owner, or a controller that cancels dependents: version of open/REF. Read by all. Stays.
//	pipes/REF              record.Pipeline      controller that accepts it: absent; controller that accepts a cancellation, and owner, when one of its jobs ends: own version. Read by owner and status queries. Stays.
//	runs/N/N               record.Placements    owner: own version, and the versions of the jobs and machines of the tasks that it starts. Read by owner on acquiring the shard. Deleted by the owner when a record of the first format is empty.
//
// A recovery plan that an operator applies may write or delete any of these records, comparing the
// record's own version, except those of the leader, members, shards, restarts and recovery.
//
// Two more keys hold bare values: ctl/recovery/raise, written only to raise the revision of the
// state service, and ctl/recovery/lost/REF, by which operators accept that a job is lost.
package record
