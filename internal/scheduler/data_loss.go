package scheduler

import (
	"strconv"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Starts are recorded before they are sent to workers, and the active record of a job is deleted only
// when its finished record is written. So a worker that reports a task without a record points to
// lost records. A shard that detects data loss leaves such tasks as they are, starts no tasks, and
// asks its caller to look up the records. If several machines have tasks without records, records
// were lost. If only one machine has, it counts after a while as an error of its worker, and the
// tasks as orphan tasks.

// dataLossDetection compares the reports of workers with the records, if it is enabled.
type dataLossDetection struct {
	enabled   bool
	suspected map[string]*unrecordedTask // reported tasks without a record, by task name
	explained map[string]struct{}        // reported tasks that other records explain, by task name
	// heartbeatsAwaitedUntil is until when starts wait at most for heartbeats after a failover.
	heartbeatsAwaitedUntil time.Time
}

// unrecordedTask is a reported task without a record.
type unrecordedTask struct {
	machine   string    // ID of the machine that reported it
	since     time.Time // when it was first reported
	running   bool      // it was not reported as exited
	confirmed bool      // the lookup found no record that explains it
}

// Unrecorded is a reported task whose records are to be looked up.
type Unrecorded struct {
	Task, Machine     string
	Attempt, Recorded uint64 // the attempt on the machine, and the highest attempt on record
	KnownJob          bool   // the shard holds its job
}

const (
	// maxUnrecordedTasks bounds the suspected and the explained tasks that a shard keeps.
	maxUnrecordedTasks = 4096
	// machinesToConfirmLoss is how many machines must run unrecorded tasks before records count as lost.
	machinesToConfirmLoss = 2
	// heartbeatsToConfirmLoss is how many heartbeat intervals other machines have to report
	// unrecorded tasks, too.
	heartbeatsToConfirmLoss = 2
)

// DetectDataLoss makes the shard report unrecorded tasks in Effects.Unrecorded from now on.
func (s *Shard) DetectDataLoss() { s.dataLoss.enable() }

func (d *dataLossDetection) enable() {
	d.enabled, d.suspected, d.explained = true, map[string]*unrecordedTask{}, map[string]struct{}{}
}

// ExplainUnrecorded notes that records explain an unrecorded task: its job is terminal or belongs to
// another shard.
func (s *Shard) ExplainUnrecorded(task string) {
	s.dataLoss.explain(task)
	s.placementDue = true
}

func (d *dataLossDetection) explain(task string) {
	if len(d.explained) >= maxUnrecordedTasks {
		clear(d.explained) // tasks that are reported again are looked up again
	}
	d.explained[task] = struct{}{}
	delete(d.suspected, task)
}

// ConfirmUnrecorded notes that no record explains an unrecorded task, and reports whether so many
// machines run such tasks that records must be lost.
func (s *Shard) ConfirmUnrecorded(task string) bool { return s.dataLoss.confirm(task) }

func (d *dataLossDetection) confirm(task string) (recordsLost bool) {
	if suspect := d.suspected[task]; suspect != nil {
		suspect.confirmed = true
	}
	machines := map[string]bool{}
	for _, suspect := range d.suspected {
		if suspect.confirmed && suspect.running {
			machines[suspect.machine] = true
		}
	}
	return len(machines) >= machinesToConfirmLoss
}

// suspectDataLoss reports whether a reported task lacks a record that it should have and this is
// undecided, so that no command may be sent for it yet. The job is nil if the shard does not hold
// it.
func (s *Shard) suspectDataLoss(m *Machine, rt *wire.HeartbeatTask, j *Job, i int, now time.Time) bool {
	if !s.dataLoss.enabled || (j != nil && (j.withheld || i >= j.tasks.len())) {
		return false
	}
	recorded := uint64(0)
	if j != nil {
		if r := j.rangeAt(i); r != nil {
			recorded = r.attempt
		}
		if rt.Attempt <= recorded {
			return false
		}
	}
	suspected, added := s.dataLoss.suspect(m.ID, rt, s.cfg.HeartbeatInterval, now)
	if added {
		s.effects.Unrecorded = append(s.effects.Unrecorded, Unrecorded{Task: rt.Task, Machine: m.ID, Attempt: rt.Attempt, Recorded: recorded, KnownJob: j != nil})
	}
	return suspected
}

// suspect notes a reported task without a record. It reports whether the cause is undecided, and
// whether the task is new, so that its records are to be looked up.
func (d *dataLossDetection) suspect(machine string, rt *wire.HeartbeatTask, heartbeatInterval time.Duration, now time.Time) (undecided, added bool) {
	if _, explained := d.explained[rt.Task]; explained {
		return false, false
	}
	if suspect := d.suspected[rt.Task]; suspect != nil {
		return suspect.undecided(now, heartbeatInterval), false
	}
	if len(d.suspected) >= maxUnrecordedTasks {
		return true, false
	}
	d.suspected[rt.Task] = &unrecordedTask{machine: machine, since: now, running: rt.State != wire.Exited}
	return true, true
}

// undecided reports whether the cause is undecided for any of the suspected tasks.
func (d *dataLossDetection) undecided(now time.Time, heartbeatInterval time.Duration) bool {
	for _, suspect := range d.suspected {
		if suspect.undecided(now, heartbeatInterval) {
			return true
		}
	}
	return false
}

// undecided reports whether the cause is undecided: a confirmed task counts as an error of its worker
// once heartbeatsToConfirmLoss intervals have passed.
func (t *unrecordedTask) undecided(now time.Time, heartbeatInterval time.Duration) bool {
	return !t.confirmed || now.Sub(t.since) < heartbeatsToConfirmLoss*heartbeatInterval
}

// awaitHeartbeats defers starts after a failover if placement records seem to be missing: there are
// none although the shard has machines, or their numbers, which are assigned in order, have gaps.
// The workers' first heartbeats report the tasks of missing records.
func (s *Shard) awaitHeartbeats(placements []wire.Entry, now time.Time) {
	if !s.dataLoss.enabled || len(s.inventory.byID) == 0 {
		return
	}
	highest := -1
	for _, e := range placements {
		if n, err := strconv.Atoi(record.LastElement(e.Key)); err == nil {
			highest = max(highest, n)
		}
	}
	if len(placements) == 0 || highest >= len(placements) {
		s.dataLoss.heartbeatsAwaitedUntil = now.Add(heartbeatsToConfirmLoss * s.cfg.HeartbeatInterval)
	}
}

// awaitsHeartbeats reports whether starts are deferred: placement records seem to be missing, or the
// cause of an unrecorded task is undecided.
func (s *Shard) awaitsHeartbeats(now time.Time) bool {
	return (now.Before(s.dataLoss.heartbeatsAwaitedUntil) && s.inventory.awaitsInheritedMachines()) ||
		s.dataLoss.undecided(now, s.cfg.HeartbeatInterval)
}
