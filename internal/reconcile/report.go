package reconcile

import "bramblespur/internal/wire"

// Freshness is what a report may be used for.
type Freshness uint8

// Kinds of reports.
const (
	Superseded      Freshness = iota // its worker has seen a higher token: it is not ours to answer
	Stale                            // a copy, or older than one that was taken in
	UnderLowerToken                  // newer, but under a lower token: it settles nothing
	Current                          // newer, and under our token: it settles what is on the machine
)

// Position is where a report stands among all of its worker's.
type Position struct{ Incarnation, Seq uint64 }

// PositionOf returns where a report stands.
func PositionOf(r *wire.Heartbeat) Position { return Position{Incarnation: r.Session, Seq: r.Seq} }

// After reports whether a report is newer than another.
func (o Position) After(held Position) bool {
	return o.Incarnation > held.Incarnation || (o.Incarnation == held.Incarnation && o.Seq > held.Seq)
}

// ClassifyHeartbeat tells what a report may be used for, by the newest that was taken in and the token
// that its machine should know. What comes late, doubled or in another order than it was
// sent is told by session and sequence, and an earlier owner's doing by the token, so the
// answer does not depend on the order in which things arrive.
func ClassifyHeartbeat(report, held Position, token, ours uint64) Freshness {
	switch {
	case token > ours:
		return Superseded
	case !report.After(held):
		return Stale
	case token < ours:
		return UnderLowerToken
	}
	return Current
}
