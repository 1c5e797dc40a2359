package drain

import (
	"maps"
	"slices"
	"time"

	"bramblespur/internal/record"
)

// Fate is what became of a unit whose disruption is open.
type Fate uint8

// Fates of a unit.
const (
	Interrupted Fate = iota // it does not run, or may yet be stopped
	Recovered               // it runs again, or its job is over
	Untouched               // it runs on as it did, and nothing that was sent can stop it
)

// Loss is an interruption that no drain chose.
type Loss struct {
	Disruption
	Team string
}

// Ledgers are the ledgers of the teams that one turn changes, as they are to be written.
type Ledgers struct {
	view  *View
	held  map[string]*Ledger // by team
	dirty map[string]bool
}

// NewLedgers returns the ledgers as the records tell them.
func NewLedgers(view *View) *Ledgers {
	return &Ledgers{view: view, held: map[string]*Ledger{}, dirty: map[string]bool{}}
}

// of returns a team's ledger, to be changed.
func (l *Ledgers) of(team string) *Ledger {
	if l.held[team] == nil {
		copied := l.view.Ledger(team).Rec.Clone()
		copied.Team = team
		l.held[team] = &copied
	}
	return l.held[team]
}

// touch notes that a team's ledger is to be written.
func (l *Ledgers) touch(team string) { l.dirty[team] = true }

// Lose adds losses.
func (l *Ledgers) Lose(losses []Loss) {
	for _, x := range losses {
		if l.of(x.Team).Add(x.Disruption) {
			l.touch(x.Team)
		}
	}
}

// Settle closes what has recovered of a part's disruptions, and takes back grants of drains
// that are over which have stopped nothing.
func (l *Ledgers) Settle(part int, fate func(Disruption) Fate, now time.Time) {
	for _, team := range l.teams() {
		ledger := l.of(team)
		for _, d := range ledger.Clone().Open {
			if d.Part != part {
				continue
			}
			switch fate(d) {
			case Recovered:
				ledger.Close(d.UnitID, now)
				l.touch(team)
			case Untouched:
				l.untouched(team, d, now)
			}
		}
	}
}

// teams returns the teams that have a ledger, in order.
func (l *Ledgers) teams() []string {
	names := map[string]bool{}
	for team := range l.held {
		names[team] = true
	}
	for _, held := range l.view.ledgers {
		names[held.Rec.Team] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// untouched takes in that a unit runs on. A loss that turns out to be none is over; a grant
// is taken back only if nobody is to carry it out any more.
func (l *Ledgers) untouched(team string, d Disruption, now time.Time) {
	switch {
	case d.Drain == "":
		l.of(team).Close(d.UnitID, now)
	case l.view.carriesOut(d):
		return
	default:
		l.of(team).Withdraw(d.UnitID)
	}
	l.touch(team)
}

// carriesOut reports whether a grant is still to be carried out.
func (v *View) carriesOut(d Disruption) bool {
	p, ok := v.Plan(d.Drain)
	return ok && !p.Rec.State.Over()
}

// Orders returns the grants of a part that its owner has to carry out.
func (v *View) Orders(part int) []Disruption {
	var out []Disruption
	for _, d := range v.open(part) {
		if d.Drain != "" && v.carriesOut(d) {
			out = append(out, d)
		}
	}
	return out
}

// encodedSize is the size of a record.
func encodedSize(rec any) int { return len(record.Encode(rec)) }
