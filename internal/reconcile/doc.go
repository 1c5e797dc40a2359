// Package reconcile compares records with what workers and the cloud report, after a failover and
// on every later heartbeat. Its functions are pure: they get the evidence and return a [Result],
// which is an outcome, the reason for it and the action that follows.
//
// The owner of a shard does not remember what an earlier owner did. The outcome for a task or a
// machine depends on evidence alone, never on time: a task that is recorded but not reported is
// missing only once a heartbeat proves that its start can no longer arrive. Evidence that arrives
// late, twice or out of order is recognized by the worker's incarnation and sequence number, and
// an earlier owner's commands by the fencing token.
package reconcile
