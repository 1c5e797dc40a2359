package record

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// TaskPlacement is the machine that was recorded for an attempt of a task.
type TaskPlacement struct {
	Machine string
	Attempt uint64
}

// MarshalJSON encodes a placement as a pair: the machine and the attempt.
func (p TaskPlacement) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{p.Machine, p.Attempt})
}

// UnmarshalJSON decodes a pair of a string and a whole number. Anything else is an error.
func (p *TaskPlacement) UnmarshalJSON(b []byte) error {
	pair := []any{&p.Machine, &p.Attempt} // each element is decoded into its field
	if err := json.Unmarshal(b, &pair); err != nil {
		return err
	}
	if len(pair) != 2 {
		return fmt.Errorf("task placement: %d elements, want 2", len(pair))
	}
	return nil
}

// TaskRange holds the placements and completions of a range of tasks.
type TaskRange struct {
	Attempt   uint64                `json:"a"`              // the highest ever recorded for a task of the range
	Placed    map[int]TaskPlacement `json:"on,omitempty"`   // by index of the task in its job
	Completed [][2]int              `json:"done,omitempty"` // first and last task of each span
	// Size is the number of tasks. Generation counts how often the range was entered in a record:
	// of ranges that overlap, the one with the highest generation is valid. Both are 0 in the
	// first format.
	Size       int `json:"n,omitempty"`
	Generation int `json:"g,omitempty"`
}

// HasCompleted reports whether a task is recorded as completed in the range.
func (r TaskRange) HasCompleted(task int) bool {
	return slices.ContainsFunc(r.Completed, func(span [2]int) bool { return span[0] <= task && task <= span[1] })
}

// Placements holds the placements of several jobs of one shard, so that one write records all changes
// among them.
//
// Upgrade: a record without a format has the first format. Its ranges are named by their numbers, and
// their size follows from the state service's present limit of a value's size. The first version of
// the controller reads and preserves no other format, so SizedRanges are written only once every
// controller has recorded that Format. Support of the first format may be removed when no deployment
// has such records.
type Placements struct {
	Format int                  `json:"f,omitempty"` // 0 or SizedRanges
	Ranges map[string]TaskRange `json:"r"`           // by RangeName
}

// RangeName returns the name of a range of a job's tasks within a record. The number is that of the
// range in the first format, and that of the range's first task with SizedRanges.
func RangeName(ref string, n int) string { return ref + ":" + strconv.Itoa(n) }

// SplitRangeName returns the job and the number in the name of a range, and whether the name is valid.
func SplitRangeName(name string) (ref string, n int, ok bool) {
	ref, num, ok := strings.Cut(name, ":")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	return ref, n, err == nil && n >= 0
}
