package reconcile

import "bramblespur/internal/wire"

// Freshness is what a heartbeat may be used for.
type Freshness uint8

// Kinds of heartbeats.
const (
	Superseded      Freshness = iota // its worker has seen a higher token: another owner answers it
	Stale                            // a copy, or older than one that was applied
	UnderLowerToken                  // newer, but under a lower token: it proves nothing
	Current                          // newer, and under our token: it proves what is on the machine
)

// Position is where a heartbeat stands among all of its worker's.
type Position struct{ Incarnation, Seq uint64 }

// PositionOf returns where a heartbeat stands.
func PositionOf(r *wire.Heartbeat) Position { return Position{Incarnation: r.Session, Seq: r.Seq} }

// After reports whether a heartbeat is newer than another.
func (p Position) After(held Position) bool {
	return p.Incarnation > held.Incarnation || (p.Incarnation == held.Incarnation && p.Seq > held.Seq)
}

// ClassifyHeartbeat tells what a heartbeat may be used for, by the newest position that was applied
// and the token that its machine should know. The answer does not depend on the order in which
// heartbeats arrive.
func ClassifyHeartbeat(heartbeat, held Position, token, ours uint64) Freshness {
	switch {
	case token > ours:
		return Superseded
	case !heartbeat.After(held):
		return Stale
	case token < ours:
		return UnderLowerToken
	}
	return Current
}
