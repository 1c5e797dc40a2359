package drain

import (
	"maps"
	"slices"
	"time"
)

// HoldReason says why a machine's work is not evicted yet.
type HoldReason string

// Reasons to hold.
const (
	HeldEndsSoon    HoldReason = "ends soon by itself"
	HeldCheckpoint  HoldReason = "a checkpoint is due"
	HeldNoRoom      HoldReason = "no replacement"
	HeldReplica     HoldReason = "another replica is not up"
	HeldBudget      HoldReason = "budget used up"
	HeldUnreachable HoldReason = "machine does not answer"
	HeldStopping    HoldReason = "is being stopped"
	HeldPaused      HoldReason = "paused"
)

// Use is what a team had of its budget at a moment.
type Use struct {
	Open     int `json:"o"` // at a time
	InWindow int `json:"w"`
}

// Point is a moment of a drain's course.
type Point struct {
	At       int64          `json:"at"` // milliseconds
	Cordoned int            `json:"c"`  // machines of the part that were cordoned so far
	Returned int            `json:"r"`  // and those of them that are gone
	Teams    map[string]Use `json:"u,omitempty"`
}

// TeamTotal is what a drain did to a team's work.
type TeamTotal struct {
	Evicted int     `json:"n"`
	Forced  int     `json:"f,omitempty"` // of them beyond the budget
	LostS   float64 `json:"lost"`        // seconds of work that were not saved, for all tasks
}

// Course is what a part did for a drain, for the report. It is bounded: points are thinned
// out as they become many.
type Course struct {
	Cordoned int                    `json:"c"`
	Returned int                    `json:"r"`
	Teams    map[string]TeamTotal   `json:"teams,omitempty"`
	HeldS    map[HoldReason]float64 `json:"held,omitempty"` // machines' seconds
	Points   []Point                `json:"points,omitempty"`
}

// maxPoints bounds the points of a course.
const maxPoints = 96

// Clone returns a copy that shares nothing that is changed.
func (c Course) Clone() Course {
	out := Course{Cordoned: c.Cordoned, Returned: c.Returned, Points: slices.Clone(c.Points)}
	out.Teams = maps.Clone(c.Teams)
	out.HeldS = maps.Clone(c.HeldS)
	if out.Teams == nil {
		out.Teams = map[string]TeamTotal{}
	}
	if out.HeldS == nil {
		out.HeldS = map[HoldReason]float64{}
	}
	return out
}

// Evicted counts an eviction of a team's work.
func (c *Course) Evicted(team string, lost time.Duration, forced bool) {
	t := c.Teams[team]
	t.Evicted++
	t.LostS += lost.Seconds()
	if forced {
		t.Forced++
	}
	c.Teams[team] = t
}

// Mark adds a point.
func (c *Course) Mark(now time.Time, teams map[string]Use) {
	c.Points = append(c.Points, Point{At: now.UnixMilli(), Cordoned: c.Cordoned, Returned: c.Returned, Teams: teams})
	if len(c.Points) > maxPoints {
		c.thin()
	}
}

// Fit thins a course out until it keeps to a number of bytes, as size tells, and reports
// whether it does.
func (c *Course) Fit(size func(*Course) int, bytes int) bool {
	for size(c) > bytes {
		if len(c.Points) <= 2 {
			return false
		}
		c.thin()
	}
	return true
}

// thin drops every second point but the last.
func (c *Course) thin() {
	var kept []Point
	for i, p := range c.Points {
		if i%2 == 0 || i == len(c.Points)-1 {
			kept = append(kept, p)
		}
	}
	c.Points = kept
}

// Usage returns what a ledger has in use of a budget.
func (l *Ledger) Usage(b Budget, now time.Time) Use {
	u := Use{Open: len(l.Open), InWindow: len(l.Open)}
	for _, s := range l.Spent {
		if s.within(b.Window, now) {
			u.InWindow += s.Count
		}
	}
	return u
}
