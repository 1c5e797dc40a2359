package drain

import (
	"cmp"
	"slices"
	"time"
)

// WholeGang is the task of a unit that is a gang: its tasks are interrupted together.
const WholeGang = -1

// UnitID names what is interrupted as one: a task, or a gang as a whole.
type UnitID struct {
	Job  string `json:"j"`
	Task int    `json:"t"`
}

// Disruption is a unit of work that does not run: evicted by a drain, or lost. It stays
// open until the unit runs again or its job is over.
type Disruption struct {
	UnitID
	Attempt uint64 `json:"a"` // that was, or is to be, interrupted
	Shard   int    `json:"p"` // whose owner closes it
	Class   string `json:"c,omitempty"`
	Machine string `json:"m,omitempty"`
	// Drain is the drain that it was granted to; empty: a loss that nobody chose.
	Drain  string `json:"d,omitempty"`
	At     int64  `json:"at"`          // milliseconds
	Forced bool   `json:"f,omitempty"` // granted beyond the budget
}

// Spent is a number of disruptions of a class that are over, and when the last one was.
type Spent struct {
	Class string `json:"c,omitempty"`
	At    int64  `json:"at"`
	Count int    `json:"n"`
}

// Ledger is a team's record of disruptions. Each grant is a write on the condition that
// the ledger has not changed, so that no two controllers can both take the last one.
type Ledger struct {
	Team  string       `json:"team"`
	Open  []Disruption `json:"open,omitempty"`
	Spent []Spent      `json:"spent,omitempty"`
}

// Limit is how many disruptions are allowed at a time and within a sliding window.
type Limit struct {
	MaxConcurrent int           `json:"at_once"`
	MaxInWindow   int           `json:"in_window"`
	Window        time.Duration `json:"window"`
}

// Budget is a team's limit, and those of classes that have one of their own besides.
type Budget struct {
	Limit
	Classes map[string]Limit `json:"classes,omitempty"`
}

// spentResolution is how far apart ends may be that share an entry of a ledger.
const spentResolution = 10 * time.Second

// Clone returns a copy that shares nothing.
func (l Ledger) Clone() Ledger {
	return Ledger{Team: l.Team, Open: slices.Clone(l.Open), Spent: slices.Clone(l.Spent)}
}

// Available returns how many more disruptions of a class a budget allows. A disruption counts
// in the window for as long as it is open and then for the window's length: whenever
// between its grant and its end the work really stopped, no window holds more.
func (l *Ledger) Available(b Budget, class string, now time.Time) int {
	room := l.available(b.Limit, now, func(string) bool { return true })
	if c, ok := b.Classes[class]; ok {
		room = min(room, l.available(c, now, func(of string) bool { return of == class }))
	}
	return room
}

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

func (s Spent) within(window time.Duration, now time.Time) bool {
	return now.Sub(time.UnixMilli(s.At)) <= window
}

// OpenDisruption returns the open disruption of a unit, nil if there is none.
func (l *Ledger) OpenDisruption(u UnitID) *Disruption {
	i := slices.IndexFunc(l.Open, func(d Disruption) bool { return d.UnitID == u })
	if i < 0 {
		return nil
	}
	return &l.Open[i]
}

// Add opens a disruption unless the unit has one already.
func (l *Ledger) Add(d Disruption) bool {
	if l.OpenDisruption(d.UnitID) != nil {
		return false
	}
	l.Open = append(l.Open, d)
	return true
}

// Close ends the disruption of a unit that runs again or is over; it counts in the window
// from now on.
func (l *Ledger) Close(u UnitID, now time.Time) {
	if d := l.OpenDisruption(u); d != nil {
		class := d.Class
		l.Withdraw(u)
		l.addSpent(class, 1, now)
	}
}

// Withdraw takes back a grant that interrupted nothing.
func (l *Ledger) Withdraw(u UnitID) {
	l.Open = slices.DeleteFunc(l.Open, func(d Disruption) bool { return d.UnitID == u })
}

// addSpent counts disruptions that are over. Those of a class that end at about the same
// time share an entry, which counts as of the last.
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

// Expire drops what no window of a budget reaches any more.
func (l *Ledger) Expire(b Budget, now time.Time) {
	l.Spent = slices.DeleteFunc(l.Spent, func(s Spent) bool { return !s.within(b.longestWindow(), now) })
}

// ShrinkTo makes a ledger keep to a number of bytes, by the given size function, and reports whether that
// was possible. Counts are merged, each as of the latest of them, so that what is left of
// the budget only shrinks. Only if that is not enough are losses, which can't be refused,
// counted in the window instead of listed as open.
func (l *Ledger) ShrinkTo(size func(*Ledger) int, bytes int) bool {
	for size(l) > bytes {
		if !l.mergeSpent() && !l.closeOldestLoss() {
			return false
		}
	}
	return true
}

// closeOldestLoss counts the oldest open loss instead of listing it.
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

// mergeSpent merges the two oldest counts of one class.
func (l *Ledger) mergeSpent() bool {
	slices.SortStableFunc(l.Spent, func(a, b Spent) int { return cmp.Compare(a.At, b.At) })
	for i, s := range l.Spent {
		rest := l.Spent[i+1:]
		if k := slices.IndexFunc(rest, func(o Spent) bool { return o.Class == s.Class }); k >= 0 {
			rest[k].Count += s.Count
			l.Spent = slices.Delete(l.Spent, i, i+1)
			return true
		}
	}
	return false
}
