package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bramblespur/internal/ratelimit"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// which says what the orders to a machine are.
type which bool

// Kinds of orders.
const (
	startsOnly which = false
	stopsToo   which = true
)

// starts returns the starts of recorded tasks that the machine has not shown.
func (s *Shard) starts(m *Machine, now time.Time) []wire.Command {
	out := s.appendOrders(nil, m, startsOnly, now)
	return out[:min(len(out), maxCommands)]
}

// appendOrders adds what an answer to a machine carries for the tasks in the ledger. While
// orders are paced the urgent ones come first, and a worker gets a few starts at a time.
func (s *Shard) appendOrders(out []wire.Command, m *Machine, w which, now time.Time) []wire.Command {
	if s.cfg.Pace.Active() {
		return s.appendPaced(out, m, w, now)
	}
	for k, t := range m.on {
		if s.hasOrder(k, t, m, w, now) {
			out = append(out, t.order(k, m, now))
		}
	}
	return out
}

// appendPaced does the same within the pace.
func (s *Shard) appendPaced(out []wire.Command, m *Machine, w which, now time.Time) []wire.Command {
	var due []key
	for k := range m.on {
		due = append(due, k)
	}
	slices.SortFunc(due, func(a, b key) int {
		return cmp.Or(cmp.Compare(s.paceClass(a), s.paceClass(b)), cmp.Compare(a.job.ref, b.job.ref), cmp.Compare(a.i, b.i))
	})
	left := s.cfg.Pace.Settings().CommandsPerWorker
	for _, k := range due {
		t := m.on[k]
		isStart := !t.stop
		if isStart && left <= 0 {
			s.delay(m, now.Add(s.cfg.Report))
			continue
		}
		if !s.hasOrder(k, t, m, w, now) {
			continue
		}
		if !s.cfg.Pace.Allow(s.paceClass(k), now) {
			s.delay(m, s.cfg.Pace.NextAllowedAt(now))
			continue
		}
		out = append(out, t.order(k, m, now))
		if isStart {
			left--
		}
	}
	return out
}

// paceClass tells how urgent the order for a task is. Those of a gang of which one was
// started follow it, as they wait for each other only for so long.
func (s *Shard) paceClass(k key) ratelimit.Priority {
	t := &k.job.tasks[k.i]
	switch {
	case t.stop && k.job.cancelled:
		return ratelimit.Exempt
	case k.job.spec.Kind == wire.Service, s.guaranteed(k.job, 0), k.job.spec.Kind == wire.Gang && k.job.started():
		return ratelimit.Urgent
	}
	return ratelimit.Routine
}

// started reports whether the start of one of a job's placed tasks was sent.
func (j *Job) started() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.state == placed && t.sent })
}

// delay makes a machine be looked at again for starts that wait.
func (s *Shard) delay(m *Machine, until time.Time) {
	if due, ok := s.delayed[m]; !ok || until.Before(due) {
		s.delayed[m] = until
	}
}

// hasOrder reports whether there is an order for a task.
func (s *Shard) hasOrder(k key, t *task, m *Machine, w which, now time.Time) bool {
	switch {
	case !t.recorded:
		return false
	case t.stop:
		return w == stopsToo && !(t.phase == wire.Saving && t.grace > 0)
	case t.seen || t.inherited || s.lost || s.blind || m.Phase != record.InUse || k.job.cancelled || !k.job.wholeRecorded():
		return false
	}
	if due := s.startAfter(k, t); !t.sent && now.Before(due) {
		s.delayed[m] = due
		return false
	}
	return true
}

// order returns the order that there is for a task, and notes that a start is sent.
func (t *task) order(k key, m *Machine, now time.Time) wire.Command {
	if t.stop {
		return halt(k.name(), t.attempt, t.grace)
	}
	if !t.sent {
		t.step(func(st *steps) { st.sent = now })
	}
	t.sent, t.sentSess = true, m.session
	return wire.Command{Op: wire.Start, Task: k.name(), Attempt: t.attempt}
}
