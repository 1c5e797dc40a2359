package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Step does the work that is due and returns the effects that the caller has to carry out. It is
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

// wakeAt schedules a placement pass for the first Step at or after t.
func (s *Shard) wakeAt(t time.Time) {
	if s.nextWake.IsZero() || t.Before(s.nextWake) {
		s.nextWake = t
	}
}

// health is the state that the checks of the shard's machines depend on.
type health struct {
	checkedAt        time.Time
	partitionedZones map[string]bool            // zones none of whose controllers can be reached from this one
	overloaded       bool                       // this controller is overloaded: see lossReason
	zoneCounts       map[silenceLimit]zoneCount // each counted once per check
	clearedAt        time.Time                  // when a machine last got a higher token to clear attempts
}

// healthCheckInterval is the time between two checks of the machines.
const healthCheckInterval = 250 * time.Millisecond

// checkHealth probes machines that are overdue, and releases, drains or transfers those for which
// that is due, once per healthCheckInterval.
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
		// Tasks that may run on a lost machine are proven gone only once its release is confirmed.
		switch why := s.lossReason(m, now); {
		case why != "":
			s.releaseMachine(m, why, now)
		case m.draining:
			s.evictAll(m, now)
			if len(m.tasks) == 0 {
				s.releaseMachine(m, "drained", now)
				continue
			}
			s.raiseToken(m, now) // a task whose start was not answered is not proven gone otherwise
		case m.cordon == CordonedForRelease && len(m.tasks) == 0:
			s.releaseMachine(m, "drained", now)
		case m.transferTo >= 0 && len(m.tasks) == 0 && m.contact.fenced && m.directStartsAnswered():
			s.recordTransfer(m)
		default:
			s.raiseToken(m, now)
		}
	}
}

// lossReason returns why a machine is lost, or an empty string if it is not. While this
// controller is overloaded, heartbeats and responses wait unread and silence proves little: then
// a machine is lost only if it has been silent for several leases.
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

// overloadedLeases is how many leases a machine may be silent while this controller is
// overloaded: by then another one owns the shard, or none keeps up.
const overloadedLeases = 4

// SetOverloaded sets whether this controller is overloaded, that is, falls behind with the
// messages that it receives.
func (s *Shard) SetOverloaded(overloaded bool) { s.health.overloaded = overloaded }

// SetPartitionedZones sets the zones none of whose controllers can be reached from this one.
func (s *Shard) SetPartitionedZones(zones map[string]bool) { s.health.partitionedZones = zones }

// silent reports whether a machine counts as lost because it sends no heartbeats while others in
// its zone do. If all of the shard's machines in a zone are silent, there is nothing to compare with:
// they may have died together, or be partitioned from this controller. Then each is probed again
// once its lease has expired, by which it has lost its tasks unless another controller answers
// it. Probes that it did not answer before prove nothing, since this controller may have been
// paused or a partition may just have ended. If none of the zone's controllers can be reached
// either, a partition is the more likely cause, and the machine may be silent for several times
// as long.
func (s *Shard) silent(m *Machine, now time.Time) bool {
	limit := s.cfg.SilentAfter
	if !m.contact.up {
		if len(m.tasks) == 0 {
			return false // perhaps still booting: see neverBooted
		}
		limit += s.cfg.Lease / 2 // its worker has yet to find its new owner
	}
	if now.Sub(m.contact.lastContactAt) < limit {
		return false
	}
	others := s.countZone(silenceLimit{m.Zone, limit}, now)
	heard, silent := others.heard, others.silent-1 // without the machine itself
	if heard > 0 && heard >= silent {
		return true
	}
	maxSilence := s.cfg.Lease + limit
	switch {
	case s.health.partitionedZones[m.Zone]:
		maxSilence *= 3
	case m.Addr != "":
		return m.probes.unansweredPastLease >= probesUntilLost
	}
	return now.Sub(m.contact.lastContactAt) > maxSilence
}

// leaseExpired reports whether a machine has been silent for so long that its lease has expired,
// unless another controller answers it. It is false if the machine's zone is partitioned from here.
func (s *Shard) leaseExpired(m *Machine, now time.Time) bool {
	return !s.health.partitionedZones[m.Zone] && now.Sub(m.contact.lastContactAt) > s.cfg.Lease+s.cfg.heartbeatTimeout()
}

// silenceLimit is a zone and how long a machine there may be silent.
type silenceLimit struct {
	zone  string
	limit time.Duration
}

// zoneCount is how many machines of a zone have sent heartbeats lately and without a gap, and how many
// have not and so count as silent.
type zoneCount struct{ heard, silent int }

// countZone counts a zone's heard and silent machines, once per check: when a zone falls silent,
// all of its machines need the count.
func (s *Shard) countZone(at silenceLimit, now time.Time) zoneCount {
	if n, ok := s.health.zoneCounts[at]; ok {
		return n
	}
	var n zoneCount
	for _, o := range s.inventory.byID {
		if o.Zone != at.zone || (!o.contact.up && len(o.tasks) == 0) {
			continue
		}
		// Machines that are partitioned together fall silent within one heartbeat interval
		// of each other, so only a machine whose last heartbeat came well after those of
		// the silent ones disproves a partition. When a partition ends, they return one by
		// one, so the machine must also have sent heartbeats without a gap for longer than
		// the silent ones may be silent.
		if o.contact.up && now.Sub(o.contact.lastContactAt) < at.limit/2 && now.Sub(o.contact.steadySince) > at.limit {
			n.heard++
		} else {
			n.silent++
		}
	}
	s.health.zoneCounts[at] = n
	return n
}

// neverBooted reports whether a machine has sent no heartbeat since it was provisioned, for longer
// than its boot may take.
func (s *Shard) neverBooted(m *Machine, now time.Time) bool {
	limit := time.Duration(s.cfg.BootFactor * m.Type.BootS * float64(time.Second))
	return !m.contact.up && len(m.tasks) == 0 && !s.health.partitionedZones[m.Zone] && now.Sub(m.provisionedAt) > limit && now.Sub(m.contact.lastContactAt) > s.cfg.Lease
}

// evictAll evicts all tasks of a machine that is being drained.
func (s *Shard) evictAll(m *Machine, now time.Time) {
	for k, t := range m.tasks {
		if !t.stopping {
			s.evictTask(k, now)
		}
	}
}

// evictTask stops a task, or all tasks of its gang, with time to save a checkpoint.
func (s *Shard) evictTask(k taskKey, now time.Time) {
	j := k.job
	grace := j.gracePeriod()
	if j.spec.Kind == wire.Gang {
		s.stopJob(j, grace, now)
		return
	}
	s.stopTask(k, grace, now)
}

// gracePeriod returns how long a task of the job gets to save a checkpoint when it is stopped: 0 if
// the job saves none.
func (j *Job) gracePeriod() time.Duration {
	if j.spec.CheckpointS <= 0 {
		return 0
	}
	return wire.Seconds(j.spec.SaveS + 0.5)
}

// sendStops sends stops and tokens directly to the workers: a heartbeat may be seconds away, and
// a gang's tasks must be stopped within a short time of each other.
func (s *Shard) sendStops(now time.Time) {
	for m := range s.inventory.commandsDue {
		delete(s.inventory.commandsDue, m)
		if m.Addr == "" || m.contact.incarnation == 0 {
			continue
		}
		o := wire.DirectCommands{Token: m.fencingToken(s), Session: m.contact.incarnation, Commands: s.stopCommands(m, now)}
		if len(o.Commands) > 0 || m.announcesToken {
			m.announcesToken = false
			s.effects.DirectCommands = append(s.effects.DirectCommands, DirectCommand{Machine: m.ID, Addr: m.Addr, Orders: o})
		}
	}
}

// announceToken sends a machine its owner's token directly, so that it need not wait for the response
// to its next heartbeat.
func (s *Shard) announceToken(m *Machine) {
	m.announcesToken = true
	s.inventory.commandsDue[m] = struct{}{}
}

// stopCommands returns the stops for a machine that the rate limit allows now. The others go with
// the response to a later heartbeat.
func (s *Shard) stopCommands(m *Machine, now time.Time) []wire.Command {
	var out []wire.Command
	for k, t := range m.tasks {
		if t.stopping && t.recorded && s.cfg.CommandLimiter.Allow(s.commandPriority(k), now) {
			out = append(out, stopCommand(k.name(), t.attempt, t.grace))
		}
	}
	return out
}
