package peer

import (
	"bramblespur/internal/fleet"
	"bramblespur/internal/recovery"
	"bramblespur/internal/wire"
)

// SyncArgs is sent by the leader to every controller. It carries commands for the shards that the
// receiver owns, shards to acquire or transfer, and the receiver's shares of the cluster's limits.
type SyncArgs struct {
	From   string        // label of the leader
	Orders []fleet.Order // commands to transfer or release machines
	Claim  []int         // shards to acquire, since their owners cannot be reached
	// HandHome are shards to transfer back to their preferred owners.
	HandHome []int
	// Requests and Changes are the receiver's shares of the state service's rate limits:
	// requests and changed keys per second; 0: an equal share.
	Requests, Changes float64
	// OrderRate is how many commands to workers the receiver may send per second during
	// reconciliation after a restart; 0: an equal share.
	OrderRate float64
}

// SyncReply describes a controller's shards and its health.
type SyncReply struct {
	Summaries []fleet.Summary // of the shards that the sender owns
	StateOK   bool            // the sender has recently reached the state service
	// Requests and Changes are how many requests to the state service and how many changed keys
	// the sender needed since the last call.
	Requests, Changes int
	// Recovering says that the sender does not keep up for lack of CPU time, or did not until
	// recently, and should not get its shards back. HasRoom says that it could own another
	// controller's shard as well. Versions that lack these fields leave both false.
	Recovering, HasRoom bool
	// OrdersWaiting is how many commands to workers the sender held back since the last call.
	OrdersWaiting int
}

// NotifyArgs carries a job's record to the owner of a shard as soon as it is written: an active
// job's record to the owner of the job, a terminal record to the owners of dependent jobs.
type NotifyArgs struct {
	Key     string
	Value   []byte // JSON
	Version uint64 // of an active job's record; 0 for a terminal record
}

// HeartbeatReply answers a relayed heartbeat.
type HeartbeatReply struct {
	Status int               // HTTP status of the response to the worker
	Orders wire.CommandBatch // body of the response if the status is 200
}

// UserArgs is a forwarded request of a user: one that the sender cannot serve, as it does not reach
// the state service.
type UserArgs struct {
	Method, Path string // of the HTTP request
	Body         []byte
}

// UserReply answers a forwarded request.
type UserReply struct {
	Status     int // HTTP status of the response to the user
	Body       []byte
	RetryAfter int // seconds after which the user is to repeat the request; 0: none given
}

// LoanArgs asks the leader for changes of keys beyond the sender's share of the state service's
// limit.
type LoanArgs struct {
	From    string // label of the sender
	Changes int    // number of changed keys
	Modest  bool   // leave part of the loans to controllers that need many changes at once
}

// EvidenceArgs asks a controller in safe mode for a page of the records that it holds in memory:
// those whose keys follow After, in the order of keys. An empty After asks for the first page.
type EvidenceArgs struct{ After string }

// EvidenceReply is a page of the records that a controller in safe mode holds in memory.
type EvidenceReply struct {
	Mode recovery.SafeMode // not active: the sender is not in safe mode
	// View is the sender's view of all active jobs. It comes with the first page only.
	View recovery.View
	Held []wire.Entry // the page, sorted by key
	More bool         // more records follow the last of Held
	// Reports are the newest heartbeats of workers that the sender received since safe mode
	// began. They come with the first page only.
	Reports []wire.Heartbeat
}
