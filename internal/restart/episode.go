// Package restart is pure: the record of what a controller found and did after it started
// or took shards over, until reconciliation was over.
package restart

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Prefix is that of the records, one for each controller. It is one of the cluster's.
const Prefix = "ctl/restart/"

// Key names a controller's record.
func Key(label string) string { return Prefix + label }

// Cause says why shards had to be reconciled.
type Cause string

// Causes.
const (
	Started    Cause = "started"   // the process began
	FailedOver Cause = "took over" // it acquired shards later
)

// Episode is the time from a start or a failover until reconciliation was over.
type Episode struct {
	Incarnation uint64 `json:"inc"`
	Cause       Cause  `json:"cause"`
	BeganAt     int64  `json:"began"`             // milliseconds
	CompletedAt int64  `json:"settled,omitempty"` // 0: it is not over
	Shards      []int  `json:"parts"`
	// Outcomes counts what was found, by the outcomes' names.
	Outcomes       map[string]int `json:"verdicts,omitempty"`
	PendingTasks   int            `json:"awaited,omitempty"` // tasks of which nothing is proven yet
	SilentMachines int            `json:"unheard,omitempty"` // machines that have not sent a heartbeat yet
	PendingNames   []string       `json:"names,omitempty"`   // some of them
	// CommandsPerSecond are those to workers, by second, and CommandLimit how many were allowed to this
	// controller in one.
	CommandsPerSecond []int   `json:"orders,omitempty"`
	CommandLimit      float64 `json:"bound,omitempty"`
	// Contradictions counts claims that disagree with what is known.
	Contradictions int `json:"contradictions,omitempty"`
	// Malformed counts records that could not be decoded and were passed over.
	Malformed int `json:"malformed,omitempty"`
}

// Duration returns how long reconciliation took, or has taken so far.
func (e *Episode) Duration(now time.Time) time.Duration {
	end := now
	if e.CompletedAt != 0 {
		end = time.UnixMilli(e.CompletedAt)
	}
	return end.Sub(time.UnixMilli(e.BeganAt))
}

// ID tells an episode from others of its controller.
func (e *Episode) ID(label string) string { return fmt.Sprintf("%s/%d", label, e.BeganAt) }

// History is a controller's record: its latest episodes, the newest last.
type History struct {
	Episodes []Episode `json:"episodes"`
}

// maxEpisodes bounds the episodes that are kept.
const maxEpisodes = 8

// Put adds an episode as it stands, in place of what was kept of it.
func (h *History) Put(e Episode) {
	h.Episodes = slices.DeleteFunc(h.Episodes, func(o Episode) bool { return o.BeganAt == e.BeganAt })
	h.Episodes = append(h.Episodes, e)
	if n := len(h.Episodes); n > maxEpisodes {
		h.Episodes = slices.Delete(h.Episodes, 0, n-maxEpisodes)
	}
}

// Encode returns the record, with as many of the latest episodes as it has room for. One
// that has no room alone goes without its commands and names.
func (h *History) Encode(bytes int) json.RawMessage {
	kept := History{Episodes: slices.Clone(h.Episodes)}
	for {
		b, err := json.Marshal(kept)
		if err != nil {
			panic("restart: " + err.Error()) // numbers and strings always encode
		}
		if len(b) <= bytes {
			return b
		}
		if len(kept.Episodes) > 1 {
			kept.Episodes = kept.Episodes[1:]
			continue
		}
		last := &kept.Episodes[0]
		if last.CommandsPerSecond == nil && last.PendingNames == nil {
			return b
		}
		last.CommandsPerSecond, last.PendingNames = nil, nil
	}
}
