package record

// Leader is the record of the elected leader.
type Leader struct {
	Label       string `json:"label"`
	Incarnation uint64 `json:"inc"`
}

// Member is the record of a live controller, with its health as it reports it.
type Member struct {
	Incarnation uint64 `json:"inc"`
	// Isolated says that neither workers nor other controllers reach this controller, although
	// it reaches the state service: other controllers can serve its shards better.
	Isolated bool `json:"deaf,omitempty"`
	// WithoutPeers says that no other controller reaches this one.
	WithoutPeers bool `json:"alone,omitempty"`
	// Overloaded says that this controller falls behind for lack of CPU time: other controllers
	// can serve its shards better.
	Overloaded bool `json:"overloaded,omitempty"`
}

// Format is the record format that a controller writes and reads. Once every configured controller
// has recorded a Format, no process of the first version owns a shard any more, because a process
// that dies is restarted in the version that it had.
type Format struct {
	Version int `json:"n"`
}

// SizedRanges is the version of the format in which each TaskRange of Placements has a Size.
const SizedRanges = 1

// Shard is the record of a shard's ownership.
type Shard struct {
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"inc"`
	TransferTo  string `json:"to,omitempty"` // the label of the controller that is to acquire the shard
}
