package reconcile

import "bramblespur/internal/wire"

// Freshness classifies a heartbeat by what it may be used for.
type Freshness uint8

// Values of Freshness.
const (
	Superseded      Freshness = iota // its worker has seen a higher token, so another owner must answer it
	Stale                            // a copy of a heartbeat that was applied, or older
	UnderLowerToken                  // newer than those applied, but under a lower token: it proves nothing
	Current                          // newer than those applied, and under the owner's token: it proves what is on the machine
)

// Position orders the heartbeats of one worker: by incarnation, then by sequence number.
type Position struct{ Incarnation, Seq uint64 }

// PositionOf returns the position of a heartbeat.
func PositionOf(r *wire.Heartbeat) Position { return Position{Incarnation: r.Session, Seq: r.Seq} }

// After reports whether p is newer than other.
func (p Position) After(other Position) bool {
	return p.Incarnation > other.Incarnation || (p.Incarnation == other.Incarnation && p.Seq > other.Seq)
}

// ClassifyHeartbeat returns what a heartbeat under a fencing token may be used for, given the newest
// position that was applied and the owner's token, which the machine should have seen. The result
// does not depend on the order in which heartbeats arrive.
func ClassifyHeartbeat(heartbeat, applied Position, token, ours uint64) Freshness {
	switch {
	case token > ours:
		return Superseded
	case !heartbeat.After(applied):
		return Stale
	case token < ours:
		return UnderLowerToken
	}
	return Current
}
