package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A start normally rides on a heartbeat's answer, which its worker drops after 4 s.
// Where heartbeats are far apart it goes straight to the worker instead. Such a
// command may be executed late, and even twice, as long as its token and epoch
// still match. So whoever sent one does not take its task for gone, nor let the
// worker forget the attempt, until a higher token or a newer epoch was
// reported, or the machine is gone.

// directStart is a start that was sent straight to a worker.
type directStart struct {
	attempt  uint64
	token    uint64
	sentAt   time.Time
	answered bool // it was carried out, though a copy may still come
}

// CommandOutcome is how a direct command ended.
type CommandOutcome int

// Outcomes of direct commands.
const (
	NoAnswer CommandOutcome = iota // it may have been carried out, or may be later
	NotSent                        // it never left
	Executed
	Refused // the token or the epoch was not the worker's any more
)

const (
	// minWaitForDirectStart is the wait for a heartbeat from which on a command sent by
	// itself is worth its connection.
	minWaitForDirectStart = time.Second
	// directStartAnswerTimeout is how long an answer to a direct start is awaited before the
	// machine gets a higher token.
	directStartAnswerTimeout = 4 * time.Second
	// maxRetainedAttempts is how many attempts a worker keeps that it may not forget yet,
	// before it gets a higher token for that.
	maxRetainedAttempts = 16
)

// DirectStarts makes the command that brings what is recorded for a machine to it at
// once, if its next heartbeat is far.
func (s *Shard) DirectStarts(id string, now time.Time) (DirectCommand, bool) {
	m := s.inventory.byID[id]
	if m == nil || m.Addr == "" || m.contact.incarnation == 0 || !s.cfg.usable(m, now) || s.cfg.HeartbeatInterval < 2*minWaitForDirectStart {
		return DirectCommand{}, false
	}
	d := DirectCommand{Machine: m.ID, Addr: m.Addr, Orders: wire.DirectOrders{Token: m.fencingToken(s), Session: m.contact.incarnation, Commands: s.startCommands(m, now)}}
	if len(d.Orders.Commands) == 0 {
		return DirectCommand{}, false
	}
	if m.directStarts == nil {
		m.directStarts = map[string]*directStart{}
	}
	for _, c := range d.Orders.Commands {
		m.directStarts[c.Task] = &directStart{attempt: c.Attempt, token: d.Orders.Token, sentAt: now}
	}
	return d, true
}

// CommandDone takes in how a direct command ended.
func (s *Shard) CommandDone(d DirectCommand, o CommandOutcome, now time.Time) {
	m := s.inventory.byID[d.Machine]
	if m == nil {
		return
	}
	for _, c := range d.Orders.Commands {
		run := m.directStarts[c.Task]
		if c.Op != wire.Start || run == nil || run.attempt != c.Attempt || run.token != d.Orders.Token {
			continue
		}
		switch o {
		case Executed:
			run.answered = true
		case NotSent, Refused:
			if !run.answered {
				delete(m.directStarts, c.Task) // a copy of it is refused as well
			}
		}
	}
}

// dropOutdatedStarts drops the direct starts that can't be carried out any more, as a
// heartbeat shows: its epoch is newer or it has seen a higher token.
func (m *Machine) dropOutdatedStarts(r *wire.Heartbeat) {
	if r.Session > m.contact.incarnation {
		m.directStarts = nil
	}
	for name, run := range m.directStarts {
		if r.Token > run.token {
			delete(m.directStarts, name)
		}
	}
}

// mayStartLate reports whether an attempt may still be started by a direct command.
func (m *Machine) mayStartLate(task string, attempt uint64) bool {
	run := m.directStarts[task]
	return run != nil && run.attempt == attempt
}

// mayForget reports whether the worker may forget an exited attempt: a late
// start would begin it anew. A result is kept, so a completed task of a job
// that is known not to be cancelled would only exit once more.
func (s *Shard) mayForget(m *Machine, rt *wire.HeartbeatTask, j *Job) bool {
	if !m.mayStartLate(rt.Task, rt.Attempt) {
		return true
	}
	if rt.Why == wire.Done && j != nil && !j.cancelled {
		delete(m.directStarts, rt.Task)
		return true
	}
	return false
}

// raiseToken gives a machine a higher token where a direct start without an answer,
// or too many attempts that must not be forgotten, call for one. A silent
// machine is not worth it: its epoch ends or it goes back.
func (s *Shard) raiseToken(m *Machine, now time.Time) {
	due := m.retainedResults >= maxRetainedAttempts
	for _, run := range m.directStarts {
		if !run.answered && now.Sub(run.sentAt) > directStartAnswerTimeout && m.contact.lastContactAt.After(run.sentAt) {
			due = true
		}
	}
	if !due || !m.contact.fenced || m.record.txn != nil || m.record.versionUnknown {
		return
	}
	at := record.OverrideKey(m.ID)
	t := &Txn{machine: m, raisesToken: true, Purpose: purposeRaiseToken, Routine: true}
	t.Body.If = []wire.Condition{s.ownershipCondition(), {Key: at, Version: m.record.version}}
	t.Body.Then = []wire.Op{{Put: at, Value: record.Encode(s.overrideRecord(m, s.id))}}
	m.record.txn = t
	s.effects.Txns = append(s.effects.Txns, t)
}

// directStartsAnswered reports whether no unanswered direct start is left for a machine.
func (m *Machine) directStartsAnswered() bool {
	for _, run := range m.directStarts {
		if !run.answered {
			return false
		}
	}
	return true
}
