package scheduler

import (
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/wire"
)

// HeartbeatDisposition says how to answer a heartbeat.
type HeartbeatDisposition int

// Dispositions that Shard.Heartbeat returns.
const (
	Answered       HeartbeatDisposition = iota // answer 200 with the returned commands
	Deposed                                    // the worker has seen a higher token: another owner answers it
	UnknownMachine                             // the shard has no such machine
)

// Heartbeat applies a worker's heartbeat and returns the response to it. A direct heartbeat is
// itself the answer to a direct command or a probe, so that the worker gets no response to it.
func (s *Shard) Heartbeat(r *wire.Heartbeat, direct bool, now time.Time) (wire.CommandBatch, HeartbeatDisposition) {
	m := s.inventory.byID[r.Machine]
	if m == nil {
		return wire.CommandBatch{}, UnknownMachine
	}
	token := m.fencingToken(s)
	freshness := reconcile.ClassifyHeartbeat(reconcile.PositionOf(r),
		reconcile.Position{Incarnation: m.contact.incarnation, Seq: m.contact.seq}, r.Token, token)
	if freshness == reconcile.Superseded {
		return wire.CommandBatch{}, Deposed
	}
	batch := wire.CommandBatch{Token: token, Commands: []wire.Command{}}
	if freshness == reconcile.Stale {
		return batch, Answered // an outdated heartbeat changes nothing and gets no commands
	}
	defer s.inventory.update(m)
	// After a failover the new owner does not have the position of the last heartbeat, so the
	// first ones may be late copies: only one under our own token proves the machine alive.
	live := freshness == reconcile.Current || !m.inherited
	s.recordContact(m, r, direct, live, now)
	if freshness == reconcile.UnderLowerToken {
		// Placements of earlier owners are reconciled only with a heartbeat under our
		// token. Our own starts need not wait for one on a machine that was provisioned
		// for this shard or transferred to it: an earlier owner can only have sent
		// starts that are in the records we read.
		if !direct && live {
			batch.Commands = append(batch.Commands, s.startCommands(m, now)...)
		}
		return batch, Answered
	}
	if !m.contact.fenced {
		m.contact.fenced = true
		s.markReached(m)
		s.placementDue = true
	}
	var missed bool
	batch.Commands, missed = s.appendReconciliationCommands(batch.Commands, m, r, direct, now)
	if direct {
		return batch, Answered
	}
	s.countMissedStart(m, missed, now)
	batch.Commands = s.appendCommands(batch.Commands, m, startsAndStops, now)
	if len(batch.Commands) > maxCommands {
		batch.Commands = batch.Commands[:maxCommands]
	}
	return batch, Answered
}

// recordContact records what a heartbeat shows about its machine, apart from the tasks there.
// The heartbeat is live if it proves the machine alive, that is, if it is not a late copy.
func (s *Shard) recordContact(m *Machine, r *wire.Heartbeat, direct, live bool, now time.Time) {
	m.dropOutdatedStarts(r)
	s.applyIncarnation(m, r, now)
	m.contact.seq = r.Seq
	m.Addr = r.Addr
	if live {
		s.markAlive(m, direct, now)
	}
	if !direct {
		m.contact.answeredAt = now
	}
	s.applyReclaimNotice(m, r, now)
}

// appendReconciliationCommands compares a heartbeat with the ledger and appends the commands that
// stop or forget tasks without a placement on the machine. It reports whether the heartbeat lacks
// a task whose start was sent.
func (s *Shard) appendReconciliationCommands(out []wire.Command, m *Machine, r *wire.Heartbeat, direct bool, now time.Time) (commands []wire.Command, missed bool) {
	placedHere := make(map[taskKey]*wire.HeartbeatTask, len(r.Tasks))
	orphans, retainedOrphans := s.reconcileReported(m, r, placedHere, now)
	ended, missed, retainedEnded := s.reconcilePlaced(m, placedHere, direct, now)
	m.retainedResults = retainedOrphans + retainedEnded
	m.attempts.reported = len(r.Tasks)
	out = append(out, orphans...)
	return append(out, ended...), missed
}

// markAlive records that a machine sent a heartbeat that is not a late copy.
func (s *Shard) markAlive(m *Machine, direct bool, now time.Time) {
	if !m.contact.up || now.Sub(m.contact.lastContactAt) > s.cfg.SilentAfter {
		m.contact.steadySince = now
	}
	m.contact.lastContactAt = now
	m.probes.failed, m.probes.unansweredPastLease = 0, 0
	if !direct || !m.contact.fenced { // a worker that receives our token sends a heartbeat at once
		m.contact.heartbeatAt = now
	}
	if !m.contact.up {
		m.contact.up = true
		s.placementDue = true
	}
}

// countMissedStart counts the heartbeats in a row that lack a task whose start was sent. After
// missedStartsUntilUnreachable of them the machine counts as unreachable.
func (s *Shard) countMissedStart(m *Machine, missed bool, now time.Time) {
	if !missed {
		m.contact.missedStarts = 0
		return
	}
	if m.contact.missedStarts++; m.contact.missedStarts >= missedStartsUntilUnreachable {
		s.markUnreachable(m, now)
	}
}

// maxCommands keeps the line of a response well below 64 KiB. The remaining commands go with
// the response to the next heartbeat.
const maxCommands = 300

func stopCommand(name string, attempt uint64, grace time.Duration) wire.Command {
	g := grace.Seconds()
	return wire.Command{Op: wire.Stop, Task: name, Attempt: attempt, GraceS: &g}
}

// completeTask marks a task as completed or, for a task of a gang, all tasks of the gang. It ignores
// tasks of services.
func (s *Shard) completeTask(k taskKey, now time.Time) {
	if k.job.spec.Kind == wire.Service {
		return // a service never completes by itself
	}
	if k.job.spec.Kind != wire.Gang {
		s.markCompleted(k, now)
		return
	}
	// A gang's tasks complete together: once one is done, all are.
	for i := range k.job.tasks.len() {
		s.markCompleted(taskKey{k.job, i}, now)
	}
}

// setPhase sets the phase that a heartbeat reports of a placed task, and adjusts the job's count
// of running tasks.
func (t *task) setPhase(j *Job, phase string) {
	if t.phase == wire.Running {
		j.progress.running--
	}
	if t.phase = phase; phase == wire.Running {
		j.progress.running++
	}
}

// traceStep calls note with the trace of a task's start, if the start is still traced.
func (t *task) traceStep(note func(*startTrace)) {
	if t.trace != nil {
		note(t.trace)
	}
}

// reportTaskStart adds to the effects, for the log, how long each step of a task's start took, and
// ends the trace of the start. It does nothing if the start is not traced.
func (s *Shard) reportTaskStart(k taskKey, t *task, now time.Time) {
	stages := t.trace
	if stages == nil {
		return
	}
	t.trace = nil
	s.effects.Started = append(s.effects.Started, TaskStart{
		Task: k.name(), Class: k.job.spec.Class, Machine: t.machine.ID, Image: k.job.spec.Image, ImageGB: k.job.spec.ImageGB, Cached: stages.cached,
		Queued: stages.placed.Sub(k.job.accepted), Recording: stages.recorded.Sub(stages.placed), Sending: stages.sent.Sub(stages.recorded),
		Seen: stages.reported.Sub(stages.sent), Runs: now.Sub(stages.reported),
	})
}

// allPeersRecorded reports whether the placements of all tasks that must run together are
// recorded: a gang's tasks start only once each of them is.
func (j *Job) allPeersRecorded() bool {
	if j.spec.Kind != wire.Gang {
		return true
	}
	if j.progress.pending > 0 {
		return false
	}
	for _, t := range j.tasks.placedTasks() {
		if !t.recorded {
			return false
		}
	}
	return true
}

// applyReclaimNotice records that the cloud will reclaim a machine, and drains it.
func (s *Shard) applyReclaimNotice(m *Machine, r *wire.Heartbeat, now time.Time) {
	if r.NoticeS == nil || !m.reclaimedAt.IsZero() {
		return
	}
	left := wire.Seconds(max(0, *r.NoticeS))
	m.reclaimedAt = now.Add(left)
	m.draining = true
	s.placementDue = true
}
