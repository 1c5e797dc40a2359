package scheduler

import (
	"slices"
	"sort"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// completionBacklogFactor is the multiple of the write backlog that is added to the delay of a write
// of completions of unfinished jobs, so that more completions share the write. The delay does no harm:
// the workers retain the completions, also for a new owner, and no user or job waits for them. Each
// separate write would use up a request that a user or a start needs.
const completionBacklogFactor = 8

// retryAfter is the pause before the retry of a transaction that was refused, had a conflict or got
// no answer.
const retryAfter = 300 * time.Millisecond

// Purposes of transactions, as logged.
const (
	purposeStart       = "start"
	purposeCompletions = "completions"
	purposeJobEnd      = "job end"
	purposeTransfer    = "move"
	purposeRelease     = "back"
	purposeRaiseToken  = "fence"
	purposeSplit       = "split"
)

// writeRecords adds to the effects the transactions that make the records agree with the ledger.
func (s *Shard) writeRecords(now time.Time) {
	for ref, j := range s.endingJobs {
		if j.record.endTxn != nil || j.record.versionUnknown || now.Before(j.record.retryAt) {
			continue
		}
		if !j.terminal() {
			delete(s.endingJobs, ref) // a task that counted as gone is in the ledger again
			continue
		}
		s.recordJobEnd(j, now)
	}
	if s.ledger.sized {
		s.ledger.retireUnsized()
	}
	for _, rec := range s.ledger.records {
		if !rec.dirty || len(rec.movedOut) > 0 || rec.txn != nil || rec.versionUnknown || now.Before(rec.retryAt) {
			continue
		}
		// Completions without starts wait to share a write: the user may learn of the
		// end a little later. Starts that shortly follow a write share the next one.
		due := rec.dirtySince.Add(s.cfg.CompletionBatchDelay + completionBacklogFactor*s.writeBacklog)
		if rec.urgent {
			due = rec.writtenAt.Add(s.cfg.StartBatchDelay + s.writeBacklog)
		}
		if now.Before(due) {
			s.wakeAt(due)
			continue
		}
		s.writePlacements(rec, now)
	}
	s.deleteObsoleteRecords(now)
	s.writeReleases(now)
}

// deleteObsoleteRecords deletes the unsized records whose ranges have all moved to sized ones.
func (s *Shard) deleteObsoleteRecords(now time.Time) {
	for _, rec := range s.ledger.obsolete {
		if now.Before(rec.retryAt) {
			s.wakeAt(rec.retryAt)
			continue
		}
		key := record.PlacementsKey(s.id, rec.number)
		t := &Txn{placements: rec, deletesRecord: true, Purpose: purposeSplit, Routine: true}
		t.Body.If = []wire.Condition{s.ownershipCondition(), {Key: key, Version: rec.version}}
		t.Body.Then = []wire.Op{{Delete: key}}
		rec.txn = t
		s.effects.Txns = append(s.effects.Txns, t)
	}
	s.ledger.obsolete = nil
}

// recordJobEnd records a job's end: it writes the finished record and deletes the active one. The
// job's placements stay in their record until that is next written; Load ignores placements of jobs
// without an active record.
func (s *Shard) recordJobEnd(j *Job, now time.Time) {
	activeKey := record.ActiveJobKey(j.ref)
	rec := record.FinishedJob{State: wire.Done, Tasks: j.tasks.len(), FinishedAt: now.UnixMilli()}
	if j.cancelled {
		rec.State, rec.Tasks = wire.Cancelled, 0
	}
	t := &Txn{job: j, Purpose: purposeJobEnd, Routine: !j.cancelled && !j.hasDependents} // a user waits for a cancellation
	t.Body.If = []wire.Condition{s.ownershipCondition(), {Key: activeKey, Version: j.record.version}}
	t.Body.Then = []wire.Op{{Put: record.FinishedJobKey(j.ref), Value: record.Encode(rec)}, {Delete: activeKey}}
	if !s.addPipelineStep(t, j, now) {
		return // retried once the pipeline's record has been read
	}
	j.record.endTxn = t
	s.effects.Txns = append(s.effects.Txns, t)
}

// writePlacements writes a placement record, with as many new starts as the transaction has room
// for conditions on their jobs and machines. Tasks that have left their machines need no write of
// their own: the next start rewrites the record.
func (s *Shard) writePlacements(placements *placementRecord, now time.Time) {
	t := &Txn{placements: placements, Purpose: purposeCompletions}
	conditions := map[string]uint64{}
	forced := placements.forceWrite
	rec, startsLeftOut := s.ledger.buildPlacements(placements, t, conditions)
	if placements.sized {
		rec.Format = record.SizedRanges
	}
	placements.dirty, placements.urgent, placements.forceWrite = startsLeftOut, startsLeftOut, false
	if len(t.starts) == 0 && len(t.completions) == 0 && !forced {
		return
	}
	value := record.Encode(rec)
	if !s.ledger.splitOversized(placements, len(value)) {
		placements.dirty, placements.urgent = true, true
		s.wakeAt(now) // the records to which ranges have moved are written first
		return
	}
	placements.writtenAt = now
	t.Routine = true
	if len(t.starts) > 0 {
		t.Purpose, t.Routine = purposeStart, false
	}
	key := record.PlacementsKey(s.id, placements.number)
	t.Body.If = []wire.Condition{s.ownershipCondition(), {Key: key, Version: placements.version}}
	keys := make([]string, 0, len(conditions))
	for k := range conditions {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		t.Body.If = append(t.Body.If, wire.Condition{Key: k, Version: conditions[k]})
	}
	t.Body.Then = []wire.Op{{Put: key, Value: value}}
	for _, k := range t.starts {
		k.job.tasks.at(k.index).recording = true
	}
	placements.txn = t
	s.effects.Txns = append(s.effects.Txns, t)
}

// buildPlacements returns the content of a placement record. It adds the ranges and the new starts
// and completions to t, and the conditions that the starts rely on to conditions. It reports whether
// starts were left out because there was no room for their conditions.
func (l *placementLedger) buildPlacements(placements *placementRecord, t *Txn, conditions map[string]uint64) (rec record.Placements, startsLeftOut bool) {
	rec = record.Placements{Ranges: map[string]record.TaskRange{}}
	for name, r := range placements.ranges {
		built, complete := l.buildRange(r, t, conditions)
		startsLeftOut = startsLeftOut || !complete
		t.ranges = append(t.ranges, r)
		rec.Ranges[name] = built
	}
	return rec, startsLeftOut
}

// buildRange returns the content of a range. It adds the range's new starts and completions to t, and
// the conditions that the starts rely on to conditions. It reports whether the content includes all
// new starts of the range.
func (l *placementLedger) buildRange(r *taskRange, t *Txn, conditions map[string]uint64) (built record.TaskRange, complete bool) {
	complete = true
	room := 4*l.txnOps - 2 // for conditions on jobs and machines
	j := r.job
	built = r.header()
	for i := r.first; i < r.end; i++ {
		k := taskKey{j, i}
		task := j.tasks.at(i)
		switch task.state {
		case placed:
			if !task.recorded && !addConditions(conditions, room, map[string]uint64{
				record.ActiveJobKey(j.ref): j.record.version, record.OverrideKey(task.machine.ID): task.machine.record.version,
			}) {
				complete = false
				continue
			}
			if !task.recorded {
				t.starts = append(t.starts, k)
			}
			addPlacement(&built, i, task)
		case completed:
			if !task.completionRecorded {
				t.completions = append(t.completions, k)
			}
			built.Completed = appendCompleted(built.Completed, i)
		}
	}
	return built, complete
}

// header returns a range as it is recorded, without its placements and completions.
func (r *taskRange) header() record.TaskRange {
	built := record.TaskRange{Attempt: r.attempt}
	if r.record.sized {
		built.Size, built.Generation = r.end-r.first, r.generation
	}
	return built
}

// addPlacement adds the placement of task i to a range.
func addPlacement(built *record.TaskRange, i int, t *task) {
	if built.Placed == nil {
		built.Placed = map[int]record.TaskPlacement{}
	}
	built.Placed[i] = record.TaskPlacement{Machine: t.machine.ID, Attempt: t.attempt}
}

// appendCompleted adds task i to spans of completed tasks with lower indexes.
func appendCompleted(spans [][2]int, i int) [][2]int {
	if l := len(spans); l > 0 && spans[l-1][1] == i-1 {
		spans[l-1][1] = i
		return spans
	}
	return append(spans, [2]int{i, i})
}

// addConditions adds all conditions in add to conditions if these are then no more than room, and
// otherwise none. It reports whether it has added them.
func addConditions(conditions map[string]uint64, room int, add map[string]uint64) bool {
	n := len(conditions)
	for k := range add {
		if _, ok := conditions[k]; !ok {
			n++
		}
	}
	if n > room {
		return false
	}
	for k, v := range add {
		conditions[k] = v
	}
	return true
}

// recordTransfer records that a machine belongs to the shard m.transferTo from now on. Once sent, the
// transaction is retried until the transfer is known to be recorded, so that no start can be
// recorded ahead of a late copy of it.
func (s *Shard) recordTransfer(m *Machine) {
	key := record.OverrideKey(m.ID)
	t := &Txn{machine: m, Purpose: purposeTransfer, Routine: true}
	t.Body.If = []wire.Condition{s.ownershipCondition(), {Key: key, Version: m.record.version}}
	t.Body.Then = []wire.Op{{Put: key, Value: record.Encode(s.overrideRecord(m, m.transferTo))}}
	m.record.txn = t
	s.effects.Txns = append(s.effects.Txns, t)
}

// overrideRecord returns a machine's override record for a shard, with as many of its most recently
// used images as fit into a value.
func (s *Shard) overrideRecord(m *Machine, shard int) record.Machine {
	rec := record.Machine{Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot, Shard: shard, CreatedAt: m.provisionedAt.UnixMilli()}
	last := func(n int) any {
		r := rec
		r.Images = m.images[len(m.images)-n:]
		return r
	}
	return last(record.LargestFitting(s.ledger.valueBytes, 0, len(m.images), last)).(record.Machine)
}

// releaseMachine queues a machine for release to the cloud, and reports it with the reason why. Its
// tasks are proven gone only once the record of its batch shows that the cloud has released it.
func (s *Shard) releaseMachine(m *Machine, why string, now time.Time) {
	s.effects.Released = append(s.effects.Released, MachineRelease{Machine: m.ID, Why: why, Tasks: len(m.tasks), Silent: now.Sub(m.contact.lastContactAt)})
	m.Phase = record.Releasing
	s.inventory.update(m)
	if len(m.tasks) > 0 {
		s.releases.addUrgent(m.ID, now) // its tasks wait to be proven gone
		return
	}
	s.releases.addRoutine(m.ID, now, s.cfg.ReleaseBatchDelay)
}

// writeReleases records which machines are to be released. The leader then releases them.
func (s *Shard) writeReleases(now time.Time) {
	s.releases.formBatch(s.ledger.valueBytes, now, func(batch int) string { return record.ReleaseKey(s.id, s.token, batch) })
	b := s.releases.batch
	if b == nil || b.txn != nil || now.Before(b.retryAt) {
		return
	}
	t := &Txn{release: b, Purpose: purposeRelease, Routine: true}
	t.Body.If = []wire.Condition{s.ownershipCondition(), {Key: b.key}}
	t.Body.Then = []wire.Op{{Put: b.key, Value: record.Encode(record.Release{IDs: b.ids})}}
	b.txn = t
	s.effects.Txns = append(s.effects.Txns, t)
}

// reportJobEnd adds a job's end to the effects, for the log.
func (s *Shard) reportJobEnd(j *Job, now time.Time) {
	e := JobEnd{Ref: j.ref, Class: j.spec.Class, State: wire.Done, Took: now.Sub(j.accepted), Tasks: j.tasks.len(),
		Estimate: wire.Seconds(j.spec.EstimateS)}
	if j.cancelled {
		e.State = wire.Cancelled
	}
	for _, r := range j.ranges {
		e.Attempts = max(e.Attempts, int(r.attempt))
	}
	s.effects.Ended = append(s.effects.Ended, e)
}

// removeJob removes a job whose end is recorded.
func (s *Shard) removeJob(j *Job, now time.Time) {
	for i := range j.tasks.placedTasks() {
		s.unplaceTask(taskKey{j, i}, now)
	}
	for _, r := range slices.Clone(j.ranges) {
		s.ledger.detach(r)
		s.ledger.confirmWritten(r)
	}
	for _, ref := range j.spec.DependsOn {
		if delete(s.dependencies.dependents[ref], j); len(s.dependencies.dependents[ref]) == 0 {
			delete(s.dependencies.dependents, ref)
		}
	}
	delete(s.jobs, j.ref)
	delete(s.inventory.pendingJobs, j.ref)
	s.protection.remove(j)
	delete(s.endingJobs, j.ref)
	s.placementDue = true
}
