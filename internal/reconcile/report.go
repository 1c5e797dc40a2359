package reconcile

import "bramblespur/internal/wire"

// Freshness is what a report may be used for.
type Freshness uint8

// Kinds of reports.
const (
	Deposed  Freshness = iota // its worker has seen a higher token: it is not ours to answer
	Late                      // a copy, or older than one that was taken in
	Unfenced                  // newer, but under a lower token: it settles nothing
	Current                   // newer, and under our token: it settles what is on the machine
)

// Order is where a report stands among all of its worker's.
type Order struct{ Session, Seq uint64 }

// OrderOf returns where a report stands.
func OrderOf(r *wire.Heartbeat) Order { return Order{Session: r.Session, Seq: r.Seq} }

// After reports whether a report is newer than another.
func (o Order) After(held Order) bool {
	return o.Session > held.Session || (o.Session == held.Session && o.Seq > held.Seq)
}

// Fresh tells what a report may be used for, by the newest that was taken in and the token
// that its machine should know. What comes late, doubled or in another order than it was
// sent is told by session and sequence, and an earlier owner's doing by the token, so the
// answer does not depend on the order in which things arrive.
func Fresh(report, held Order, token, ours uint64) Freshness {
	switch {
	case token > ours:
		return Deposed
	case !report.After(held):
		return Late
	case token < ours:
		return Unfenced
	}
	return Current
}
