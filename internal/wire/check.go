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
	maxName    = 128 // bytes of a name or an address
	maxOnOne   = 4096
	maxNoticeS = 1e6
)

// ErrSenseless is what the refusal of a message that makes no sense wraps.
var ErrSenseless = errors.New("message makes no sense")

// Check refuses a report that no worker sends.
func (r *Report) Check() error {
	for _, name := range []string{r.Machine, r.Addr, r.Type, r.Zone} {
		if len(name) > maxName {
			return fmt.Errorf("%w: a name of %d bytes", ErrSenseless, len(name))
		}
	}
	switch {
	case r.Machine == "":
		return fmt.Errorf("%w: no machine", ErrSenseless)
	case r.Session == 0: // they begin at 1; the number of the first report is not said
		return fmt.Errorf("%w: session 0", ErrSenseless)
	case r.NoticeS != nil && !(math.Abs(*r.NoticeS) <= maxNoticeS):
		return fmt.Errorf("%w: notice of %g s", ErrSenseless, *r.NoticeS)
	case len(r.Tasks) > maxOnOne:
		return fmt.Errorf("%w: %d tasks on one machine", ErrSenseless, len(r.Tasks))
	}
	for i := range r.Tasks {
		if err := r.Tasks[i].check(); err != nil {
			return err
		}
	}
	return nil
}

// taskStates are the states of tasks in reports.
var taskStates = []string{Fetching, Gathering, Running, Saving, Exited}

func (t *ReportTask) check() error {
	if t.Task == "" || len(t.Task) > maxName {
		return fmt.Errorf("%w: a task's name of %d bytes", ErrSenseless, len(t.Task))
	}
	if !slices.Contains(taskStates, t.State) {
		return fmt.Errorf("%w: a task's state is %.32q", ErrSenseless, t.State)
	}
	return nil
}

// longest is what an amount of seconds counts at most: times a hundred years on can
// still be told from each other, which larger ones can't.
const longest = 100 * 365 * 24 * time.Hour

// Seconds converts an amount of seconds of a message.
func Seconds(s float64) time.Duration {
	return time.Duration(min(max(s, -longest.Seconds()), longest.Seconds()) * float64(time.Second))
}
