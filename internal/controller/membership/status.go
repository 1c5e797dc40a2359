package membership

import (
	"time"

	"bramblespur/internal/record"
)

// WithoutPeersAfter is how long a controller must be without an answer from any other
// controller to count as partitioned from them.
const WithoutPeersAfter = 4 * time.Second

// Status is the health of a controller, as its member record reports it to the others.
type Status struct {
	WithoutPeers bool // no other controller answers
	Isolated     bool // no other controller answers, and no worker sends heartbeats
	Overloaded   bool // the controller does not keep up with its work
}

// record returns the member record of an incarnation with the status.
func (s Status) record(incarnation uint64) record.Member {
	return record.Member{Incarnation: incarnation, WithoutPeers: s.WithoutPeers, Isolated: s.Isolated, Overloaded: s.Overloaded}
}
