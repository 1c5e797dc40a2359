// Package statestore is the client of the state service, the consensus-backed key-value store
// in which controllers keep their records.
//
// # Requests
//
// [Store] is the interface that controllers use: reads of keys and prefixes, transactions with
// conditions (compare-and-swap), leases, and watches that start at a revision. [Client]
// implements it over HTTP, and [Guard] wraps another Store to detect lost data.
//
// # Outcomes
//
// A transaction was applied, was not applied, or its outcome is unknown: the connection broke
// or timed out after the transaction was sent, and the state service may still apply it.
// [OutcomeOf] returns the outcome for an error. After an unknown outcome the caller has to read
// the record again before it acts.
//
// # Limits
//
// The state service limits requests and writes (changed keys) per second for all controllers
// together and refuses those beyond the limits. Each controller keeps to its own share with two
// token buckets. Its request scheduler grants the tokens in order of priority, and in order of
// arrival within a priority:
//
//	priority    requests                                                    longest wait
//	control     lease, member record, leadership, shards' ownership, views           2 s
//	dispatch    starts of tasks, and urgent requests of no other line              10 s
//	user        submissions and cancellations                                        3 s
//	awaited     urgent completions: users or dependent jobs wait for them           10 s
//	completion  other ends of jobs, and routine requests of no other line          30 s
//	background  progress of arrays, status queries, housekeeping                    30 s
//
// Reads and writes have separate queues, so that a write that lacks tokens delays no read. In
// each queue the oldest request gets a turn after agingUnits others, so that no priority
// starves, but control requests always go first. Routine requests leave part of the burst to
// urgent ones for up to reserveTimeout. A request that cannot be admitted before its deadline
// is refused at once and uses no tokens.
//
// # Loans
//
// Each controller accumulates only a small burst of writes, since the state service's burst is
// shared by all of them. A controller that needs more at once requests a loan from the leader,
// which lends writes from a token bucket of its own ([LoanPool]).
package statestore
