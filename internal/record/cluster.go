package record

// Leader is the record of the elected leader.
type Leader struct {
	Label       string `json:"label"`
	Incarnation uint64 `json:"inc"`
}

// Member is the record of a live controller, with what it tells of its health.
type Member struct {
	Incarnation uint64 `json:"inc"`
	// Isolated says that it hears neither workers nor other controllers, though it reaches
	// the state service: its shards are better off elsewhere.
	Isolated bool `json:"deaf,omitempty"`
	// WithoutPeers says that it hears no other controller.
	WithoutPeers bool `json:"alone,omitempty"`
	// Overloaded says that it falls behind for want of CPU time, so that its shards are
	// better off elsewhere.
	Overloaded bool `json:"overloaded,omitempty"`
}

// Format is the record format that a controller writes and reads. Once every configured controller
// has recorded one, no process of the first version owns a shard again: a process that dies is
// started again in the version that it had.
type Format struct {
	Version int `json:"n"`
}

// SizedRanges is the format of Placements whose ranges of tasks state their own size.
const SizedRanges = 1

// Shard is the ownership of a shard.
type Shard struct {
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"inc"`
	TransferTo  string `json:"to,omitempty"` // the controller that is to acquire it
}
