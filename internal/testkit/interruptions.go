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

	mu     sync.Mutex
	units  map[string]*watchedUnit
	chosen map[string][]time.Time // when work was stopped by choice, by team
	broken []string
	above  map[string]bool // teams that had too much open when last looked at
}

type watchedUnit struct {
	team   string
	up     bool
	downBy downBy
	on     map[*Agent]uint64 // sessions of the machines where it last ran
}

type downBy int

const (
	notDown downBy = iota
	byChoice
	byLoss
)

// CountInterruptions begins to count against a budget that every team has.
func (w *World) CountInterruptions(atOnce, inWindow int, window time.Duration) *Interruptions {
	n := &Interruptions{w: w, atOnce: atOnce, inWindow: inWindow, window: window, units: map[string]*watchedUnit{}, chosen: map[string][]time.Time{}, above: map[string]bool{}}
	w.running.Go(func() {
		for w.Sleep(worldStep) {
			n.look(time.Now())
		}
	})
	return n
}

// Violations returns what was found over the budget.
func (n *Interruptions) Violations() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.broken)
}

// Voluntary returns how many stops by choice there were of a team's work.
func (n *Interruptions) Voluntary(team string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.chosen[team])
}

// runningTask is a task that runs, and where.
type runningTask struct {
	machine *Agent
	session uint64
}

// look takes in how things stand.
func (n *Interruptions) look(now time.Time) {
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
			n.lookAt(spec, spec.Ref, 0, spec.Tasks, running, now)
			continue
		}
		for i := range spec.Tasks {
			n.lookAt(spec, spec.Ref+"/"+strconv.Itoa(i), i, i+1, running, now)
		}
	}
	n.verify(now)
}

// lookAt takes in how a unit of some of a job's tasks stands.
func (n *Interruptions) lookAt(spec wire.Spec, name string, first, end int, running map[string]runningTask, now time.Time) {
	u := n.units[name]
	if u == nil {
		u = &watchedUnit{team: spec.Team}
		n.units[name] = u
	}
	on := map[*Agent]uint64{}
	up, over := true, n.w.check.askedToEnd(spec.Ref)
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
		u.up, u.downBy = false, notDown
	case up:
		u.up, u.downBy, u.on = true, notDown, on
	case u.up:
		u.up, u.downBy = false, n.cause(u)
		if u.downBy == byChoice {
			n.chosen[u.team] = append(n.chosen[u.team], now)
		}
	}
}

// cause tells whether a unit that ran on some machines was stopped by choice.
func (n *Interruptions) cause(u *watchedUnit) downBy {
	for a, session := range u.on {
		a.mu.Lock()
		lost := (a.gone && !a.returned) || time.Now().Before(a.ailsUntil) || a.session != session || a.notice != nil
		a.mu.Unlock()
		if lost {
			return byLoss
		}
	}
	return byChoice
}

// ailsLong outlasts every test, and ailsAfter what the service may still do about a machine
// that hung once it goes on.
const (
	ailsLong  = 24 * time.Hour
	ailsAfter = time.Minute
)

// MarkUnreachable notes that a test keeps machines from being reached: what is stopped there is lost.
func MarkUnreachable(machines ...*Agent) {
	for _, a := range machines {
		a.mu.Lock()
		a.ailsUntil = time.Now().Add(ailsLong)
		a.mu.Unlock()
	}
}

// verify compares with the budget.
func (n *Interruptions) verify(now time.Time) {
	open, names := map[string]int{}, map[string][]string{}
	for name, u := range n.units {
		if u.downBy == byChoice {
			open[u.team]++
			names[u.team] = append(names[u.team], name)
		}
	}
	for team, at := range n.chosen {
		recent := 0
		for _, t := range at {
			if now.Sub(t) <= n.window {
				recent++
			}
		}
		// Machines are looked at one after the other, so one look alone may see a unit that
		// is back already beside one that was stopped since.
		again := n.above[team] && open[team] > n.atOnce
		n.above[team] = open[team] > n.atOnce
		if again || recent > n.inWindow {
			n.broken = append(n.broken, fmt.Sprintf("%s: %v interrupted at once of %d, %d in %v of %d (%s)",
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

// askedToEnd reports whether a job's user asked for its end.
func (c *Checker) askedToEnd(ref string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[ref] != nil && c.jobs[ref].asked
}

// Notice gives a machine a spot notice, after which the cloud takes it.
func (a *Agent) Notice(left time.Duration) {
	seconds := left.Seconds()
	a.mu.Lock()
	a.notice = &seconds
	a.note()
	a.mu.Unlock()
	a.w.running.Go(func() {
		if a.w.Sleep(left) {
			a.Die()
		}
	})
}
