package fragment

import "time"

// The paper's algorithm considers neither the priorities of jobs nor how long they take. So an
// early job of a pipeline may wait behind less important work and delay the last one.
// Dependencies computes the urgency that a job inherits from the jobs that depend on it.

// Urgency is the urgency of a job: as requested for the job itself, or as inherited from its
// dependents.
type Urgency struct {
	Rank     int       // priority; higher is more urgent
	Deadline time.Time // when the job should have finished; zero: no deadline
	// HasDependents reports whether active jobs depend directly on the job.
	HasDependents bool
}

// Job is an active job with the urgency that was requested for the job itself.
type Job struct {
	Urgency
	DependsOn []string      // the jobs on which it depends directly
	Estimate  time.Duration // estimated run time
}

// Dependencies holds the active jobs and their dependencies. Jobs are identified by their refs.
// It is not safe for concurrent use.
type Dependencies struct {
	jobs       map[string]Job
	urgencies  map[string]Urgency             // with what the jobs inherit
	dependents map[string]map[string]struct{} // by job, active or not: the active jobs that depend directly on it
}

// NewDependencies returns a Dependencies without jobs.
func NewDependencies() *Dependencies {
	return &Dependencies{jobs: map[string]Job{}, urgencies: map[string]Urgency{}, dependents: map[string]map[string]struct{}{}}
}

// Set adds an active job or replaces it, and returns the jobs whose urgency changed. The
// DependsOn of a job must not change.
func (d *Dependencies) Set(ref string, job Job) []string {
	if _, exists := d.jobs[ref]; !exists {
		for _, r := range job.DependsOn {
			if d.dependents[r] == nil {
				d.dependents[r] = map[string]struct{}{}
			}
			d.dependents[r][ref] = struct{}{}
		}
	}
	d.jobs[ref] = job
	return d.update(ref)
}

// Remove removes a job that is no longer active and returns the jobs whose urgency changed.
func (d *Dependencies) Remove(ref string) []string {
	job, exists := d.jobs[ref]
	if !exists {
		return nil
	}
	delete(d.jobs, ref)
	delete(d.urgencies, ref)
	for _, r := range job.DependsOn {
		if delete(d.dependents[r], ref); len(d.dependents[r]) == 0 {
			delete(d.dependents, r)
		}
	}
	var changed []string
	for _, r := range job.DependsOn {
		changed = append(changed, d.update(r)...)
	}
	return changed
}

// Urgency returns the urgency of an active job, including what it inherits from its dependents.
func (d *Dependencies) Urgency(ref string) Urgency { return d.urgencies[ref] }

// Dependents returns the active jobs that depend directly on a job, which need not be active.
func (d *Dependencies) Dependents(ref string) map[string]struct{} { return d.dependents[ref] }

// EachDependency calls f for each job, active or not, on which active jobs depend directly.
func (d *Dependencies) EachDependency(f func(ref string, dependents map[string]struct{})) {
	for ref, dependents := range d.dependents {
		f(ref, dependents)
	}
}

// update recomputes the urgency of an active job and, if it changed, those of the jobs on which
// it depends. It returns the jobs whose urgency changed. The urgency has the highest priority of
// the job and its dependents, and as its deadline the earliest of the job's own and the times by
// which its dependents must start. There is no cycle, since a job can only name jobs that were
// accepted before it.
func (d *Dependencies) update(ref string) []string {
	job, active := d.jobs[ref]
	if !active {
		return nil
	}
	urgency := job.Urgency
	urgency.HasDependents = len(d.dependents[ref]) > 0
	for r := range d.dependents[ref] {
		dependent := d.urgencies[r]
		urgency.Rank = max(urgency.Rank, dependent.Rank)
		if start := dependent.Deadline.Add(-d.jobs[r].Estimate); !dependent.Deadline.IsZero() && (urgency.Deadline.IsZero() || start.Before(urgency.Deadline)) {
			urgency.Deadline = start
		}
	}
	if old, exists := d.urgencies[ref]; exists && old.Rank == urgency.Rank && old.Deadline.Equal(urgency.Deadline) && old.HasDependents == urgency.HasDependents {
		return nil
	}
	d.urgencies[ref] = urgency
	changed := []string{ref}
	for _, r := range job.DependsOn {
		changed = append(changed, d.update(r)...)
	}
	return changed
}
