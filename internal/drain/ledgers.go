package drain

import (
	"maps"
	"slices"
	"time"

	"bramblespur/internal/record"
)

// Outcome is what became of a unit whose disruption is open.
type Outcome uint8

// Fates of a unit.
const (
	StillInterrupted Outcome = iota // it does not run, or may yet be stopped
	Recovered                       // it runs again, or its job is over
	Unaffected                      // it runs on as it did, and nothing that was sent can stop it
)

// Loss is an interruption that no drain chose.
type Loss struct {
	Disruption
	Team string
}

// Ledgers are the ledgers of the teams that one turn changes, as they are to be written.
type Ledgers struct {
	view    *View
	byTeam  map[string]*Ledger // by team
	changed map[string]bool
}

// NewLedgers returns the ledgers as the records tell them.
func NewLedgers(view *View) *Ledgers {
	return &Ledgers{view: view, byTeam: map[string]*Ledger{}, changed: map[string]bool{}}
}

// forTeam returns a team's ledger, to be changed.
func (l *Ledgers) forTeam(team string) *Ledger {
	if l.byTeam[team] == nil {
		copied := l.view.Ledger(team).Rec.Clone()
		copied.Team = team
		l.byTeam[team] = &copied
	}
	return l.byTeam[team]
}

// markChanged notes that a team's ledger is to be written.
func (l *Ledgers) markChanged(team string) { l.changed[team] = true }

// AddLosses adds losses.
func (l *Ledgers) AddLosses(losses []Loss) {
	for _, x := range losses {
		if l.forTeam(x.Team).Add(x.Disruption) {
			l.markChanged(x.Team)
		}
	}
}

// CloseRecovered closes what has recovered of a shard's disruptions, and takes back grants of drains
// that are over which have stopped nothing.
func (l *Ledgers) CloseRecovered(shard int, fate func(Disruption) Outcome, now time.Time) {
	for _, team := range l.teams() {
		ledger := l.forTeam(team)
		for _, d := range ledger.Clone().Open {
			if d.Shard != shard {
				continue
			}
			switch fate(d) {
			case Recovered:
				ledger.Close(d.UnitID, now)
				l.markChanged(team)
			case Unaffected:
				l.closeUnaffected(team, d, now)
			}
		}
	}
}

// teams returns the teams that have a ledger, in order.
func (l *Ledgers) teams() []string {
	names := map[string]bool{}
	for team := range l.byTeam {
		names[team] = true
	}
	for _, held := range l.view.ledgers {
		names[held.Rec.Team] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// closeUnaffected handles a unit that runs on. A loss that turns out to be none is over; a grant
// is taken back only if nobody is to carry it out any more.
func (l *Ledgers) closeUnaffected(team string, d Disruption, now time.Time) {
	switch {
	case d.Drain == "":
		l.forTeam(team).Close(d.UnitID, now)
	case l.view.evictionPending(d):
		return
	default:
		l.forTeam(team).Withdraw(d.UnitID)
	}
	l.markChanged(team)
}

// evictionPending reports whether a grant is still to be carried out.
func (v *View) evictionPending(d Disruption) bool {
	p, ok := v.Plan(d.Drain)
	return ok && !p.Rec.State.Terminal()
}

// PendingEvictions returns the grants of a shard that its owner has to carry out.
func (v *View) PendingEvictions(shard int) []Disruption {
	var out []Disruption
	for _, d := range v.openDisruptions(shard) {
		if d.Drain != "" && v.evictionPending(d) {
			out = append(out, d)
		}
	}
	return out
}

// encodedSize is the size of a record.
func encodedSize(rec any) int { return len(record.Encode(rec)) }
