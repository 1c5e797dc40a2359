package scheduler

import (
	"slices"
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// reconciliation is what became of what a shard's owner found on record when it acquired the shard.
type reconciliation struct {
	since   time.Time // zero: it is over
	pending int       // placements of earlier owners without an outcome
	tally   reconcile.OutcomeCounts
	orphans map[string]bool // tasks in heartbeats that are not on record, each counted once
	// malformed is what is wrong with records that were passed over.
	malformed []error
}

// Bounds of what is remembered during reconciliation.
const (
	maxOrphans           = 4096
	maxAwaitedMachineIDs = 16 // machines that are named
)

// ReconciliationProgress is how far the reconciliation of a shard has come after it was acquired.
type ReconciliationProgress struct {
	Since             time.Time
	Pending           int      // tasks of which nothing is proven yet
	AwaitedMachines   int      // machines that have not reported under the shard's token
	AwaitedMachineIDs []string // some of them
	Tally             reconcile.OutcomeCounts
}

// beginReconciliation counts what is to be found out about.
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

// ReconciliationProgress tells how far it has come; there is nothing to tell once it is over.
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

// MalformedRecords returns what is wrong with records that were passed over when the shard was loaded.
func (s *Shard) MalformedRecords() []error { return s.reconciliation.malformed }

// EndReconciliation forgets what was found out.
func (s *Shard) EndReconciliation() { s.reconciliation = reconciliation{} }

// recordOutcome counts the outcome of a placement of an earlier owner, once.
func (r *reconciliation) recordOutcome(t *task, v reconcile.Outcome) {
	if r.since.IsZero() || !t.inherited || t.reconciled {
		return
	}
	t.reconciled = true
	r.pending--
	r.tally.Add(v)
}

// recordOrphanOutcome counts the outcome of a task in a heartbeat that is not on record there, once, and
// tells of a contradiction.
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

// describeTask tells what the ledger has of a task.
func (s *Shard) describeTask(name string) string {
	ref, n, ok := SplitTask(name)
	j := s.jobs[ref]
	if !ok || j == nil || n >= len(j.tasks) {
		return "no such task"
	}
	switch t := &j.tasks[n]; t.state {
	case placed:
		return "placed on " + t.machine.ID
	case completed:
		return "done"
	}
	return "without a place"
}
