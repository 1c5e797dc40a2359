package scheduler

import (
	"slices"
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// settling is what became of what a part's owner found on record when it took the part over.
type settling struct {
	since   time.Time // zero: it has settled
	awaited int       // placements of earlier owners without a verdict
	tally   reconcile.Tally
	strays  map[string]bool // tasks in reports that are not on record, each counted once
	// malformed is what is wrong with records that were passed over.
	malformed []error
}

// Bounds of what is remembered while a part settles.
const (
	maxStrays  = 4096
	maxUnheard = 16 // machines that are named
)

// Progress is how far a part has settled after it was taken over.
type Progress struct {
	Since   time.Time
	Awaited int      // tasks of which nothing is proven yet
	Unheard int      // machines that have not reported under the part's token
	Names   []string // some of them
	Tally   reconcile.Tally
}

// beginSettling counts what is to be found out about.
func (s *Shard) beginSettling(now time.Time) {
	s.settling.since, s.settling.strays = now, map[string]bool{}
	for _, m := range s.machines {
		for _, t := range m.on {
			if t.inherited {
				s.settling.awaited++
			}
		}
	}
}

// Progress tells how far the part has settled; there is nothing to tell once it has.
func (s *Shard) Progress() (Progress, bool) {
	progress := &s.settling
	if progress.since.IsZero() {
		return Progress{}, false
	}
	out := Progress{Since: progress.since, Awaited: progress.awaited, Tally: progress.tally}
	for _, m := range s.machines {
		if !m.inherited || m.fenced || m.Phase != record.InUse || (!m.up && len(m.on) == 0) {
			continue
		}
		out.Unheard++
		if len(out.Names) < maxUnheard {
			out.Names = append(out.Names, m.ID)
		}
	}
	slices.Sort(out.Names)
	return out, true
}

// HasMachines reports whether the part has any machine.
func (s *Shard) HasMachines() bool { return len(s.machines) > 0 }

// Malformed returns what is wrong with records that were passed over when the part was loaded.
func (s *Shard) Malformed() []error { return s.settling.malformed }

// EndSettling forgets what was found out.
func (s *Shard) EndSettling() { s.settling = settling{} }

// judge counts the verdict on a placement of an earlier owner, once.
func (s *Shard) judge(t *task, v reconcile.Verdict) {
	if s.settling.since.IsZero() || !t.inherited || t.judged {
		return
	}
	t.judged = true
	s.settling.awaited--
	s.settling.tally.Add(v)
}

// judgeStray counts the verdict on a task in a report that is not on record there, once, and
// tells of a contradiction.
func (s *Shard) judgeStray(m *Machine, rt *wire.HeartbeatTask, v reconcile.Verdict) {
	if s.settling.since.IsZero() || s.settling.strays[rt.Task] || len(s.settling.strays) >= maxStrays {
		return
	}
	s.settling.strays[rt.Task] = true
	s.settling.tally.Add(v)
	if v == reconcile.Contradictory {
		s.out.Contradictions = append(s.out.Contradictions, Contradiction{
			Task: rt.Task, Machine: m.ID, Claimed: rt.State + " " + rt.Why, Known: s.knownOf(rt.Task)})
	}
}

// knownOf tells what the ledger has of a task.
func (s *Shard) knownOf(name string) string {
	ref, n, ok := SplitTask(name)
	j := s.jobs[ref]
	if !ok || j == nil || n >= len(j.tasks) {
		return "no such task"
	}
	switch t := &j.tasks[n]; t.state {
	case placed:
		return "placed on " + t.machine.ID
	case done:
		return "done"
	}
	return "without a place"
}
