package reconcile

import "bramblespur/internal/wire"

// ReportedTask is a task in a current report, beside what is on record.
type ReportedTask struct {
	State, Why         string // as reported
	JobKnown           bool   // the part holds the job, and it has such a task
	Placed             bool   // the task is recorded on this machine under this attempt
	PlacedElsewhere    bool   // it is recorded on another machine under this attempt
	Completed          bool   // its completion is known
	CompletionRecorded bool   // and on record
	CannotRestart      bool   // no late start can begin the attempt anew
}

// ClassifyReported gives the verdict on a task that a current report has.
func ClassifyReported(c ReportedTask) Result {
	switch {
	case c.Placed:
		return c.classifyPlaced()
	case !c.JobKnown:
		return c.classifyOrphan(Unrecorded)
	case c.State == wire.Exited && c.Why == wire.Done && !c.CompletionRecorded:
		// The result is kept, whatever the attempt, until its record is written.
		return Result{Finished, RecordCompletion}
	case c.PlacedElsewhere:
		return c.classifyOrphan(Conflicting)
	case c.State == wire.Exited && c.Why != wire.Done && c.Completed:
		return c.classifyOrphan(Conflicting)
	}
	return c.classifyOrphan(MustStop)
}

// classifyPlaced is a task that is where the records say.
func (c ReportedTask) classifyPlaced() Result {
	switch {
	case c.State != wire.Exited:
		return Result{Adopted, NoAction}
	case c.Why == wire.Done:
		return Result{Finished, RecordCompletion}
	}
	return Result{Finished, FreePlacement}
}

// classifyOrphan is a task that has no place on this machine: what runs is stopped, and what has
// exited may be forgotten once it can't be started anew.
func (c ReportedTask) classifyOrphan(v Outcome) Result {
	switch {
	case c.State != wire.Exited:
		return Result{v, Stop}
	case !c.CannotRestart:
		return Result{v, RetainResult}
	}
	return Result{v, Forget}
}

// AbsentTask is a task that is recorded on a machine and not in its current report.
type AbsentTask struct {
	PlacementRecorded        bool // the placement is on record, so that its start may have been sent
	PlacedByPredecessor      bool // an earlier owner placed it
	SeenBefore               bool // an earlier report under our token had it
	StartSent                bool // we sent its start
	SentToEarlierIncarnation bool // in a session of the worker that is over
	AnswersDirectCommand     bool // the report answers a command; the start may be on its way
	StartMayArrive           bool // a start that was sent straight to the worker may still be carried out
	Stopping                 bool // it is to be stopped
}

// ClassifyAbsent gives the verdict on a task that a current report lacks. Time proves nothing: only
// a report that must have had it does.
func ClassifyAbsent(a AbsentTask) Result {
	gone, waits, again := Result{Missing, FreePlacement}, Result{Pending, AwaitEvidence}, Result{Pending, ResendStart}
	switch {
	case !a.PlacementRecorded:
		return waits
	case a.PlacedByPredecessor, a.SeenBefore, a.StartSent && a.SentToEarlierIncarnation:
		return gone
	case a.AnswersDirectCommand:
		return waits
	case a.Stopping && !a.StartMayArrive:
		// The report is newer than the answer that had the start: it was dropped.
		return gone
	case a.StartSent:
		return again
	}
	return waits
}
