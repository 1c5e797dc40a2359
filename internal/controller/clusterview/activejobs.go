package clusterview

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bramblespur/internal/fragment"
	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// ActiveJobs is the view of the records under record.ActiveJobPrefix: the jobs
// that have not reached a terminal state, and how they depend on each other.
type ActiveJobs struct {
	freshness

	mu           sync.Mutex // a leaf: see the package's lock order
	jobs         map[string]ActiveJob
	dependencies *fragment.Dependencies
	endWaits         map[string]chan struct{} // by job that somebody waits for; closed when it ends
}

// ActiveJob is what the view retains of an active job.
type ActiveJob struct {
	Version   uint64 // of its record
	Shard     int
	Cancelled bool // its cancellation is recorded, its end is not
	Service   bool
}

// JobChange is a job whose record changed.
type JobChange struct {
	Ref     string
	Ended   bool             // its record was deleted
	Record  record.ActiveJob // unless it ended
	Version uint64           // of the record, unless it ended
	// UrgencyChanged are the jobs whose urgency changed, as inherited from their dependents.
	UrgencyChanged []string
}

// NewActiveJobs returns a view without records.
func NewActiveJobs() *ActiveJobs {
	return &ActiveJobs{
		jobs:         map[string]ActiveJob{},
		dependencies: fragment.NewDependencies(),
		endWaits:         map[string]chan struct{}{},
	}
}

// Apply takes a changed or deleted record into the view. It reports false for a
// change that is older than the record held or is that record: what a controller
// writes itself comes once more with the watch.
func (v *ActiveJobs) Apply(change wire.Change) (JobChange, bool, error) {
	ref := record.LastElement(change.Put + change.Delete)
	v.mu.Lock()
	defer v.mu.Unlock()
	held := v.jobs[ref].Version
	if held > change.Version || (held == change.Version && change.Put != "") {
		return JobChange{}, false, nil
	}
	if change.Put == "" {
		return JobChange{Ref: ref, Ended: true, UrgencyChanged: v.remove(ref)}, true, nil
	}
	r, err := decode[record.ActiveJob](change)
	if err != nil {
		return JobChange{}, false, err
	}
	v.jobs[ref] = ActiveJob{Version: change.Version, Shard: r.Shard, Cancelled: r.Cancelled, Service: r.Spec.Kind == wire.Service}
	urgencyChanged := v.dependencies.Set(ref, dependencyJob(&r))
	return JobChange{Ref: ref, Record: r, Version: change.Version, UrgencyChanged: urgencyChanged}, true, nil
}

// dependencyJob returns the part of an active job that determines the urgency of the jobs on which it
// depends.
func dependencyJob(r *record.ActiveJob) fragment.Job {
	job := fragment.Job{
		Urgency:   fragment.Urgency{Rank: scheduler.Rank(r.Spec.Priority)},
		DependsOn: r.Spec.DependsOn,
		Estimate:  wire.Seconds(r.Spec.EstimateS),
	}
	if r.Spec.DeadlineS != nil {
		job.Deadline = time.UnixMilli(r.AcceptedAt).Add(wire.Seconds(*r.Spec.DeadlineS))
	}
	if r.Cancelled {
		job.Urgency = fragment.Urgency{} // a cancelled job has no urgency of its own
	}
	return job
}

// Remove removes a job and returns the jobs whose urgency changed.
func (v *ActiveJobs) Remove(ref string) (urgencyChanged []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.remove(ref)
}

func (v *ActiveJobs) remove(ref string) (urgencyChanged []string) {
	urgencyChanged = v.dependencies.Remove(ref)
	delete(v.jobs, ref)
	if ended := v.endWaits[ref]; ended != nil {
		close(ended)
		delete(v.endWaits, ref)
	}
	return urgencyChanged
}

// Forget makes the view one that was never listed. The jobs stay until each was removed,
// since somebody may wait for their ends.
func (v *ActiveJobs) Forget() { v.forget() }

// Job returns an active job and whether there is one.
func (v *ActiveJobs) Job(ref string) (ActiveJob, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	j, active := v.jobs[ref]
	return j, active
}

// Jobs returns all active jobs.
func (v *ActiveJobs) Jobs() map[string]ActiveJob {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.jobs)
}

// OfShard returns the active jobs of a shard.
func (v *ActiveJobs) OfShard(id int) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var refs []string
	for ref, j := range v.jobs {
		if j.Shard == id {
			refs = append(refs, ref)
		}
	}
	return refs
}

// Versions returns the versions of all records, by key.
func (v *ActiveJobs) Versions() map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := make(map[string]uint64, len(v.jobs))
	for ref, j := range v.jobs {
		versions[record.ActiveJobKey(ref)] = j.Version
	}
	return versions
}

// Missing returns the jobs, with their versions, that a list of all active jobs
// as of a revision lacks, although the view has them from then or earlier.
func (v *ActiveJobs) Missing(listed map[string]bool, revision uint64) map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	missing := map[string]uint64{}
	for ref, j := range v.jobs {
		if !listed[ref] && j.Version <= revision {
			missing[ref] = j.Version
		}
	}
	return missing
}

// Ended returns a channel that is closed when a job is not active any more; it
// is nil if it is not now.
func (v *ActiveJobs) Ended(ref string) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, active := v.jobs[ref]; !active {
		return nil
	}
	ended := v.endWaits[ref]
	if ended == nil {
		ended = make(chan struct{})
		v.endWaits[ref] = ended
	}
	return ended
}

// Urgency returns the urgency of an active job, including what it inherits from its dependents.
func (v *ActiveJobs) Urgency(ref string) fragment.Urgency {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dependencies.Urgency(ref)
}

// HasDependents reports whether active jobs depend directly on a job, active or not.
func (v *ActiveJobs) HasDependents(ref string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.dependencies.Dependents(ref)) > 0
}

// Dependents returns the active jobs that depend directly on a job, active or not.
func (v *ActiveJobs) Dependents(ref string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Keys(v.dependencies.Dependents(ref)))
}

// EndedDependencies returns the jobs that active jobs depend on directly and
// that are not active themselves.
func (v *ActiveJobs) EndedDependencies() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var refs []string
	v.dependencies.EachDependency(func(ref string, _ map[string]struct{}) {
		if _, active := v.jobs[ref]; !active {
			refs = append(refs, ref)
		}
	})
	return refs
}
