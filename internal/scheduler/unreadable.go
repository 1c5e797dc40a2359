package scheduler

import (
	"strconv"
	"time"

	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A record of placements that can't be decoded may tell of any task of the part that runs or
// has completed. The record is left as it is, and what it may tell of is withheld:
//
//   - Until every machine that the part had has reported under its token, or is gone, nothing
//     is started: what runs there unrecorded uses room and quota.
//   - A reported task of a withheld job that has no place is adopted where it runs.
//   - A withheld job that still has tasks without a place starts none of them: they may have
//     completed. It waits until the record is restored or deleted.
//
// Jobs that were accepted after the record was last written can't be in it and go on. What is
// recorded of withheld jobs from then on counts before what the record tells, should it be
// restored: its ranges, each of one task, are entered with the part's token as their turn,
// which is a revision of the state service and so above any turn that was reached by single
// steps before.

// rereadUnreadableEvery is how often a record that can't be decoded is read again, in case
// that somebody has restored or deleted it.
const rereadUnreadableEvery = 15 * time.Second

// unreadable is what a part knows of its records of placements that can't be decoded.
type unreadable struct {
	slots    []*placementRecord
	newest   uint64 // the highest of their versions
	unheard  bool   // machines have not reported yet since the part was taken over
	rereadAt time.Time
}

// passOver takes in that a record of placements can't be decoded. Plain ranges have no turns,
// so that what is adopted could not be told from what a restored record tells: the part turns to
// stated ones, and as long as a controller of the first version may be there, the error stands.
func (s *Shard) passOver(e wire.Entry, err error) error {
	if !s.upgraded {
		return err
	}
	s.SetStated()
	s.settling.malformed = append(s.settling.malformed, err)
	n, keyErr := strconv.Atoi(record.Last(e.Key))
	if keyErr != nil {
		return keyErr
	}
	rec := s.slot(n)
	rec.version, rec.unreadable = e.Version, true
	s.unreadable.slots = append(s.unreadable.slots, rec)
	s.unreadable.newest = max(s.unreadable.newest, e.Version)
	return nil
}

// withhold keeps the jobs from being started that a record which can't be decoded may tell of.
func (s *Shard) withhold() {
	if len(s.unreadable.slots) == 0 {
		return
	}
	s.unreadable.unheard = true
	for _, j := range s.jobs {
		// The record of a job that was cancelled or released may be newer than the job.
		rewritten := j.cancelled || j.line != alone
		j.withheld = rewritten || j.version <= s.unreadable.newest
	}
}

// laterTurn is a turn above that of any range on record.
func (s *Shard) laterTurn() int { return int(s.token) }

// releaseWithheld lets jobs go on of which nothing can be unknown any more.
func (s *Shard) releaseWithheld(now time.Time) {
	u := &s.unreadable
	if len(u.slots) == 0 {
		return
	}
	if !now.Before(u.rereadAt) {
		u.rereadAt = now.Add(rereadUnreadableEvery)
		for _, rec := range u.slots {
			s.out.RereadSlots = append(s.out.RereadSlots, rec.n)
		}
	}
	s.alarm(u.rereadAt)
	if u.unheard && s.awaitsInherited() {
		return
	}
	s.changed = s.changed || u.unheard
	u.unheard = false
	for _, j := range s.jobs {
		if j.withheld && (j.cancelled || j.idleTasks == 0) {
			j.withheld = false
			s.supersede(j)
			s.ends(j)
		}
	}
}

// supersede makes what is known of all of a job's tasks count before what the record tells.
func (s *Shard) supersede(j *Job) {
	for _, c := range j.chunks {
		c.turn = max(c.turn, s.laterTurn())
		c.slot.dirty, c.slot.moved = true, true
	}
}

// withheldRange is a range for a task of a withheld job: of that one alone, since nothing is
// known of its neighbours.
func (s *Shard) withheldRange(j *Job, i int) *chunk {
	return &chunk{job: j, first: i, end: i + 1, turn: s.laterTurn()}
}

// awaitsInherited reports whether a machine that the part had when it was taken over has
// neither reported under the part's token nor is proven gone.
func (s *Shard) awaitsInherited() bool {
	for _, m := range s.machines {
		if m.inherited && !m.fenced {
			return true
		}
	}
	return false
}

// adoptWithheld takes in that a worker has a task of a withheld job that has no place on
// record, or an outdated one: a higher attempt was only made once the one on record was proven
// gone. It reports whether the task is placed there from now on.
func (s *Shard) adoptWithheld(k key, m *Machine, rt *wire.HeartbeatTask, now time.Time) bool {
	j := k.job
	if !j.withheld || rt.State == wire.Exited {
		return false
	}
	switch t := &j.tasks[k.i]; {
	case t.state == idle:
	case t.state == placed && t.inherited && !t.seen && rt.Attempt > t.attempt:
		s.judge(t, reconcile.Missing)
		s.take(k, now)
	default:
		return false
	}
	t := s.put(k, m, rt.Attempt, now)
	t.recorded, t.inherited, t.steps = true, true, nil
	j.chunkAt(k.i).slot.moved = true // to be written, though nothing is to be started
	if j.cancelled {
		s.stop(k, 0, now)
	}
	return true
}

// unreadableRead takes in a record that could not be decoded as it is now. If it was restored
// or deleted, the part is given up: whoever takes it over reads all records again.
func (s *Shard) unreadableRead(rec *placementRecord, e *wire.Entry) {
	if e == nil || e.Version != rec.version {
		s.lost = true
	}
}
