package clusterview

import (
	"maps"
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

	mu           sync.Mutex           // a leaf: see the package's lock order
	jobs         map[string]ActiveJob // by ref
	dependencies *fragment.Dependencies
	bytes        int                      // upper bound of the memory that all jobs take
	endWaits     map[string]chan struct{} // by the ref of a job whose end is awaited; closed when the job ends

	placementsPerRecord int // immutable
}

// ActiveJob is the part of an active job's record that the view keeps.
type ActiveJob struct {
	Version   uint64 // of the record
	Shard     int    // the shard to which the job belongs
	Cancelled bool   // the job's cancellation is recorded, its end is not
	Service   bool   // the job is a service
	Dependent bool   // the job names dependencies
	Bytes     int    // upper bound of the memory that the job takes, as of scheduler.JobBytes
}

// JobChange describes a job whose record changed.
type JobChange struct {
	Ref     string
	Ended   bool             // the record was deleted
	Record  record.ActiveJob // zero if the job ended
	Version uint64           // of the record; 0 if the job ended
	// UrgencyChanged are the refs of the jobs whose urgency changed because of this change: an
	// active job inherits urgency from its dependents.
	UrgencyChanged []string
}

// NewActiveJobs returns a view without records, for a cluster whose placement records hold so many
// placements.
func NewActiveJobs(placementsPerRecord int) *ActiveJobs {
	return &ActiveJobs{
		placementsPerRecord: placementsPerRecord,

		jobs:         map[string]ActiveJob{},
		dependencies: fragment.NewDependencies(),
		endWaits:     map[string]chan struct{}{},
	}
}

// Apply applies a changed or deleted record, from a list or the watch, to the view and describes the
// change. Each of many records costs least in the order of DependentsFirst. It reports false, and
// changes nothing, for a record that is not newer than the one held or than the end of its job:
// the watch delivers once more what this controller has written itself.
// A record that cannot be decoded is a *RecordError and changes nothing.
func (v *ActiveJobs) Apply(change wire.Change) (JobChange, bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.apply(change)
}

// ApplyAhead is Apply for a change that was learned ahead of the watch: from the answer to a write
// of this controller, or from a notice of another one. It may come late, and changes nothing if the
// view has seen what came after it, which may be the end of the job.
func (v *ActiveJobs) ApplyAhead(change wire.Change) (JobChange, bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.includes(change) {
		return JobChange{}, false, nil
	}
	return v.apply(change)
}

// apply applies a change. The lock is held.
func (v *ActiveJobs) apply(change wire.Change) (JobChange, bool, error) {
	key := change.Put + change.Delete
	ref := record.LastElement(key)
	held := v.jobs[ref].Version
	if held > change.Version || (held == change.Version && change.Put != "") || v.deletedSince(key, change.Version) {
		return JobChange{}, false, nil
	}
	if change.Put == "" {
		v.noteDeletion(key, change.Version)
		return JobChange{Ref: ref, Ended: true, UrgencyChanged: v.remove(ref)}, true, nil
	}
	r, err := decode[record.ActiveJob](change)
	if err != nil {
		return JobChange{}, false, err
	}
	bytes := scheduler.JobBytes(&r.Spec, len(change.Value), v.placementsPerRecord)
	v.bytes += bytes - v.jobs[ref].Bytes
	v.jobs[ref] = ActiveJob{Version: change.Version, Shard: r.Shard, Cancelled: r.Cancelled, Service: r.Spec.Kind == wire.Service,
		Dependent: len(r.Spec.DependsOn) > 0, Bytes: bytes}
	urgencyChanged := v.dependencies.Set(ref, dependencyJob(&r))
	return JobChange{Ref: ref, Record: r, Version: change.Version, UrgencyChanged: urgencyChanged}, true, nil
}

// dependencyJob returns the part of an active job's record that determines the urgency of the jobs
// on which it depends.
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

// Remove removes a job that is no longer active and returns the jobs whose urgency changed.
func (v *ActiveJobs) Remove(ref string) (urgencyChanged []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.remove(ref)
}

func (v *ActiveJobs) remove(ref string) (urgencyChanged []string) {
	urgencyChanged = v.dependencies.Remove(ref)
	v.bytes -= v.jobs[ref].Bytes
	delete(v.jobs, ref)
	if ended := v.endWaits[ref]; ended != nil {
		close(ended)
		delete(v.endWaits, ref)
	}
	return urgencyChanged
}

// HasSeenEnd reports whether the view has seen the end of a job whose record had a version.
func (v *ActiveJobs) HasSeenEnd(ref string, version uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, active := v.jobs[ref]
	return !active && v.includes(wire.Change{Put: record.ActiveJobKey(ref), Version: version})
}

// Forget resets the view to one whose records were never listed. The jobs stay in it until each is
// removed, since there may be waiters for their ends.
func (v *ActiveJobs) Forget() { v.forget() }

// Job returns an active job, and whether the view has one by that ref.
func (v *ActiveJobs) Job(ref string) (ActiveJob, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	j, active := v.jobs[ref]
	return j, active
}

// Jobs returns a copy of all active jobs, by ref.
func (v *ActiveJobs) Jobs() map[string]ActiveJob {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.jobs)
}

// Usage returns how many jobs are active, and an upper bound of the memory that they take in a
// controller, in bytes, apart from their tasks on machines.
func (v *ActiveJobs) Usage() (jobs, bytes int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.jobs), v.bytes
}

// OfShard returns the refs of a shard's active jobs, in no particular order.
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

// Missing returns the active jobs that are not in a list of all active jobs as of
// a revision, although the view has them from that revision or earlier. It returns
// the versions of their records, by ref.
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

// Ended returns a channel that is closed once a job is no longer active. It
// returns nil if the job is not active now.
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
	return v.dependencies.HasDependents(ref)
}

// Dependents returns the active jobs that depend directly on a job, active or not.
func (v *ActiveJobs) Dependents(ref string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dependencies.Dependents(ref)
}

// SetDone notes that a job which is no longer active is done.
func (v *ActiveJobs) SetDone(ref string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dependencies.SetDone(ref)
}

// UnsettledDependencies returns the jobs that are neither active nor known to be done, on which a job
// depends directly or through active jobs, and whether the job itself is active. They may have been
// cancelled.
func (v *ActiveJobs) UnsettledDependencies(ref string) (unsettled []string, active bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, active = v.jobs[ref]
	return v.dependencies.Unsettled(ref), active
}

// EndedDependencies returns the refs of the jobs on which active jobs depend
// directly and which are not active themselves.
func (v *ActiveJobs) EndedDependencies() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dependencies.Ended()
}
