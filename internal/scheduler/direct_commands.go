package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A start is normally sent in the response to a heartbeat, which the worker drops after 4 s. If
// heartbeats are far apart it is sent directly to the worker instead. A direct command may be
// executed late, and even twice, as long as its token and incarnation still match. So the owner
// that sent one neither counts its task as gone nor lets the worker forget the attempt until the
// worker has reported a higher token or a newer incarnation, or the machine is gone.

// startedAttempt identifies an attempt of a task whose start was sent directly. A task may have
// several on one machine: copies of the start of an earlier one may still arrive.
type startedAttempt struct {
	task    string
	attempt uint64
}

// directStart is the state of all copies of a start that was sent directly to a worker.
type directStart struct {
	copies   int       // copies that were sent, or may have been
	token    uint64    // the highest token of a copy
	sentAt   time.Time // when the first copy under that token was sent
	answered bool      // the worker has carried out a copy, though others may still arrive
}

// directStarts are the direct starts of a machine of which a copy may still be carried out.
type directStarts map[startedAttempt]*directStart

// add notes that a copy of a start is sent under a token.
func (d directStarts) add(at startedAttempt, token uint64, now time.Time) {
	start := d[at]
	if start == nil {
		start = &directStart{}
		d[at] = start
	}
	start.copies++
	if token > start.token {
		start.token, start.sentAt = token, now
	}
}

// finish notes the outcome of a copy of a start under a token.
func (d directStarts) finish(at startedAttempt, token uint64, outcome CommandOutcome) {
	start := d[at]
	if start == nil {
		return
	}
	switch outcome {
	case Executed:
		start.answered = true
	case NotSent:
		if start.copies--; start.copies == 0 {
			delete(d, at)
		}
	case Refused:
		if token >= start.token {
			delete(d, at) // every other copy is refused as well
		}
	}
}

// CommandOutcome is how a direct command ended.
type CommandOutcome int

// Outcomes of direct commands.
const (
	NoAnswer CommandOutcome = iota // it may have been carried out, or may still be
	NotSent                        // it was never sent
	Executed
	Refused // its token or incarnation was no longer the worker's
)

const (
	// minWaitForDirectStart is the shortest wait for a heartbeat that is worth the connection
	// for a direct start.
	minWaitForDirectStart = time.Second
	// directStartAnswerTimeout is how long an answer to a direct start is awaited before the
	// machine gets a higher token.
	directStartAnswerTimeout = 4 * time.Second
	// maxRetainedAttempts is how many attempts that it may not forget yet a worker may retain.
	// At that number it gets a higher token once no start to it is under way, and at
	// maxRetainedWhileBusy at once.
	maxRetainedAttempts  = 16
	maxRetainedWhileBusy = 32
	// clearingInterval is the time between two higher tokens of a shard's machines that are due for
	// fewer retained attempts.
	clearingInterval = 30 * time.Second
)

// DirectStarts returns a direct command with the starts that are recorded for a machine, if there
// are any and the machine's next heartbeat may be far off.
func (s *Shard) DirectStarts(id string, now time.Time) (DirectCommand, bool) {
	m := s.inventory.byID[id]
	if m == nil || m.Addr == "" || m.contact.incarnation == 0 || !s.cfg.usable(m, now) || s.cfg.HeartbeatInterval < 2*minWaitForDirectStart {
		return DirectCommand{}, false
	}
	d := DirectCommand{Machine: m.ID, Addr: m.Addr, Orders: wire.DirectCommands{Token: m.fencingToken(s), Session: m.contact.incarnation, Commands: s.startCommands(m, now)}}
	if len(d.Orders.Commands) == 0 {
		return DirectCommand{}, false
	}
	if m.directStarts == nil {
		m.directStarts = directStarts{}
	}
	for _, c := range d.Orders.Commands {
		m.directStarts.add(startedAttempt{c.Task, c.Attempt}, d.Orders.Token, now)
	}
	return d, true
}

// CommandDone records the outcome of a direct command.
func (s *Shard) CommandDone(d DirectCommand, o CommandOutcome, now time.Time) {
	m := s.inventory.byID[d.Machine]
	if m == nil {
		return
	}
	for _, c := range d.Orders.Commands {
		if c.Op == wire.Start {
			m.directStarts.finish(startedAttempt{c.Task, c.Attempt}, d.Orders.Token, o)
		}
	}
}

// dropOutdatedStarts drops the direct starts that, as a heartbeat shows, can no longer be carried
// out: its incarnation is newer, or its token is higher.
func (m *Machine) dropOutdatedStarts(r *wire.Heartbeat) {
	if r.Session > m.contact.incarnation {
		m.directStarts = nil
	}
	for at, start := range m.directStarts {
		if r.Token > start.token {
			delete(m.directStarts, at)
		}
	}
}

// mayStartLate reports whether an attempt may still be started by a direct command.
func (m *Machine) mayStartLate(task string, attempt uint64) bool {
	return m.directStarts[startedAttempt{task, attempt}] != nil
}

// mayForget reports whether the worker may forget an exited attempt. It may not while a late
// start could run the attempt again: also that of a completed task, whose job may be cancelled before
// the start arrives.
func (m *Machine) mayForget(rt *wire.HeartbeatTask) bool {
	return !m.mayStartLate(rt.Task, rt.Attempt)
}

// raiseToken gives a machine a higher token if a direct start was not answered, or if the machine
// retains attempts that must not be forgotten and it is time to clear them. A silent machine needs
// none: its incarnation ends or it is released.
func (s *Shard) raiseToken(m *Machine, now time.Time) {
	if !m.contact.fenced || m.record.txn != nil || m.record.versionUnknown {
		return
	}
	if !m.hasUnansweredStart(now) && !s.clearingDue(m, now) {
		return
	}
	if m.retainedResults > 0 {
		s.health.clearedAt = now
	}
	m.blocksReplacement = false
	at := record.OverrideKey(m.ID)
	t := &Txn{machine: m, raisesToken: true, Purpose: purposeRaiseToken, Routine: true}
	t.Body.If = []wire.Condition{s.ownershipCondition(), {Key: at, Version: m.record.version}}
	t.Body.Then = []wire.Op{{Put: at, Value: record.Encode(s.overrideRecord(m, s.id))}}
	m.record.txn = t
	s.effects.Txns = append(s.effects.Txns, t)
}

// hasUnansweredStart reports whether a direct start has not been answered in time, although the machine
// was in contact since.
func (m *Machine) hasUnansweredStart(now time.Time) bool {
	for _, start := range m.directStarts {
		if !start.answered && now.Sub(start.sentAt) > directStartAnswerTimeout && m.contact.lastContactAt.After(start.sentAt) {
			return true
		}
	}
	return false
}

// clearingDue reports whether a machine gets a higher token so that its worker may forget the attempts
// that it retains: at once if there are many, or a gang waits to start one of them again, otherwise one
// machine after the other, as long as no writes wait. A higher token makes starts fail that are under way,
// so that a machine with few attempts gets it once there are none.
func (s *Shard) clearingDue(m *Machine, now time.Time) bool {
	switch {
	case m.retainedResults >= maxRetainedWhileBusy, m.blocksReplacement:
		return true
	case m.retainedResults == 0, m.attempts.unreported > 0:
		return false
	case m.retainedResults >= maxRetainedAttempts:
		return true
	}
	return s.writeBacklog == 0 && now.Sub(s.health.clearedAt) >= clearingInterval
}

// directStartsAnswered reports whether all direct starts that were sent to a machine are answered.
func (m *Machine) directStartsAnswered() bool {
	for _, start := range m.directStarts {
		if !start.answered {
			return false
		}
	}
	return true
}
