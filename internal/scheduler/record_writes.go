package scheduler

import (
	"slices"
	"sort"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// completionBacklogFactor is how much longer completions of jobs that go on wait for others,
// in times that changes wait for the state service's budget. Their workers keep them
// meanwhile, also for a new owner, and nobody waits for them, while each such write
// is one that a user's request or a start does not get.
const completionBacklogFactor = 8

// retryAfter is the pause after a transaction that the state service refused.
const retryAfter = 300 * time.Millisecond

// Purposes of transactions, for the log.
const (
	purposeStart       = "start"
	purposeCompletions = "completions"
	purposeJobEnd      = "job end"
	purposeTransfer    = "move"
	purposeRelease     = "back"
	purposeRaiseToken  = "fence"
	purposeSplit       = "split"
)

// writeRecords makes the transactions that bring the records up to the ledger.
func (s *Shard) writeRecords(now time.Time) {
	for ref, j := range s.endingJobs {
		if j.record.endTxn != nil || j.record.versionUnknown || now.Before(j.record.retryAt) {
			continue
		}
		if !j.terminal() {
			delete(s.endingJobs, ref) // a task counted as gone came back into the ledger
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
		// Completions alone wait for others to share the write: a user may be
		// told of the end a little later. Starts that come one shortly after
		// the other share one, too.
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

// deleteObsoleteRecords deletes unsized records that tell nothing any more.
func (s *Shard) deleteObsoleteRecords(now time.Time) {
	for _, rec := range s.ledger.obsolete {
		if now.Before(rec.retryAt) {
			s.wakeAt(rec.retryAt)
			continue
		}
		at := record.PlacementsKey(s.id, rec.number)
		t := &Txn{placements: rec, deletesRecord: true, Purpose: purposeSplit, Routine: true}
		t.Body.If = []wire.Condition{s.ownershipCondition(), {Key: at, Version: rec.version}}
		t.Body.Then = []wire.Op{{Delete: at}}
		rec.txn = t
		s.effects.Txns = append(s.effects.Txns, t)
	}
	s.ledger.obsolete = nil
}

// recordJobEnd records a job's end: its state for ever, and no active record any more.
// Its placements stay in their record until that is next written; without an open
// job a Load passes over them.
func (s *Shard) recordJobEnd(j *Job, now time.Time) {
	open := record.ActiveJobKey(j.ref)
	rec := record.FinishedJob{State: wire.Done, Tasks: len(j.tasks), FinishedAt: now.UnixMilli()}
	if j.cancelled {
		rec.State, rec.Tasks = wire.Cancelled, 0
	}
	t := &Txn{job: j, Purpose: purposeJobEnd, Routine: !j.cancelled && !j.hasDependents} // a user waits for a cancellation
	t.Body.If = []wire.Condition{s.ownershipCondition(), {Key: open, Version: j.record.version}}
	t.Body.Then = []wire.Op{{Put: record.FinishedJobKey(j.ref), Value: record.Encode(rec)}, {Delete: open}}
	if !s.addPipelineStep(t, j, now) {
		return // when its pipeline's record is there
	}
	j.record.endTxn = t
	s.effects.Txns = append(s.effects.Txns, t)
}

// writePlacements records the placements and completions of a record, with as many new
// starts as there is room for conditions on their jobs and machines. Ends that
// freed a place need no write of their own: the next start rewrites the record.
func (s *Shard) writePlacements(placements *placementRecord, now time.Time) {
	t := &Txn{placements: placements, Purpose: purposeCompletions}
	conds := map[string]uint64{}
	moved := placements.forceWrite
	rec, left := s.ledger.buildPlacements(placements, t, conds)
	if placements.sized {
		rec.Format = record.SizedRanges
	}
	placements.dirty, placements.urgent, placements.forceWrite = left, left, false
	if len(t.starts) == 0 && len(t.completions) == 0 && !moved {
		return
	}
	value := record.Encode(rec)
	if !s.ledger.splitOversized(placements, len(value)) {
		placements.dirty, placements.urgent = true, true
		s.wakeAt(now) // the records that take what has no room here come first
		return
	}
	placements.writtenAt = now
	t.Routine = true
	if len(t.starts) > 0 {
		t.Purpose, t.Routine = purposeStart, false
	}
	at := record.PlacementsKey(s.id, placements.number)
	t.Body.If = []wire.Condition{s.ownershipCondition(), {Key: at, Version: placements.version}}
	keys := make([]string, 0, len(conds))
	for k := range conds {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		t.Body.If = append(t.Body.If, wire.Condition{Key: k, Version: conds[k]})
	}
	t.Body.Then = []wire.Op{{Put: at, Value: value}}
	for _, k := range t.starts {
		k.job.tasks[k.index].recording = true
	}
	placements.txn = t
	s.effects.Txns = append(s.effects.Txns, t)
}

// buildPlacements makes the record of some ranges, notes in a transaction which starts and
// completions it brings, and adds the conditions that these rely on. It reports whether
// starts were left out for want of room for their conditions.
func (l *placementLedger) buildPlacements(placements *placementRecord, t *Txn, conds map[string]uint64) (rec record.Placements, left bool) {
	rec = record.Placements{Ranges: map[string]record.TaskRange{}}
	for name, c := range placements.ranges {
		built, complete := l.buildRange(c, t, conds)
		left = left || !complete
		t.ranges = append(t.ranges, c)
		rec.Ranges[name] = built
	}
	return rec, left
}

// buildRange makes a range of a record. It reports whether all starts are in it.
func (l *placementLedger) buildRange(c *taskRange, t *Txn, conds map[string]uint64) (built record.TaskRange, complete bool) {
	complete = true
	room := 4*l.txnOps - 2 // for conditions
	j := c.job
	built = c.header()
	for i := c.first; i < c.end; i++ {
		k := taskKey{j, i}
		task := &j.tasks[i]
		switch task.state {
		case placed:
			if !task.recorded && !addConditions(conds, room, map[string]uint64{
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

// header is a range as it is recorded, without its placements.
func (c *taskRange) header() record.TaskRange {
	built := record.TaskRange{Attempt: c.attempt}
	if c.record.sized {
		built.Size, built.Generation = c.end-c.first, c.generation
	}
	return built
}

// addPlacement adds a placed task to a range.
func addPlacement(built *record.TaskRange, i int, t *task) {
	if built.Placed == nil {
		built.Placed = map[int]record.TaskPlacement{}
	}
	built.Placed[i] = record.TaskPlacement{Machine: t.machine.ID, Attempt: t.attempt}
}

// appendCompleted adds a task to spans of completed ones, which all come before it.
func appendCompleted(spans [][2]int, i int) [][2]int {
	if l := len(spans); l > 0 && spans[l-1][1] == i-1 {
		spans[l-1][1] = i
		return spans
	}
	return append(spans, [2]int{i, i})
}

// addConditions adds conditions to those of a transaction if there is room for all.
func addConditions(conds map[string]uint64, room int, add map[string]uint64) bool {
	n := len(conds)
	for k := range add {
		if _, ok := conds[k]; !ok {
			n++
		}
	}
	if n > room {
		return false
	}
	for k, v := range add {
		conds[k] = v
	}
	return true
}

// recordTransfer records that a machine belongs to another shard from now on. Once
// asked for, it is asked for again until it is known to be recorded, so that no
// start can come before a late copy of it.
func (s *Shard) recordTransfer(m *Machine) {
	at := record.OverrideKey(m.ID)
	t := &Txn{machine: m, Purpose: purposeTransfer, Routine: true}
	t.Body.If = []wire.Condition{s.ownershipCondition(), {Key: at, Version: m.record.version}}
	t.Body.Then = []wire.Op{{Put: at, Value: record.Encode(s.overrideRecord(m, m.transferTo))}}
	m.record.txn = t
	s.effects.Txns = append(s.effects.Txns, t)
}

// overrideRecord is a machine's own record, with as many of its latest images as it holds.
func (s *Shard) overrideRecord(m *Machine, shard int) record.Machine {
	rec := record.Machine{Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot, Shard: shard, CreatedAt: m.provisionedAt.UnixMilli()}
	last := func(n int) any {
		r := rec
		r.Images = m.images[len(m.images)-n:]
		return r
	}
	return last(record.LargestFitting(s.ledger.valueBytes, 0, len(m.images), last)).(record.Machine)
}

// releaseMachine makes a machine leave for good. Only the answered release, as its
// batch's record tells, proves gone what may run on it.
func (s *Shard) releaseMachine(m *Machine, why string, now time.Time) {
	s.effects.Released = append(s.effects.Released, MachineRelease{Machine: m.ID, Why: why, Tasks: len(m.tasks), Silent: now.Sub(m.contact.lastContactAt)})
	m.Phase = record.Releasing
	s.inventory.update(m)
	if len(m.tasks) > 0 {
		s.releases.addUrgent(m.ID, now) // its tasks wait for the proof
		return
	}
	s.releases.addRoutine(m.ID, now, s.cfg.ReleaseBatchDelay)
}

// writeReleases records which machines are to be released. The leader asks the cloud.
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

// reportJobEnd tells how long a job took.
func (s *Shard) reportJobEnd(j *Job, now time.Time) {
	e := JobEnd{Ref: j.ref, Class: j.spec.Class, State: wire.Done, Took: now.Sub(j.accepted), Tasks: len(j.tasks),
		Estimate: wire.Seconds(j.spec.EstimateS)}
	if j.cancelled {
		e.State = wire.Cancelled
	}
	for _, c := range j.ranges {
		e.Attempts = max(e.Attempts, int(c.attempt))
	}
	s.effects.Ended = append(s.effects.Ended, e)
}

// removeJob takes a job out whose end is recorded.
func (s *Shard) removeJob(j *Job, now time.Time) {
	for i := range j.tasks {
		if j.tasks[i].state == placed {
			s.unplaceTask(taskKey{j, i}, now)
		}
	}
	for _, c := range slices.Clone(j.ranges) {
		s.ledger.detach(c)
		s.ledger.confirmWritten(c)
	}
	for _, r := range j.spec.DependsOn {
		if delete(s.dependencies.dependents[r], j); len(s.dependencies.dependents[r]) == 0 {
			delete(s.dependencies.dependents, r)
		}
	}
	delete(s.jobs, j.ref)
	delete(s.inventory.pendingJobs, j.ref)
	s.protection.remove(j)
	delete(s.endingJobs, j.ref)
	s.placementDue = true
}
