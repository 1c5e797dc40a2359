package scheduler

import (
	"fmt"
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// placeTask enters the placement of the pending task k on machine m in the ledger.
func (s *Shard) placeTask(k taskKey, m *Machine, attempt uint64, now time.Time) *task {
	j := k.job
	t := j.tasks.place(k.index, m, attempt)
	j.progress.pending--
	j.progress.placed++
	j.progress.placedByZone[m.Zone]++
	s.inventory.updatePending(j)
	spec := j.spec
	m.tasks[k] = t
	s.inventory.countTask(m, j.rank, 1)
	m.used.cpus += spec.CPUs
	m.used.gpus += spec.GPUs
	m.used.mem += spec.MemoryGB
	m.attempts.unreported++
	s.quotas.charge(spec)
	m.idleSince = time.Time{}
	s.inventory.update(m)
	r := s.ledger.markDirty(k, now)
	r.attempt = max(r.attempt, attempt)
	r.record.urgent = true
	t.trace = &startTrace{placed: now, cached: m.hasImage(spec.Image)}
	return t
}

// unplaceTask makes the placed task k pending again: it was proven gone, or its placement was
// never recorded.
func (s *Shard) unplaceTask(k taskKey, now time.Time) {
	j := k.job
	t := j.tasks.at(k.index)
	m := t.machine
	spec := j.spec
	delete(m.tasks, k)
	s.inventory.countTask(m, j.rank, -1)
	m.used.cpus -= spec.CPUs
	m.used.gpus -= spec.GPUs
	m.used.mem -= spec.MemoryGB
	if !t.reported {
		m.attempts.unreported--
	}
	if len(m.tasks) == 0 {
		m.used.cpus, m.used.gpus, m.used.mem = 0, 0, 0
		m.idleSince = now
	}
	s.inventory.update(m)
	if t.stopping && !m.evicting() {
		delete(s.inventory.evicting, m)
	}
	t.setPhase(j, "")
	s.quotas.refund(spec)
	j.tasks.unplace(k.index)
	j.progress.placed--
	j.progress.pending++
	if j.progress.placedByZone[m.Zone]--; j.progress.placedByZone[m.Zone] == 0 {
		delete(j.progress.placedByZone, m.Zone)
	}
	s.inventory.updatePending(j)
	j.progress.firstPending = min(j.progress.firstPending, k.index)
	s.ledger.markDirty(k, now)
	s.queueIfTerminal(j)
	s.placementDue = true
}

// markCompleted makes a pending or placed task completed.
func (s *Shard) markCompleted(k taskKey, now time.Time) {
	j := k.job
	t := j.tasks.at(k.index)
	if t.state == completed {
		return
	}
	if t.state == placed {
		s.reconciliation.recordOutcome(t, reconcile.Finished)
		s.unplaceTask(k, now)
	}
	j.tasks.complete(k.index)
	j.progress.pending--
	j.progress.completed++
	s.inventory.updatePending(j)
	j.faults.count = 0
	s.ledger.markDirty(k, now)
	s.queueIfTerminal(j)
	s.placementDue = true
}

// queueIfTerminal queues a terminal job for the next Step, which records its end.
func (s *Shard) queueIfTerminal(j *Job) {
	if j.terminal() {
		s.endingJobs[j.ref] = j
	}
}

// terminal reports whether no task of a job is left to run or to be proven gone.
func (j *Job) terminal() bool {
	return (j.cancelled && j.progress.placed == 0 && !j.withheld) || (!j.cancelled && j.progress.completed == j.tasks.len())
}

// markDirty marks the placement record of a task's range as changed and returns the range.
func (l *placementLedger) markDirty(k taskKey, now time.Time) *taskRange {
	r := l.rangeOf(k.job, k.index)
	if !r.record.dirty {
		r.record.dirty, r.record.dirtySince = true, now
	}
	return r
}

// nextAttempt returns the number of the next attempt of task i: above any attempt of its range,
// or for a gang above any attempt of all its ranges.
func (l *placementLedger) nextAttempt(j *Job, i int) uint64 {
	if j.spec.Kind != wire.Gang {
		return l.rangeOf(j, i).attempt + 1
	}
	var a uint64
	for _, r := range j.ranges {
		a = max(a, r.attempt)
	}
	return a + 1
}

// SetJob applies a new or changed record of an active job at a version. It ignores records of
// other shards, and records that are no newer than the one known.
func (s *Shard) SetJob(ref string, o record.ActiveJob, version uint64, now time.Time) {
	if o.Shard != s.id {
		return
	}
	j := s.jobs[ref]
	if j == nil {
		spec := o.Spec
		j = &Job{
			ref: ref, spec: &spec, accepted: time.UnixMilli(o.AcceptedAt), tasks: newTaskTable(spec.Tasks),
			progress: jobProgress{pending: spec.Tasks, placedByZone: map[string]int{}}, rank: Rank(spec.Priority), awaitsDependencies: true,
		}
		s.jobs[ref] = j
		s.inventory.updatePending(j)
		switch {
		case o.Pipeline != "":
			j.pipeline = s.pipelineOf(o.Pipeline)
		case len(spec.DependsOn) > 0:
			s.awaitDependencies(j)
		default:
			j.pipeline = singleJob
		}
	}
	if version <= j.record.version {
		return
	}
	j.record.version = version
	if !o.AwaitsDependencies {
		s.releaseJob(j, time.UnixMilli(o.AcceptedAt), now)
	}
	if o.Cancelled {
		s.cancelJob(j, now)
	}
	s.placementDue = true
}

// releaseJob ends a job's wait for its dependencies: its waiting time for placement counts from
// at.
func (s *Shard) releaseJob(j *Job, at, now time.Time) {
	if !j.awaitsDependencies {
		return
	}
	j.awaitsDependencies = false
	if j.accepted = at; now.Sub(at) < arrivalDecay {
		s.arrivals.record(j, s.cfg, now)
	}
	s.placementDue = true
}

// cancelJob cancels a job and stops its tasks: its end is recorded once none of them is placed.
func (s *Shard) cancelJob(j *Job, now time.Time) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	for i, t := range j.tasks.placedTasks() {
		k := taskKey{j, i}
		if !t.recorded && !t.recording {
			s.unplaceTask(k, now) // never recorded, so never sent
		} else {
			s.stopTask(k, 0, now)
		}
	}
	s.queueIfTerminal(j)
}

// SetMachine applies the merged records of a new or changed machine. It fails if the machine is
// new and of a type that the configuration lacks.
func (s *Shard) SetMachine(id string, v record.MachineView, now time.Time) error {
	m := s.inventory.byID[id]
	if v.Shard != s.id {
		if m != nil && v.Version > m.record.version && len(m.tasks) == 0 {
			s.removeMachine(m, now)
		}
		return nil
	}
	if m == nil {
		if v.Phase == record.Released {
			return nil
		}
		typ, ok := s.cfg.Types[v.Type]
		if !ok {
			return fmt.Errorf("machine %s: unknown type %q", id, v.Type)
		}
		m = &Machine{
			ID: id, Type: typ, Zone: v.Zone, Spot: v.Spot, provisionedAt: time.UnixMilli(v.CreatedAt), tasks: map[taskKey]*task{},
			images: v.Images, transferTo: -1, idleSince: now, contact: contact{lastContactAt: now},
		}
		s.inventory.byID[id] = m
		s.ledger.longestMachineID = max(s.ledger.longestMachineID, len(id))
	}
	if v.Version > m.record.version {
		s.setRecordVersion(m, v.Version)
	}
	if v.Addr != "" {
		m.record.hasAddress = true
		if m.Addr == "" {
			m.Addr = v.Addr
		}
	}
	m.Phase = max(m.Phase, v.Phase)
	s.inventory.update(m)
	if m.Phase == record.Released {
		s.removeMachine(m, now)
	}
	s.placementDue = true
	return nil
}

// DropMachine removes a machine that no record names any more: it is gone.
func (s *Shard) DropMachine(id string, now time.Time) {
	if m := s.inventory.byID[id]; m != nil {
		s.removeMachine(m, now)
	}
}

// removeMachine removes a machine that is gone or belongs to another shard. Its tasks are lost.
func (s *Shard) removeMachine(m *Machine, now time.Time) {
	for k := range m.tasks {
		s.taskLost(k, now)
	}
	delete(s.inventory.byID, m.ID)
	delete(s.delayedStarts, m)
	delete(s.ownership.unconfirmed, m)
	s.inventory.drop(m)
	s.placementDue = true
}

// SetWriteBacklog sets how long writes wait for the request budget of the state service: the
// longer, the more changes share a write.
func (s *Shard) SetWriteBacklog(d time.Duration) { s.writeBacklog = min(d, maxWriteBacklog) }

// maxWriteBacklog bounds how much longer than StartBatchDelay a start waits to share a write.
const maxWriteBacklog = time.Second

// SetCancellationsUnknown sets whether cancellations that other controllers have confirmed to
// users may not have reached this one. While they may not, no task is started, not even one
// whose placement is recorded.
func (s *Shard) SetCancellationsUnknown(unknown bool) { s.cancellationsUnknown = unknown }

// HasMachine reports whether a machine belongs to the shard.
func (s *Shard) HasMachine(id string) bool { return s.inventory.byID[id] != nil }

// HasJob reports whether the shard holds an active job.
func (s *Shard) HasJob(ref string) bool { return s.jobs[ref] != nil }

// HasJobVersion reports whether the shard holds an active job at this version of its record or
// a later one.
func (s *Shard) HasJobVersion(ref string, version uint64) bool {
	j := s.jobs[ref]
	return j != nil && j.record.version >= version
}

// Status returns a job's state for status queries. It returns false if the shard does not hold
// the job.
func (s *Shard) Status(ref string) (wire.Status, bool) {
	j := s.jobs[ref]
	if j == nil {
		return wire.Status{}, false
	}
	status := wire.Status{Ref: ref, State: wire.Pending, Done: j.progress.completed, Running: j.progress.running}
	if status.Running > 0 {
		status.State = wire.Running
	}
	return status, true
}

// stopTask stops a placed task, which has the grace period to save. The stop is never revoked for
// that attempt.
func (s *Shard) stopTask(k taskKey, grace time.Duration, now time.Time) {
	t := k.job.tasks.at(k.index)
	if t.state != placed {
		return
	}
	if !t.stopping || grace < t.grace {
		t.stopping, t.grace = true, grace
		s.inventory.evicting[t.machine] = struct{}{}
		s.inventory.commandsDue[t.machine] = struct{}{}
	}
}

// stopJob stops every placed task of a job.
func (s *Shard) stopJob(j *Job, grace time.Duration, now time.Time) {
	for i := range j.tasks.placedTasks() {
		s.stopTask(taskKey{j, i}, grace, now)
	}
}

// taskLost makes a placed task pending that is proven gone without having completed. If its gang
// is still assembling, the others keep waiting, and a replacement under the same attempt
// completes the gang. If its gang runs, unsaved work is lost already and the other tasks only
// occupy machines, so they are stopped.
func (s *Shard) taskLost(k taskKey, now time.Time) {
	s.reconciliation.recordOutcome(k.job.tasks.at(k.index), reconcile.Missing)
	s.recordInterruption(k)
	s.unplaceTask(k, now)
	if k.job.spec.Kind == wire.Gang && !k.job.assembling() {
		s.stopAttempt(k.job, now)
	}
}

// stopAttempt stops the placed tasks of a job without grace, except for those being stopped.
func (s *Shard) stopAttempt(j *Job, now time.Time) {
	for i, t := range j.tasks.placedTasks() {
		if !t.stopping {
			s.stopTask(taskKey{j, i}, 0, now)
		}
	}
}

// assembling reports whether, by the heartbeats received, all placed tasks of a gang still wait
// for the others of their attempt.
func (j *Job) assembling() bool {
	for _, t := range j.tasks.placedTasks() {
		waiting := t.phase == wire.Fetching || t.phase == wire.AwaitingGang || (t.phase == "" && !t.inherited)
		if t.stopping || !waiting {
			return false
		}
	}
	return true
}

// awaitsReplacement reports whether a gang assembles while one of its tasks is to be replaced.
func (j *Job) awaitsReplacement() bool {
	return j.spec.Kind == wire.Gang && j.progress.placed > 0 && j.progress.pending > 0 && j.assembling()
}

// gangAttempt returns the attempt of a gang's placed tasks, 0 if there are none.
func (j *Job) gangAttempt() uint64 {
	for _, t := range j.tasks.placedTasks() {
		return t.attempt
	}
	return 0
}
