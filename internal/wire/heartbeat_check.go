package wire

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Limits of a valid heartbeat: no machine has more.
const (
	maxName            = 128 // bytes of a name or an address
	maxTasksPerMachine = 4096
	maxNoticeS         = 1e6
)

// ErrInvalidMessage is wrapped by the errors of invalid messages.
var ErrInvalidMessage = errors.New("message makes no sense")

// Check returns an error for a heartbeat that no worker sends.
func (r *Heartbeat) Check() error {
	for _, name := range []string{r.Machine, r.Addr, r.Type, r.Zone} {
		if len(name) > maxName {
			return fmt.Errorf("%w: a name of %d bytes", ErrInvalidMessage, len(name))
		}
	}
	switch {
	case r.Machine == "":
		return fmt.Errorf("%w: no machine", ErrInvalidMessage)
	case r.Session == 0: // they begin at 1; the protocol does not say where Seq begins
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

// pairwiseLimit is up to how many tasks are compared in pairs, which allocates nothing.
const pairwiseLimit = 64

// duplicateAttempt returns a task of which the heartbeat has one attempt twice. Two attempts of a
// task are valid: a start is refused where another attempt runs.
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

// taskStates are the states of tasks in heartbeats.
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

// maxDuration is the longest duration of a message: times that are a hundred years ahead can still
// be compared, while larger ones overflow.
const maxDuration = 100 * 365 * 24 * time.Hour

// Seconds converts the seconds of a message to a duration of at most maxDuration.
func Seconds(s float64) time.Duration {
	return time.Duration(min(max(s, -maxDuration.Seconds()), maxDuration.Seconds()) * float64(time.Second))
}
