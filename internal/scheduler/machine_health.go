package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Step does what is due and returns what the shell has to carry out. It is
// cheap when nothing has changed.
func (s *Shard) Step(now time.Time) Effects {
	if !s.ownershipLost {
		s.checkHealth(now)
		s.releaseWithheldJobs(now)
		if s.placementDue || (!s.nextWake.IsZero() && !now.Before(s.nextWake)) {
			s.placementDue, s.nextWake = false, time.Time{}
			s.placeJobs(now)
		}
		s.writeRecords(now)
		s.notifyDelayedStarts(now)
		s.sendStops(now)
	}
	out := s.effects
	s.effects = Effects{}
	return out
}

// wakeAt makes a later Step look again at t.
func (s *Shard) wakeAt(t time.Time) {
	if s.nextWake.IsZero() || t.Before(s.nextWake) {
		s.nextWake = t
	}
}

// health is what the shard knows of its machines' zones and of its own controller.
type health struct {
	checkedAt        time.Time
	partitionedZones map[string]bool            // no controller there can be reached from here
	overloaded       bool                       // this controller falls behind: see lossReason
	zoneCounts       map[silenceLimit]zoneCount // since the last check
}

// healthCheckInterval is how often machines are looked over.
const healthCheckInterval = 250 * time.Millisecond

func (s *Shard) checkHealth(now time.Time) {
	if now.Sub(s.health.checkedAt) < healthCheckInterval {
		return
	}
	s.health.checkedAt = now
	s.health.zoneCounts = map[silenceLimit]zoneCount{}
	s.probeMachines(now)
	for _, m := range s.inventory.byID {
		if m.record.txn != nil || m.record.versionUnknown || m.Phase != record.InUse || now.Before(m.record.retryAt) {
			continue
		}
		// Only the answered return proves gone what may run there.
		switch why := s.lossReason(m, now); {
		case why != "":
			s.releaseMachine(m, why, now)
		case m.draining:
			s.evictAll(m, now)
			if len(m.tasks) == 0 {
				s.releaseMachine(m, "drained", now)
			}
		case m.cordon == CordonedForReturn && len(m.tasks) == 0:
			s.releaseMachine(m, "drained", now)
		case m.transferTo >= 0 && len(m.tasks) == 0 && m.contact.fenced && m.directStartsAnswered():
			s.recordTransfer(m)
		default:
			s.raiseToken(m, now)
		}
	}
}

// lossReason returns why a machine is lost, or nothing. While this controller falls
// behind, heartbeats and responses wait unread and silence proves little: only a machine
// that says nothing for several leases is lost then.
func (s *Shard) lossReason(m *Machine, now time.Time) string {
	switch {
	case s.health.overloaded && now.Sub(m.contact.lastContactAt) < overloadedLeases*s.cfg.Lease:
		return ""
	case s.unresponsive(m, now):
		return "no answer"
	case s.silent(m, now):
		return "silent"
	case s.neverBooted(m, now):
		return "never came up"
	case s.cfg.unreachableTooLong(m, now):
		return "no answer reaches it"
	}
	return ""
}

// overloadedLeases is how many leases a machine may be silent while this controller
// falls behind: by then another owns the shard, or none keeps up.
const overloadedLeases = 4

// SetOverloaded tells whether this controller falls behind with what it is sent.
func (s *Shard) SetOverloaded(behind bool) { s.health.overloaded = behind }

// SetPartitionedZones tells the zones of which no controller can be reached from here.
func (s *Shard) SetPartitionedZones(zones map[string]bool) { s.health.partitionedZones = zones }

// silent reports whether a machine is lost: its worker says nothing while
// others in its zone do. When all of the shard's machines in a zone are silent there
// is nothing to compare with: they may have died together, or can't be heard from
// here. Then each is asked again once its lease is over, after which it has lost its
// tasks if nobody else answers it; what it did not answer before proves nothing, since
// this controller may have stood still or a partition just have ended. When none of the zone's
// controllers answers either, the fault is rather the network's between us, and it gets
// several times that.
func (s *Shard) silent(m *Machine, now time.Time) bool {
	limit := s.cfg.SilentAfter
	if !m.contact.up {
		if len(m.tasks) == 0 {
			return false // perhaps still booting: see overdue
		}
		limit += s.cfg.Lease / 2 // its worker has yet to find its new owner
	}
	if now.Sub(m.contact.lastContactAt) < limit {
		return false
	}
	others := s.countZone(silenceLimit{m.Zone, limit}, now)
	heard, quiet := others.heard, others.silent-1 // it is one of the quiet ones itself
	if heard > 0 && heard >= quiet {
		return true
	}
	patience := s.cfg.Lease + limit
	switch {
	case s.health.partitionedZones[m.Zone]:
		patience *= 3
	case m.Addr != "":
		return m.probes.unansweredPastLease >= probesUntilLost
	}
	return now.Sub(m.contact.lastContactAt) > patience
}

// leaseExpired reports whether a machine has been silent for so long that its lease is
// over, unless somebody else answers it, though its zone is not partitioned from here.
func (s *Shard) leaseExpired(m *Machine, now time.Time) bool {
	return !s.health.partitionedZones[m.Zone] && now.Sub(m.contact.lastContactAt) > s.cfg.Lease+s.cfg.heartbeatTimeout()
}

// silenceLimit is a zone, and how long a machine there may be silent.
type silenceLimit struct {
	zone  string
	limit time.Duration
}

// zoneCount is how many machines of a zone are heard and how many are not.
type zoneCount struct{ heard, silent int }

// countZone counts a zone's machines once for all that are looked at together: when
// a zone falls silent, that is all of its machines.
func (s *Shard) countZone(at silenceLimit, now time.Time) zoneCount {
	if n, ok := s.health.zoneCounts[at]; ok {
		return n
	}
	var n zoneCount
	for _, o := range s.inventory.byID {
		if o.Zone != at.zone || (!o.contact.up && len(o.tasks) == 0) {
			continue
		}
		// Machines partitioned together fall silent within one heartbeat's time: only
		// one heard well after another speaks against that. When the partition ends they
		// come back one by one: only one heard for as long as those that are silent
		// are given does.
		if o.contact.up && now.Sub(o.contact.lastContactAt) < at.limit/2 && now.Sub(o.contact.steadySince) > at.limit {
			n.heard++
		} else {
			n.silent++
		}
	}
	s.health.zoneCounts[at] = n
	return n
}

// neverBooted reports whether a machine never came up.
func (s *Shard) neverBooted(m *Machine, now time.Time) bool {
	limit := time.Duration(s.cfg.BootFactor * m.Type.BootS * float64(time.Second))
	return !m.contact.up && len(m.tasks) == 0 && !s.health.partitionedZones[m.Zone] && now.Sub(m.provisionedAt) > limit && now.Sub(m.contact.lastContactAt) > s.cfg.Lease
}

// evictAll stops in an orderly way what runs on a machine that is to be empty.
func (s *Shard) evictAll(m *Machine, now time.Time) {
	for k, t := range m.tasks {
		if !t.stopping {
			s.evictTask(k, now)
		}
	}
}

// evictTask stops a task, a gang's with all its mates, with time to save.
func (s *Shard) evictTask(k taskKey, now time.Time) {
	j := k.job
	grace := j.gracePeriod()
	if j.spec.Kind == wire.Gang {
		s.stopJob(j, grace, now)
		return
	}
	s.stopTask(k, grace, now)
}

func (j *Job) gracePeriod() time.Duration {
	if j.spec.CheckpointS <= 0 {
		return 0
	}
	return wire.Seconds(j.spec.SaveS + 0.5)
}

// sendStops sends stops straight to the workers: a heartbeat may be seconds away,
// and a gang's tasks must be told within a short time of each other.
func (s *Shard) sendStops(now time.Time) {
	for m := range s.inventory.commandsDue {
		delete(s.inventory.commandsDue, m)
		if m.Addr == "" || m.contact.incarnation == 0 {
			continue
		}
		o := wire.DirectOrders{Token: m.fencingToken(s), Session: m.contact.incarnation, Commands: s.stopCommands(m, now)}
		if len(o.Commands) > 0 || m.announceToken {
			m.announceToken = false
			s.effects.DirectCommands = append(s.effects.DirectCommands, DirectCommand{Machine: m.ID, Addr: m.Addr, Orders: o})
		}
	}
}

// stopCommands returns the stops for a machine. What has to wait for the pace goes with a later
// heartbeat's response.
func (s *Shard) stopCommands(m *Machine, now time.Time) []wire.Command {
	var out []wire.Command
	for k, t := range m.tasks {
		if t.stopping && t.recorded && s.cfg.CommandLimiter.Allow(s.commandPriority(k), now) {
			out = append(out, stopCommand(k.name(), t.attempt, t.grace))
		}
	}
	return out
}
