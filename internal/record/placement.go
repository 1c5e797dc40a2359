package record

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// TaskPlacement is where an attempt of a task was recorded.
type TaskPlacement struct {
	Machine string
	Attempt uint64
}

// MarshalJSON writes a placement as a pair.
func (p TaskPlacement) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{p.Machine, p.Attempt})
}

// UnmarshalJSON reads a pair of a name and a whole number, and nothing else.
func (p *TaskPlacement) UnmarshalJSON(b []byte) error {
	pair := []any{&p.Machine, &p.Attempt} // each element is decoded to where it belongs
	if err := json.Unmarshal(b, &pair); err != nil {
		return err
	}
	if len(pair) != 2 {
		return fmt.Errorf("place: %d elements", len(pair))
	}
	return nil
}

// TaskRange holds the placements and completions of a range of tasks.
type TaskRange struct {
	Attempt   uint64                `json:"a"` // the highest that was ever recorded for the range
	Placed    map[int]TaskPlacement `json:"on,omitempty"`
	Completed [][2]int              `json:"done,omitempty"` // first and last task of each span
	// Size is the number of tasks. Generation is how often the range was entered in a record: of
	// ranges that overlap the one with the highest counts. Both are 0 in the first format.
	Size       int `json:"n,omitempty"`
	Generation int `json:"g,omitempty"`
}

// HasCompleted reports whether the range tells that a task has completed.
func (r TaskRange) HasCompleted(task int) bool {
	return slices.ContainsFunc(r.Completed, func(span [2]int) bool { return span[0] <= task && task <= span[1] })
}

// Placements holds the placements of several jobs of one shard, so that one write serves all that
// changed among them.
//
// Upgrade: a record without a format is of the first one. Its ranges are named by their numbers,
// and their size follows from the state service's present limit of a value. The first version
// reads and keeps nothing else, so that SizedRanges are written only once every controller has
// recorded that Format. The first one may be dropped when no deployment has any of it.
type Placements struct {
	Format int                  `json:"f,omitempty"`
	Ranges map[string]TaskRange `json:"r"`
}

// RangeName names a range of a job's tasks within a record by a number: that of the range in the
// first format, that of its first task with SizedRanges.
func RangeName(ref string, n int) string { return ref + ":" + strconv.Itoa(n) }

// SplitRangeName splits the name of a range.
func SplitRangeName(name string) (ref string, n int, ok bool) {
	ref, num, ok := strings.Cut(name, ":")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	return ref, n, err == nil && n >= 0
}
