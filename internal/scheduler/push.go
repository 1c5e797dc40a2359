package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A start normally rides on a report's answer, which its worker drops after 4 s.
// Where reports are far apart it goes straight to the worker instead. Such a
// command may be executed late, and even twice, as long as its token and session
// still match. So whoever sent one does not take its task for gone, nor let the
// worker forget the attempt, until a higher token or a newer session was
// reported, or the machine is gone.

// pushedStart is a start that was sent straight to a worker.
type pushedStart struct {
	attempt  uint64
	token    uint64
	at       time.Time
	answered bool // it was carried out, though a copy may still come
}

// Outcome is how a direct command ended.
type Outcome int

// Outcomes of direct commands.
const (
	NoAnswer Outcome = iota // it may have been carried out, or may be later
	NotSent                 // it never left
	Executed
	Refused // the token or the session was not the worker's any more
)

const (
	// pushWorth is the wait for a report from which on a command sent by
	// itself is worth its connection.
	pushWorth = time.Second
	// fenceAfter is how long an answer to a direct start is awaited before the
	// machine gets a higher token.
	fenceAfter = 4 * time.Second
	// fenceRuns is how many attempts a worker keeps that it may not forget yet,
	// before it gets a higher token for that.
	fenceRuns = 16
)

// Start makes the command that brings what is recorded for a machine to it at
// once, if its next report is far.
func (s *Shard) Start(id string, now time.Time) (Push, bool) {
	m := s.machines[id]
	if m == nil || m.Addr == "" || m.session == 0 || !s.usable(m, now) || s.cfg.Report < 2*pushWorth {
		return Push{}, false
	}
	d := Push{Machine: m.ID, Addr: m.Addr, Orders: wire.DirectOrders{Token: m.token(s), Session: m.session, Commands: s.starts(m, now)}}
	if len(d.Orders.Commands) == 0 {
		return Push{}, false
	}
	if m.runs == nil {
		m.runs = map[string]*pushedStart{}
	}
	for _, c := range d.Orders.Commands {
		m.runs[c.Task] = &pushedStart{attempt: c.Attempt, token: d.Orders.Token, at: now}
	}
	return d, true
}

// PushDone takes in how a direct command ended.
func (s *Shard) PushDone(d Push, o Outcome, now time.Time) {
	m := s.machines[d.Machine]
	if m == nil {
		return
	}
	for _, c := range d.Orders.Commands {
		run := m.runs[c.Task]
		if c.Op != wire.Start || run == nil || run.attempt != c.Attempt || run.token != d.Orders.Token {
			continue
		}
		switch o {
		case Executed:
			run.answered = true
		case NotSent, Refused:
			if !run.answered {
				delete(m.runs, c.Task) // a copy of it is refused as well
			}
		}
	}
}

// outlived drops the direct starts that can't be carried out any more, as a
// report shows: its session is newer or it has seen a higher token.
func (m *Machine) outlived(r *wire.Heartbeat) {
	if r.Session > m.session {
		m.runs = nil
	}
	for name, run := range m.runs {
		if r.Token > run.token {
			delete(m.runs, name)
		}
	}
}

// mayCome reports whether an attempt may still be started by a direct command.
func (m *Machine) mayCome(task string, attempt uint64) bool {
	run := m.runs[task]
	return run != nil && run.attempt == attempt
}

// mayForget reports whether the worker may forget an exited attempt: a late
// start would begin it anew. A result is kept, so a completed task of a job
// that is known not to be cancelled would only exit once more.
func (s *Shard) mayForget(m *Machine, rt *wire.HeartbeatTask, j *Job) bool {
	if !m.mayCome(rt.Task, rt.Attempt) {
		return true
	}
	if rt.Why == wire.Done && j != nil && !j.cancelled {
		delete(m.runs, rt.Task)
		return true
	}
	return false
}

// fence gives a machine a higher token where a direct start without an answer,
// or too many attempts that must not be forgotten, call for one. A silent
// machine is not worth it: its session ends or it goes back.
func (s *Shard) fence(m *Machine, now time.Time) {
	due := m.kept >= fenceRuns
	for _, run := range m.runs {
		if !run.answered && now.Sub(run.at) > fenceAfter && m.heard.After(run.at) {
			due = true
		}
	}
	if !due || !m.fenced || m.txn != nil || m.versionUnknown {
		return
	}
	at := record.OverrideKey(m.ID)
	t := &Txn{machine: m, fence: true, Purpose: forFence, Routine: true}
	t.Body.If = []wire.Cond{s.cond(), {Key: at, Version: m.version}}
	t.Body.Then = []wire.Op{{Put: at, Value: record.Encode(s.own(m, s.id))}}
	m.txn = t
	s.out.Txns = append(s.out.Txns, t)
}

// settled reports whether no unanswered direct start is left for a machine.
func (m *Machine) settled() bool {
	for _, run := range m.runs {
		if !run.answered {
			return false
		}
	}
	return true
}
