// Package reconcile is pure: it compares what is on record with what workers report and the
// cloud lists, and gives each report, task and machine one verdict with the one action that
// follows. A part's owner uses it for every report, and so also for the first ones after it
// has taken the part over, when nobody remembers what was said before.
package reconcile

// Outcome is what a task or a machine turns out to be.
type Outcome uint8

// Verdicts.
const (
	Adopted     Outcome = iota // it is there as recorded, and goes on
	Finished                   // it has ended, perhaps while nobody listened
	MustStop                   // it is there and must not be
	Pending                    // on record, and what became of it is not proven yet
	Missing                    // on record, and proven gone
	Unrecorded                 // the records never knew it, or know no more of it
	Conflicting                // two claims exclude each other
	outcomeCount
)

// outcomeNames are the names in records and logs.
var outcomeNames = [outcomeCount]string{"adopted", "finished while away", "to be stopped", "awaited", "missing",
	"unknown to the records", "contradictory"}

// String returns a verdict's name.
func (v Outcome) String() string {
	if v < outcomeCount {
		return outcomeNames[v]
	}
	return "no verdict"
}

// Action is what follows from a verdict.
type Action uint8

// Actions.
const (
	NoAction         Action = iota // nothing is to be done
	RecordCompletion               // its completion counts, and is to be recorded
	FreePlacement                  // its place and quota are free; it is placed again
	Stop                           // the worker is told to stop it
	Forget                         // the worker may forget it
	RetainResult                   // the worker must not forget it yet: a late start would begin it anew
	ResendStart                    // its start did not arrive and is sent again
	AwaitEvidence                  // only a later report, a newer session or a return can tell
	ReleaseMachine                 // the machine goes back to the cloud
)

// Result is a verdict and what follows from it.
type Result struct {
	Outcome Outcome
	Action  Action
}

// OutcomeCounts counts verdicts.
type OutcomeCounts [outcomeCount]int

// Add counts a verdict.
func (t *OutcomeCounts) Add(v Outcome) { t[v]++ }

// Merge adds another tally.
func (t *OutcomeCounts) Merge(o OutcomeCounts) {
	for v := range t {
		t[v] += o[v]
	}
}

// ByName returns the counts that are not zero, by the verdicts' names.
func (t *OutcomeCounts) ByName() map[string]int {
	out := map[string]int{}
	for v, n := range t {
		if n > 0 {
			out[Outcome(v).String()] = n
		}
	}
	return out
}
