package drain

import (
	"maps"
	"slices"
	"time"
)

// HoldReason says why a machine is not cordoned, or its work not evicted, yet.
type HoldReason string

// Reasons to hold a machine.
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

// BudgetUse is how much of its budget a team used at a moment.
type BudgetUse struct {
	Concurrent int `json:"o"` // open disruptions
	InWindow   int `json:"w"` // disruptions in the window, with the open ones
}

// Sample is the progress of a drain on one shard at a moment.
type Sample struct {
	At       int64                `json:"at"` // milliseconds
	Cordoned int                  `json:"c"`  // machines of the shard cordoned so far
	Returned int                  `json:"r"`  // cordoned machines released so far; see TxnBuilder.MachineGone
	Teams    map[string]BudgetUse `json:"u,omitempty"`
}

// TeamImpact sums up the evictions of a team's work by a drain.
type TeamImpact struct {
	Evicted int     `json:"n"`           // evictions
	Forced  int     `json:"f,omitempty"` // evictions beyond the budget
	LostS   float64 `json:"lost"`        // seconds of work lost, summed over tasks
}

// Progress is the record of what the owners of a shard did for a drain, for the report. Its size is
// bounded: AddSample and ShrinkTo thin the samples out.
type Progress struct {
	Cordoned    int                    `json:"c"` // machines cordoned
	Returned    int                    `json:"r"` // cordoned machines released; see TxnBuilder.MachineGone
	Teams       map[string]TeamImpact  `json:"teams,omitempty"`
	HoldSeconds map[HoldReason]float64 `json:"held,omitempty"` // held seconds, summed over machines
	Samples     []Sample               `json:"points,omitempty"`
}

// maxSamples is the most samples that a progress record keeps.
const maxSamples = 96

// Clone returns a copy that may be changed: its maps are not nil and not shared. It shares the
// samples' Teams maps, which do not change.
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

// CountEviction counts an eviction of a team's work. Its lost work is summed over tasks.
func (p *Progress) CountEviction(team string, lost time.Duration, forced bool) {
	t := p.Teams[team]
	t.Evicted++
	t.LostS += lost.Seconds()
	if forced {
		t.Forced++
	}
	p.Teams[team] = t
}

// AddSample adds a sample with the teams' budget use, and thins the samples out if there are more
// than maxSamples.
func (p *Progress) AddSample(now time.Time, teams map[string]BudgetUse) {
	p.Samples = append(p.Samples, Sample{At: now.UnixMilli(), Cordoned: p.Cordoned, Returned: p.Returned, Teams: teams})
	if len(p.Samples) > maxSamples {
		p.thinSamples()
	}
}

// ShrinkTo thins the samples out until the record has a number of bytes at most, as measured by size,
// and reports whether that was possible.
func (p *Progress) ShrinkTo(size func(*Progress) int, bytes int) bool {
	for size(p) > bytes {
		if len(p.Samples) <= 2 {
			return false
		}
		p.thinSamples()
	}
	return true
}

// thinSamples drops every second sample, but keeps the last.
func (p *Progress) thinSamples() {
	var kept []Sample
	for i, sample := range p.Samples {
		if i%2 == 0 || i == len(p.Samples)-1 {
			kept = append(kept, sample)
		}
	}
	p.Samples = kept
}

// Usage returns how much of a budget the ledger's disruptions use.
func (l *Ledger) Usage(b Budget, now time.Time) BudgetUse {
	u := BudgetUse{Concurrent: len(l.Open), InWindow: len(l.Open)}
	for _, s := range l.Spent {
		if s.within(b.Window, now) {
			u.InWindow += s.Count
		}
	}
	return u
}
