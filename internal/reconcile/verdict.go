// Package reconcile is pure: it compares what is on record with what workers report and the
// cloud lists, and gives each report, task and machine one verdict with the one action that
// follows. A part's owner uses it for every report, and so also for the first ones after it
// has taken the part over, when nobody remembers what was said before.
package reconcile

// Verdict is what a task or a machine turns out to be.
type Verdict uint8

// Verdicts.
const (
	Adopted       Verdict = iota // it is there as recorded, and goes on
	Finished                     // it has ended, perhaps while nobody listened
	ToStop                       // it is there and must not be
	Awaited                      // on record, and what became of it is not proven yet
	Missing                      // on record, and proven gone
	Unknown                      // the records never knew it, or know no more of it
	Contradictory                // two claims exclude each other
	verdictCount
)

// verdictNames are the names in records and logs.
var verdictNames = [verdictCount]string{"adopted", "finished while away", "to be stopped", "awaited", "missing",
	"unknown to the records", "contradictory"}

// String returns a verdict's name.
func (v Verdict) String() string {
	if v < verdictCount {
		return verdictNames[v]
	}
	return "no verdict"
}

// Action is what follows from a verdict.
type Action uint8

// Actions.
const (
	Keep     Action = iota // nothing is to be done
	Complete               // its completion counts, and is to be recorded
	Free                   // its place and quota are free; it is placed again
	Stop                   // the worker is told to stop it
	Forget                 // the worker may forget it
	Retain                 // the worker must not forget it yet: a late start would begin it anew
	Repeat                 // its start did not arrive and is sent again
	Wait                   // only a later report, a newer session or a return can tell
	GiveBack               // the machine goes back to the cloud
)

// Finding is a verdict and what follows from it.
type Finding struct {
	Verdict Verdict
	Action  Action
}

// Tally counts verdicts.
type Tally [verdictCount]int

// Add counts a verdict.
func (t *Tally) Add(v Verdict) { t[v]++ }

// Plus adds another tally.
func (t *Tally) Plus(o Tally) {
	for v := range t {
		t[v] += o[v]
	}
}

// Named returns the counts that are not zero, by the verdicts' names.
func (t *Tally) Named() map[string]int {
	out := map[string]int{}
	for v, n := range t {
		if n > 0 {
			out[Verdict(v).String()] = n
		}
	}
	return out
}
