package reconcile

import "bramblespur/internal/wire"

// ReportedTask is the evidence about a task in a current heartbeat.
type ReportedTask struct {
	State, Why         string // as the heartbeat reports them
	JobKnown           bool   // the shard has the job, and the job has the task
	Placed             bool   // the task is recorded on this machine under this attempt
	PlacedElsewhere    bool   // it is recorded on another machine under this attempt
	Completed          bool   // its completion is known
	CompletionRecorded bool   // its completion is recorded
	CannotRestart      bool   // no delayed start can run the attempt again
}

// ClassifyReported returns the result for a task that a current heartbeat reports.
func ClassifyReported(t ReportedTask) Result {
	exited := t.State == wire.Exited
	switch {
	case t.Placed:
		return t.classifyPlaced()
	case !t.JobKnown:
		return t.classifyOrphan(Unrecorded, JobUnknown)
	case exited && t.Why == wire.Done && !t.CompletionRecorded:
		// The completion counts under any attempt, until it is recorded.
		return Result{Finished, RecordCompletion, CompletionNotRecorded}
	case t.PlacedElsewhere:
		return t.classifyOrphan(Conflicting, RecordedElsewhere)
	case exited && t.Why != wire.Done && t.Completed:
		return t.classifyOrphan(Conflicting, AlreadyCompleted)
	}
	return t.classifyOrphan(MustStop, NotRecorded)
}

// classifyPlaced returns the result for a task that is recorded on this machine under this attempt.
func (t ReportedTask) classifyPlaced() Result {
	switch {
	case t.State != wire.Exited:
		return Result{Adopted, NoAction, AsRecorded}
	case t.Why == wire.Done:
		return Result{Finished, RecordCompletion, AsRecorded}
	}
	return Result{Finished, FreePlacement, AsRecorded}
}

// classifyOrphan returns the result for a task that is not recorded on this machine. It is stopped
// if it has not exited; otherwise the worker may forget it once no delayed start can run it again.
func (t ReportedTask) classifyOrphan(outcome Outcome, reason Reason) Result {
	switch {
	case t.State != wire.Exited:
		return Result{outcome, Stop, reason}
	case !t.CannotRestart:
		return Result{outcome, RetainResult, reason}
	}
	return Result{outcome, Forget, reason}
}

// AbsentTask is the evidence about a task that is recorded on a machine but is not in its current
// heartbeat.
type AbsentTask struct {
	PlacementRecorded        bool // the placement is recorded, so that its start may have been sent
	PlacedByPredecessor      bool // an earlier owner placed it
	SeenBefore               bool // an earlier heartbeat under the owner's token reported it
	StartSent                bool // the owner has sent its start
	SentToEarlierIncarnation bool // its start was sent to an incarnation of the worker that has ended
	AnswersDirectCommand     bool // the heartbeat answers a direct command, and may be older than the start
	StartMayArrive           bool // a direct start may still be carried out
	Stopping                 bool // it is being stopped
}

// ClassifyAbsent returns the result for a task that a current heartbeat does not report. The task is
// missing only if the heartbeat would have to report it.
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
		// The heartbeat is newer than the response with the start, so the start was dropped.
		return Result{Missing, FreePlacement, StartDropped}
	case t.StartSent:
		return Result{Pending, ResendStart, StartNotReceived}
	}
	return Result{Pending, AwaitEvidence, StartNotSent}
}
