package testkit

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"bramblespur/internal/wire"
)

// Interruptions counts, by what workers do and nothing else, how often running work of
// each team stops without having ended: a task, or a gang as a whole. It tells stops by
// the service's choice from machines that the test lets die, hang or be taken back.
type Interruptions struct {
	w        *World
	atOnce   int
	inWindow int
	window   time.Duration

	mu         sync.Mutex
	units      map[string]*watchedUnit
	voluntary  map[string][]time.Time // when work was stopped by choice, by team
	violations []string
	overLimit  map[string]bool // teams that had too much open when last looked at
}

type watchedUnit struct {
	team          string
	up            bool
	interruptedBy interruptionCause
	on            map[*Agent]uint64 // sessions of the machines where it last ran
}

type interruptionCause int

const (
	notInterrupted interruptionCause = iota
	voluntarily
	involuntarily
)

// CountInterruptions begins to count against a budget that every team has.
func (w *World) CountInterruptions(atOnce, inWindow int, window time.Duration) *Interruptions {
	n := &Interruptions{w: w, atOnce: atOnce, inWindow: inWindow, window: window, units: map[string]*watchedUnit{}, voluntary: map[string][]time.Time{}, overLimit: map[string]bool{}}
	w.goroutines.Go(func() {
		for w.Sleep(stepInterval) {
			n.observe(time.Now())
		}
	})
	return n
}

// Violations returns what was found over the budget.
func (n *Interruptions) Violations() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.violations)
}

// Voluntary returns how many stops by choice there were of a team's work.
func (n *Interruptions) Voluntary(team string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.voluntary[team])
}

// runningTask is a task that runs, and where.
type runningTask struct {
	machine *Agent
	session uint64
}

// observe takes in how things stand.
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

// observeUnit takes in how a unit of some of a job's tasks stands.
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

// cause tells whether a unit that ran on some machines was stopped by choice.
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

// unreachableWholeTest outlasts every test, and unreachableAfterHang what the service may still do about a machine
// that hung once it goes on.
const (
	unreachableWholeTest = 24 * time.Hour
	unreachableAfterHang = time.Minute
)

// MarkUnreachable notes that a test keeps machines from being reached: what is stopped there is lost.
func MarkUnreachable(machines ...*Agent) {
	for _, a := range machines {
		a.mu.Lock()
		a.unreachableUntil = time.Now().Add(unreachableWholeTest)
		a.mu.Unlock()
	}
}

// verify compares with the budget.
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
		// Machines are looked at one after the other, so one look alone may see a unit that
		// is back already beside one that was stopped since.
		again := n.overLimit[team] && open[team] > n.atOnce
		n.overLimit[team] = open[team] > n.atOnce
		if again || recent > n.inWindow {
			n.violations = append(n.violations, fmt.Sprintf("%s: %v interrupted at once of %d, %d in %v of %d (%s)",
				team, names[team], n.atOnce, recent, n.window, n.inWindow, now.Format("15:04:05.0")))
		}
	}
}

// runningTasks returns all tasks that run on machines which are there, by name.
func (w *World) runningTasks() map[string]runningTask {
	out := map[string]runningTask{}
	for _, a := range w.Machines() {
		a.mu.Lock()
		for name, t := range a.tasks {
			if t.state == wire.Running {
				out[name] = runningTask{a, a.session}
			}
		}
		a.mu.Unlock()
	}
	return out
}

// cancellationRequested reports whether a job's user asked for its end.
func (c *Checker) cancellationRequested(ref string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[ref] != nil && c.jobs[ref].cancelRequested
}

// Notice gives a machine a spot notice, after which the cloud takes it.
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
