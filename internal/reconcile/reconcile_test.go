package reconcile

import (
	"testing"

	"bramblespur/internal/wire"
)

// Each row is a case of the table in docs/design-restart.md.
func TestReportedTask(t *testing.T) {
	for _, x := range []struct {
		name string
		task ReportedTask
		want Result
	}{
		{"as recorded", ReportedTask{State: wire.Running, JobKnown: true, Placed: true}, Result{Adopted, NoAction, AsRecorded}},
		{"fetches as recorded", ReportedTask{State: wire.Fetching, JobKnown: true, Placed: true}, Result{Adopted, NoAction, AsRecorded}},
		{"completed where recorded", ReportedTask{State: wire.Exited, Why: wire.Done, JobKnown: true, Placed: true}, Result{Finished, RecordCompletion, AsRecorded}},
		{"failed where recorded", ReportedTask{State: wire.Exited, Why: wire.ExitError, JobKnown: true, Placed: true}, Result{Finished, FreePlacement, AsRecorded}},
		{"of an unknown job", ReportedTask{State: wire.Running}, Result{Unrecorded, Stop, JobUnknown}},
		{"exited, of an unknown job", ReportedTask{State: wire.Exited, Why: wire.Done, CannotRestart: true}, Result{Unrecorded, Forget, JobUnknown}},
		{"exited, but may be started again", ReportedTask{State: wire.Exited, Why: wire.Done}, Result{Unrecorded, RetainResult, JobUnknown}},
		{"another attempt", ReportedTask{State: wire.Running, JobKnown: true}, Result{MustStop, Stop, NotRecorded}},
		{"the same attempt elsewhere", ReportedTask{State: wire.Running, JobKnown: true, PlacedElsewhere: true}, Result{Conflicting, Stop, RecordedElsewhere}},
		{"another attempt completed", ReportedTask{State: wire.Exited, Why: wire.Done, JobKnown: true}, Result{Finished, RecordCompletion, CompletionNotRecorded}},
		{"its completion is recorded", ReportedTask{State: wire.Exited, Why: wire.Done, JobKnown: true, Completed: true, CompletionRecorded: true, CannotRestart: true}, Result{MustStop, Forget, NotRecorded}},
		{"failed, but completed elsewhere", ReportedTask{State: wire.Exited, Why: wire.ExitError, JobKnown: true, Completed: true, CannotRestart: true}, Result{Conflicting, Forget, AlreadyCompleted}},
	} {
		if got := ClassifyReported(x.task); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

func TestAbsentTask(t *testing.T) {
	for _, x := range []struct {
		name string
		task AbsentTask
		want Result
	}{
		{"not recorded yet", AbsentTask{}, Result{Pending, AwaitEvidence, PlacementNotRecorded}},
		{"of an earlier owner", AbsentTask{PlacementRecorded: true, PlacedByPredecessor: true}, Result{Missing, FreePlacement, PlacedByPredecessor}},
		{"reported before", AbsentTask{PlacementRecorded: true, SeenBefore: true}, Result{Missing, FreePlacement, ReportedBefore}},
		{"sent to an earlier incarnation", AbsentTask{PlacementRecorded: true, StartSent: true, SentToEarlierIncarnation: true}, Result{Missing, FreePlacement, IncarnationEnded}},
		{"its start may be in flight", AbsentTask{PlacementRecorded: true, StartSent: true, AnswersDirectCommand: true}, Result{Pending, AwaitEvidence, StartMayBeUnderWay}},
		{"its start did not arrive", AbsentTask{PlacementRecorded: true, StartSent: true}, Result{Pending, ResendStart, StartNotReceived}},
		{"its start can no longer arrive", AbsentTask{PlacementRecorded: true, StartSent: true, Stopping: true}, Result{Missing, FreePlacement, StartDropped}},
		{"its start may still arrive", AbsentTask{PlacementRecorded: true, StartSent: true, Stopping: true, StartMayArrive: true}, Result{Pending, ResendStart, StartNotReceived}},
		{"its start was not sent", AbsentTask{PlacementRecorded: true}, Result{Pending, AwaitEvidence, StartNotSent}},
	} {
		if got := ClassifyAbsent(x.task); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

func TestListedMachine(t *testing.T) {
	for _, x := range []struct {
		name     string
		evidence ListedMachine
		want     Result
	}{
		{"recorded", ListedMachine{Recorded: true, TimesListed: 9}, Result{Adopted, NoAction, MachineRecorded}},
		{"recorded until recently", ListedMachine{RecordedRecently: true, TimesListed: 9}, Result{Finished, NoAction, MachineRecordedRecently}},
		{"listed once", ListedMachine{TimesListed: 1}, Result{Pending, AwaitEvidence, MachineListedTooSeldom}},
		{"perhaps of a pending provision", ListedMachine{TimesListed: 9, ProvisionPending: true}, Result{Pending, AwaitEvidence, MachineMayBeProvisioned}},
		{"not recorded", ListedMachine{TimesListed: 2}, Result{Unrecorded, ReleaseMachine, MachineNotRecorded}},
	} {
		if got := ClassifyMachine(x.evidence); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

// The newer of two heartbeats is the last one that is applied, whichever arrives first.
func TestHeartbeatsInAnyOrder(t *testing.T) {
	heartbeats := []Position{{1, 1}, {1, 2}, {2, 1}, {2, 9}, {3, 1}}
	for _, a := range heartbeats {
		for _, b := range heartbeats {
			applied := Position{}
			for _, heartbeat := range []Position{a, b} {
				if ClassifyHeartbeat(heartbeat, applied, 5, 5) == Current {
					applied = heartbeat
				}
			}
			if (a.After(b) || a == b) && applied != a {
				t.Errorf("after heartbeats %v and %v the applied position is %v, want the newer", a, b, applied)
			}
		}
	}
	for _, x := range []struct {
		token, ours uint64
		want        Freshness
	}{{6, 5, Superseded}, {5, 5, Current}, {4, 5, UnderLowerToken}} {
		if got := ClassifyHeartbeat(Position{1, 2}, Position{1, 1}, x.token, x.ours); got != x.want {
			t.Errorf("heartbeat under token %d, owner under token %d: classified as %v", x.token, x.ours, got)
		}
	}
	if got := ClassifyHeartbeat(Position{1, 1}, Position{1, 1}, 5, 5); got != Stale {
		t.Errorf("a copy of the applied heartbeat is classified as %v, want Stale", got)
	}
}

func TestReasonsHaveNames(t *testing.T) {
	for r := range reasonCount {
		if r.String() == "" {
			t.Errorf("reason %d has no name", r)
		}
	}
	if got := reasonCount.String(); got != "no reason" {
		t.Errorf("name of an undefined reason: %q, want \"no reason\"", got)
	}
}
