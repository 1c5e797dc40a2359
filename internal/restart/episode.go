// Package restart defines the record of what a controller found and did after its start or a
// failover, until reconciliation was complete. It is pure.
package restart

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Prefix is the prefix of the keys of these records, one for each controller. It is one of the
// prefixes of the cluster's records.
const Prefix = "ctl/restart/"

// Key returns the key of the record of the controller with a label.
func Key(label string) string { return Prefix + label }

// Cause is why shards had to be reconciled.
type Cause string

// Causes.
const (
	Started    Cause = "started"   // the process started
	FailedOver Cause = "took over" // the controller acquired shards later
)

// Episode describes one reconciliation, from a start or a failover until it was complete.
type Episode struct {
	Incarnation uint64 `json:"inc"` // of the controller
	Cause       Cause  `json:"cause"`
	BeganAt     int64  `json:"began"`             // in Unix milliseconds
	CompletedAt int64  `json:"settled,omitempty"` // in Unix milliseconds; 0: not complete yet
	Shards      []int  `json:"parts"`             // numbers of the shards that were reconciled
	// Outcomes has the number of tasks with each outcome, by the names of the outcomes.
	Outcomes       map[string]int `json:"verdicts,omitempty"`
	PendingTasks   int            `json:"awaited,omitempty"` // tasks without a proven outcome
	SilentMachines int            `json:"unheard,omitempty"` // machines that have not sent a heartbeat yet
	PendingNames   []string       `json:"names,omitempty"`   // IDs of some silent machines
	// CommandsPerSecond is how many commands were released to workers in each second, and
	// CommandLimit the equal share of this controller in commands per second.
	CommandsPerSecond []int   `json:"orders,omitempty"`
	CommandLimit      float64 `json:"bound,omitempty"`
	// Contradictions is the number of claims of workers that contradict what the shards know.
	Contradictions int `json:"contradictions,omitempty"`
	// Malformed is the number of records that could not be decoded and were skipped.
	Malformed int `json:"malformed,omitempty"`
}

// Duration returns how long reconciliation took, or has taken until now if it is not complete.
func (e *Episode) Duration(now time.Time) time.Duration {
	end := now
	if e.CompletedAt != 0 {
		end = time.UnixMilli(e.CompletedAt)
	}
	return end.Sub(time.UnixMilli(e.BeganAt))
}

// ID identifies the episode among all episodes of all controllers, given the label of its controller.
func (e *Episode) ID(label string) string { return fmt.Sprintf("%s/%d", label, e.BeganAt) }

// History is a controller's record: its latest episodes, with the newest last.
type History struct {
	Episodes []Episode `json:"episodes"`
}

// maxEpisodes bounds the episodes in a record.
const maxEpisodes = 8

// Put adds an episode, or replaces it if the history has it already. If there are too many episodes,
// Put removes the oldest.
func (h *History) Put(e Episode) {
	h.Episodes = slices.DeleteFunc(h.Episodes, func(o Episode) bool { return o.BeganAt == e.BeganAt })
	h.Episodes = append(h.Episodes, e)
	if n := len(h.Episodes); n > maxEpisodes {
		h.Episodes = slices.Delete(h.Episodes, 0, n-maxEpisodes)
	}
}

// Encode returns the record, with as many of the latest episodes as fit into maxBytes. If the latest
// alone does not fit, it is encoded without its commands and names, whatever its size is then.
func (h *History) Encode(maxBytes int) json.RawMessage {
	kept := History{Episodes: slices.Clone(h.Episodes)}
	for {
		b, err := json.Marshal(kept)
		if err != nil {
			panic("restart: " + err.Error()) // numbers and strings always encode
		}
		if len(b) <= maxBytes {
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
