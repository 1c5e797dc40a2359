package scheduler

import (
	"slices"
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// reconciliation is the state of the reconciliation of a shard that was acquired.
type reconciliation struct {
	since   time.Time // when it began; zero: it has ended
	pending int       // placements of earlier owners that have no outcome yet
	tally   reconcile.OutcomeCounts
	orphans map[string]bool // reported tasks that are not on record on their machine, each counted once
	// malformed has an error for each record that could not be decoded and was skipped.
	malformed []error
}

// Bounds of the state during reconciliation.
const (
	maxOrphans           = 4096
	maxAwaitedMachineIDs = 16 // in ReconciliationProgress
)

// ReconciliationProgress is how far the reconciliation of a shard has come after it was acquired.
type ReconciliationProgress struct {
	Since             time.Time
	Pending           int      // placements of earlier owners that have no outcome yet
	AwaitedMachines   int      // machines that have yet to report under the shard's token
	AwaitedMachineIDs []string // some of these, sorted
	Tally             reconcile.OutcomeCounts
}

// beginReconciliation begins the reconciliation and counts the placements of earlier owners.
func (s *Shard) beginReconciliation(now time.Time) {
	s.reconciliation.since, s.reconciliation.orphans = now, map[string]bool{}
	for _, m := range s.inventory.byID {
		for _, t := range m.tasks {
			if t.inherited {
				s.reconciliation.pending++
			}
		}
	}
}

// ReconciliationProgress returns the progress of the reconciliation, and false once it has ended.
func (s *Shard) ReconciliationProgress() (ReconciliationProgress, bool) {
	progress := &s.reconciliation
	if progress.since.IsZero() {
		return ReconciliationProgress{}, false
	}
	out := ReconciliationProgress{Since: progress.since, Pending: progress.pending, Tally: progress.tally}
	for _, m := range s.inventory.byID {
		if !m.inherited || m.contact.fenced || m.Phase != record.InUse || (!m.contact.up && len(m.tasks) == 0) {
			continue
		}
		out.AwaitedMachines++
		if len(out.AwaitedMachineIDs) < maxAwaitedMachineIDs {
			out.AwaitedMachineIDs = append(out.AwaitedMachineIDs, m.ID)
		}
	}
	slices.Sort(out.AwaitedMachineIDs)
	return out, true
}

// HasMachines reports whether the shard has any machine.
func (s *Shard) HasMachines() bool { return len(s.inventory.byID) > 0 }

// MalformedRecords returns an error for each record that was skipped when the shard was loaded.
func (s *Shard) MalformedRecords() []error { return s.reconciliation.malformed }

// EndReconciliation ends the reconciliation and drops its state.
func (s *Shard) EndReconciliation() { s.reconciliation = reconciliation{} }

// recordOutcome counts the outcome of a placement of an earlier owner, only the first time.
func (r *reconciliation) recordOutcome(t *task, v reconcile.Outcome) {
	if r.since.IsZero() || !t.inherited || t.reconciled {
		return
	}
	t.reconciled = true
	r.pending--
	r.tally.Add(v)
}

// recordOrphanOutcome counts the outcome of a reported task that is not on record on its machine,
// only the first time. If the outcome is a contradiction, it is added to the effects.
func (s *Shard) recordOrphanOutcome(m *Machine, rt *wire.HeartbeatTask, v reconcile.Outcome) {
	if s.reconciliation.since.IsZero() || s.reconciliation.orphans[rt.Task] || len(s.reconciliation.orphans) >= maxOrphans {
		return
	}
	s.reconciliation.orphans[rt.Task] = true
	s.reconciliation.tally.Add(v)
	if v == reconcile.Conflicting {
		s.effects.Contradictions = append(s.effects.Contradictions, Contradiction{
			Task: rt.Task, Machine: m.ID, Claimed: rt.State + " " + rt.Why, Known: s.describeTask(rt.Task)})
	}
}

// describeTask describes the state of a task in the ledger, for the log.
func (s *Shard) describeTask(name string) string {
	ref, n, ok := SplitTask(name)
	j := s.jobs[ref]
	if !ok || j == nil || n >= j.tasks.len() {
		return "no such task"
	}
	switch t := j.tasks.at(n); t.state {
	case placed:
		return "placed on " + t.machine.ID
	case completed:
		return "done"
	}
	return "not placed"
}
