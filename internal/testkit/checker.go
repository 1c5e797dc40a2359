package testkit

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"bramblespur/internal/wire"
)

// Names of the rules of the protocol, and of further expectations, in violations.
const (
	RanTwice     = "ran_twice"                            // a task is on two machines at once
	OverQuota    = "quota"                                // a team uses more GPUs than its limit
	WrongPlace   = "wrong_place"                          // a task starts on a machine that its specification excludes
	RanCancelled = "ran_cancelled"                        // a task remains too long after its user was answered that the job is cancelled
	Forgotten    = "forgotten"                            // an accepted job is unknown to a controller, or its polls stay unanswered
	Invented     = "invented"                             // a job that no user submitted is reported or started
	NotDone      = "not_done"                             // a job is reported done before all its tasks completed
	WentBack     = "went_back"                            // a job leaves a terminal state, or is cancelled without a request, or a cancellation does not end it
	TooEarly     = "too_early"                            // a task starts before a dependency of its job is done
	Orphaned     = "orphaned"                             // a job stays active after a dependency was cancelled
	StartedLate  = "start after a confirmed cancellation" // a task starts after its user was answered that the job is cancelled
	Waited       = "waits though a machine has room"      // a job waits too long although machines have room for it
	BadAnswer    = "wrong answer to bad input"            // a request that must be refused has another status
)

// Limits that apply while no fault is injected: waitLimit is how long a job may wait although a
// machine has room for it, and pollLimit how long its polls may stay unanswered.
const (
	waitLimit = 90 * time.Second
	pollLimit = 75 * time.Second
)

// Place is a machine with the properties that restrict placement.
type Place struct {
	ID, Type, Zone string
	Spot           bool
}

// Checker verifies the protocol's rules. It is given each event on machines and each answer to a
// user, and collects the violations. Its methods are safe for concurrent use. Its lock comes after those
// of agents and of the world.
type Checker struct {
	mu          sync.Mutex
	teamLimits  map[string]float64       // limits in GPUs, 0: none
	cancelLimit time.Duration            // how long a task may remain on a machine after its cancellation
	jobs        map[string]*jobHistory   // submitted jobs by REF
	placements  map[string]map[Place]int // by task, REF/INDEX: the machines it is on, with the number of attempts on each
	violations  []string
	reported    map[string]bool // rules with the first word of a violation, of those reported
	// recorded reports whether a task's completion is recorded in the state service; nil: none is.
	recorded       func(ref string, task int) bool
	faultFreeSince time.Time // when the last fault ended, zero while there are faults
}

// jobHistory is what the checker has observed of a job. Its maps are keyed by task index.
type jobHistory struct {
	spec            wire.Spec
	accepted        time.Time    // when a user was first answered that it is accepted
	cancelRequested bool         // its user requested its cancellation
	cancelled       time.Time    // when its user was first answered that it is cancelled
	doneAnswered    time.Time    // when its user was first answered that it is done
	done            map[int]bool // completed tasks
	lost            map[int]bool // completed tasks whose machine is gone
	undelivered     map[int]bool // lost tasks whose completion was in no heartbeat that reached a controller
	lastAnswer      time.Time    // when its user last had an answer with a state
	waitsSince      time.Time    // since when it waits although a machine has room; zero: it does not
}

// NewChecker returns a checker for teams with limits in GPUs, 0 for none. A task may remain on a
// machine for cancelAfter after its cancellation.
func NewChecker(teams map[string]float64, cancelAfter time.Duration) *Checker {
	return &Checker{teamLimits: teams, cancelLimit: cancelAfter, jobs: map[string]*jobHistory{}, placements: map[string]map[Place]int{}, reported: map[string]bool{}}
}

// Violations returns the violations in the order found, one for each rule and job, task or team.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// report adds a violation, unless one of this rule with the same first word was reported. The lock is held.
func (c *Checker) report(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	if key := rule + strings.Fields(fmt.Sprintf(format, args...))[0]; !c.reported[key] {
		c.reported[key] = true
		c.violations = append(c.violations, fmt.Sprintf("%s (%s)", text, time.Now().Format("15:04:05.000")))
	}
}

// JobSubmitted notes that a user is about to submit a job.
func (c *Checker) JobSubmitted(spec wire.Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[spec.Ref] == nil {
		c.jobs[spec.Ref] = &jobHistory{spec: spec, done: map[int]bool{}, lost: map[int]bool{}, undelivered: map[int]bool{}}
	}
}

// CancellationRequested notes that a user is about to request the cancellation of a job.
func (c *Checker) CancellationRequested(ref string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[ref]; j != nil {
		j.cancelRequested = true
	}
}

// Request is a kind of user request.
type Request int

// Kinds of user requests.
const (
	Submission Request = iota
	Poll
	Cancellation
)

// Answered verifies the answer of a controller to a request sent at asked: its status, and the
// job's state if the status is 200 or 201.
func (c *Checker) Answered(kind Request, ref string, asked, got time.Time, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[ref]
	ok := status == 200 || status == 201
	if j == nil {
		if ok {
			c.report(Invented, "%s was never submitted, answer %d %s", ref, status, state)
		}
		return
	}
	known := !j.accepted.IsZero() && !asked.Before(j.accepted)
	switch {
	case known && kind == Poll && status == 404, known && kind == Submission && (status == 400 || status == 422):
		c.report(Forgotten, "%s was accepted, answer %d", ref, status)
	case known && kind == Cancellation && status >= 400 && status < 500 && status != 429:
		c.report(Forgotten, "%s was accepted, its cancellation is answered %d", ref, status)
	}
	if !ok {
		return
	}
	j.lastAnswer = got
	if j.accepted.IsZero() {
		j.accepted = got
	}
	if kind == Cancellation && state != wire.Cancelled && state != wire.Done {
		c.report(WentBack, "%s: a cancellation is answered 200 %s", ref, state)
	}
	switch {
	case !j.doneAnswered.IsZero() && !asked.Before(j.doneAnswered) && state != wire.Done:
		c.report(WentBack, "%s was done, answer %s", ref, state)
	case !j.cancelled.IsZero() && !asked.Before(j.cancelled) && state != wire.Cancelled:
		c.report(WentBack, "%s was cancelled, answer %s", ref, state)
	case state == wire.Cancelled && !c.mayBeCancelled(j, map[string]bool{}):
		c.report(WentBack, "%s is reported cancelled, but no user requested it", ref)
	case state == wire.Done && len(j.done) < j.spec.Tasks:
		c.report(NotDone, "%s is reported done with %d of %d tasks completed", ref, len(j.done), j.spec.Tasks)
	}
	if state == wire.Pending || state == wire.Running {
		c.checkOrphaned(j, j, asked, state, map[string]bool{})
	}
	if state == wire.Done && j.doneAnswered.IsZero() {
		j.doneAnswered = got
	}
	if state == wire.Cancelled && j.cancelled.IsZero() {
		j.cancelled = got
	}
}

// checkOrphaned verifies that none of the dependencies of a job of, that is j or a job on which j
// depends directly or not, was cancelled too long before j is answered as active. The lock is held; seen
// holds the jobs visited.
func (c *Checker) checkOrphaned(j, of *jobHistory, asked time.Time, state string, seen map[string]bool) {
	for _, root := range of.spec.DependsOn {
		r := c.jobs[root]
		if r == nil || seen[root] {
			continue
		}
		seen[root] = true
		// The limit of a job accepted after the cancellation counts from its acceptance.
		if !r.cancelled.IsZero() && asked.Sub(later(r.cancelled, j.accepted)) > c.cancelLimit {
			c.report(Orphaned, "%s is still %s after its dependency %s was cancelled", j.spec.Ref, state, root)
		}
		c.checkOrphaned(j, r, asked, state, seen)
	}
}

// mayBeCancelled reports whether the cancellation of a job, or of one that it depends on, directly or
// not, was requested. The lock is held; seen holds the jobs visited.
func (c *Checker) mayBeCancelled(j *jobHistory, seen map[string]bool) bool {
	if j.cancelRequested {
		return true
	}
	for _, root := range j.spec.DependsOn {
		if r := c.jobs[root]; r != nil && !seen[root] {
			seen[root] = true
			if c.mayBeCancelled(r, seen) {
				return true
			}
		}
	}
	return false
}

// TaskStarted verifies the start of a task on a machine.
func (c *Checker) TaskStarted(task string, at Place) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ref, _, _ := strings.Cut(task, "/")
	j := c.jobs[ref]
	if j == nil {
		c.report(Invented, "%s starts, but its job was never submitted", task)
		return
	}
	spec := j.spec
	for p := range c.placements[task] {
		if p != at {
			c.report(RanTwice, "%s starts on %s while it is on %s", task, at.ID, p.ID)
		}
	}
	if (spec.Types != nil && !slices.Contains(spec.Types, at.Type)) || (spec.Zone != nil && *spec.Zone != at.Zone) || (at.Spot && !spec.Spot) {
		c.report(WrongPlace, "%s starts on %v", task, at)
	}
	if !j.cancelled.IsZero() {
		c.report(StartedLate, "%s starts on %s", task, at.ID)
	}
	for _, root := range spec.DependsOn {
		if r := c.jobs[root]; r == nil || len(r.done) < r.spec.Tasks {
			c.report(TooEarly, "%s starts before %s is done", task, root)
		}
	}
	if c.placements[task] == nil {
		c.placements[task] = map[Place]int{}
	}
	c.placements[task][at]++
	zones := map[string]int{}
	used := 0.0
	for name, places := range c.placements {
		r, _, _ := strings.Cut(name, "/")
		other := c.jobs[r]
		for p := range places {
			if r == ref && name != task {
				zones[p.Zone]++
			}
			if other.spec.Team == spec.Team {
				used += other.spec.GPUs
			}
		}
	}
	if limit := c.teamLimits[spec.Team]; limit > 0 && used > limit+1e-6 {
		c.report(OverQuota, "%s uses %v of %v GPUs at the start of %s", spec.Team, used, limit, task)
	}
	for zone, n := range zones {
		if spec.OneZone && zone != at.Zone {
			c.report(WrongPlace, "%s starts in %s while others are in %s", task, at.Zone, zone)
		}
		if spec.Spread && zone == at.Zone && n+1 > (spec.Tasks+1)/2 {
			c.report(WrongPlace, "%s starts in %s as number %d of %d there", task, zone, n+1, spec.Tasks)
		}
	}
}

// TaskGone notes that an attempt of a task is no longer on a machine.
func (c *Checker) TaskGone(task string, at Place) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.placements[task][at]--; c.placements[task][at] <= 0 {
		delete(c.placements[task], at)
	}
	if len(c.placements[task]) == 0 {
		delete(c.placements, task)
	}
}

// TaskCompleted notes that a task has completed.
func (c *Checker) TaskCompleted(ref string, task int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[ref]; j != nil {
		j.done[task] = true
		delete(j.lost, task)
		delete(j.undelivered, task)
	}
}

// CompletionLost notes that the machine of a completed task is gone. delivered says whether a
// heartbeat with the completion reached a controller. If none did, or no controller has recorded the
// completion, the controllers cannot learn of it until the task is started again.
func (c *Checker) CompletionLost(ref string, task int, delivered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[ref]; j != nil {
		j.lost[task] = true
		if !delivered {
			j.undelivered[task] = true
		}
	}
}

// SetCompletionLookup sets the function that reports whether the state service has a task's completion.
func (c *Checker) SetCompletionLookup(recorded func(ref string, task int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded = recorded
}

// knownDone reports whether the controllers must know that all tasks of a job are done: their
// machines still report it, or it is recorded. One completion of a gang implies all. The lock is held.
func (c *Checker) knownDone(j *jobHistory) bool {
	if !j.doneAnswered.IsZero() {
		return true
	}
	if len(j.done) < j.spec.Tasks {
		return false
	}
	unknown := 0
	for task := range j.lost {
		if c.recorded == nil || !c.recorded(j.spec.Ref, task) {
			unknown++
		}
	}
	return unknown == 0 || (j.spec.Kind == wire.Gang && unknown < j.spec.Tasks)
}

// mustRun reports whether a task certainly has to be started before its job can end.
func (j *jobHistory) mustRun(task int) bool {
	if j.spec.Kind == wire.Gang && len(j.done) == j.spec.Tasks && len(j.undelivered) < j.spec.Tasks {
		return false
	}
	return !j.done[task] || j.undelivered[task]
}

// SetFaultFree notes that all faults have ended, or that faults begin.
func (c *Checker) SetFaultFree(faultFree bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultFreeSince = time.Time{}
	if faultFree {
		c.faultFreeSince = time.Now()
	}
}

// Room reports whether a task, or a whole gang, fits on the present machines of the zones that are
// allowed. It is called under the checker's lock and must take none that is held while a method of the
// checker is called.
type Room func(s *wire.Spec, may func(zone string) bool) bool

// CheckDurations verifies limits of time: of cancelled tasks on machines, of unanswered polls, and of
// waiting jobs. It must be called regularly.
func (c *Checker) CheckDurations(room Room) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	used := map[string]float64{}
	for task, places := range c.placements {
		ref, _, _ := strings.Cut(task, "/")
		j := c.jobs[ref]
		if j == nil {
			continue
		}
		used[j.spec.Team] += j.spec.GPUs * float64(len(places))
		if !j.cancelled.IsZero() && now.Sub(j.cancelled) > c.cancelLimit {
			c.report(RanCancelled, "%s is on a machine %v after its user was answered that it is cancelled", task, now.Sub(j.cancelled).Round(time.Second))
		}
	}
	for ref, j := range c.jobs {
		if j.accepted.IsZero() || c.faultFreeSince.IsZero() || j.cancelRequested {
			j.waitsSince = time.Time{}
			continue
		}
		if !j.doneAnswered.IsZero() || !j.cancelled.IsZero() {
			continue
		}
		if since := later(c.faultFreeSince, later(j.lastAnswer, j.accepted)); now.Sub(since) > pollLimit {
			c.report(Forgotten, "%s: no answer for %v without faults", ref, now.Sub(since).Round(time.Second))
		}
		if !c.waitsDespiteRoom(j, used, room) {
			j.waitsSince = time.Time{}
			continue
		}
		if j.waitsSince.IsZero() {
			j.waitsSince = now
		}
		if now.Sub(later(c.faultFreeSince, j.waitsSince)) > waitLimit {
			c.report(Waited, "%s has waited since %s", ref, j.waitsSince.Format("15:04:05"))
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waitsDespiteRoom reports whether a job has a task that is on no machine, although it may start and
// machines have room for it. The lock is held.
func (c *Checker) waitsDespiteRoom(j *jobHistory, used map[string]float64, room Room) bool {
	spec := &j.spec
	missing := 0
	zones := map[string]int{}
	for i := range spec.Tasks {
		places := c.placements[fmt.Sprintf("%s/%d", spec.Ref, i)]
		if j.mustRun(i) && len(places) == 0 {
			missing++
		}
		for p := range places {
			zones[p.Zone]++
		}
	}
	may := func(zone string) bool {
		return !(spec.OneZone && len(zones) > 0 && zones[zone] == 0) && !(spec.Spread && zones[zone] >= (spec.Tasks+1)/2)
	}
	for _, root := range spec.DependsOn {
		if r := c.jobs[root]; r == nil || !c.knownDone(r) {
			return false
		}
	}
	need := 1
	if spec.Kind == wire.Gang {
		need = missing
	}
	limit := c.teamLimits[spec.Team]
	return missing > 0 && (limit <= 0 || used[spec.Team]+float64(need)*spec.GPUs <= limit+1e-6) && room(spec, may)
}

// BadInput verifies the answer to a request that must be refused with the status wanted; 503 and 429
// are allowed as well.
func (c *Checker) BadInput(what string, status, want int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status != want && status != 503 && status != 429 {
		c.report(BadAnswer, "%s answered %d, want %d", what, status, want)
	}
}
