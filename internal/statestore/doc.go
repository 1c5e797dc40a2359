// Package statestore is the client of the consensus-backed key-value store in which
// controllers keep their records.
//
// # Requests
//
// [Store] is what controllers need of the store: reads of keys and prefixes, transactions on
// conditions (compare-and-swap), leases, and watches from a revision on. [Client] is a Store
// over HTTP, and [Guard] a Store in front of another that detects lost data.
//
// # Outcomes
//
// A transaction was applied, was not applied, or its outcome is unknown: the connection broke
// or timed out after it was sent, and the store may apply it later. [OutcomeOf] tells which by
// the error. Whoever gets an unknown outcome has to read the record again before it acts.
//
// # Limits
//
// The store limits requests and writes (changed keys) per second for all controllers together
// and refuses what is beyond. Each controller keeps to its own share with two token buckets,
// which its request scheduler hands out in order of priority, first come first served within
// one:
//
//	priority    requests                                                    longest wait
//	control     lease, member record, leadership, shards' ownership, views           2 s
//	dispatch    starts of tasks, and whatever urgent has no line of its own         10 s
//	user        submissions and cancellations                                        3 s
//	awaited     urgent completions: users or dependent jobs wait for them           10 s
//	completion  other ends of jobs, and routine requests without a line             30 s
//	background  progress of arrays, status queries, housekeeping                    30 s
//
// Reads and writes queue apart, so that a write that lacks tokens delays no read. Within a
// queue the oldest request gets a turn after agingUnits others, so that no priority starves,
// but control requests always go first. Routine requests leave a part of the burst to urgent
// ones for a while. A request that can't be admitted before its deadline is refused at once
// and has used nothing.
//
// # Loans
//
// Controllers save up only a small burst of writes each, since the store's burst holds for all
// of them together. A controller that needs more at once asks the leader, which lends writes
// from a token bucket of its own ([LoanPool]).
package statestore
