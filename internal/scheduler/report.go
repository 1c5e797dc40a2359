package scheduler

import (
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/wire"
)

// Disposition says how to answer a report.
type Disposition int

// Dispositions of Report.
const (
	Answered Disposition = iota // 200 with the orders
	Deposed                     // the worker has seen a higher token: not ours
	NotMine                     // no such machine in this part
)

// Report takes in a worker's report and returns the answer. A direct report is
// the answer to a command; it gets no orders.
func (s *Shard) Report(r *wire.Heartbeat, direct bool, now time.Time) (wire.Orders, Disposition) {
	m := s.machines[r.Machine]
	if m == nil {
		return wire.Orders{}, NotMine
	}
	token := m.token(s)
	freshness := reconcile.Fresh(reconcile.OrderOf(r),
		reconcile.Order{Session: m.session, Seq: m.seq}, r.Token, token)
	if freshness == reconcile.Deposed {
		return wire.Orders{}, Deposed
	}
	orders := wire.Orders{Token: token, Commands: []wire.Command{}}
	if freshness == reconcile.Late {
		return orders, Answered // it settles, starts and renews nothing
	}
	defer s.index.update(m)
	m.outlived(r)
	s.session(m, r, now)
	m.seq = r.Seq
	m.Addr = r.Addr
	// After a take-over nobody remembers the last report, so the first ones may
	// be late copies: only one under our own token proves the machine alive.
	live := freshness == reconcile.Current || !m.inherited
	if live {
		s.markAlive(m, direct, now)
	}
	if !direct {
		m.answered = now
	}
	s.notice(m, r, now)
	if freshness == reconcile.Unfenced {
		// What earlier owners recorded here is settled only by a report under
		// our token. Our own starts need not wait for it on a machine that was
		// rented or moved to us: an earlier owner can have sent nothing that is
		// not among the records we read.
		if !direct && live {
			orders.Commands = append(orders.Commands, s.starts(m, now)...)
		}
		return orders, Answered
	}
	if !m.fenced {
		m.fenced = true
		s.markReached(m)
		s.changed = true
	}
	placedHere := make(map[key]*wire.HeartbeatTask, len(r.Tasks))
	commands, keptOthers := s.reconcileReported(m, r, placedHere, now)
	orders.Commands = append(orders.Commands, commands...)
	commands, missed, keptHere := s.reconcilePlaced(m, placedHere, direct, now)
	orders.Commands = append(orders.Commands, commands...)
	m.kept = keptOthers + keptHere
	if direct {
		return orders, Answered
	}
	s.countMissed(m, missed, now)
	orders.Commands = s.appendOrders(orders.Commands, m, stopsToo, now)
	if len(orders.Commands) > maxCommands {
		orders.Commands = orders.Commands[:maxCommands]
	}
	return orders, Answered
}

// markAlive takes in that a machine sent a report that is no late copy.
func (s *Shard) markAlive(m *Machine, direct bool, now time.Time) {
	if !m.up || now.Sub(m.heard) > s.cfg.SilentAfter {
		m.steady = now
	}
	m.heard = now
	m.probes.failed, m.probes.vain = 0, 0
	if !direct || !m.fenced { // one that was told our token reports at once
		m.reported = now
	}
	if !m.up {
		m.up = true
		s.changed = true
	}
}

// countMissed counts the reports in a row that lack a start sent before: after some the
// machine counts as unreachable.
func (s *Shard) countMissed(m *Machine, missed bool, now time.Time) {
	if !missed {
		m.missed = 0
		return
	}
	if m.missed++; m.missed >= unreachableAfter {
		s.markUnreachable(m, now)
	}
}

// maxCommands keeps an answer's line well below 64 KiB; the rest goes with the
// next report.
const maxCommands = 300

func halt(name string, attempt uint64, grace time.Duration) wire.Command {
	g := grace.Seconds()
	return wire.Command{Op: wire.Stop, Task: name, Attempt: attempt, GraceS: &g}
}

func (s *Shard) complete(k key, now time.Time) {
	if k.job.spec.Kind == wire.Service {
		return // a service has no end of its own
	}
	if k.job.spec.Kind != wire.Gang {
		s.finish(k, now)
		return
	}
	// A gang's tasks complete together: where one is done, all are. Their
	// machines keep their places until they report so themselves.
	for i := range k.job.tasks {
		s.finish(key{k.job, i}, now)
	}
}

// reported takes in what a report says of a placed task.
func (t *task) reported(j *Job, phase string) {
	if t.phase == wire.Running {
		j.runningTasks--
	}
	if t.phase = phase; phase == wire.Running {
		j.runningTasks++
	}
}

// step notes one of the steps of a start that is still followed.
func (t *task) step(note func(*steps)) {
	if t.steps != nil {
		note(t.steps)
	}
}

// started tells how a task came to run.
func (s *Shard) started(k key, t *task, now time.Time) {
	stages := t.steps
	if stages == nil {
		return
	}
	t.steps = nil
	s.out.Started = append(s.out.Started, Start{
		Task: k.name(), Class: k.job.spec.Class, Machine: t.machine.ID, Image: k.job.spec.Image, ImageGB: k.job.spec.ImageGB, Cached: stages.cached,
		Queued: stages.placed.Sub(k.job.accepted), Recording: stages.recorded.Sub(stages.placed), Sending: stages.sent.Sub(stages.recorded),
		Seen: stages.seen.Sub(stages.sent), Runs: now.Sub(stages.seen),
	})
}

// failed takes in an error. Errors of several jobs on one machine put the blame
// on it; a job failing on several machines is at fault itself, backs off and
// burns no more machines. Until that is settled a job avoids where it failed.
func (s *Shard) failed(j *Job, m *Machine, now time.Time) {
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.ID] = true
	if j.atFault() {
		j.fails++
		j.hold = now.Add(s.backoff(j))
		return
	}
	if m.failed == nil {
		m.failed = map[string]bool{}
	}
	m.failed[j.ref] = true
	if len(m.failed) >= badMachineJobs {
		m.drain = true
	}
}

func (j *Job) atFault() bool { return len(j.failedOn) >= badJobMachines }

const (
	// badJobMachines is on how many machines a job must fail to be at fault.
	badJobMachines = 3
	// badMachineJobs is how many jobs must fail in a row to give a machine up.
	badMachineJobs = 2
	maxBackoff     = 60 * time.Second
)

func (s *Shard) backoff(j *Job) time.Duration {
	d := s.cfg.Report << min(j.fails, 6)
	return min(d, maxBackoff)
}

// wholeRecorded reports whether all that must run together is recorded: a
// gang's tasks start only when every one of them is.
func (j *Job) wholeRecorded() bool {
	if j.spec.Kind != wire.Gang {
		return true
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == idle || (t.state == placed && !t.recorded) {
			return false
		}
	}
	return true
}

// notice takes in that the cloud will take a machine back.
func (s *Shard) notice(m *Machine, r *wire.Heartbeat, now time.Time) {
	if r.NoticeS == nil || !m.taken.IsZero() {
		return
	}
	left := wire.Seconds(max(0, *r.NoticeS))
	m.taken = now.Add(left)
	m.drain = true
	s.changed = true
}
