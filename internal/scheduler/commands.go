package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bramblespur/internal/ratelimit"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// commandKinds says what the orders to a machine are.
type commandKinds bool

// Kinds of orders.
const (
	startsOnly     commandKinds = false
	startsAndStops commandKinds = true
)

// startCommands returns the starts of recorded tasks that the machine has not shown.
func (s *Shard) startCommands(m *Machine, now time.Time) []wire.Command {
	out := s.appendCommands(nil, m, startsOnly, now)
	return out[:min(len(out), maxCommands)]
}

// appendCommands adds what an answer to a machine carries for the tasks in the ledger. While
// orders are paced the urgent ones come first, and a worker gets a few starts at a time.
func (s *Shard) appendCommands(out []wire.Command, m *Machine, w commandKinds, now time.Time) []wire.Command {
	if s.cfg.CommandLimiter.Active() {
		return s.appendPacedCommands(out, m, w, now)
	}
	for k, t := range m.tasks {
		if s.commandDue(k, t, m, w, now) {
			out = append(out, t.command(k, m, now))
		}
	}
	return out
}

// appendPacedCommands does the same within the pace.
func (s *Shard) appendPacedCommands(out []wire.Command, m *Machine, w commandKinds, now time.Time) []wire.Command {
	var due []taskKey
	for k := range m.tasks {
		due = append(due, k)
	}
	slices.SortFunc(due, func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(s.commandPriority(a), s.commandPriority(b)), cmp.Compare(a.job.ref, b.job.ref), cmp.Compare(a.index, b.index))
	})
	left := s.cfg.CommandLimiter.Settings().CommandsPerWorker
	for _, k := range due {
		t := m.tasks[k]
		isStart := !t.stopping
		if isStart && left <= 0 {
			s.delayStarts(m, now.Add(s.cfg.HeartbeatInterval))
			continue
		}
		if !s.commandDue(k, t, m, w, now) {
			continue
		}
		if !s.cfg.CommandLimiter.Allow(s.commandPriority(k), now) {
			s.delayStarts(m, s.cfg.CommandLimiter.NextAllowedAt(now))
			continue
		}
		out = append(out, t.command(k, m, now))
		if isStart {
			left--
		}
	}
	return out
}

// commandPriority tells how urgent the order for a task is. Those of a gang of which one was
// started follow it, as they wait for each other only for so long.
func (s *Shard) commandPriority(k taskKey) ratelimit.Priority {
	t := &k.job.tasks[k.index]
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
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.state == placed && t.sent })
}

// delayStarts makes a machine be looked at again for starts that wait.
func (s *Shard) delayStarts(m *Machine, until time.Time) {
	if due, ok := s.delayedStarts[m]; !ok || until.Before(due) {
		s.delayedStarts[m] = until
	}
}

// commandDue reports whether there is an order for a task.
func (s *Shard) commandDue(k taskKey, t *task, m *Machine, w commandKinds, now time.Time) bool {
	switch {
	case !t.recorded:
		return false
	case t.stopping:
		return w == startsAndStops && !(t.phase == wire.Checkpointing && t.grace > 0)
	case t.reported || t.inherited || s.ownershipLost || s.cancellationsUnknown || m.Phase != record.InUse || k.job.cancelled || !k.job.allPeersRecorded():
		return false
	}
	if due := s.cfg.earliestStart(k, t); !t.sent && now.Before(due) {
		s.delayedStarts[m] = due
		return false
	}
	return true
}

// command returns the order that there is for a task, and notes that a start is sent.
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
