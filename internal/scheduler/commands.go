package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bramblespur/internal/ratelimit"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// commandKinds selects the commands for a machine.
type commandKinds bool

// Kinds of commands.
const (
	startsOnly     commandKinds = false
	startsAndStops commandKinds = true
)

// startCommands returns the starts of recorded tasks that the machine has not reported, up to
// maxCommands of them.
func (s *Shard) startCommands(m *Machine, now time.Time) []wire.Command {
	out := s.appendCommands(nil, m, startsOnly, now)
	return out[:min(len(out), maxCommands)]
}

// appendCommands appends the commands for the tasks that are placed on a machine. While commands
// are rate limited the urgent ones come first, and a worker gets a few starts at a time.
func (s *Shard) appendCommands(out []wire.Command, m *Machine, kinds commandKinds, now time.Time) []wire.Command {
	if s.cfg.CommandLimiter.Active() {
		return s.appendRateLimitedCommands(out, m, kinds, now)
	}
	for k, t := range m.tasks {
		if s.commandDue(k, t, m, kinds, now) {
			out = append(out, t.command(k, m, now))
		}
	}
	return out
}

// appendRateLimitedCommands is appendCommands under the rate limit.
func (s *Shard) appendRateLimitedCommands(out []wire.Command, m *Machine, kinds commandKinds, now time.Time) []wire.Command {
	var due []taskKey
	for k := range m.tasks {
		due = append(due, k)
	}
	slices.SortFunc(due, func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(s.commandPriority(a), s.commandPriority(b)), cmp.Compare(a.job.ref, b.job.ref), cmp.Compare(a.index, b.index))
	})
	startsLeft := s.cfg.CommandLimiter.Settings().CommandsPerWorker
	for _, k := range due {
		t := m.tasks[k]
		isStart := !t.stopping
		if isStart && startsLeft <= 0 {
			s.delayStarts(m, now.Add(s.cfg.HeartbeatInterval))
			continue
		}
		if !s.commandDue(k, t, m, kinds, now) {
			continue
		}
		if !s.cfg.CommandLimiter.Allow(s.commandPriority(k), now) {
			s.delayStarts(m, s.cfg.CommandLimiter.NextAllowedAt(now))
			continue
		}
		out = append(out, t.command(k, m, now))
		if isStart {
			startsLeft--
		}
	}
	return out
}

// commandPriority returns the priority of the command for a task. Once the start of one task of a
// gang was sent, the other starts are urgent, because the tasks wait for each other only for a
// limited time.
func (s *Shard) commandPriority(k taskKey) ratelimit.Priority {
	t := k.job.tasks.at(k.index)
	switch {
	case t.stopping && k.job.cancelled:
		return ratelimit.Exempt
	case k.job.spec.Kind == wire.Service, s.quotas.withinGuarantee(k.job, 0), k.job.spec.Kind == wire.Gang && k.job.anyStartSent():
		return ratelimit.Urgent
	}
	return ratelimit.Routine
}

// anyStartSent reports whether the start of one of a job's placed tasks was sent.
func (j *Job) anyStartSent() bool {
	for _, t := range j.tasks.placedTasks() {
		if t.sent {
			return true
		}
	}
	return false
}

// delayStarts schedules another look at a machine for its delayed starts, at until or earlier.
func (s *Shard) delayStarts(m *Machine, until time.Time) {
	if due, ok := s.delayedStarts[m]; !ok || until.Before(due) {
		s.delayedStarts[m] = until
	}
}

// commandDue reports whether a command for a task is to be sent now. A start that must wait is
// scheduled for when it is due.
func (s *Shard) commandDue(k taskKey, t *task, m *Machine, kinds commandKinds, now time.Time) bool {
	switch {
	case !t.recorded:
		return false
	case t.stopping:
		return kinds == startsAndStops && !(t.phase == wire.Checkpointing && t.grace > 0)
	case t.reported || t.inherited || s.ownershipLost || s.cancellationsUnknown || m.Phase != record.InUse || k.job.cancelled || !k.job.allPeersRecorded():
		return false
	}
	if due := s.cfg.earliestStart(k, t); !t.sent && now.Before(due) {
		s.delayedStarts[m] = due
		return false
	}
	return true
}

// command returns the command for a task. A start is marked as sent.
func (t *task) command(k taskKey, m *Machine, now time.Time) wire.Command {
	if t.stopping {
		return stopCommand(k.name(), t.attempt, t.grace)
	}
	if !t.sent {
		t.traceStep(func(st *startTrace) { st.sent = now })
	}
	t.sent, t.sentIncarnation = true, m.contact.incarnation
	return wire.Command{Op: wire.Start, Task: k.name(), Attempt: t.attempt}
}
