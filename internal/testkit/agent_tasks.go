package testkit

import (
	"fmt"
	"strings"
	"time"

	"bramblespur/internal/wire"
)

// agentTask is an attempt of a task on a machine. The lock of its agent protects it.
type agentTask struct {
	ref               string
	index             int
	attempt           uint64
	state             string
	why               string    // reason of the exit
	saved             bool      // a checkpoint was saved at the exit
	since             time.Time // when it entered its state
	stopped           bool      // it received a stop command with enough time for a checkpoint
	saveEnd           time.Time // when the checkpoint is saved
	peersMissingSince time.Time // since when a peer of its gang is missing; zero: none is
	delivered         bool      // a heartbeat with its exit has reached a controller
	// injected marks a task that a test put there without a command.
	injected bool
}

// active reports whether the task has not exited.
func (t *agentTask) active() bool { return t.state != wire.Exited }

// executeCommands executes commands in order. The lock is held.
func (a *Agent) executeCommands(commands []wire.Command) {
	for _, c := range commands {
		a.w.commandLog.add(c.Op)
		at := WorkerAttempt{c.Task, c.Attempt}
		t := a.tasks[at]
		switch c.Op {
		case wire.Start:
			if t == nil {
				a.start(c.Task, c.Attempt)
			}
		case wire.Stop:
			if t != nil && t.active() {
				grace := time.Duration(0)
				if c.GraceS != nil {
					grace = time.Duration(*c.GraceS * float64(time.Second))
				}
				a.stop(t, grace)
			}
		case wire.Forget:
			if t != nil && !t.active() {
				delete(a.tasks, at)
			}
		}
	}
}

// start executes a start command. The lock is held.
func (a *Agent) start(name string, attempt uint64) {
	ref, num, _ := strings.Cut(name, "/")
	i := 0
	fmt.Sscanf(num, "%d", &i)
	now := time.Now()
	t := &agentTask{ref: ref, index: i, attempt: attempt, state: wire.Exited, since: now}
	spec, known := a.w.spec(ref)
	inUse := false
	var cpus, gpus, mem float64
	for at, o := range a.tasks {
		if !o.active() {
			continue
		}
		inUse = inUse || at.Task == name
		if s, ok := a.w.spec(o.ref); ok {
			cpus, gpus, mem = cpus+s.CPUs, gpus+s.GPUs, mem+s.MemoryGB
		}
	}
	const slack = 1e-6
	switch {
	case inUse:
		t.why = wire.ExitInUse
	case !known || i >= spec.Tasks:
		t.why = wire.ExitUnknownTask
	case cpus+spec.CPUs > a.typ.CPUs+slack || gpus+spec.GPUs > a.typ.GPUs+slack || mem+spec.MemoryGB > a.typ.MemoryGB+slack:
		t.why = wire.ExitNoRoom
	default:
		t.state = wire.Fetching
		a.w.check.TaskStarted(name, a.Place)
	}
	a.tasks[WorkerAttempt{name, attempt}] = t
	a.markChanged()
}

// stop executes a stop command. The lock is held.
func (a *Agent) stop(t *agentTask, grace time.Duration) {
	spec, _ := a.w.spec(t.ref)
	save := time.Duration(spec.SaveS * float64(time.Second))
	if t.state == wire.Running && !t.stopped && spec.CheckpointS > 0 && grace >= save {
		t.stopped, t.state, t.since, t.saveEnd = true, wire.Checkpointing, time.Now(), time.Now().Add(save)
		a.markChanged()
		return
	}
	if t.state == wire.Checkpointing && grace > 0 {
		return
	}
	a.exit(t, wire.ExitStopped, false)
}

// exit makes a task exit for a reason. The lock is held.
func (a *Agent) exit(t *agentTask, why string, saved bool) {
	t.state, t.why, t.saved, t.since = wire.Exited, why, saved, time.Now()
	a.markChanged()
	if t.injected {
		return
	}
	a.w.check.TaskGone(t.name(), a.Place)
	if why == wire.Done {
		a.w.completeTask(t.ref, t.index)
		a.w.check.TaskCompleted(t.ref, t.index)
	}
}

// name returns REF/INDEX.
func (t *agentTask) name() string { return fmt.Sprintf("%s/%d", t.ref, t.index) }

// dropTasks removes all tasks without any exit that could be reported. The lock is held.
func (a *Agent) dropTasks() {
	for at, t := range a.tasks {
		switch {
		case t.injected:
		case t.active():
			a.w.check.TaskGone(at.Task, a.Place)
		case t.why == wire.Done:
			a.w.check.CompletionLost(t.ref, t.index, t.delivered)
		}
	}
	a.tasks = map[WorkerAttempt]*agentTask{}
}

// step advances the lease, image fetches, runs and checkpoints to a time. The lock is held.
func (a *Agent) step(now time.Time) {
	if a.gone || a.hung {
		return
	}
	if now.Sub(a.leaseStart) > a.w.timing.Lease {
		a.dropTasks()
		a.session++
		a.leaseStart = now
		a.markChanged()
		return
	}
	for _, t := range a.tasks {
		spec, ok := a.w.spec(t.ref)
		if !ok || !t.active() {
			continue
		}
		length := a.w.jobDurations(t.ref)
		switch t.state {
		case wire.Fetching:
			if !a.images[spec.Image] && now.Sub(t.since) < length.Fetch {
				continue
			}
			a.images[spec.Image] = true
			if a.w.completed(t.ref, t.index) {
				a.exit(t, wire.Done, false) // the result of an earlier attempt is kept
				continue
			}
			t.state, t.since = wire.Running, now
			if spec.Kind == wire.Gang {
				t.state = wire.AwaitingGang
			}
			a.markChanged()
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

// markDelivered notes which exits a heartbeat delivers to a controller. The lock is held.
func (a *Agent) markDelivered(r *wire.Heartbeat) {
	for _, reported := range r.Tasks {
		t := a.tasks[WorkerAttempt{reported.Task, reported.Attempt}]
		if t != nil && reported.State == wire.Exited {
			t.delivered = true
		}
	}
}

// Inject puts a task on the machine without a command, running or exited. The checker does
// not count it, since it is the test that breaks a rule. The machine must not have an active attempt
// of the task, which would vanish without the checker's knowledge.
func (a *Agent) Inject(ref string, i int, attempt uint64, state, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &agentTask{ref: ref, index: i, attempt: attempt, state: state, why: why, since: time.Now(), injected: true}
	for at, other := range a.tasks {
		if at.Task == t.name() && other.active() {
			panic(fmt.Sprintf("testkit: %s is active on %s already", t.name(), a.ID))
		}
	}
	a.tasks[WorkerAttempt{t.name(), attempt}] = t
	a.markChanged()
}
