package scheduler

import (
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/wire"
)

// HeartbeatDisposition says how to answer a heartbeat.
type HeartbeatDisposition int

// Dispositions of Report.
const (
	Answered       HeartbeatDisposition = iota // 200 with the orders
	Deposed                                    // the worker has seen a higher token: not ours
	UnknownMachine                             // no such machine in this shard
)

// Heartbeat takes in a worker's heartbeat and returns the response. A direct heartbeat is
// the answer to a command; it gets no orders.
func (s *Shard) Heartbeat(r *wire.Heartbeat, direct bool, now time.Time) (wire.Orders, HeartbeatDisposition) {
	m := s.inventory.byID[r.Machine]
	if m == nil {
		return wire.Orders{}, UnknownMachine
	}
	token := m.fencingToken(s)
	freshness := reconcile.ClassifyHeartbeat(reconcile.PositionOf(r),
		reconcile.Position{Incarnation: m.contact.incarnation, Seq: m.contact.seq}, r.Token, token)
	if freshness == reconcile.Superseded {
		return wire.Orders{}, Deposed
	}
	orders := wire.Orders{Token: token, Commands: []wire.Command{}}
	if freshness == reconcile.Stale {
		return orders, Answered // it settles, starts and renews nothing
	}
	defer s.inventory.update(m)
	// After a failover nobody remembers the last heartbeat, so the first ones may
	// be late copies: only one under our own token proves the machine alive.
	live := freshness == reconcile.Current || !m.inherited
	s.recordContact(m, r, direct, live, now)
	if freshness == reconcile.UnderLowerToken {
		// What earlier owners recorded here is settled only by a heartbeat under
		// our token. Our own starts need not wait for it on a machine that was
		// provisioned or moved to us: an earlier owner can have sent nothing that is
		// not among the records we read.
		if !direct && live {
			orders.Commands = append(orders.Commands, s.startCommands(m, now)...)
		}
		return orders, Answered
	}
	if !m.contact.fenced {
		m.contact.fenced = true
		s.markReached(m)
		s.placementDue = true
	}
	var missed bool
	orders.Commands, missed = s.appendReconciliationCommands(orders.Commands, m, r, direct, now)
	if direct {
		return orders, Answered
	}
	s.countMissedStart(m, missed, now)
	orders.Commands = s.appendCommands(orders.Commands, m, startsAndStops, now)
	if len(orders.Commands) > maxCommands {
		orders.Commands = orders.Commands[:maxCommands]
	}
	return orders, Answered
}

// recordContact takes in what a heartbeat shows of its machine besides the tasks there.
func (s *Shard) recordContact(m *Machine, r *wire.Heartbeat, direct, live bool, now time.Time) {
	m.dropOutdatedStarts(r)
	s.applyEpoch(m, r, now)
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

// appendReconciliationCommands compares a heartbeat with the ledger and appends the commands that end or
// forget what has no place there. It reports whether the heartbeat lacks a start that was sent.
func (s *Shard) appendReconciliationCommands(out []wire.Command, m *Machine, r *wire.Heartbeat, direct bool, now time.Time) (commands []wire.Command, missed bool) {
	placedHere := make(map[taskKey]*wire.HeartbeatTask, len(r.Tasks))
	orphans, retainedOrphans := s.reconcileReported(m, r, placedHere, now)
	ended, missed, retainedEnded := s.reconcilePlaced(m, placedHere, direct, now)
	m.retainedResults = retainedOrphans + retainedEnded
	out = append(out, orphans...)
	return append(out, ended...), missed
}

// markAlive takes in that a machine sent a heartbeat that is no late copy.
func (s *Shard) markAlive(m *Machine, direct bool, now time.Time) {
	if !m.contact.up || now.Sub(m.contact.lastContactAt) > s.cfg.SilentAfter {
		m.contact.steadySince = now
	}
	m.contact.lastContactAt = now
	m.probes.failed, m.probes.unansweredPastLease = 0, 0
	if !direct || !m.contact.fenced { // one that was told our token reports at once
		m.contact.heartbeatAt = now
	}
	if !m.contact.up {
		m.contact.up = true
		s.placementDue = true
	}
}

// countMissedStart counts the heartbeats in a row that lack a start sent before: after some the
// machine counts as unreachable.
func (s *Shard) countMissedStart(m *Machine, missed bool, now time.Time) {
	if !missed {
		m.contact.missedStarts = 0
		return
	}
	if m.contact.missedStarts++; m.contact.missedStarts >= missedStartsUntilUnreachable {
		s.markUnreachable(m, now)
	}
}

// maxCommands keeps an answer's line well below 64 KiB; the rest goes with the
// next heartbeat.
const maxCommands = 300

func stopCommand(name string, attempt uint64, grace time.Duration) wire.Command {
	g := grace.Seconds()
	return wire.Command{Op: wire.Stop, Task: name, Attempt: attempt, GraceS: &g}
}

func (s *Shard) completeTask(k taskKey, now time.Time) {
	if k.job.spec.Kind == wire.Service {
		return // a service has no end of its own
	}
	if k.job.spec.Kind != wire.Gang {
		s.markCompleted(k, now)
		return
	}
	// A gang's tasks complete together: where one is done, all are. Their
	// machines keep their places until they report so themselves.
	for i := range k.job.tasks {
		s.markCompleted(taskKey{k.job, i}, now)
	}
}

// setPhase takes in what a heartbeat says of a placed task.
func (t *task) setPhase(j *Job, phase string) {
	if t.phase == wire.Running {
		j.progress.running--
	}
	if t.phase = phase; phase == wire.Running {
		j.progress.running++
	}
}

// traceStep notes one of the steps of a start that is still followed.
func (t *task) traceStep(note func(*startTrace)) {
	if t.trace != nil {
		note(t.trace)
	}
}

// reportTaskStart tells how a task came to run.
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

// countFailure takes in an error. Errors of several jobs on one machine put the blame
// on it; a job failing on several machines is at fault itself, backs off and
// burns no more machines. Until that is settled a job avoids where it failed.
func (s *Shard) countFailure(j *Job, m *Machine, now time.Time) {
	if j.faults.machines == nil {
		j.faults.machines = map[string]bool{}
	}
	j.faults.machines[m.ID] = true
	if j.atFault() {
		j.faults.count++
		j.notBefore = now.Add(s.cfg.backoff(j))
		return
	}
	if m.failedJobs == nil {
		m.failedJobs = map[string]bool{}
	}
	m.failedJobs[j.ref] = true
	if len(m.failedJobs) >= jobsUntilMachineFaulty {
		m.draining = true
	}
}

// avoids reports whether a job keeps off a machine where a task of it failed.
func (j *Job) avoids(m *Machine) bool { return j.faults.machines[m.ID] && !j.atFault() }

func (j *Job) atFault() bool { return len(j.faults.machines) >= machinesUntilJobAtFault }

const (
	// machinesUntilJobAtFault is on how many machines a job must fail to be at fault.
	machinesUntilJobAtFault = 3
	// jobsUntilMachineFaulty is how many jobs must fail in a row to give a machine up.
	jobsUntilMachineFaulty = 2
	maxBackoff             = 60 * time.Second
)

func (c *Config) backoff(j *Job) time.Duration {
	d := c.HeartbeatInterval << min(j.faults.count, 6)
	return min(d, maxBackoff)
}

// allPeersRecorded reports whether all that must run together is recorded: a
// gang's tasks start only when every one of them is.
func (j *Job) allPeersRecorded() bool {
	if j.spec.Kind != wire.Gang {
		return true
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == pending || (t.state == placed && !t.recorded) {
			return false
		}
	}
	return true
}

// applyReclaimNotice takes in that the cloud will take a machine back.
func (s *Shard) applyReclaimNotice(m *Machine, r *wire.Heartbeat, now time.Time) {
	if r.NoticeS == nil || !m.reclaimedAt.IsZero() {
		return
	}
	left := wire.Seconds(max(0, *r.NoticeS))
	m.reclaimedAt = now.Add(left)
	m.draining = true
	s.placementDue = true
}
