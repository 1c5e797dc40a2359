package membership

import (
	"time"

	"bramblespur/internal/record"
)

// WithoutPeersAfter is how long a controller must be without an answer from any other to
// count as partitioned from them.
const WithoutPeersAfter = 4 * time.Second

// Status is what a controller's member record tells the others of how it serves.
type Status struct {
	WithoutPeers bool // no other controller answers
	Isolated     bool // nor does any worker report
	Overloaded   bool // it does not keep up
}

// record returns the member record of an incarnation with that status.
func (s Status) record(incarnation uint64) record.Member {
	return record.Member{Incarnation: incarnation, WithoutPeers: s.WithoutPeers, Isolated: s.Isolated, Overloaded: s.Overloaded}
}
