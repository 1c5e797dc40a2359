package drain

import (
	"cmp"
	"slices"
	"time"
)

// WholeGang is the value of UnitID.Task for a gang, whose tasks are interrupted together.
const WholeGang = -1

// UnitID identifies a unit of work, which is interrupted as one: a task or a whole gang.
type UnitID struct {
	Job  string `json:"j"`
	Task int    `json:"t"` // index in the job, or WholeGang
}

// Disruption is the interruption of a unit of work: an eviction that a drain was granted, or a
// loss. It is open until the unit runs again or its job is finished.
type Disruption struct {
	UnitID
	Attempt uint64 `json:"a"` // the attempt that was, or is to be, interrupted
	Shard   int    `json:"p"` // the shard whose owner closes the disruption
	Class   string `json:"c,omitempty"`
	Machine string `json:"m,omitempty"`
	// Drain is the drain that the eviction was granted to; empty for a loss.
	Drain  string `json:"d,omitempty"`
	At     int64  `json:"at"`          // milliseconds
	Forced bool   `json:"f,omitempty"` // the eviction was granted beyond the budget
}

// Spent counts closed disruptions of a class, and records when the last of them was closed.
type Spent struct {
	Class string `json:"c,omitempty"`
	At    int64  `json:"at"` // milliseconds
	Count int    `json:"n"`
}

// Ledger is a team's record of disruptions. Each grant is a write conditional on the ledger being
// unchanged, so that no two controllers can both take the last eviction that the budget allows.
type Ledger struct {
	Team  string       `json:"team"`
	Open  []Disruption `json:"open,omitempty"`
	Spent []Spent      `json:"spent,omitempty"`
}

// Limit bounds the disruptions that are open at a time and those within a sliding window.
type Limit struct {
	MaxConcurrent int           `json:"at_once"`
	MaxInWindow   int           `json:"in_window"`
	Window        time.Duration `json:"window"`
}

// Budget is a team's disruption budget: the limit for all of its work, and further limits for
// single classes.
type Budget struct {
	Limit
	Classes map[string]Limit `json:"classes,omitempty"`
}

// spentResolution is the time within which disruptions of a class are closed that share one entry of
// Ledger.Spent.
const spentResolution = 10 * time.Second

// Clone returns a copy that shares no memory with the ledger.
func (l Ledger) Clone() Ledger {
	return Ledger{Team: l.Team, Open: slices.Clone(l.Open), Spent: slices.Clone(l.Spent)}
}

// Available returns how many more disruptions of a class a budget allows; it is negative where
// losses exceed the budget. A disruption counts in the window while it is open and for the
// window's length after that. So no window holds more disruptions than allowed, whenever between
// grant and end the work really stopped.
func (l *Ledger) Available(b Budget, class string, now time.Time) int {
	available := l.available(b.Limit, now, func(string) bool { return true })
	if c, ok := b.Classes[class]; ok {
		available = min(available, l.available(c, now, func(other string) bool { return other == class }))
	}
	return available
}

// available returns how many more disruptions a limit allows, for the classes that it counts.
func (l *Ledger) available(limit Limit, now time.Time, counts func(class string) bool) int {
	open, inWindow := 0, 0
	for _, d := range l.Open {
		if counts(d.Class) {
			open++
		}
	}
	for _, s := range l.Spent {
		if counts(s.Class) && s.within(limit.Window, now) {
			inWindow += s.Count
		}
	}
	return min(limit.MaxConcurrent-open, limit.MaxInWindow-open-inWindow)
}

// within reports whether the disruptions count in the window that ends now.
func (s Spent) within(window time.Duration, now time.Time) bool {
	return now.Sub(time.UnixMilli(s.At)) <= window
}

// OpenDisruption returns the open disruption of a unit, or nil if there is none. It points into
// the ledger.
func (l *Ledger) OpenDisruption(u UnitID) *Disruption {
	i := slices.IndexFunc(l.Open, func(d Disruption) bool { return d.UnitID == u })
	if i < 0 {
		return nil
	}
	return &l.Open[i]
}

// Add opens a disruption and reports whether it did: a unit has one open disruption at most.
func (l *Ledger) Add(d Disruption) bool {
	if l.OpenDisruption(d.UnitID) != nil {
		return false
	}
	l.Open = append(l.Open, d)
	return true
}

// Close closes the disruption of a unit that runs again or whose job is finished. It counts in the
// window from now on.
func (l *Ledger) Close(u UnitID, now time.Time) {
	if d := l.OpenDisruption(u); d != nil {
		class := d.Class
		l.Withdraw(u)
		l.addSpent(class, 1, now)
	}
}

// Withdraw removes the disruption of a unit without counting it, for a grant that interrupted
// nothing.
func (l *Ledger) Withdraw(u UnitID) {
	l.Open = slices.DeleteFunc(l.Open, func(d Disruption) bool { return d.UnitID == u })
}

// addSpent counts disruptions of a class that were closed at a time. Disruptions that were closed
// within spentResolution share an entry, which has the time of the last.
func (l *Ledger) addSpent(class string, count int, now time.Time) {
	for i := range l.Spent {
		s := &l.Spent[i]
		if s.Class == class && now.Sub(time.UnixMilli(s.At)).Abs() < spentResolution {
			s.At, s.Count = max(s.At, now.UnixMilli()), s.Count+count
			return
		}
	}
	l.Spent = append(l.Spent, Spent{Class: class, At: now.UnixMilli(), Count: count})
}

// Expire drops the closed disruptions that lie outside all windows of the budget.
func (l *Ledger) Expire(b Budget, now time.Time) {
	l.Spent = slices.DeleteFunc(l.Spent, func(s Spent) bool { return !s.within(b.longestWindow(), now) })
}

// ShrinkTo shrinks the ledger to a number of bytes at most, as measured by size, and reports
// whether that was possible. It merges the counts of closed disruptions under the latest time among
// them, so that the remaining budget can only decrease. If that is not enough, it counts open losses,
// which cannot be refused, as closed.
func (l *Ledger) ShrinkTo(size func(*Ledger) int, bytes int) bool {
	for size(l) > bytes {
		if !l.mergeSpent() && !l.closeOldestLoss() {
			return false
		}
	}
	return true
}

// closeOldestLoss counts the oldest open loss as closed at the time of the loss, and reports
// whether there was one.
func (l *Ledger) closeOldestLoss() bool {
	i := slices.IndexFunc(l.Open, func(d Disruption) bool { return d.Drain == "" })
	if i < 0 {
		return false
	}
	lost := l.Open[i]
	l.Open = slices.Delete(l.Open, i, i+1)
	l.addSpent(lost.Class, 1, time.UnixMilli(lost.At))
	return true
}

// mergeSpent adds the oldest count that can be merged to the next one of its class, and reports
// whether there was one.
func (l *Ledger) mergeSpent() bool {
	slices.SortStableFunc(l.Spent, func(a, b Spent) int { return cmp.Compare(a.At, b.At) })
	for i, s := range l.Spent {
		rest := l.Spent[i+1:]
		if k := slices.IndexFunc(rest, func(other Spent) bool { return other.Class == s.Class }); k >= 0 {
			rest[k].Count += s.Count
			l.Spent = slices.Delete(l.Spent, i, i+1)
			return true
		}
	}
	return false
}
