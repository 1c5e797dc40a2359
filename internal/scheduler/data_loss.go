package scheduler

import (
	"strconv"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Starts are recorded before workers hear of them, and a job's record goes only with its final
// one. So workers that have what the records never knew tell of records that were lost. A
// shard that detects data loss keeps such tasks as they are, starts nothing, and asks its shell to look for the
// records. If several machines have tasks of which there is none, they were lost; if one alone
// has, after a while that is its own error, and its tasks are orphan tasks.

// dataLossDetection compares what workers report with the records, if it is enabled.
type dataLossDetection struct {
	enabled   bool
	suspected map[string]*unrecordedTask // reported tasks that the records do not know
	explained map[string]struct{}        // those that turned out to be of terminal jobs
	// heartbeatsAwaitedUntil is until when starts may wait for heartbeats after a failover.
	heartbeatsAwaitedUntil time.Time
}

// unrecordedTask is a reported task that the records do not know.
type unrecordedTask struct {
	machine   string
	since     time.Time
	running   bool // it was not reported as exited
	confirmed bool // there is no record that explains it
}

// Unrecorded is a reported task whose records are to be looked for.
type Unrecorded struct {
	Task, Machine     string
	Attempt, Recorded uint64 // the attempt on the machine, and the highest on record
	KnownJob          bool   // the shard holds its job
}

const (
	// maxUnrecordedTasks bounds the tasks that are remembered.
	maxUnrecordedTasks = 4096
	// machinesToConfirmLoss is how many machines must have unrecorded tasks for records to be lost.
	machinesToConfirmLoss = 2
	// heartbeatsToConfirmLoss is for how many intervals of heartbeats other machines may yet tell.
	heartbeatsToConfirmLoss = 2
)

// DetectDataLoss makes the shard ask for what the records do not know.
func (s *Shard) DetectDataLoss() { s.dataLoss.enable() }

func (d *dataLossDetection) enable() {
	d.enabled, d.suspected, d.explained = true, map[string]*unrecordedTask{}, map[string]struct{}{}
}

// ExplainUnrecorded takes in that records were found that explain a reported task: its job is
// terminal, or another shard's.
func (s *Shard) ExplainUnrecorded(task string) {
	s.dataLoss.explain(task)
	s.placementDue = true
}

func (d *dataLossDetection) explain(task string) {
	if len(d.explained) >= maxUnrecordedTasks {
		clear(d.explained) // what is reported again is looked for again
	}
	d.explained[task] = struct{}{}
	delete(d.suspected, task)
}

// ConfirmUnrecorded takes in that no record explains a reported task, and reports whether so
// many machines have such tasks that the records must be lost.
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

// suspectDataLoss reports whether a reported task is one that the records should know and do
// not, so that nothing may be done about it yet. The job is nil if the shard does not hold it.
func (s *Shard) suspectDataLoss(m *Machine, rt *wire.HeartbeatTask, j *Job, i int, now time.Time) bool {
	if !s.dataLoss.enabled || (j != nil && (j.withheld || i >= len(j.tasks))) {
		return false
	}
	recorded := uint64(0)
	if j != nil {
		if c := j.rangeAt(i); c != nil {
			recorded = c.attempt
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

// suspect takes in that a machine reported a task that the records do not know. It reports
// whether that is not decided yet, and whether its records are to be looked for from now on.
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

// undecided reports whether it is not decided why any of the suspected tasks is there.
func (d *dataLossDetection) undecided(now time.Time, heartbeatInterval time.Duration) bool {
	for _, suspect := range d.suspected {
		if suspect.undecided(now, heartbeatInterval) {
			return true
		}
	}
	return false
}

// undecided reports whether it is not decided yet why a task is there: after a while it is a
// worker's own error.
func (t *unrecordedTask) undecided(now time.Time, heartbeatInterval time.Duration) bool {
	return !t.confirmed || now.Sub(t.since) < heartbeatsToConfirmLoss*heartbeatInterval
}

// awaitHeartbeats puts starts off after a failover if records of placements seem to be missing:
// there are none though the shard has machines, or their numbers, which are given out in order,
// have gaps. What runs by them is in the workers' first heartbeats.
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

// awaitsHeartbeats reports whether starts are put off: records seem to be missing, or it is not
// known yet why a worker has what they do not.
func (s *Shard) awaitsHeartbeats(now time.Time) bool {
	return (now.Before(s.dataLoss.heartbeatsAwaitedUntil) && s.inventory.awaitsInheritedMachines()) ||
		s.dataLoss.undecided(now, s.cfg.HeartbeatInterval)
}
