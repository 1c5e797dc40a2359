package scheduler

import (
	"strconv"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Starts are recorded before workers hear of them, and a job's record goes only with its final
// one. So workers that have what the records never knew tell of records that were lost. A
// strict part keeps such tasks as they are, starts nothing, and asks its shell to look for the
// records. If several machines have tasks of which there is none, they were lost; if one alone
// has, after a while that is its own error, and its tasks are strays.

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
	runs      bool // it was not reported as exited
	confirmed bool // there is no record that explains it
}

// Unrecorded is a reported task whose records are to be looked for.
type Unrecorded struct {
	Task, Machine     string
	Attempt, Recorded uint64 // the attempt on the machine, and the highest on record
	KnownJob          bool   // the part holds its job
}

const (
	// maxUnrecordedTasks bounds the tasks that are remembered.
	maxUnrecordedTasks = 4096
	// machinesToConfirmLoss is how many machines must have unrecorded tasks for records to be lost.
	machinesToConfirmLoss = 2
	// heartbeatsToConfirmLoss is for how many intervals of reports other machines may yet tell.
	heartbeatsToConfirmLoss = 2
)

// DetectDataLoss makes the part ask for what the records do not know.
func (s *Shard) DetectDataLoss() {
	s.dataLoss.enabled, s.dataLoss.suspected, s.dataLoss.explained = true, map[string]*unrecordedTask{}, map[string]struct{}{}
}

// ExplainUnrecorded takes in that records were found that explain a reported task: its job is over, or
// another part's.
func (s *Shard) ExplainUnrecorded(task string) {
	if len(s.dataLoss.explained) >= maxUnrecordedTasks {
		clear(s.dataLoss.explained) // what is reported again is looked for again
	}
	s.dataLoss.explained[task] = struct{}{}
	delete(s.dataLoss.suspected, task)
	s.placementDue = true
}

// ConfirmUnrecorded takes in that no record explains a reported task, and reports whether so
// many machines have such tasks that the records must be lost.
func (s *Shard) ConfirmUnrecorded(task string) bool {
	if d := s.dataLoss.suspected[task]; d != nil {
		d.confirmed = true
	}
	machines := map[string]bool{}
	for _, d := range s.dataLoss.suspected {
		if d.confirmed && d.runs {
			machines[d.machine] = true
		}
	}
	return len(machines) >= machinesToConfirmLoss
}

// suspectDataLoss reports whether a reported task is one that the records should know and do not, so
// that nothing may be done about it yet. The job is nil if the part does not hold it.
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
	if _, explained := s.dataLoss.explained[rt.Task]; explained {
		return false
	}
	if d := s.dataLoss.suspected[rt.Task]; d != nil {
		return d.undecided(now, s.cfg.HeartbeatInterval)
	}
	if len(s.dataLoss.suspected) >= maxUnrecordedTasks {
		return true
	}
	s.dataLoss.suspected[rt.Task] = &unrecordedTask{machine: m.ID, since: now, runs: rt.State != wire.Exited}
	s.effects.Unrecorded = append(s.effects.Unrecorded, Unrecorded{Task: rt.Task, Machine: m.ID, Attempt: rt.Attempt, Recorded: recorded, KnownJob: j != nil})
	return true
}

// undecided reports whether a doubt is not decided yet: after a while it is a worker's own error.
func (d *unrecordedTask) undecided(now time.Time, report time.Duration) bool {
	return !d.confirmed || now.Sub(d.since) < heartbeatsToConfirmLoss*report
}

// awaitHeartbeats puts starts off after a take-over if records of placements seem to be missing:
// there are none though the part has machines, or their numbers, which are given out in order,
// have gaps. What runs by them is in the workers' first reports.
func (s *Shard) awaitHeartbeats(slots []wire.Entry, now time.Time) {
	if !s.dataLoss.enabled || len(s.inventory.byID) == 0 {
		return
	}
	highest := -1
	for _, e := range slots {
		if n, err := strconv.Atoi(record.LastElement(e.Key)); err == nil {
			highest = max(highest, n)
		}
	}
	if len(slots) == 0 || highest >= len(slots) {
		s.dataLoss.heartbeatsAwaitedUntil = now.Add(heartbeatsToConfirmLoss * s.cfg.HeartbeatInterval)
	}
}

// awaitsHeartbeats reports whether starts are put off: records seem to be missing, or it is not
// known yet why a worker has what they do not.
func (s *Shard) awaitsHeartbeats(now time.Time) bool {
	waits := now.Before(s.dataLoss.heartbeatsAwaitedUntil) && s.awaitsInheritedMachines()
	for _, d := range s.dataLoss.suspected {
		waits = waits || d.undecided(now, s.cfg.HeartbeatInterval)
	}
	if waits {
		s.wakeAt(now.Add(s.cfg.HeartbeatInterval / 4))
	}
	return waits
}
