package reconcile

import (
	"testing"

	"bramblespur/internal/wire"
)

// Each row is a case of the table in docs/design-restart.md.
func TestClaimed(t *testing.T) {
	for _, x := range []struct {
		name  string
		claim ReportedTask
		want  Result
	}{
		{"as recorded", ReportedTask{State: wire.Running, JobKnown: true, Placed: true}, Result{Adopted, NoAction}},
		{"fetches as recorded", ReportedTask{State: wire.Fetching, JobKnown: true, Placed: true}, Result{Adopted, NoAction}},
		{"completed while away", ReportedTask{State: wire.Exited, Why: wire.Done, JobKnown: true, Placed: true}, Result{Finished, RecordCompletion}},
		{"failed while away", ReportedTask{State: wire.Exited, Why: wire.ExitError, JobKnown: true, Placed: true}, Result{Finished, FreePlacement}},
		{"of no job known", ReportedTask{State: wire.Running}, Result{Unrecorded, Stop}},
		{"exited, of no job known", ReportedTask{State: wire.Exited, Why: wire.Done, CannotRestart: true}, Result{Unrecorded, Forget}},
		{"exited, but may start anew", ReportedTask{State: wire.Exited, Why: wire.Done}, Result{Unrecorded, RetainResult}},
		{"another attempt", ReportedTask{State: wire.Running, JobKnown: true}, Result{MustStop, Stop}},
		{"the same attempt elsewhere", ReportedTask{State: wire.Running, JobKnown: true, PlacedElsewhere: true}, Result{Conflicting, Stop}},
		{"another attempt completed", ReportedTask{State: wire.Exited, Why: wire.Done, JobKnown: true}, Result{Finished, RecordCompletion}},
		{"its completion is on record", ReportedTask{State: wire.Exited, Why: wire.Done, JobKnown: true, Completed: true, CompletionRecorded: true, CannotRestart: true}, Result{MustStop, Forget}},
		{"failed, but is known to be done", ReportedTask{State: wire.Exited, Why: wire.ExitError, JobKnown: true, Completed: true, CannotRestart: true}, Result{Conflicting, Forget}},
	} {
		if got := ClassifyReported(x.claim); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

func TestAbsent(t *testing.T) {
	for _, x := range []struct {
		name    string
		absence AbsentTask
		want    Result
	}{
		{"not recorded yet", AbsentTask{}, Result{Pending, AwaitEvidence}},
		{"of an earlier owner", AbsentTask{PlacementRecorded: true, PlacedByPredecessor: true}, Result{Missing, FreePlacement}},
		{"was there", AbsentTask{PlacementRecorded: true, SeenBefore: true}, Result{Missing, FreePlacement}},
		{"sent in an earlier session", AbsentTask{PlacementRecorded: true, StartSent: true, SentToEarlierIncarnation: true}, Result{Missing, FreePlacement}},
		{"its start may be on its way", AbsentTask{PlacementRecorded: true, StartSent: true, AnswersDirectCommand: true}, Result{Pending, AwaitEvidence}},
		{"its start did not arrive", AbsentTask{PlacementRecorded: true, StartSent: true}, Result{Pending, ResendStart}},
		{"its start can't come any more", AbsentTask{PlacementRecorded: true, StartSent: true, Stopping: true}, Result{Missing, FreePlacement}},
		{"its start may still come", AbsentTask{PlacementRecorded: true, StartSent: true, Stopping: true, StartMayArrive: true}, Result{Pending, ResendStart}},
		{"not sent", AbsentTask{PlacementRecorded: true}, Result{Pending, AwaitEvidence}},
	} {
		if got := ClassifyAbsent(x.absence); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

func TestMachine(t *testing.T) {
	for _, x := range []struct {
		name     string
		evidence ListedMachine
		want     Result
	}{
		{"recorded", ListedMachine{Recorded: true, TimesListed: 9}, Result{Adopted, NoAction}},
		{"gone a moment ago", ListedMachine{RecordedRecently: true, TimesListed: 9}, Result{Finished, NoAction}},
		{"listed once", ListedMachine{TimesListed: 1}, Result{Pending, AwaitEvidence}},
		{"perhaps of a rental under way", ListedMachine{TimesListed: 9, ProvisionPending: true}, Result{Pending, AwaitEvidence}},
		{"nobody's", ListedMachine{TimesListed: 2}, Result{Unrecorded, ReleaseMachine}},
	} {
		if got := ClassifyMachine(x.evidence); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

// Whichever of two reports comes first, the newer one is the last that counts.
func TestFreshInAnyOrder(t *testing.T) {
	reports := []Position{{1, 1}, {1, 2}, {2, 1}, {2, 9}, {3, 1}}
	for _, a := range reports {
		for _, b := range reports {
			held := Position{}
			for _, r := range []Position{a, b} {
				if ClassifyHeartbeat(r, held, 5, 5) == Current {
					held = r
				}
			}
			if (a.After(b) || a == b) && held != a {
				t.Errorf("of %v and %v, %v is held", a, b, held)
			}
		}
	}
	for _, x := range []struct {
		token, ours uint64
		want        Freshness
	}{{6, 5, Superseded}, {5, 5, Current}, {4, 5, UnderLowerToken}} {
		if got := ClassifyHeartbeat(Position{1, 2}, Position{1, 1}, x.token, x.ours); got != x.want {
			t.Errorf("token %d of %d: %v", x.token, x.ours, got)
		}
	}
	if got := ClassifyHeartbeat(Position{1, 1}, Position{1, 1}, 5, 5); got != Stale {
		t.Errorf("a copy is %v", got)
	}
}
