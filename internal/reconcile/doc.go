// Package reconcile compares records with what workers and the cloud report after a failover, and
// on every heartbeat later on. It is pure: evidence goes in, and a [Result] comes out, which is an
// outcome, the reason for it and the one action that follows.
//
// A shard's owner remembers nothing of what an earlier owner did. What a task or machine turns out
// to be is decided by evidence alone, never by time: a task that is recorded but not reported is
// missing only once a heartbeat proves that its start can't arrive any more. Evidence that arrives
// late, twice or out of order is told by the worker's incarnation and sequence number, and an
// earlier owner's commands by the fencing token.
package reconcile
