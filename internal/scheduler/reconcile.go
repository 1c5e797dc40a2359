package scheduler

import (
	"time"

	"bramblespur/internal/ratelimit"
	"bramblespur/internal/reconcile"
	"bramblespur/internal/wire"
)

// Contradiction is a worker's claim about a task that disagrees with the ledger, for the log.
// It does not change the states that were reported to users.
type Contradiction struct {
	Task, Machine, Known, Claimed string
}

// reconcileReported compares the tasks of a current heartbeat with the ledger. Those that are
// placed on the machine under the same attempt are added to placedHere, a map of the caller so
// that a small one needs no allocation. For the others it returns the commands that stop or forget
// them, and how many of them the worker must retain.
func (s *Shard) reconcileReported(m *Machine, r *wire.Heartbeat, placedHere map[taskKey]*wire.HeartbeatTask, now time.Time) (commands []wire.Command, retained int) {
	for i := range r.Tasks {
		rt := &r.Tasks[i]
		ref, n, ok := SplitTask(rt.Task)
		j := s.jobs[ref]
		known := ok && j != nil && n < j.tasks.len()
		if known && (j.tasks.at(n).isPlacedOn(m, rt.Attempt) || s.adoptWithheldTask(taskKey{j, n}, m, rt, now)) {
			placedHere[taskKey{j, n}] = rt
			continue
		}
		// A task that was started from here had a record, and ended with its job.
		if !m.mayStartLate(rt.Task, rt.Attempt) && s.suspectDataLoss(m, rt, j, n, now) {
			retained++
			continue
		}
		claim := reconcile.ReportedTask{State: rt.State, Why: rt.Why, JobKnown: known}
		if known {
			t := j.tasks.at(n)
			claim.PlacedElsewhere = t.state == placed && t.attempt == rt.Attempt
			claim.Completed, claim.CompletionRecorded = t.state == completed, t.completionRecorded
		}
		if claim.State == wire.Exited && !(claim.Why == wire.Done && known && !claim.CompletionRecorded) {
			claim.CannotRestart = m.mayForget(rt)
		}
		result := reconcile.ClassifyReported(claim)
		s.recordOrphanOutcome(m, rt, result.Outcome)
		switch result.Action {
		case reconcile.RecordCompletion:
			if j.tasks.at(n).state == pending {
				s.completeTask(taskKey{j, n}, now) // under whichever attempt: the result counts
			}
		case reconcile.Stop:
			s.cfg.CommandLimiter.Allow(ratelimit.Exempt, now) // its job may have been cancelled
			commands = append(commands, stopCommand(rt.Task, rt.Attempt, 0))
		case reconcile.Forget:
			commands = append(commands, wire.Command{Op: wire.Forget, Task: rt.Task, Attempt: rt.Attempt})
		case reconcile.RetainResult:
			retained++
		}
	}
	return commands, retained
}

// isPlacedOn reports whether a task is placed on a machine under an attempt.
func (t *task) isPlacedOn(m *Machine, attempt uint64) bool {
	return t.state == placed && t.machine == m && t.attempt == attempt
}

// reconcilePlaced compares the tasks that are placed on the machine with a current heartbeat.
// It returns the commands that forget tasks which exited without having completed, whether the
// heartbeat lacks a task whose start was sent, and how many exited tasks the worker must retain.
func (s *Shard) reconcilePlaced(m *Machine, reported map[taskKey]*wire.HeartbeatTask, direct bool, now time.Time) (commands []wire.Command, missed bool, retained int) {
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
		// Its placement is freed already, and its attempt is never started again.
		if !m.mayForget(rt) {
			retained++
			m.blocksReplacement = m.blocksReplacement || k.job.awaitsReplacement()
			continue
		}
		commands = append(commands, wire.Command{Op: wire.Forget, Task: rt.Task, Attempt: rt.Attempt})
	}
	return commands, missed, retained
}

// reconcileAbsent handles a placed task that a heartbeat lacks. It reports whether the task's start
// was sent and did not arrive.
func (s *Shard) reconcileAbsent(k taskKey, t *task, m *Machine, direct bool, now time.Time) bool {
	result := reconcile.ClassifyAbsent(reconcile.AbsentTask{
		PlacementRecorded: t.recorded && !t.recording, PlacedByPredecessor: t.inherited, SeenBefore: t.reported, StartSent: t.sent,
		SentToEarlierIncarnation: t.sentIncarnation != m.contact.incarnation, AnswersDirectCommand: direct, Stopping: t.stopping,
		StartMayArrive: t.sent && !direct && m.mayStartLate(k.name(), t.attempt),
	})
	if result.Action == reconcile.FreePlacement {
		s.taskLost(k, now)
	}
	return result.Action == reconcile.ResendStart
}

// reconcilePresent applies what a heartbeat reports of a task that is placed on the machine.
func (s *Shard) reconcilePresent(k taskKey, t *task, rt *wire.HeartbeatTask, m *Machine, now time.Time) {
	j := k.job
	if !t.reported && t.sent {
		s.markReached(m) // a start of ours has arrived
		s.cfg.CommandLimiter.Acknowledge()
	}
	if !t.reported {
		t.traceStep(func(stages *startTrace) { stages.reported = now })
		t.reported = true
		m.attempts.unreported--
	}
	if rt.State == wire.Running && t.phase != wire.Running {
		t.runningSince = now
		s.reportTaskStart(k, t, now)
	}
	if (rt.State == wire.Running || rt.State == wire.AwaitingGang) && t.phase != rt.State {
		s.inventory.recordCachedImage(m, j.spec.Image, j.spec.ImageGB)
	}
	t.setPhase(j, rt.State)
	result := reconcile.ClassifyReported(reconcile.ReportedTask{State: rt.State, Why: rt.Why, JobKnown: true, Placed: true})
	s.reconciliation.recordOutcome(t, result.Outcome)
	switch result.Action {
	case reconcile.RecordCompletion:
		m.failedJobs = nil
		s.completeTask(k, now)
		if t.state == placed { // a service's task, which is not marked as completed
			s.taskLost(k, now)
		}
	case reconcile.FreePlacement:
		s.handleIncompleteExit(k, rt, m, now)
	}
}

// handleIncompleteExit handles a placed task that has exited without having completed.
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
		s.stopAttempt(j, now) // the attempt has failed for all tasks of the gang
	}
}
