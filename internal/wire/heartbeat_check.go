package wire

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Limits of a valid heartbeat. No worker reaches them.
const (
	maxName            = 128 // bytes of a name or an address
	maxTasksPerMachine = 4096
	maxNoticeS         = 1e6 // seconds
)

// ErrInvalidMessage is wrapped by the errors that refuse an invalid message.
var ErrInvalidMessage = errors.New("invalid message")

// Check returns an error that wraps ErrInvalidMessage if no worker would send such a heartbeat.
func (r *Heartbeat) Check() error {
	for _, name := range []string{r.Machine, r.Addr, r.Type, r.Zone} {
		if len(name) > maxName {
			return fmt.Errorf("%w: a name or address of %d bytes is too long", ErrInvalidMessage, len(name))
		}
	}
	switch {
	case r.Machine == "":
		return fmt.Errorf("%w: no machine name", ErrInvalidMessage)
	case r.Session == 0: // Sessions begin at 1. The protocol does not say where Seq begins.
		return fmt.Errorf("%w: session is 0, want 1 at least", ErrInvalidMessage)
	case r.NoticeS != nil && !(math.Abs(*r.NoticeS) <= maxNoticeS):
		return fmt.Errorf("%w: notice of %g s is out of range", ErrInvalidMessage, *r.NoticeS)
	case len(r.Tasks) > maxTasksPerMachine:
		return fmt.Errorf("%w: %d tasks on one machine are too many", ErrInvalidMessage, len(r.Tasks))
	}
	for i := range r.Tasks {
		if err := r.Tasks[i].check(); err != nil {
			return err
		}
	}
	if name, twice := r.duplicateAttempt(); twice {
		return fmt.Errorf("%w: the same attempt of task %.64q twice on one machine", ErrInvalidMessage, name)
	}
	return nil
}

// pairwiseLimit is the largest number of tasks that are compared in pairs, which allocates nothing.
const pairwiseLimit = 64

// duplicateAttempt returns a task if the heartbeat lists the same attempt of it twice. Two different
// attempts of a task are valid: a worker refuses a start while another attempt runs.
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

// taskStates are the valid states of a task in a heartbeat.
var taskStates = []string{Fetching, AwaitingGang, Running, Checkpointing, Exited}

func (t *HeartbeatTask) check() error {
	if t.Task == "" || len(t.Task) > maxName {
		return fmt.Errorf("%w: a task name of %d bytes is empty or too long", ErrInvalidMessage, len(t.Task))
	}
	if !slices.Contains(taskStates, t.State) {
		return fmt.Errorf("%w: unknown task state %.32q", ErrInvalidMessage, t.State)
	}
	return nil
}

// maxDuration is the longest duration that Seconds returns. Times a hundred years ahead can still be
// compared; larger ones overflow.
const maxDuration = 100 * 365 * 24 * time.Hour

// Seconds converts the seconds of a message to a duration, limited to between -maxDuration and
// maxDuration.
func Seconds(s float64) time.Duration {
	return time.Duration(min(max(s, -maxDuration.Seconds()), maxDuration.Seconds()) * float64(time.Second))
}
