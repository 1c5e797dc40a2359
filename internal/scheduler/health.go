package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Step does what is due and returns what the shell has to carry out. It is
// cheap when nothing has changed.
func (s *Shard) Step(now time.Time) Effects {
	if !s.lost {
		s.checkHealth(now)
		s.releaseWithheld(now)
		if s.changed || (!s.wake.IsZero() && !now.Before(s.wake)) {
			s.changed, s.wake = false, time.Time{}
			s.place(now)
		}
		s.flush(now)
		s.wakeDelayed(now)
		s.pushStops(now)
	}
	out := s.out
	s.out = Effects{}
	return out
}

// alarm makes a later Step look again at t.
func (s *Shard) alarm(t time.Time) {
	if s.wake.IsZero() || t.Before(s.wake) {
		s.wake = t
	}
}

// healthEvery is how often machines are looked over.
const healthEvery = 250 * time.Millisecond

func (s *Shard) checkHealth(now time.Time) {
	if now.Sub(s.healthAt) < healthEvery {
		return
	}
	s.healthAt = now
	s.zones = map[zoneLimit]zoneCount{}
	s.probe(now)
	for _, m := range s.machines {
		if m.txn != nil || m.versionUnknown || m.Phase != record.InUse || now.Before(m.retry) {
			continue
		}
		// Only the answered return proves gone what may run there.
		switch why := s.lostWhy(m, now); {
		case why != "":
			s.returnMachine(m, why, now)
		case m.drain:
			s.clear(m, now)
			if len(m.on) == 0 {
				s.returnMachine(m, "drained", now)
			}
		case m.cordon == CordonedForReturn && len(m.on) == 0:
			s.returnMachine(m, "drained", now)
		case m.moveTo >= 0 && len(m.on) == 0 && m.fenced && m.settled():
			s.moveTxn(m)
		default:
			s.fence(m, now)
		}
	}
}

// lostWhy returns why a machine is lost, or nothing. While this controller falls
// behind, reports and answers wait unread and silence proves little: only a machine
// that says nothing for several leases is lost then.
func (s *Shard) lostWhy(m *Machine, now time.Time) string {
	switch {
	case s.behind && now.Sub(m.heard) < behindLeases*s.cfg.Lease:
		return ""
	case s.unanswering(m, now):
		return "no answer"
	case s.silent(m, now):
		return "silent"
	case s.overdue(m, now):
		return "never came up"
	case s.staysUnreachable(m, now):
		return "no answer reaches it"
	}
	return ""
}

// behindLeases is how many leases a machine may be silent while this controller
// falls behind: by then another owns the part, or none keeps up.
const behindLeases = 4

// SetBehind tells whether this controller falls behind with what it is sent.
func (s *Shard) SetBehind(behind bool) { s.behind = behind }

// SetCut tells the zones of which no controller can be reached from here.
func (s *Shard) SetCut(zones map[string]bool) { s.cut = zones }

// silent reports whether a machine is lost: its worker says nothing while
// others in its zone do. When all of the part's machines in a zone are silent there
// is nothing to compare with: they may have died together, or can't be heard from
// here. Then each is asked again once its lease is over, after which it has lost its
// tasks if nobody else answers it; what it did not answer before proves nothing, since
// this controller may have stood still or a cut just have ended. When none of the zone's
// controllers answers either, the fault is rather the network's between us, and it gets
// several times that.
func (s *Shard) silent(m *Machine, now time.Time) bool {
	limit := s.cfg.SilentAfter
	if !m.up {
		if len(m.on) == 0 {
			return false // perhaps still booting: see overdue
		}
		limit += s.cfg.Lease / 2 // its worker has yet to find its new owner
	}
	if now.Sub(m.heard) < limit {
		return false
	}
	others := s.count(zoneLimit{m.Zone, limit}, now)
	heard, quiet := others.heard, others.quiet-1 // it is one of the quiet ones itself
	if heard > 0 && heard >= quiet {
		return true
	}
	patience := s.cfg.Lease + limit
	switch {
	case s.cut[m.Zone]:
		patience *= 3
	case m.Addr != "":
		return m.probes.vain >= probesLost
	}
	return now.Sub(m.heard) > patience
}

// leaseOver reports whether a machine has been silent for so long that its lease is
// over, unless somebody else answers it, though its zone is not cut off from here.
func (s *Shard) leaseOver(m *Machine, now time.Time) bool {
	return !s.cut[m.Zone] && now.Sub(m.heard) > s.cfg.Lease+s.reportDue()
}

// zoneLimit is a zone, and how long a machine there may be silent.
type zoneLimit struct {
	zone  string
	limit time.Duration
}

// zoneCount is how many machines of a zone are heard and how many are not.
type zoneCount struct{ heard, quiet int }

// count counts a zone's machines once for all that are looked at together: when
// a zone falls silent, that is all of its machines.
func (s *Shard) count(at zoneLimit, now time.Time) zoneCount {
	if n, ok := s.zones[at]; ok {
		return n
	}
	var n zoneCount
	for _, o := range s.machines {
		if o.Zone != at.zone || (!o.up && len(o.on) == 0) {
			continue
		}
		// Machines cut off together fall silent within one report's time: only
		// one heard well after another speaks against that. When the cut ends they
		// come back one by one: only one heard for as long as those that are silent
		// are given does.
		if o.up && now.Sub(o.heard) < at.limit/2 && now.Sub(o.steady) > at.limit {
			n.heard++
		} else {
			n.quiet++
		}
	}
	s.zones[at] = n
	return n
}

// overdue reports whether a machine never came up.
func (s *Shard) overdue(m *Machine, now time.Time) bool {
	limit := time.Duration(s.cfg.BootFactor * m.Type.BootS * float64(time.Second))
	return !m.up && len(m.on) == 0 && !s.cut[m.Zone] && now.Sub(m.born) > limit && now.Sub(m.heard) > s.cfg.Lease
}

// clear stops in an orderly way what runs on a machine that is to be empty.
func (s *Shard) clear(m *Machine, now time.Time) {
	for k, t := range m.on {
		if !t.stop {
			s.halt(k, now)
		}
	}
}

// halt stops a task, a gang's with all its mates, with time to save.
func (s *Shard) halt(k key, now time.Time) {
	j := k.job
	grace := s.grace(j)
	if j.spec.Kind == wire.Gang {
		s.stopJob(j, grace, now)
		return
	}
	s.stop(k, grace, now)
}

func (s *Shard) grace(j *Job) time.Duration {
	if j.spec.CheckpointS <= 0 {
		return 0
	}
	return wire.Seconds(j.spec.SaveS + 0.5)
}

// pushStops sends stops straight to the workers: a report may be seconds away,
// and a gang's tasks must be told within a short time of each other.
func (s *Shard) pushStops(now time.Time) {
	for m := range s.index.toPush {
		delete(s.index.toPush, m)
		if m.Addr == "" || m.session == 0 {
			continue
		}
		o := wire.DirectOrders{Token: m.token(s), Session: m.session, Commands: s.stops(m, now)}
		if len(o.Commands) > 0 || m.announceToken {
			m.announceToken = false
			s.out.Pushes = append(s.out.Pushes, Push{Machine: m.ID, Addr: m.Addr, Orders: o})
		}
	}
}

// stops returns the stops for a machine. What has to wait for the pace goes with a later
// report's answer.
func (s *Shard) stops(m *Machine, now time.Time) []wire.Command {
	var out []wire.Command
	for k, t := range m.on {
		if t.stop && t.recorded && s.cfg.Pace.Allow(s.paceClass(k), now) {
			out = append(out, halt(k.name(), t.attempt, t.grace))
		}
	}
	return out
}
