package drain

import (
	"maps"
	"slices"
	"time"

	"bramblespur/internal/record"
)

// Outcome says whether an open disruption of a unit has ended.
type Outcome uint8

// Outcomes of a disruption.
const (
	StillInterrupted Outcome = iota // the unit does not run, or may yet be stopped
	Recovered                       // the unit runs again, or its job is finished
	Unaffected                      // the unit still runs, and no command that was sent can stop it
)

// Loss is an involuntary disruption: an interruption that no drain was granted.
type Loss struct {
	Disruption
	Team string
}

// Ledgers holds the teams' ledgers during one turn, with the changes that are to be written.
type Ledgers struct {
	view    *View
	byTeam  map[string]*Ledger // copies that may be changed
	changed map[string]bool    // teams whose ledgers are to be written
}

// NewLedgers returns the ledgers of a view, without changes.
func NewLedgers(view *View) *Ledgers {
	return &Ledgers{view: view, byTeam: map[string]*Ledger{}, changed: map[string]bool{}}
}

// forTeam returns a team's ledger. A caller that changes it calls markChanged, too.
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

// AddLosses opens the losses in their teams' ledgers, except for units that have an open disruption.
func (l *Ledgers) AddLosses(losses []Loss) {
	for _, x := range losses {
		if l.forTeam(x.Team).Add(x.Disruption) {
			l.markChanged(x.Team)
		}
	}
}

// CloseRecovered closes a shard's disruptions that have ended according to outcomeOf. It withdraws the
// grants that interrupted nothing and belong to a drain that has ended.
func (l *Ledgers) CloseRecovered(shard int, outcomeOf func(Disruption) Outcome, now time.Time) {
	for _, team := range l.teams() {
		ledger := l.forTeam(team)
		for _, d := range ledger.Clone().Open {
			if d.Shard != shard {
				continue
			}
			switch outcomeOf(d) {
			case Recovered:
				ledger.Close(d.UnitID, now)
				l.markChanged(team)
			case Unaffected:
				l.closeUnaffected(team, d, now)
			}
		}
	}
}

// teams returns the teams that have a ledger, sorted.
func (l *Ledgers) teams() []string {
	names := map[string]bool{}
	for team := range l.byTeam {
		names[team] = true
	}
	for _, ledger := range l.view.ledgers {
		names[ledger.Rec.Team] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// closeUnaffected handles the disruption of a unit that still runs. A loss is closed, as the unit
// was not lost. A grant is withdrawn only if its eviction is no longer to be carried out.
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

// evictionPending reports whether the drain that a disruption was granted to has not ended, so that
// the eviction is still to be carried out.
func (v *View) evictionPending(d Disruption) bool {
	p, ok := v.Plan(d.Drain)
	return ok && !p.Rec.State.Terminal()
}

// PendingEvictions returns the granted evictions that the owner of a shard has to carry out.
func (v *View) PendingEvictions(shard int) []Disruption {
	var out []Disruption
	for _, d := range v.openDisruptions(shard) {
		if d.Drain != "" && v.evictionPending(d) {
			out = append(out, d)
		}
	}
	return out
}

// encodedSize returns the size of a record in bytes.
func encodedSize(rec any) int { return len(record.Encode(rec)) }
