package peer

import (
	"bramblespur/internal/fleet"
	"bramblespur/internal/recovery"
	"bramblespur/internal/wire"
)

// SyncArgs goes from the leader to every controller: commands for its shards, and
// shards that it should acquire since their owner can't be reached.
type SyncArgs struct {
	From   string
	Orders []fleet.Order
	Claim  []int // shards to acquire
	// HandHome are shards to transfer back to their preferred owners.
	HandHome []int
	// Requests and Changes are what the receiver may use of the state service's limits, per
	// second; 0: an equal share.
	Requests, Changes float64
	// OrderRate is how many commands to workers the receiver may send per second during
	// reconciliation after a restart; 0: an equal share.
	OrderRate float64
}

// SyncReply describes a controller's shards and its health.
type SyncReply struct {
	Summaries []fleet.Summary
	StateOK   bool // the sender has recently reached the state service
	// Requests and Changes are what the sender needed of the state service since the last
	// call.
	Requests, Changes int
	// Recovering says that the sender falls behind for want of CPU time, or recently did, and
	// should not get its shards back; HasRoom that it could take another's. Both are false
	// from versions without them.
	Recovering, HasRoom bool
	// OrdersWaiting is how many commands to workers the sender held back since the last call.
	OrdersWaiting int
}

// NotifyArgs carries a job's record, as it was just written, to the owner of its shard.
type NotifyArgs struct {
	Key     string
	Value   []byte
	Version uint64
}

// HeartbeatReply answers a relayed heartbeat.
type HeartbeatReply struct {
	Status int
	Orders wire.Orders
}

// UserArgs is a user's request that its receiver can't serve without the state service, and that
// another controller may.
type UserArgs struct {
	Method, Path string
	Body         []byte
}

// UserReply answers a relayed user's request.
type UserReply struct {
	Status     int
	Body       []byte
	RetryAfter int
}

// LoanArgs asks the leader for writes beyond the sender's share of the state service's limit.
type LoanArgs struct {
	From    string
	Changes int
	Modest  bool // leave some to those that need many at once
}

// EvidenceArgs asks for the records after a key that a controller in safe mode holds in memory.
type EvidenceArgs struct{ After string }

// EvidenceReply is a page of them.
type EvidenceReply struct {
	Mode recovery.SafeMode // not active: the sender is not in safe mode
	// View is what the sender knew of all active jobs, with the first page.
	View    recovery.View
	Held    []wire.Entry
	More    bool
	Reports []wire.Heartbeat // with the first page
}
