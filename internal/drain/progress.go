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
	HoldEndsSoon        HoldReason = "ends soon by itself"
	HoldCheckpointDue   HoldReason = "a checkpoint is due"
	HoldNoCapacity      HoldReason = "no replacement"
	HoldReplicaDown     HoldReason = "another replica is not up"
	HoldBudgetExhausted HoldReason = "budget used up"
	HoldUnreachable     HoldReason = "machine does not answer"
	HoldStopping        HoldReason = "is being stopped"
	HoldPaused          HoldReason = "paused"
	HoldZone            HoldReason = "too few of its zone take work"
)

// BudgetUse is what a team had of its budget at a moment.
type BudgetUse struct {
	Concurrent int `json:"o"` // at a time
	InWindow   int `json:"w"`
}

// Sample is a moment of a drain's progress.
type Sample struct {
	At       int64                `json:"at"` // milliseconds
	Cordoned int                  `json:"c"`  // machines of the shard that were cordoned so far
	Returned int                  `json:"r"`  // and those of them that are gone
	Teams    map[string]BudgetUse `json:"u,omitempty"`
}

// TeamImpact is what a drain did to a team's work.
type TeamImpact struct {
	Evicted int     `json:"n"`
	Forced  int     `json:"f,omitempty"` // of them beyond the budget
	LostS   float64 `json:"lost"`        // seconds of work that were not saved, for all tasks
}

// Progress is what a shard did for a drain, for the report. It is bounded: samples are thinned
// out as they become many.
type Progress struct {
	Cordoned    int                    `json:"c"`
	Returned    int                    `json:"r"`
	Teams       map[string]TeamImpact  `json:"teams,omitempty"`
	HoldSeconds map[HoldReason]float64 `json:"held,omitempty"` // machines' seconds
	Samples     []Sample               `json:"points,omitempty"`
}

// maxSamples bounds the samples of a progress record.
const maxSamples = 96

// Clone returns a copy that shares nothing that is changed.
func (p Progress) Clone() Progress {
	out := Progress{Cordoned: p.Cordoned, Returned: p.Returned, Samples: slices.Clone(p.Samples)}
	out.Teams = maps.Clone(p.Teams)
	out.HoldSeconds = maps.Clone(p.HoldSeconds)
	if out.Teams == nil {
		out.Teams = map[string]TeamImpact{}
	}
	if out.HoldSeconds == nil {
		out.HoldSeconds = map[HoldReason]float64{}
	}
	return out
}

// CountEviction counts an eviction of a team's work.
func (p *Progress) CountEviction(team string, lost time.Duration, forced bool) {
	t := p.Teams[team]
	t.Evicted++
	t.LostS += lost.Seconds()
	if forced {
		t.Forced++
	}
	p.Teams[team] = t
}

// AddSample adds a sample.
func (p *Progress) AddSample(now time.Time, teams map[string]BudgetUse) {
	p.Samples = append(p.Samples, Sample{At: now.UnixMilli(), Cordoned: p.Cordoned, Returned: p.Returned, Teams: teams})
	if len(p.Samples) > maxSamples {
		p.thinSamples()
	}
}

// ShrinkTo thins the samples out until it keeps to a number of bytes, by the given size function, and reports
// whether it does.
func (p *Progress) ShrinkTo(size func(*Progress) int, bytes int) bool {
	for size(p) > bytes {
		if len(p.Samples) <= 2 {
			return false
		}
		p.thinSamples()
	}
	return true
}

// thinSamples drops every second sample but the last.
func (p *Progress) thinSamples() {
	var kept []Sample
	for i, sample := range p.Samples {
		if i%2 == 0 || i == len(p.Samples)-1 {
			kept = append(kept, sample)
		}
	}
	p.Samples = kept
}

// Usage returns what a ledger has in use of a budget.
func (l *Ledger) Usage(b Budget, now time.Time) BudgetUse {
	u := BudgetUse{Concurrent: len(l.Open), InWindow: len(l.Open)}
	for _, s := range l.Spent {
		if s.within(b.Window, now) {
			u.InWindow += s.Count
		}
	}
	return u
}
