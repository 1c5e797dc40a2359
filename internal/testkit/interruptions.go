package testkit

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"bramblespur/internal/wire"
)

// Interruptions counts, from the tasks on workers alone, how often running work of each team stops
// before it has ended: a task, or a gang as a whole. It distinguishes voluntary stops, by the
// controllers' choice, from those of machines that the test lets die, hang or be reclaimed.
type Interruptions struct {
	w        *World
	atOnce   int // units of a team that may be interrupted at a time
	inWindow int // voluntary stops of a team allowed within the window
	window   time.Duration

	mu         sync.Mutex
	units      map[string]*watchedUnit // by REF for gangs, by REF/INDEX for other tasks
	voluntary  map[string][]time.Time  // times of voluntary stops, by team
	violations []string
	overLimit  map[string]bool // teams with too many interrupted units at the last observation
}

// watchedUnit is a task, or a gang as a whole, as last observed.
type watchedUnit struct {
	team          string
	up            bool
	interruptedBy interruptionCause
	on            map[*Agent]uint64 // incarnations of the machines where it last ran
}

// interruptionCause says why a unit does not run.
type interruptionCause int

const (
	notInterrupted interruptionCause = iota
	voluntarily
	involuntarily
)

// CountInterruptions starts to count, and to verify the same disruption budget for every team.
func (w *World) CountInterruptions(atOnce, inWindow int, window time.Duration) *Interruptions {
	n := &Interruptions{w: w, atOnce: atOnce, inWindow: inWindow, window: window, units: map[string]*watchedUnit{}, voluntary: map[string][]time.Time{}, overLimit: map[string]bool{}}
	w.goroutines.Go(func() {
		for w.Sleep(stepInterval) {
			n.observe(time.Now())
		}
	})
	return n
}

// Violations returns the observations that exceeded the budget.
func (n *Interruptions) Violations() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.violations)
}

// Voluntary returns the number of voluntary stops of a team's work.
func (n *Interruptions) Voluntary(team string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.voluntary[team])
}

// runningTask is where a running task is: its machine and the agent incarnation.
type runningTask struct {
	machine *Agent
	session uint64
}

// observe compares all units with the running tasks, and verifies the budget.
func (n *Interruptions) observe(now time.Time) {
	running := n.w.runningTasks()
	n.w.mu.Lock()
	specs := make([]wire.Spec, 0, len(n.w.specs))
	for _, spec := range n.w.specs {
		specs = append(specs, spec)
	}
	n.w.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, spec := range specs {
		if spec.Kind == wire.Gang {
			n.observeUnit(spec, spec.Ref, 0, spec.Tasks, running, now)
			continue
		}
		for i := range spec.Tasks {
			n.observeUnit(spec, spec.Ref+"/"+strconv.Itoa(i), i, i+1, running, now)
		}
	}
	n.verify(now)
}

// observeUnit compares the unit of a job's tasks from first to before end. The lock is held.
func (n *Interruptions) observeUnit(spec wire.Spec, name string, first, end int, running map[string]runningTask, now time.Time) {
	u := n.units[name]
	if u == nil {
		u = &watchedUnit{team: spec.Team}
		n.units[name] = u
	}
	on := map[*Agent]uint64{}
	up, over := true, n.w.check.cancellationRequested(spec.Ref)
	for i := first; i < end; i++ {
		at, ok := running[spec.Ref+"/"+strconv.Itoa(i)]
		up = up && ok
		if ok {
			on[at.machine] = at.session
		}
		over = over || n.w.completed(spec.Ref, i)
	}
	switch {
	case over:
		u.up, u.interruptedBy = false, notInterrupted
	case up:
		u.up, u.interruptedBy, u.on = true, notInterrupted, on
	case u.up:
		u.up, u.interruptedBy = false, n.cause(u)
		if u.interruptedBy == voluntarily {
			n.voluntary[u.team] = append(n.voluntary[u.team], now)
		}
	}
}

// cause returns whether a unit was stopped voluntarily: none of the machines where it last ran was
// lost, unreachable or about to be reclaimed, and none began a new incarnation.
func (n *Interruptions) cause(u *watchedUnit) interruptionCause {
	for a, session := range u.on {
		a.mu.Lock()
		lost := (a.gone && !a.released) || time.Now().Before(a.unreachableUntil) || a.session != session || a.notice != nil
		a.mu.Unlock()
		if lost {
			return involuntarily
		}
	}
	return voluntarily
}

// unreachableWholeTest is longer than any test. unreachableAfterHang is how long the controllers may
// still react to a hang after the machine has resumed.
const (
	unreachableWholeTest = 24 * time.Hour
	unreachableAfterHang = time.Minute
)

// MarkUnreachable notes that a test makes machines unreachable from now on, so that stops of their
// tasks count as involuntary.
func MarkUnreachable(machines ...*Agent) {
	for _, a := range machines {
		a.mu.Lock()
		a.unreachableUntil = time.Now().Add(unreachableWholeTest)
		a.mu.Unlock()
	}
}

// verify compares the interrupted units with the budget. The lock is held.
func (n *Interruptions) verify(now time.Time) {
	open, names := map[string]int{}, map[string][]string{}
	for name, u := range n.units {
		if u.interruptedBy == voluntarily {
			open[u.team]++
			names[u.team] = append(names[u.team], name)
		}
	}
	for team, at := range n.voluntary {
		recent := 0
		for _, t := range at {
			if now.Sub(t) <= n.window {
				recent++
			}
		}
		// Machines are read one after another, so a single observation may count a unit that already
		// runs again together with one that was stopped later.
		again := n.overLimit[team] && open[team] > n.atOnce
		n.overLimit[team] = open[team] > n.atOnce
		if again || recent > n.inWindow {
			n.violations = append(n.violations, fmt.Sprintf("%s: interrupted are %v, at most %d may be at once; %d stops within %v, want at most %d (%s)",
				team, names[team], n.atOnce, recent, n.window, n.inWindow, now.Format("15:04:05.0")))
		}
	}
}

// runningTasks returns all running tasks on machines that are up, by REF/INDEX.
func (w *World) runningTasks() map[string]runningTask {
	out := map[string]runningTask{}
	for _, a := range w.Machines() {
		a.mu.Lock()
		for at, t := range a.tasks {
			if t.state == wire.Running {
				out[at.Task] = runningTask{a, a.session}
			}
		}
		a.mu.Unlock()
	}
	return out
}

// cancellationRequested reports whether a job's user requested its cancellation.
func (c *Checker) cancellationRequested(ref string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[ref] != nil && c.jobs[ref].cancelRequested
}

// Notice gives a machine a spot notice; the cloud reclaims it when the time left has passed.
func (a *Agent) Notice(left time.Duration) {
	seconds := left.Seconds()
	a.mu.Lock()
	a.notice = &seconds
	a.markChanged()
	a.mu.Unlock()
	a.w.goroutines.Go(func() {
		if a.w.Sleep(left) {
			a.Die()
		}
	})
}
