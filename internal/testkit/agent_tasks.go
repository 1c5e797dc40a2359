package testkit

import (
	"fmt"
	"strings"
	"time"

	"bramblespur/internal/wire"
)

type agentTask struct {
	ref     string
	i       int
	attempt uint64
	state   string
	why     string
	saved   bool
	since   time.Time // in this state
	stopped bool
	saveEnd time.Time
	alone   time.Time // since when a gang's mate is missing
	reached bool      // a report with its end has reached a controller
	// injected says that a test put it there.
	injected bool
}

func (t *agentTask) on() bool { return t.state != wire.Exited }

// obey carries out commands in order. The lock is held.
func (a *Agent) obey(commands []wire.Command) {
	for _, c := range commands {
		a.w.orders.note(c.Op)
		t := a.tasks[c.Task]
		switch c.Op {
		case wire.Start:
			if t == nil || t.attempt != c.Attempt {
				a.start(c.Task, c.Attempt)
			}
		case wire.Stop:
			if t != nil && t.attempt == c.Attempt && t.on() {
				grace := time.Duration(0)
				if c.GraceS != nil {
					grace = time.Duration(*c.GraceS * float64(time.Second))
				}
				a.stop(t, grace)
			}
		case wire.Forget:
			if t != nil && t.attempt == c.Attempt && !t.on() {
				delete(a.tasks, c.Task)
			}
		}
	}
}

// start carries out a start. The lock is held.
func (a *Agent) start(name string, attempt uint64) {
	ref, num, _ := strings.Cut(name, "/")
	i := 0
	fmt.Sscanf(num, "%d", &i)
	now := time.Now()
	t := &agentTask{ref: ref, i: i, attempt: attempt, state: wire.Exited, since: now}
	spec, known := a.w.spec(ref)
	old := a.tasks[name]
	var cpus, gpus, mem float64
	for _, o := range a.tasks {
		if s, ok := a.w.spec(o.ref); ok && o.on() {
			cpus, gpus, mem = cpus+s.CPUs, gpus+s.GPUs, mem+s.MemoryGB
		}
	}
	const slack = 1e-6
	switch {
	case old != nil && old.on():
		return // in use: the other attempt stays, which its reports tell
	case !known || i >= spec.Tasks:
		t.why = wire.ExitUnknownTask
	case cpus+spec.CPUs > a.typ.CPUs+slack || gpus+spec.GPUs > a.typ.GPUs+slack || mem+spec.MemoryGB > a.typ.MemoryGB+slack:
		t.why = wire.ExitNoRoom
	default:
		t.state = wire.Fetching
		a.w.check.TaskStarted(name, a.Place)
	}
	a.tasks[name] = t
	a.note()
}

// stop carries out a stop. The lock is held.
func (a *Agent) stop(t *agentTask, grace time.Duration) {
	spec, _ := a.w.spec(t.ref)
	save := time.Duration(spec.SaveS * float64(time.Second))
	if t.state == wire.Running && !t.stopped && spec.CheckpointS > 0 && grace >= save {
		t.stopped, t.state, t.since, t.saveEnd = true, wire.Checkpointing, time.Now(), time.Now().Add(save)
		a.note()
		return
	}
	if t.state == wire.Checkpointing && grace > 0 {
		return
	}
	a.exit(t, wire.ExitStopped, false)
}

// exit ends a task. The lock is held.
func (a *Agent) exit(t *agentTask, why string, saved bool) {
	t.state, t.why, t.saved, t.since = wire.Exited, why, saved, time.Now()
	a.note()
	if t.injected {
		return
	}
	a.w.check.TaskGone(t.name(), a.Place)
	if why == wire.Done {
		a.w.finish(t.ref, t.i)
		a.w.check.TaskCompleted(t.ref, t.i)
	}
}

func (t *agentTask) name() string { return fmt.Sprintf("%s/%d", t.ref, t.i) }

// drop ends all tasks without a word. The lock is held.
func (a *Agent) drop() {
	for name, t := range a.tasks {
		switch {
		case t.injected:
		case t.on():
			a.w.check.TaskGone(name, a.Place)
		case t.why == wire.Done:
			a.w.check.CompletionLost(t.ref, t.i, t.reached)
		}
	}
	a.tasks = map[string]*agentTask{}
}

// step moves time on: the lease, fetches, runs and saves. The lock is held.
func (a *Agent) step(now time.Time) {
	if a.gone || a.hung {
		return
	}
	if now.Sub(a.leaseFrom) > a.w.timing.Lease {
		a.drop()
		a.session++
		a.leaseFrom = now
		a.note()
		return
	}
	for _, t := range a.tasks {
		spec, ok := a.w.spec(t.ref)
		if !ok || !t.on() {
			continue
		}
		length := a.w.length(t.ref)
		switch t.state {
		case wire.Fetching:
			if !a.images[spec.Image] && now.Sub(t.since) < length.Fetch {
				continue
			}
			a.images[spec.Image] = true
			if a.w.completed(t.ref, t.i) {
				a.exit(t, wire.Done, false) // its result is kept
				continue
			}
			t.state, t.since = wire.Running, now
			if spec.Kind == wire.Gang {
				t.state = wire.AwaitingGang
			}
			a.note()
		case wire.AwaitingGang:
			if now.Sub(t.since) > a.w.timing.GangWait {
				a.exit(t, wire.ExitGangIncomplete, false)
			}
		case wire.Running:
			if spec.Kind == wire.Array && now.Sub(t.since) >= length.Run {
				a.exit(t, wire.Done, false)
			}
		case wire.Checkpointing:
			if !now.Before(t.saveEnd) {
				a.exit(t, wire.ExitStopped, true)
			}
		}
	}
}

// noteReached notes which ends a report brings to a controller. The lock is held.
func (a *Agent) noteReached(r *wire.Heartbeat) {
	for _, reported := range r.Tasks {
		t := a.tasks[reported.Task]
		if t != nil && t.attempt == reported.Attempt && reported.State == wire.Exited {
			t.reached = true
		}
	}
}

// Inject puts a task on the machine that nobody ordered there, running or exited. The checker
// does not count it: it is the test that breaks a rule by it.
func (a *Agent) Inject(ref string, i int, attempt uint64, state, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &agentTask{ref: ref, i: i, attempt: attempt, state: state, why: why, since: time.Now(), injected: true}
	a.tasks[t.name()] = t
	a.note()
}
