package wire

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Bounds of what a report may tell. What is beyond them is no machine's.
const (
	maxName            = 128 // bytes of a name or an address
	maxTasksPerMachine = 4096
	maxNoticeS         = 1e6
)

// ErrInvalidMessage is what the refusal of a message that makes no sense wraps.
var ErrInvalidMessage = errors.New("message makes no sense")

// Check refuses a report that no worker sends.
func (r *Heartbeat) Check() error {
	for _, name := range []string{r.Machine, r.Addr, r.Type, r.Zone} {
		if len(name) > maxName {
			return fmt.Errorf("%w: a name of %d bytes", ErrInvalidMessage, len(name))
		}
	}
	switch {
	case r.Machine == "":
		return fmt.Errorf("%w: no machine", ErrInvalidMessage)
	case r.Session == 0: // they begin at 1; the number of the first report is not said
		return fmt.Errorf("%w: session 0", ErrInvalidMessage)
	case r.NoticeS != nil && !(math.Abs(*r.NoticeS) <= maxNoticeS):
		return fmt.Errorf("%w: notice of %g s", ErrInvalidMessage, *r.NoticeS)
	case len(r.Tasks) > maxTasksPerMachine:
		return fmt.Errorf("%w: %d tasks on one machine", ErrInvalidMessage, len(r.Tasks))
	}
	for i := range r.Tasks {
		if err := r.Tasks[i].check(); err != nil {
			return err
		}
	}
	if name, twice := r.duplicateAttempt(); twice {
		return fmt.Errorf("%w: one attempt of %.64q twice on one machine", ErrInvalidMessage, name)
	}
	return nil
}

// pairwiseLimit is up to how many tasks each is compared with each: that takes no memory.
const pairwiseLimit = 64

// duplicateAttempt returns a task of which the report has one attempt twice. Two attempts of a
// task may well be there: a start is refused where another attempt runs.
func (r *Heartbeat) duplicateAttempt() (name string, twice bool) {
	type attempt struct {
		task string
		n    uint64
	}
	if len(r.Tasks) > pairwiseLimit {
		seen := make(map[attempt]bool, len(r.Tasks))
		for i := range r.Tasks {
			a := attempt{r.Tasks[i].Task, r.Tasks[i].Attempt}
			if seen[a] {
				return a.task, true
			}
			seen[a] = true
		}
		return "", false
	}
	for i := range r.Tasks {
		for k := range i {
			if r.Tasks[i].Task == r.Tasks[k].Task && r.Tasks[i].Attempt == r.Tasks[k].Attempt {
				return r.Tasks[i].Task, true
			}
		}
	}
	return "", false
}

// taskStates are the states of tasks in reports.
var taskStates = []string{Fetching, AwaitingGang, Running, Checkpointing, Exited}

func (t *HeartbeatTask) check() error {
	if t.Task == "" || len(t.Task) > maxName {
		return fmt.Errorf("%w: a task's name of %d bytes", ErrInvalidMessage, len(t.Task))
	}
	if !slices.Contains(taskStates, t.State) {
		return fmt.Errorf("%w: a task's state is %.32q", ErrInvalidMessage, t.State)
	}
	return nil
}

// maxDuration is what an amount of seconds counts at most: times a hundred years on can
// still be told from each other, which larger ones can't.
const maxDuration = 100 * 365 * 24 * time.Hour

// Seconds converts an amount of seconds of a message.
func Seconds(s float64) time.Duration {
	return time.Duration(min(max(s, -maxDuration.Seconds()), maxDuration.Seconds()) * float64(time.Second))
}
