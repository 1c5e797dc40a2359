package reconcile

import (
	"testing"

	"bramblespur/internal/wire"
)

// Each row is a case of the table in docs/design-restart.md.
func TestClaimed(t *testing.T) {
	for _, x := range []struct {
		name  string
		claim Claim
		want  Finding
	}{
		{"as recorded", Claim{State: wire.Running, KnownJob: true, Placed: true}, Finding{Adopted, Keep}},
		{"fetches as recorded", Claim{State: wire.Fetching, KnownJob: true, Placed: true}, Finding{Adopted, Keep}},
		{"completed while away", Claim{State: wire.Exited, Why: wire.Done, KnownJob: true, Placed: true}, Finding{Finished, Complete}},
		{"failed while away", Claim{State: wire.Exited, Why: wire.WhyError, KnownJob: true, Placed: true}, Finding{Finished, Free}},
		{"of no job known", Claim{State: wire.Running}, Finding{Unknown, Stop}},
		{"exited, of no job known", Claim{State: wire.Exited, Why: wire.Done, MayForget: true}, Finding{Unknown, Forget}},
		{"exited, but may start anew", Claim{State: wire.Exited, Why: wire.Done}, Finding{Unknown, Retain}},
		{"another attempt", Claim{State: wire.Running, KnownJob: true}, Finding{ToStop, Stop}},
		{"the same attempt elsewhere", Claim{State: wire.Running, KnownJob: true, Elsewhere: true}, Finding{Contradictory, Stop}},
		{"another attempt completed", Claim{State: wire.Exited, Why: wire.Done, KnownJob: true}, Finding{Finished, Complete}},
		{"its completion is on record", Claim{State: wire.Exited, Why: wire.Done, KnownJob: true, Done: true, Durable: true, MayForget: true}, Finding{ToStop, Forget}},
		{"failed, but is known to be done", Claim{State: wire.Exited, Why: wire.WhyError, KnownJob: true, Done: true, MayForget: true}, Finding{Contradictory, Forget}},
	} {
		if got := Claimed(x.claim); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

func TestAbsent(t *testing.T) {
	for _, x := range []struct {
		name    string
		absence Absence
		want    Finding
	}{
		{"not recorded yet", Absence{}, Finding{Awaited, Wait}},
		{"of an earlier owner", Absence{Told: true, Inherited: true}, Finding{Missing, Free}},
		{"was there", Absence{Told: true, Seen: true}, Finding{Missing, Free}},
		{"sent in an earlier session", Absence{Told: true, Sent: true, EarlierSession: true}, Finding{Missing, Free}},
		{"its start may be on its way", Absence{Told: true, Sent: true, Direct: true}, Finding{Awaited, Wait}},
		{"its start did not arrive", Absence{Told: true, Sent: true}, Finding{Awaited, Repeat}},
		{"its start can't come any more", Absence{Told: true, Sent: true, Stopping: true}, Finding{Missing, Free}},
		{"its start may still come", Absence{Told: true, Sent: true, Stopping: true, MayCome: true}, Finding{Awaited, Repeat}},
		{"not sent", Absence{Told: true}, Finding{Awaited, Wait}},
	} {
		if got := Absent(x.absence); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

func TestMachine(t *testing.T) {
	for _, x := range []struct {
		name     string
		evidence MachineEvidence
		want     Finding
	}{
		{"recorded", MachineEvidence{Recorded: true, Listed: 9}, Finding{Adopted, Keep}},
		{"gone a moment ago", MachineEvidence{Lately: true, Listed: 9}, Finding{Finished, Keep}},
		{"listed once", MachineEvidence{Listed: 1}, Finding{Awaited, Wait}},
		{"perhaps of a rental under way", MachineEvidence{Listed: 9, Renting: true}, Finding{Awaited, Wait}},
		{"nobody's", MachineEvidence{Listed: 2}, Finding{Unknown, GiveBack}},
	} {
		if got := Machine(x.evidence); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

// Whichever of two reports comes first, the newer one is the last that counts.
func TestFreshInAnyOrder(t *testing.T) {
	reports := []Order{{1, 1}, {1, 2}, {2, 1}, {2, 9}, {3, 1}}
	for _, a := range reports {
		for _, b := range reports {
			held := Order{}
			for _, r := range []Order{a, b} {
				if Fresh(r, held, 5, 5) == Current {
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
	}{{6, 5, Deposed}, {5, 5, Current}, {4, 5, Unfenced}} {
		if got := Fresh(Order{1, 2}, Order{1, 1}, x.token, x.ours); got != x.want {
			t.Errorf("token %d of %d: %v", x.token, x.ours, got)
		}
	}
	if got := Fresh(Order{1, 1}, Order{1, 1}, 5, 5); got != Late {
		t.Errorf("a copy is %v", got)
	}
}
