package reconcile

import "bramblespur/internal/wire"

// Claim is a task in a current report, beside what is on record.
type Claim struct {
	State, Why string // as reported
	KnownJob   bool   // the part holds the job, and it has such a task
	Placed     bool   // the task is recorded on this machine under this attempt
	Elsewhere  bool   // it is recorded on another machine under this attempt
	Done       bool   // its completion is known
	Durable    bool   // and on record
	MayForget  bool   // no late start can begin the attempt anew
}

// Claimed gives the verdict on a task that a current report has.
func Claimed(c Claim) Finding {
	switch {
	case c.Placed:
		return c.placed()
	case !c.KnownJob:
		return c.stray(Unknown)
	case c.State == wire.Exited && c.Why == wire.Done && !c.Durable:
		// The result is kept, whatever the attempt, until its record is written.
		return Finding{Finished, Complete}
	case c.Elsewhere:
		return c.stray(Contradictory)
	case c.State == wire.Exited && c.Why != wire.Done && c.Done:
		return c.stray(Contradictory)
	}
	return c.stray(ToStop)
}

// placed is a task that is where the records say.
func (c Claim) placed() Finding {
	switch {
	case c.State != wire.Exited:
		return Finding{Adopted, Keep}
	case c.Why == wire.Done:
		return Finding{Finished, Complete}
	}
	return Finding{Finished, Free}
}

// stray is a task that has no place on this machine: what runs is stopped, and what has
// exited may be forgotten once it can't be started anew.
func (c Claim) stray(v Verdict) Finding {
	switch {
	case c.State != wire.Exited:
		return Finding{v, Stop}
	case !c.MayForget:
		return Finding{v, Retain}
	}
	return Finding{v, Forget}
}

// Absence is a task that is recorded on a machine and not in its current report.
type Absence struct {
	Told           bool // the placement is on record, so that its start may have been sent
	Inherited      bool // an earlier owner placed it
	Seen           bool // an earlier report under our token had it
	Sent           bool // we sent its start
	EarlierSession bool // in a session of the worker that is over
	Direct         bool // the report answers a command; the start may be on its way
	MayCome        bool // a start that was sent straight to the worker may still be carried out
	Stopping       bool // it is to be stopped
}

// Absent gives the verdict on a task that a current report lacks. Time proves nothing: only
// a report that must have had it does.
func Absent(a Absence) Finding {
	gone, waits, again := Finding{Missing, Free}, Finding{Awaited, Wait}, Finding{Awaited, Repeat}
	switch {
	case !a.Told:
		return waits
	case a.Inherited, a.Seen, a.Sent && a.EarlierSession:
		return gone
	case a.Direct:
		return waits
	case a.Stopping && !a.MayCome:
		// The report is newer than the answer that had the start: it was dropped.
		return gone
	case a.Sent:
		return again
	}
	return waits
}
