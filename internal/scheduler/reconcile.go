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

// reconcileReported compares the tasks of a current report with the ledger. Those that are
// placed on the machine under the same attempt it puts into placedHere; the map is the
// caller's, so that a small one needs no allocation. Of the others it returns the commands
// that end or forget them, and how many must be kept.
func (s *Shard) reconcileReported(m *Machine, r *wire.Heartbeat, placedHere map[key]*wire.HeartbeatTask, now time.Time) (commands []wire.Command, kept int) {
	for i := range r.Tasks {
		rt := &r.Tasks[i]
		ref, n, ok := SplitTask(rt.Task)
		j := s.jobs[ref]
		known := ok && j != nil && n < len(j.tasks)
		if known && (j.tasks[n].on(m, rt.Attempt) || s.adoptWithheld(key{j, n}, m, rt, now)) {
			placedHere[key{j, n}] = rt
			continue
		}
		if s.doubtful(m, rt, j, n, now) {
			kept++
			continue
		}
		claim := reconcile.Claim{State: rt.State, Why: rt.Why, KnownJob: known}
		if known {
			t := &j.tasks[n]
			claim.Elsewhere = t.state == placed && t.attempt == rt.Attempt
			claim.Done, claim.Durable = t.state == done, t.durable
		} else {
			j = nil
		}
		if claim.State == wire.Exited && !(claim.Why == wire.Done && known && !claim.Durable) {
			claim.MayForget = s.mayForget(m, rt, j)
		}
		f := reconcile.Claimed(claim)
		s.judgeStray(m, rt, f.Verdict)
		switch f.Action {
		case reconcile.Complete:
			if j.tasks[n].state == idle {
				s.complete(key{j, n}, now) // of whatever attempt: the result is kept
			}
		case reconcile.Stop:
			s.cfg.Pace.Allow(ratelimit.Exempt, now) // its job may have been cancelled
			commands = append(commands, halt(rt.Task, rt.Attempt, 0))
		case reconcile.Forget:
			commands = append(commands, wire.Command{Op: wire.Forget, Task: rt.Task, Attempt: rt.Attempt})
		case reconcile.Retain:
			kept++
		}
	}
	return commands, kept
}

// on reports whether a task is placed on a machine under an attempt.
func (t *task) on(m *Machine, attempt uint64) bool {
	return t.state == placed && t.machine == m && t.attempt == attempt
}

// reconcilePlaced compares the tasks that are placed on the machine with a current report.
// It returns commands that forget those that ended in vain, whether the report lacks a start
// that was sent before, and how many ended ones must be kept.
func (s *Shard) reconcilePlaced(m *Machine, reported map[key]*wire.HeartbeatTask, direct bool, now time.Time) (commands []wire.Command, missed bool, kept int) {
	for k, t := range m.on {
		rt := reported[k]
		if rt == nil {
			missed = s.absent(k, t, m, direct, now) || missed
			continue
		}
		s.present(k, t, rt, m, now)
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

// absent takes in that a report lacks a placed task. It reports whether the task's start was
// sent and did not arrive.
func (s *Shard) absent(k key, t *task, m *Machine, direct bool, now time.Time) bool {
	f := reconcile.Absent(reconcile.Absence{
		Told: t.recorded && !t.inTxn, Inherited: t.inherited, Seen: t.seen, Sent: t.sent,
		EarlierSession: t.sentSess != m.session, Direct: direct, Stopping: t.stop,
		MayCome: t.sent && !direct && m.mayCome(k.name(), t.attempt),
	})
	if f.Action == reconcile.Free {
		s.lose(k, now)
	}
	return f.Action == reconcile.Repeat
}

// present takes in what a report says of a task that is where the records say.
func (s *Shard) present(k key, t *task, rt *wire.HeartbeatTask, m *Machine, now time.Time) {
	j := k.job
	if !t.seen && t.sent {
		s.markReached(m) // a start of ours has arrived
		s.cfg.Pace.Acknowledge()
	}
	if !t.seen {
		t.step(func(stages *steps) { stages.seen = now })
	}
	t.seen = true
	if rt.State == wire.Running && t.phase != wire.Running {
		t.runSince = now
		s.started(k, t, now)
	}
	if (rt.State == wire.Running || rt.State == wire.Gathering) && t.phase != rt.State {
		s.keepsImage(m, j.spec.Image, j.spec.ImageGB)
	}
	t.reported(j, rt.State)
	f := reconcile.Claimed(reconcile.Claim{State: rt.State, Why: rt.Why, KnownJob: true, Placed: true})
	s.judge(t, f.Verdict)
	switch f.Action {
	case reconcile.Complete:
		m.failed = nil
		s.complete(k, now)
		if t.state == placed { // a service's task that ended all the same
			s.lose(k, now)
		}
	case reconcile.Free:
		s.exitedInVain(k, rt, m, now)
	}
}

// exitedInVain takes in that a placed task has exited without having completed.
func (s *Shard) exitedInVain(k key, rt *wire.HeartbeatTask, m *Machine, now time.Time) {
	j := k.job
	switch rt.Why {
	case wire.WhyError:
		s.failed(j, m, now)
	case wire.WhyUnknown:
		j.hold = now.Add(s.backoff(j))
	case wire.WhyNoRoom, wire.WhyBusy:
		j.hold = now.Add(s.cfg.Report)
	}
	s.lose(k, now)
	if j.spec.Kind == wire.Gang && (rt.Why == wire.WhyStopped || rt.Why == wire.WhyPeers || rt.Why == wire.WhyIncomplete) {
		s.endAttempt(j, now) // the attempt is over for all of them
	}
}
