package reconcile

import "bramblespur/internal/wire"

// ReportedTask is a task in a current heartbeat, beside what is recorded of it.
type ReportedTask struct {
	State, Why         string // as reported
	JobKnown           bool   // the shard has the job, and that has such a task
	Placed             bool   // the task is recorded on this machine under this attempt
	PlacedElsewhere    bool   // it is recorded on another machine under this attempt
	Completed          bool   // its completion is known
	CompletionRecorded bool   // and recorded
	CannotRestart      bool   // no late start can begin the attempt anew
}

// ClassifyReported classifies a task that a current heartbeat has.
func ClassifyReported(t ReportedTask) Result {
	exited := t.State == wire.Exited
	switch {
	case t.Placed:
		return t.classifyPlaced()
	case !t.JobKnown:
		return t.classifyOrphan(Unrecorded, JobUnknown)
	case exited && t.Why == wire.Done && !t.CompletionRecorded:
		// The result counts, whatever the attempt, until its record is written.
		return Result{Finished, RecordCompletion, CompletionNotRecorded}
	case t.PlacedElsewhere:
		return t.classifyOrphan(Conflicting, RecordedElsewhere)
	case exited && t.Why != wire.Done && t.Completed:
		return t.classifyOrphan(Conflicting, AlreadyCompleted)
	}
	return t.classifyOrphan(MustStop, NotRecorded)
}

// classifyPlaced classifies a task that is where the records say.
func (t ReportedTask) classifyPlaced() Result {
	switch {
	case t.State != wire.Exited:
		return Result{Adopted, NoAction, AsRecorded}
	case t.Why == wire.Done:
		return Result{Finished, RecordCompletion, AsRecorded}
	}
	return Result{Finished, FreePlacement, AsRecorded}
}

// classifyOrphan classifies a task that is not recorded on this machine: if it runs it is stopped,
// and if it has exited the worker may forget it once it can't be started anew.
func (t ReportedTask) classifyOrphan(outcome Outcome, reason Reason) Result {
	switch {
	case t.State != wire.Exited:
		return Result{outcome, Stop, reason}
	case !t.CannotRestart:
		return Result{outcome, RetainResult, reason}
	}
	return Result{outcome, Forget, reason}
}

// AbsentTask is a task that is recorded on a machine and not in its current heartbeat.
type AbsentTask struct {
	PlacementRecorded        bool // the placement is recorded, so that its start may have been sent
	PlacedByPredecessor      bool // an earlier owner placed it
	SeenBefore               bool // an earlier heartbeat under our token had it
	StartSent                bool // we sent its start
	SentToEarlierIncarnation bool // to an incarnation of the worker that has ended
	AnswersDirectCommand     bool // the heartbeat answers a command; the start may be under way
	StartMayArrive           bool // a start that was sent straight to the worker may still be carried out
	Stopping                 bool // it is to be stopped
}

// ClassifyAbsent classifies a task that a current heartbeat lacks. Only a heartbeat that must have
// had it proves that it is gone.
func ClassifyAbsent(t AbsentTask) Result {
	switch {
	case !t.PlacementRecorded:
		return Result{Pending, AwaitEvidence, PlacementNotRecorded}
	case t.PlacedByPredecessor:
		return Result{Missing, FreePlacement, PlacedByPredecessor}
	case t.SeenBefore:
		return Result{Missing, FreePlacement, ReportedBefore}
	case t.StartSent && t.SentToEarlierIncarnation:
		return Result{Missing, FreePlacement, IncarnationEnded}
	case t.AnswersDirectCommand:
		return Result{Pending, AwaitEvidence, StartMayBeUnderWay}
	case t.Stopping && !t.StartMayArrive:
		// The heartbeat is newer than the response that had the start, which was dropped.
		return Result{Missing, FreePlacement, StartDropped}
	case t.StartSent:
		return Result{Pending, ResendStart, StartNotReceived}
	}
	return Result{Pending, AwaitEvidence, StartNotSent}
}
