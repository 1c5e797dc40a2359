package scheduler

import (
	"time"

	"bramblespur/internal/ratelimit"
	"bramblespur/internal/reconcile"
	"bramblespur/internal/wire"
)

// Contradiction is a claim of a worker that disagrees with what is known, for the log. What
// users were told stays.
type Contradiction struct {
	Task, Machine, Known, Claimed string
}

// reconcileReported compares the tasks of a current heartbeat with the ledger. Those that are
// placed on the machine under the same attempt it puts into placedHere; the map is the
// caller's, so that a small one needs no allocation. Of the others it returns the commands
// that end or forget them, and how many must be kept.
func (s *Shard) reconcileReported(m *Machine, r *wire.Heartbeat, placedHere map[taskKey]*wire.HeartbeatTask, now time.Time) (commands []wire.Command, kept int) {
	for i := range r.Tasks {
		rt := &r.Tasks[i]
		ref, n, ok := SplitTask(rt.Task)
		j := s.jobs[ref]
		known := ok && j != nil && n < len(j.tasks)
		if known && (j.tasks[n].isPlacedOn(m, rt.Attempt) || s.adoptWithheldTask(taskKey{j, n}, m, rt, now)) {
			placedHere[taskKey{j, n}] = rt
			continue
		}
		if s.suspectDataLoss(m, rt, j, n, now) {
			kept++
			continue
		}
		claim := reconcile.ReportedTask{State: rt.State, Why: rt.Why, JobKnown: known}
		if known {
			t := &j.tasks[n]
			claim.PlacedElsewhere = t.state == placed && t.attempt == rt.Attempt
			claim.Completed, claim.CompletionRecorded = t.state == completed, t.completionRecorded
		} else {
			j = nil
		}
		if claim.State == wire.Exited && !(claim.Why == wire.Done && known && !claim.CompletionRecorded) {
			claim.CannotRestart = s.mayForget(m, rt, j)
		}
		f := reconcile.ClassifyReported(claim)
		s.recordOrphanOutcome(m, rt, f.Outcome)
		switch f.Action {
		case reconcile.RecordCompletion:
			if j.tasks[n].state == pending {
				s.completeTask(taskKey{j, n}, now) // of whatever attempt: the result is kept
			}
		case reconcile.Stop:
			s.cfg.CommandLimiter.Allow(ratelimit.Exempt, now) // its job may have been cancelled
			commands = append(commands, stopCommand(rt.Task, rt.Attempt, 0))
		case reconcile.Forget:
			commands = append(commands, wire.Command{Op: wire.Forget, Task: rt.Task, Attempt: rt.Attempt})
		case reconcile.RetainResult:
			kept++
		}
	}
	return commands, kept
}

// isPlacedOn reports whether a task is placed on a machine under an attempt.
func (t *task) isPlacedOn(m *Machine, attempt uint64) bool {
	return t.state == placed && t.machine == m && t.attempt == attempt
}

// reconcilePlaced compares the tasks that are placed on the machine with a current heartbeat.
// It returns commands that forget those that ended in vain, whether the heartbeat lacks a start
// that was sent before, and how many ended ones must be kept.
func (s *Shard) reconcilePlaced(m *Machine, reported map[taskKey]*wire.HeartbeatTask, direct bool, now time.Time) (commands []wire.Command, missed bool, kept int) {
	for k, t := range m.tasks {
		rt := reported[k]
		if rt == nil {
			missed = s.reconcileAbsent(k, t, m, direct, now) || missed
			continue
		}
		s.reconcilePresent(k, t, rt, m, now)
		if rt.State != wire.Exited || rt.Why == wire.Done {
			continue
		}
		// Its place is free already and its attempt is never started again.
		if !s.mayForget(m, rt, k.job) {
			kept++
			continue
		}
		commands = append(commands, wire.Command{Op: wire.Forget, Task: rt.Task, Attempt: rt.Attempt})
	}
	return commands, missed, kept
}

// reconcileAbsent takes in that a heartbeat lacks a placed task. It reports whether the task's start was
// sent and did not arrive.
func (s *Shard) reconcileAbsent(k taskKey, t *task, m *Machine, direct bool, now time.Time) bool {
	f := reconcile.ClassifyAbsent(reconcile.AbsentTask{
		PlacementRecorded: t.recorded && !t.recording, PlacedByPredecessor: t.inherited, SeenBefore: t.reported, StartSent: t.sent,
		SentToEarlierIncarnation: t.sentIncarnation != m.contact.incarnation, AnswersDirectCommand: direct, Stopping: t.stopping,
		StartMayArrive: t.sent && !direct && m.mayStartLate(k.name(), t.attempt),
	})
	if f.Action == reconcile.FreePlacement {
		s.taskLost(k, now)
	}
	return f.Action == reconcile.ResendStart
}

// reconcilePresent takes in what a heartbeat says of a task that is where the records say.
func (s *Shard) reconcilePresent(k taskKey, t *task, rt *wire.HeartbeatTask, m *Machine, now time.Time) {
	j := k.job
	if !t.reported && t.sent {
		s.markReached(m) // a start of ours has arrived
		s.cfg.CommandLimiter.Acknowledge()
	}
	if !t.reported {
		t.traceStep(func(stages *startTrace) { stages.reported = now })
	}
	t.reported = true
	if rt.State == wire.Running && t.phase != wire.Running {
		t.runningSince = now
		s.reportTaskStart(k, t, now)
	}
	if (rt.State == wire.Running || rt.State == wire.AwaitingGang) && t.phase != rt.State {
		s.inventory.recordCachedImage(m, j.spec.Image, j.spec.ImageGB)
	}
	t.setPhase(j, rt.State)
	f := reconcile.ClassifyReported(reconcile.ReportedTask{State: rt.State, Why: rt.Why, JobKnown: true, Placed: true})
	s.reconciliation.recordOutcome(t, f.Outcome)
	switch f.Action {
	case reconcile.RecordCompletion:
		m.failedJobs = nil
		s.completeTask(k, now)
		if t.state == placed { // a service's task that ended all the same
			s.taskLost(k, now)
		}
	case reconcile.FreePlacement:
		s.handleIncompleteExit(k, rt, m, now)
	}
}

// handleIncompleteExit takes in that a placed task has exited without having completed.
func (s *Shard) handleIncompleteExit(k taskKey, rt *wire.HeartbeatTask, m *Machine, now time.Time) {
	j := k.job
	switch rt.Why {
	case wire.ExitError:
		s.countFailure(j, m, now)
	case wire.ExitUnknownTask:
		j.notBefore = now.Add(s.cfg.backoff(j))
	case wire.ExitNoRoom, wire.ExitInUse:
		j.notBefore = now.Add(s.cfg.HeartbeatInterval)
	}
	s.taskLost(k, now)
	if j.spec.Kind == wire.Gang && (rt.Why == wire.ExitStopped || rt.Why == wire.ExitGangPeersLost || rt.Why == wire.ExitGangIncomplete) {
		s.stopAttempt(j, now) // the attempt is over for all of them
	}
}
