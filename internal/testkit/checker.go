package testkit

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"bramblespur/internal/wire"
)

// The protocol's rules as the checker names them, and what else is expected.
const (
	RanTwice     = "ran_twice"
	OverQuota    = "quota"
	WrongPlace   = "wrong_place"
	RanCancelled = "ran_cancelled"
	Forgotten    = "forgotten"
	Invented     = "invented"
	NotDone      = "not_done"
	WentBack     = "went_back"
	TooEarly     = "too_early"
	Orphaned     = "orphaned"
	StartedLate  = "start after a confirmed cancellation"
	Waited       = "waits though a machine has room"
	BadAnswer    = "wrong answer to bad input"
)

// waitLimit is how long a fitting job may wait, and pollLimit how long its polls may
// stay unanswered, once all troubles are over.
const (
	waitLimit = 90 * time.Second
	pollLimit = 75 * time.Second
)

// Place is a machine as the checker needs to know it.
type Place struct {
	ID, Type, Zone string
	Spot           bool
}

// Checker watches what happens on the machines and what users are told, and
// collects what the protocol's rules forbid.
type Checker struct {
	mu          sync.Mutex
	teamLimits  map[string]float64       // limits in cards, 0: none
	cancelLimit time.Duration            // how long a cancelled task may live on
	jobs        map[string]*jobHistory   // submitted ones
	placements  map[string]map[Place]int // task names by where they are, with a count of attempts
	violations  []string
	reported    map[string]bool
	// recorded tells whether a task's completion is on record; nil: none is.
	recorded       func(ref string, task int) bool
	faultFreeSince time.Time // when the last trouble ended, zero while there are some
}

// jobHistory is what the checker knows of a job.
type jobHistory struct {
	spec            wire.Spec
	accepted        time.Time // when a user was first told so
	cancelRequested bool      // its user asked for its end
	cancelled       time.Time // when its user was told so
	doneAnswered    time.Time
	done            map[int]bool
	lost            map[int]bool // done, but gone with their machine
	undelivered     map[int]bool // those of them of which no controller ever heard
	lastAnswer      time.Time
	waitsSince      time.Time // since when it waits beside room
}

// NewChecker returns a checker for teams with limits in cards, 0 for none.
func NewChecker(teams map[string]float64, cancelAfter time.Duration) *Checker {
	return &Checker{teamLimits: teams, cancelLimit: cancelAfter, jobs: map[string]*jobHistory{}, placements: map[string]map[Place]int{}, reported: map[string]bool{}}
}

// Violations returns what was found, each once, in the order found.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

func (c *Checker) report(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	if key := rule + strings.Fields(fmt.Sprintf(format, args...))[0]; !c.reported[key] {
		c.reported[key] = true
		c.violations = append(c.violations, fmt.Sprintf("%s (%s)", text, time.Now().Format("15:04:05.000")))
	}
}

// JobSubmitted takes in that a user is about to submit a job.
func (c *Checker) JobSubmitted(spec wire.Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[spec.Ref] == nil {
		c.jobs[spec.Ref] = &jobHistory{spec: spec, done: map[int]bool{}, lost: map[int]bool{}, undelivered: map[int]bool{}}
	}
}

// CancellationRequested takes in that a user asks for a job's end.
func (c *Checker) CancellationRequested(ref string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[ref]; j != nil {
		j.cancelRequested = true
	}
}

// Request is what a user asked of a node.
type Request int

// The requests that the checker knows.
const (
	Submission Request = iota
	Poll
	Cancellation
)

// Answered takes in a node's answer: its status, and the job's state if that is 200
// or 201.
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
		c.report(WentBack, "%s is called cancelled though nobody asked for that", ref)
	case state == wire.Done && len(j.done) < j.spec.Tasks:
		c.report(NotDone, "%s is called done with %d of %d tasks", ref, len(j.done), j.spec.Tasks)
	}
	if state == wire.Pending || state == wire.Running {
		for _, root := range j.spec.DependsOn {
			// One that is submitted later has its time from then on.
			if r := c.jobs[root]; r != nil && !r.cancelled.IsZero() && asked.Sub(later(r.cancelled, j.accepted)) > c.cancelLimit {
				c.report(Orphaned, "%s is %s long after %s was cancelled", ref, state, root)
			}
		}
	}
	if state == wire.Done && j.doneAnswered.IsZero() {
		j.doneAnswered = got
	}
	if state == wire.Cancelled && j.cancelled.IsZero() {
		j.cancelled = got
	}
}

// mayBeCancelled reports whether a job's user, or that of one that it needs, asked
// for its end.
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

// TaskStarted takes in that a task starts on a machine.
func (c *Checker) TaskStarted(task string, at Place) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ref, _, _ := strings.Cut(task, "/")
	j := c.jobs[ref]
	if j == nil {
		c.report(Invented, "%s starts, its job was never submitted", task)
		return
	}
	spec := j.spec
	for p := range c.placements[task] {
		if p != at {
			c.report(RanTwice, "%s starts on %s while on %s", task, at.ID, p.ID)
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
		c.report(OverQuota, "%s uses %v of %v at %s", spec.Team, used, limit, task)
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

// TaskGone takes in that a task is not on a machine any more.
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

// TaskCompleted takes in that a task has completed.
func (c *Checker) TaskCompleted(ref string, task int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[ref]; j != nil {
		j.done[task] = true
		delete(j.lost, task)
		delete(j.undelivered, task)
	}
}

// CompletionLost takes in that a completed task is gone with its machine. If no report of it ever
// reached a controller, or no controller has recorded it, nobody knows of the completion until the
// task is started once more.
func (c *Checker) CompletionLost(ref string, task int, reached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[ref]; j != nil {
		j.lost[task] = true
		if !reached {
			j.undelivered[task] = true
		}
	}
}

// SetCompletionLookup sets how the checker learns whether the state service holds a task's completion.
func (c *Checker) SetCompletionLookup(recorded func(ref string, task int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded = recorded
}

// knownDone reports whether the controllers must know that all tasks of a job are done: their
// machines still tell so, or it is on record. Of a gang one completion tells all.
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

// mustRun reports whether a task certainly has to be started for its job to end.
func (j *jobHistory) mustRun(task int) bool {
	if j.spec.Kind == wire.Gang && len(j.done) == j.spec.Tasks && len(j.undelivered) < j.spec.Tasks {
		return false
	}
	return !j.done[task] || j.undelivered[task]
}

// SetFaultFree takes in that all troubles are over, or that they begin.
func (c *Checker) SetFaultFree(calm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultFreeSince = time.Time{}
	if calm {
		c.faultFreeSince = time.Now()
	}
}

// Room tells whether a task, or a gang, fits as things stand on machines of the zones
// that are left to it.
type Room func(s *wire.Spec, may func(zone string) bool) bool

// CheckDurations is to be called now and then: it finds what lasts too long.
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
			c.report(RanCancelled, "%s is there %v after its user was told", task, now.Sub(j.cancelled).Round(time.Second))
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
			c.report(Forgotten, "%s: no answer for %v after the troubles", ref, now.Sub(since).Round(time.Second))
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waitsDespiteRoom reports whether a job has a task that is nowhere, though it may
// start and a machine has room for it.
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

// BadInput checks the answer to a request that is to be refused.
func (c *Checker) BadInput(what string, status, want int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status != want && status != 503 && status != 429 {
		c.report(BadAnswer, "%s answered %d, not %d", what, status, want)
	}
}
