package testkit

import (
	"fmt"
	"sort"

	"bramblespur/internal/wire"
)

// WorkerTask is a task on a scripted worker.
type WorkerTask struct {
	Attempt uint64
	State   string
	Why     string
	Saved   bool
}

// Worker is a scripted worker that keeps the protocol's rules for tokens, agent incarnations and
// commands. The test decides what its tasks do.
type Worker struct {
	ID, Type, Zone string
	Spot           bool
	Session, Seq   uint64 // agent incarnation, and number of the last heartbeat
	Token          uint64
	Notice         *float64                      // seconds left of a spot notice; nil: none
	Tasks          map[string]*WorkerTask        // each task's latest attempt, unless it was refused
	Others         map[WorkerAttempt]*WorkerTask // exited attempts beside those, not forgotten yet
	Started        []string                      // every start executed, as TASK#ATTEMPT
}

// WorkerAttempt names an attempt of a task.
type WorkerAttempt struct {
	Task    string
	Attempt uint64
}

// NewWorker returns a worker without tasks in its first incarnation.
func NewWorker(id, typ, zone string, spot bool) *Worker {
	return &Worker{ID: id, Type: typ, Zone: zone, Spot: spot, Session: 1, Tasks: map[string]*WorkerTask{}, Others: map[WorkerAttempt]*WorkerTask{}}
}

// NextHeartbeat returns the next heartbeat, with all tasks in the order of their names.
func (w *Worker) NextHeartbeat() wire.Heartbeat {
	w.Seq++
	r := wire.Heartbeat{
		Machine: w.ID, Addr: "10.1.0.1:9000", Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Session: w.Session, Seq: w.Seq, Token: w.Token, NoticeS: w.Notice,
	}
	for name, t := range w.Tasks {
		r.Tasks = append(r.Tasks, wire.HeartbeatTask{Task: name, Attempt: t.Attempt, State: t.State, Why: t.Why, Saved: t.Saved})
	}
	for at, t := range w.Others {
		r.Tasks = append(r.Tasks, wire.HeartbeatTask{Task: at.Task, Attempt: at.Attempt, State: t.State, Why: t.Why, Saved: t.Saved})
	}
	sort.Slice(r.Tasks, func(a, b int) bool {
		x, y := r.Tasks[a], r.Tasks[b]
		return x.Task < y.Task || (x.Task == y.Task && x.Attempt < y.Attempt)
	})
	return r
}

// Execute executes a batch of commands and reports true, unless its token is too low.
func (w *Worker) Execute(o wire.CommandBatch) bool {
	if o.Token < w.Token {
		return false
	}
	w.Token = o.Token
	for _, c := range o.Commands {
		t := w.find(c.Task, c.Attempt)
		switch c.Op {
		case wire.Start:
			if t == nil {
				w.start(c.Task, c.Attempt)
			}
		case wire.Stop:
			if t != nil && t.State != wire.Exited {
				t.State, t.Why, t.Saved = wire.Exited, wire.ExitStopped, c.GraceS != nil && *c.GraceS > 0
			}
		case wire.Forget:
			if t != nil && t.State == wire.Exited {
				w.forget(c.Task, c.Attempt)
			}
		}
	}
	return true
}

// find returns an attempt of a task, or nil if the worker does not know it.
func (w *Worker) find(task string, attempt uint64) *WorkerTask {
	if t := w.Tasks[task]; t != nil && t.Attempt == attempt {
		return t
	}
	return w.Others[WorkerAttempt{task, attempt}]
}

// start starts an attempt that the worker does not know. It is refused while another attempt of the
// task is active.
func (w *Worker) start(task string, attempt uint64) {
	if latest := w.Tasks[task]; latest != nil {
		if latest.State != wire.Exited {
			w.Others[WorkerAttempt{task, attempt}] = &WorkerTask{Attempt: attempt, State: wire.Exited, Why: wire.ExitInUse}
			return
		}
		w.Others[WorkerAttempt{task, latest.Attempt}] = latest
	}
	w.Tasks[task] = &WorkerTask{Attempt: attempt, State: wire.Running}
	w.Started = append(w.Started, fmt.Sprintf("%s#%d", task, attempt))
}

// forget removes an attempt of a task.
func (w *Worker) forget(task string, attempt uint64) {
	if t := w.Tasks[task]; t != nil && t.Attempt == attempt {
		delete(w.Tasks, task)
		return
	}
	delete(w.Others, WorkerAttempt{task, attempt})
}

// ExitTask makes a task exit for a reason, if the worker has the task.
func (w *Worker) ExitTask(task, why string) {
	if t := w.Tasks[task]; t != nil {
		t.State, t.Why = wire.Exited, why
	}
}

// ExpireLease begins a new incarnation without tasks, as after a lease expiry.
func (w *Worker) ExpireLease() {
	w.Session++
	w.Tasks = map[string]*WorkerTask{}
	w.Others = map[WorkerAttempt]*WorkerTask{}
}
