package sched

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Verdict says how to answer a report.
type Verdict int

// Verdicts of Report.
const (
	Answered Verdict = iota // 200 with the orders
	Deposed                 // the worker has seen a higher token: not ours
	NotMine                 // no such machine in this part
)

// Report takes in a worker's report and returns the answer. A direct report is
// the answer to a command; it gets no orders.
func (p *Part) Report(r *wire.Report, direct bool, now time.Time) (wire.Orders, Verdict) {
	m := p.machines[r.Machine]
	if m == nil {
		return wire.Orders{}, NotMine
	}
	token := m.token(p)
	if r.Token > token {
		return wire.Orders{}, Deposed
	}
	orders := wire.Orders{Token: token, Commands: []wire.Command{}}
	if r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq) {
		return orders, Answered // a late copy: it settles, starts and renews nothing
	}
	defer p.index.update(m)
	m.outlived(r)
	p.session(m, r, now)
	m.seq = r.Seq
	m.Addr = r.Addr
	// After a take-over nobody remembers the last report, so the first ones may
	// be late copies: only one under our own token proves the machine alive.
	live := r.Token == token || !m.inherited
	if live {
		p.markAlive(m, direct, now)
	}
	if !direct {
		m.answered = now
	}
	p.notice(m, r, now)
	if r.Token < token {
		// What earlier owners recorded here is settled only by a report under
		// our token. Our own starts need not wait for it on a machine that was
		// rented or moved to us: an earlier owner can have sent nothing that is
		// not among the records we read.
		if !direct && live {
			orders.Commands = append(orders.Commands, p.starts(m, now)...)
		}
		return orders, Answered
	}
	if !m.fenced {
		m.fenced = true
		p.markReached(m)
		p.changed = true
	}
	placedHere := make(map[key]*wire.ReportTask, len(r.Tasks))
	commands, keptOthers := p.splitReport(m, r, placedHere, now)
	orders.Commands = append(orders.Commands, commands...)
	commands, missed, keptHere := p.settlePlaced(m, placedHere, direct, now)
	orders.Commands = append(orders.Commands, commands...)
	m.kept = keptOthers + keptHere
	if direct {
		return orders, Answered
	}
	p.countMissed(m, missed, now)
	for k, t := range m.on {
		orders.Commands = append(orders.Commands, p.commands(k, t, m, now)...)
	}
	if len(orders.Commands) > maxCommands {
		orders.Commands = orders.Commands[:maxCommands]
	}
	return orders, Answered
}

// markAlive takes in that a machine sent a report that is no late copy.
func (p *Part) markAlive(m *Machine, direct bool, now time.Time) {
	if !m.up || now.Sub(m.heard) > p.cfg.SilentAfter {
		m.steady = now
	}
	m.heard = now
	m.probes.failed, m.probes.vain = 0, 0
	if !direct || !m.fenced { // one that was told our token reports at once
		m.reported = now
	}
	if !m.up {
		m.up = true
		p.changed = true
	}
}

// splitReport divides the tasks of a report into those that are placed on the machine
// under the same attempt, which it puts into placedHere, and others, which it settles: it
// returns the commands that end or forget them, and how many must be kept. The map is the
// caller's, so that a small one needs no allocation.
func (p *Part) splitReport(m *Machine, r *wire.Report, placedHere map[key]*wire.ReportTask, now time.Time) (commands []wire.Command, kept int) {
	for i := range r.Tasks {
		rt := &r.Tasks[i]
		ref, n, ok := SplitTask(rt.Task)
		j := p.jobs[ref]
		if !ok || j == nil || n >= len(j.tasks) {
			if rt.State == wire.Exited && !p.mayForget(m, rt, nil) {
				kept++
				continue
			}
			commands = append(commands, stray(rt))
			continue
		}
		k := key{j, n}
		t := &j.tasks[n]
		if t.state == placed && t.machine == m && t.attempt == rt.Attempt {
			placedHere[k] = rt
			continue
		}
		p.other(k, rt, m, now)
		switch {
		case rt.State != wire.Exited:
			commands = append(commands, halt(rt.Task, rt.Attempt, 0))
		case rt.Why == wire.Done && !t.durable:
		case !p.mayForget(m, rt, j):
			kept++
		default:
			commands = append(commands, wire.Command{Op: wire.Forget, Task: rt.Task, Attempt: rt.Attempt})
		}
	}
	return commands, kept
}

// settlePlaced takes in what a report says of the tasks that are placed on the machine. It
// returns commands that forget those that ended in vain, whether the report lacks a start
// that was sent before, and how many ended ones must be kept.
func (p *Part) settlePlaced(m *Machine, reported map[key]*wire.ReportTask, direct bool, now time.Time) (commands []wire.Command, missed bool, kept int) {
	for k, t := range m.on {
		rt := reported[k]
		if rt == nil {
			missed = p.absent(k, t, m, direct, now) || missed
			continue
		}
		p.present(k, t, rt, m, now)
		if rt.State != wire.Exited || rt.Why == wire.Done {
			continue
		}
		// Its place is free already and its attempt is never started again.
		if !p.mayForget(m, rt, k.job) {
			kept++
			continue
		}
		commands = append(commands, wire.Command{Op: wire.Forget, Task: rt.Task, Attempt: rt.Attempt})
	}
	return commands, missed, kept
}

// countMissed counts the reports in a row that lack a start sent before: after some the
// machine counts as unreachable.
func (p *Part) countMissed(m *Machine, missed bool, now time.Time) {
	if !missed {
		m.missed = 0
		return
	}
	if m.missed++; m.missed >= unreachableAfter {
		p.markUnreachable(m, now)
	}
}

// maxCommands keeps an answer's line well below 64 KiB; the rest goes with the
// next report.
const maxCommands = 300

func halt(name string, attempt uint64, grace time.Duration) wire.Command {
	g := grace.Seconds()
	return wire.Command{Op: wire.Stop, Task: name, Attempt: attempt, GraceS: &g}
}

// stray answers a task of a job that this part does not hold: finished, or not
// ours. A finished job's record says so for ever, so its tasks may be ended.
func stray(rt *wire.ReportTask) wire.Command {
	if rt.State == wire.Exited {
		return wire.Command{Op: wire.Forget, Task: rt.Task, Attempt: rt.Attempt}
	}
	return halt(rt.Task, rt.Attempt, 0)
}

// other takes in an attempt that is not the one in the ledger. Its completion
// counts all the same: the result is kept.
func (p *Part) other(k key, rt *wire.ReportTask, m *Machine, now time.Time) {
	if rt.State == wire.Exited && rt.Why == wire.Done && k.job.tasks[k.i].state == idle {
		p.complete(k, now)
	}
}

func (p *Part) complete(k key, now time.Time) {
	if k.job.spec.Kind == wire.Service {
		return // a service has no end of its own
	}
	if k.job.spec.Kind != wire.Gang {
		p.finish(k, now)
		return
	}
	// A gang's tasks complete together: where one is done, all are. Their
	// machines keep their places until they report so themselves.
	for i := range k.job.tasks {
		p.finish(key{k.job, i}, now)
	}
}

// absent takes in that a report lacks a placed task. It reports whether the
// task's start was sent and did not arrive.
func (p *Part) absent(k key, t *task, m *Machine, direct bool, now time.Time) bool {
	switch {
	case !t.recorded || t.inTxn:
		return false // not told to the worker yet
	case t.inherited || t.seen:
		p.lose(k, now)
		return false
	case t.sent && t.sentSess != m.session:
		p.lose(k, now)
		return false
	case direct:
		return false // the answer that carries the start may be on its way
	case m.mayCome(k.name(), t.attempt):
		// It may still be executed late: only a higher token or a newer session
		// proves that it won't.
	case t.stop:
		// A start that was never seen, then a stop: this report is newer than
		// the start's answer, so it was dropped and will not come back.
		p.lose(k, now)
	}
	return t.sent // it got lost on its way: commands repeats it
}

func (p *Part) present(k key, t *task, rt *wire.ReportTask, m *Machine, now time.Time) {
	j := k.job
	if !t.seen && t.sent {
		p.markReached(m) // a start of ours has arrived
	}
	if !t.seen {
		t.step(func(s *steps) { s.seen = now })
	}
	t.seen = true
	if rt.State == wire.Running && t.phase != wire.Running {
		t.runSince = now
		p.started(k, t, now)
	}
	if (rt.State == wire.Running || rt.State == wire.Gathering) && t.phase != rt.State {
		p.keepsImage(m, j.spec.Image, j.spec.ImageGB)
	}
	t.reported(j, rt.State)
	if rt.State != wire.Exited {
		return
	}
	switch rt.Why {
	case wire.Done:
		m.failed = nil
		p.complete(k, now)
		if t.state == placed { // a service's task that ended all the same
			p.lose(k, now)
		}
		return
	case wire.WhyError:
		p.failed(j, m, now)
	case wire.WhyUnknown:
		j.hold = now.Add(p.backoff(j))
	case wire.WhyNoRoom, wire.WhyBusy:
		j.hold = now.Add(p.cfg.Report)
	}
	p.lose(k, now)
	if j.spec.Kind == wire.Gang && (rt.Why == wire.WhyStopped || rt.Why == wire.WhyPeers || rt.Why == wire.WhyIncomplete) {
		p.endAttempt(j, now) // the attempt is over for all of them
	}
}

// reported takes in what a report says of a placed task.
func (t *task) reported(j *Job, phase string) {
	if t.phase == wire.Running {
		j.nRunning--
	}
	if t.phase = phase; phase == wire.Running {
		j.nRunning++
	}
}

// step notes one of the steps of a start that is still followed.
func (t *task) step(note func(*steps)) {
	if t.steps != nil {
		note(t.steps)
	}
}

// started tells how a task came to run.
func (p *Part) started(k key, t *task, now time.Time) {
	s := t.steps
	if s == nil {
		return
	}
	t.steps = nil
	p.out.Started = append(p.out.Started, Start{
		Task: k.name(), Class: k.job.spec.Class, Machine: t.machine.ID, Image: k.job.spec.Image, ImageGB: k.job.spec.ImageGB, Cached: s.cached,
		Queued: s.placed.Sub(k.job.accepted), Recording: s.recorded.Sub(s.placed), Sending: s.sent.Sub(s.recorded),
		Seen: s.seen.Sub(s.sent), Runs: now.Sub(s.seen),
	})
}

// failed takes in an error. Errors of several jobs on one machine put the blame
// on it; a job failing on several machines is at fault itself, backs off and
// burns no more machines. Until that is settled a job avoids where it failed.
func (p *Part) failed(j *Job, m *Machine, now time.Time) {
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.ID] = true
	if j.atFault() {
		j.fails++
		j.hold = now.Add(p.backoff(j))
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

func (p *Part) backoff(j *Job) time.Duration {
	d := p.cfg.Report << min(j.fails, 6)
	return min(d, maxBackoff)
}

// commands returns what a report's answer carries for a task in the ledger.
func (p *Part) commands(k key, t *task, m *Machine, now time.Time) []wire.Command {
	if !t.recorded {
		return nil
	}
	if t.stop {
		if t.phase == wire.Saving && t.grace > 0 {
			return nil
		}
		return []wire.Command{halt(k.name(), t.attempt, t.grace)}
	}
	if t.seen || t.inherited || p.lost || p.blind || m.Phase != record.InUse || k.job.cancelled || !k.job.wholeRecorded() {
		return nil
	}
	if due := p.startAfter(k, t); !t.sent && now.Before(due) {
		p.delayed[m] = due
		return nil
	}
	if !t.sent {
		t.step(func(s *steps) { s.sent = now })
	}
	t.sent, t.sentSess = true, m.session
	return []wire.Command{{Op: wire.Start, Task: k.name(), Attempt: t.attempt}}
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
func (p *Part) notice(m *Machine, r *wire.Report, now time.Time) {
	if r.NoticeS == nil || !m.taken.IsZero() {
		return
	}
	left := wire.Seconds(max(0, *r.NoticeS))
	m.taken = now.Add(left)
	m.drain = true
	p.changed = true
}
